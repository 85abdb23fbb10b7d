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

/** A request wants to run on this upstream. */
struct WorkArrived
{
    WorkItem item;
};
/**
 * The caller went away, or the request was given up on. A waiting request is forgotten; one that was dispatched may still run, so it
 * counts until its WorkFinished.
 */
struct WorkCancelled
{
    RequestId id;
};
/** A dispatched request ended, whatever its outcome. */
struct WorkFinished
{
    RequestId id;
};
/** The answer to a StartLoad. */
struct LoadFinished
{
    AdapterKey adapter;
    bool isLoaded = false;
    /** No answer came, as after a timeout: the adapter may be loaded or not. */
    bool isUnknown = false;
};
/** The answer to a StartEvict. */
struct EvictFinished
{
    AdapterKey adapter;
    bool isEvicted = false;
    /** No answer came: the adapter may be there or not. */
    bool isUnknown = false;
};
/** The upstream restarted: nothing is loaded there any more. */
struct UpstreamRestarted
{
};
/** A load that was asked for with RequestPermit may start, until it expires. */
struct PermitGranted
{
    AdapterKey adapter;
    Time expiry;
};
/** How long a load that is asked for now will wait for its permit, as the giver sees it. */
struct PermitWaitEstimated
{
    Priority urgency = Priority::Standard;
    Duration wait;
};
/** What the upstream said of itself; it lags. */
struct LoadReport
{
    /** When the upstream took it, on this node's clock, at the earliest. */
    Time takenAt;
    std::vector<AdapterKey> loaded;
    /** Adapters that some request runs or waits on there, from whichever node. */
    std::vector<AdapterKey> inUse;
    int running = 0;
    int waiting = 0;
};
/** Whether evictions are safe now, as the ownership of this upstream has it, and what must stay loaded all the same. */
struct EvictionRule
{
    bool mayEvict = true;
    std::vector<AdapterKey> inUseElsewhere;
};
/** The upstream is slow, or well again: this many requests may run there at once from now on, 1 to its batch. */
struct BatchLimited
{
    int seats = 1;
};
/** Time went by. */
struct Tick
{
};
using SchedulerEvent = std::variant<WorkArrived, WorkCancelled, WorkFinished, LoadFinished, EvictFinished, UpstreamRestarted, PermitGranted,
    PermitWaitEstimated, LoadReport, EvictionRule, BatchLimited, Tick>;

// Actions.

/** Asks for the fleet's leave to load. Answered by PermitGranted, in its own time. */
struct RequestPermit
{
    AdapterKey adapter;
    /** The most urgent class that waits for it; empty for a prefetch. */
    std::optional<Priority> urgency;
    /** Requests that wait for it now. */
    int waiting = 0;
    /** How long the first of them has waited. */
    Duration waited;
};
/** A permit, or the wish for one, ends. */
struct ReleasePermit
{
    /** As in the RequestPermit. */
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
/** The request did not run and will not. */
struct Refuse
{
    RequestId id;
    ErrorKind kind = ErrorKind::Overloaded;
    /** When the caller should come back; zero means no advice. */
    Duration retryAfter;
};
using SchedulerAction = std::variant<RequestPermit, ReleasePermit, StartLoad, StartEvict, Dispatch, Refuse>;

struct SchedulerLimits
{
    /** Adapters that fit at once. */
    int slots = 8;
    /** Requests that run at once. */
    int batch = 16;
    /** Expected time of one load. */
    Duration loadTime { 250 };
    /** Whether a load needs a permit of the fleet (RequestPermit) before StartLoad. */
    bool needsPermits = false;
    /** Loads in flight at once on this engine when no permits are needed. */
    int parallelLoads = 2;
    /** Weight of short stalls against full batches; the two count as their shares of the sum. */
    int stallWeight = 50;
    int batchWeight = 50;
    /** Part of the batch that only urgent requests take, 0 to 90. */
    int urgentSeatsPercent = 12;
    /** Part of the slots that loads for other than urgent work leave unpinned, 0 to 90. */
    int urgentSlotsPercent = 25;
    /** Seed of the jitter of back-off. */
    std::uint64_t seed = 1;
};

// Composed of residency.h (which adapters are held), loadorder.h (which is loaded next) and workqueue.h (who leaves next).
// Grounds for the figures here: of a batch of 16, two seats kept for urgent requests let a question start at once while patient work
// fills the rest; patient work that is held for a fuller batch waits a tenth of its allowance at most.

/**
 * Decides for one engine who waits, who runs and which adapters are loaded.
 *
 * A state machine without I/O: give it what happened and the time, carry out the actions that it returns in their order. It is not
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
