#pragma once

#include "main/settings.h"
#include "state/vmlist.h"
#include "transport/httpclient.h"

#include <functional>
#include <memory>

namespace ApricotStep
{

/** Reads the platform's VM list at the interval of the settings. */
class PlatformReader
{
public:
    /** Called with each VM list that was read, from the client's thread. */
    using VmListHandler = std::function<void(VmList)>;

    /** Begins to read. The references must outlive the reader. */
    PlatformReader(const Settings &settings, HttpClient &client, const Clock &clock, VmListHandler onVmList);
    /** Stops; no callback comes afterwards. */
    ~PlatformReader();

    /** Starts a read that is due; every 20 to 100 ms. */
    void tick();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
