#pragma once

#include "coordination/workqueue.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

// Decides which adapter an engine loads next.
//
// At two loads a second for all nodes together, dozens of adapters wait to be loaded, some for one patient request and some for several
// urgent ones. In order of the first arrival, a request that should be answered in a second would wait behind loads for summaries that are
// due the next morning, an adapter whose load fails would be requested in a tight loop at the expense of the others, and each patient
// request would take a load of its own.
//
// Each request that waits for the same adapter adds one load interval to the adapter's waiting time, since serving it with the same load
// saves that much. A failed load is retried after half a second, doubled each time and jittered over half of the delay, so that engines
// that failed together do not retry together. After six attempts (some 16 s) the adapter counts as broken and its waiting requests get an
// error.

namespace ApricotStep
{

struct LoadQueueLimits
{
    /** How much each further waiting request adds to the waiting time of the first one. */
    Duration creditPerRequest { 500 };
    /** Weight of full batches against short stalls, 0 to 1: how long a load for patient work waits for more requests to share it. */
    double batchShare = 0.5;
    /** A load for patient work stops waiting once this many requests share it. */
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

    /** Sets the requests that wait for @p adapter; none if demand.waiting is 0. */
    void update(const AdapterKey &adapter, const AdapterDemand &demand, Time now);
    void remove(const AdapterKey &adapter);
    /** Adds the adapters whose backoff or wait for sharers is over to the queue. */
    void wake(Time now);

    /** The first adapters to load, at most @p count. */
    std::vector<AdapterKey> first(int count) const;
    /** Arrival of the oldest request for the load that is next at @p level; empty when none waits there. */
    std::optional<Time> headOfLine(QueueLevel level) const;
    std::optional<AdapterDemand> demand(const AdapterKey &adapter) const;
    bool isEmpty() const;

    /** Records a failed load. Returns the time of the next attempt; empty after too many attempts, when the adapter counts as broken. */
    std::optional<Time> onLoadFailed(const AdapterKey &adapter, Time now);
    void onLoadSucceeded(const AdapterKey &adapter);
    /** How long until @p adapter may be loaded again; zero when it is not backing off. */
    Duration remainingBackoff(const AdapterKey &adapter, Time now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
