#pragma once

#include "main/settings.h"
#include "state/vmlist.h"
#include "transport/httpclient.h"

#include <functional>
#include <memory>

namespace ApricotStep
{

/** Reads the platform's VM list at the configured interval. */
class PlatformReader
{
public:
    /** Called with each VM list that was read, from the client's thread. */
    using VmListHandler = std::function<void(VmList)>;

    /** The references must outlive the reader and the client's calls. */
    PlatformReader(const Settings &settings, HttpClient &client, const Clock &clock, VmListHandler onVmList);
    /** Starts no further reads; a read in flight may still call the handler until the client is destroyed. */
    ~PlatformReader();

    /** Starts a read when one is due; to be called every 20 to 100 ms. */
    void tick();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
