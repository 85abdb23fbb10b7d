#pragma once

#include "coordination/workqueue.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

// Which adapter an engine loads next.
//
// Load pattern: at two loads a second for the whole fleet, dozens of adapters wait to be loaded, some for one patient request and some
// for several urgent ones. Without this module loads go in the order of the first arrival: a question that should be answered in a
// second waits behind loads for summaries that could wait until the morning, an adapter whose load fails is asked for in a tight loop
// and takes the others' share, and each patient request spends a load of its own.
// Grounds for the figures: what waits for the same adapter counts as if it had waited longer, one load interval a request, since that
// is what serving it with the same load saves; a failed load is tried again after half a second, doubled each time and jittered over
// half of it so that engines that failed together do not come back together; after six tries (some 16 s) the adapter is taken for
// broken and what waits is told so.

namespace ApricotStep
{

struct LoadQueueLimits
{
    /** How much each further waiting request counts, as time that the first one would have waited. */
    Duration creditPerRequest { 500 };
    /** Weight of full batches against short stalls, 0 to 1: how long a load for patient work waits for more requests to share it. */
    double batchShare = 0.5;
    /** A load for patient work waits no longer once this many requests share it. */
    int targetSharers = 4;
    Duration firstBackoff { 500 };
    Duration maxBackoff { 16'000 };
    int maxTries = 6;
};

/** The adapters of one engine that requests wait for and that are not loaded. Not thread-safe. */
class LoadQueue
{
public:
    LoadQueue(LoadQueueLimits limits, std::uint64_t seed);
    ~LoadQueue();
    LoadQueue(LoadQueue &&) noexcept;
    LoadQueue &operator=(LoadQueue &&) noexcept;

    /** What waits for @p adapter now; nothing when demand.waiting is 0. */
    void update(const AdapterKey &adapter, const AdapterDemand &demand, Time now);
    void remove(const AdapterKey &adapter);
    /** Takes in adapters whose back-off or wait for sharers is over. */
    void wake(Time now);

    /** The first adapters to load, at most @p count. */
    std::vector<AdapterKey> first(int count) const;
    /** When the load that is next at @p level was first asked for; empty when none waits there. */
    std::optional<Time> headOfLine(QueueLevel level) const;
    std::optional<AdapterDemand> demand(const AdapterKey &adapter) const;
    bool isEmpty() const;

    /** A load failed. The time of the next try; empty when there have been too many: the adapter is then taken for broken. */
    std::optional<Time> onLoadFailed(const AdapterKey &adapter, Time now);
    void onLoadSucceeded(const AdapterKey &adapter);
    /** How long until @p adapter may be tried again; zero when it is not backing off. */
    Duration remainingBackoff(const AdapterKey &adapter, Time now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
