#pragma once

#include "coordination/workitem.h"
#include "core/errors.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace ApricotStep
{

// Events.

/** A request arrived for this upstream. */
struct WorkArrived
{
    WorkItem item;
};
/**
 * The caller is gone or the request was abandoned. A waiting request is removed; a dispatched one may still be running, so it counts until
 * its WorkFinished.
 */
struct WorkCancelled
{
    RequestId id;
};
/** A dispatched request ended, with any outcome. */
struct WorkFinished
{
    RequestId id;
};
/** The answer to a StartLoad. */
struct LoadFinished
{
    AdapterKey adapter;
    bool isLoaded = false;
    /** There was no answer, as after a timeout: the adapter may or may not be loaded. */
    bool isUnknown = false;
};
/** The answer to a StartEvict. */
struct EvictFinished
{
    AdapterKey adapter;
    bool isEvicted = false;
    /** There was no answer: the adapter may or may not be loaded. */
    bool isUnknown = false;
};
/** The upstream restarted and holds no adapters. */
struct UpstreamRestarted
{
};
/** A load requested with RequestPermit may start before @p expiry. */
struct PermitGranted
{
    AdapterKey adapter;
    Time expiry;
};
/** How long a load requested now will wait for its permit, as estimated by the permit issuer. */
struct PermitWaitEstimated
{
    Priority urgency = Priority::Standard;
    Duration wait;
};
/** The state that the upstream reported; it may be out of date. */
struct LoadReport
{
    /** The earliest time that the report may describe, on this node's clock. */
    Time takenAt;
    std::vector<AdapterKey> loaded;
    /** Adapters that requests of any node run on or wait for there. */
    std::vector<AdapterKey> inUse;
    int running = 0;
    int waiting = 0;
};
/** Whether UpstreamOwnership allows evictions now, and which adapters must stay loaded even then. */
struct EvictionRule
{
    bool mayEvict = true;
    std::vector<AdapterKey> inUseElsewhere;
};
/** The concurrency limit changed: this many requests may run on the upstream at once from now on, 1 to its batch. */
struct BatchLimited
{
    int seats = 1;
};
/** Time has passed. */
struct Tick
{
};
using SchedulerEvent = std::variant<WorkArrived, WorkCancelled, WorkFinished, LoadFinished, EvictFinished, UpstreamRestarted, PermitGranted,
    PermitWaitEstimated, LoadReport, EvictionRule, BatchLimited, Tick>;

// Actions.

/** Request a permit of the fleet to load the adapter. Answered by PermitGranted at any later time. */
struct RequestPermit
{
    AdapterKey adapter;
    /** The most urgent class of the requests that wait for the adapter; empty for a prefetch. */
    std::optional<Priority> urgency;
    /** Requests that wait for the adapter now. */
    int waiting = 0;
    /** How long the first of these requests has waited. */
    Duration waited;
};
/** Release a permit or withdraw the request for one. */
struct ReleasePermit
{
    /** The adapter of the RequestPermit. */
    AdapterKey adapter;
    PermitEnd end = PermitEnd::Used;
};
struct StartLoad
{
    AdapterKey adapter;
};
struct StartEvict
{
    AdapterKey adapter;
};
struct Dispatch
{
    RequestId id;
};
/** Refuse a request that has not run and will not run. */
struct Refuse
{
    RequestId id;
    ErrorKind kind = ErrorKind::Overloaded;
    /** When the caller should retry; zero means no advice. */
    Duration retryAfter;
};
using SchedulerAction = std::variant<RequestPermit, ReleasePermit, StartLoad, StartEvict, Dispatch, Refuse>;

struct SchedulerLimits
{
    /** Adapters that can be loaded at once. */
    int slots = 8;
    /** Requests that can run at once. */
    int batch = 16;
    /** Expected duration of one load. */
    Duration loadTime { 250 };
    /** Whether a load needs a permit of the fleet (RequestPermit) before StartLoad. */
    bool needsPermits = false;
    /** Loads in flight at once on this engine if no permits are needed. */
    int parallelLoads = 2;
    /** Weights of short stalls and of full batches; only their ratio matters. */
    int stallWeight = 50;
    int batchWeight = 50;
    /** Part of the batch reserved for urgent requests, 0 to 90. */
    int urgentSeatsPercent = 12;
    /** Part of the slots that loads for non-urgent requests leave unpinned, 0 to 90. */
    int urgentSlotsPercent = 25;
    /** Seed of the backoff jitter. */
    std::uint64_t seed = 1;
};

// Composed of engineslots.h (which adapters are loaded), loadqueue.h (which adapter is loaded next) and workqueue.h (which request is
// dispatched next). A seat is a place in the engine's batch. With two of 16 seats reserved for urgent requests, a short urgent request
// starts at once while patient requests fill the rest. Patient requests that are held for a fuller batch wait at most a tenth of their
// allowance.

/**
 * Decides for one engine which requests wait, which run and which adapters are loaded.
 *
 * A state machine without I/O: handle() takes an event and the time and returns actions, which must be executed in order. It is not
 * thread-safe; the caller holds the shard's lock.
 */
class UpstreamScheduler
{
public:
    explicit UpstreamScheduler(SchedulerLimits limits);
    ~UpstreamScheduler();
    UpstreamScheduler(UpstreamScheduler &&) noexcept;
    UpstreamScheduler &operator=(UpstreamScheduler &&) noexcept;

    std::vector<SchedulerAction> handle(const SchedulerEvent &event, Time now);

    int queuedCount() const;
    int runningCount() const;
    /** Adapters loaded or being loaded, sorted. */
    std::vector<AdapterKey> residentAdapters() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
