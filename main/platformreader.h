#pragma once

#include "main/metrics.h"
#include "main/settings.h"
#include "state/catalog.h"
#include "state/published.h"
#include "state/vmlist.h"
#include "transport/httpclient.h"

#include <functional>
#include <memory>

namespace ApricotStep
{

/** Reads and watches what the platform publishes, and keeps the newest valid values. */
class PlatformReader
{
public:
    /** Called with each VM list that was read, from the client's thread. */
    using VmListHandler = std::function<void(VmList)>;

    /** Begins to read. The references must outlive the reader. */
    PlatformReader(const Settings &settings, HttpClient &client, const Clock &clock, Metrics &metrics, Published<Catalog> &catalog,
        VmListHandler onVmList);
    /** Stops; no callback comes afterwards. */
    ~PlatformReader();

    /** Starts the reads that are due; every 20 to 100 ms. */
    void tick();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
