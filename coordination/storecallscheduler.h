#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace ApricotStep
{

// Every node waits at the store for changes, and the store or the path to it may stop responding and recover later. A call that was started
// just before the recovery is never answered, and its node misses changes until it gives that call up. Since all nodes lost the store at
// the same moment and retry in step, none of them could pass on a change. Therefore a node starts another call on a second connection while
// a call is overdue, and takes the first response. Earlier calls stay open, so that the response of a slow store is still received. The
// times are fractions of the bound within which a change must be active, so that a recovery is noticed within half of it.

struct StoreCallLimits
{
    /** How long the store may hold a call until something changes (long poll). */
    Duration longPollTimeout;
    /** Time beyond the hold time before another call is started in parallel. */
    Duration hedgeDelay;
    /** Between further parallel calls. */
    Duration hedgeInterval;
    /** Between two polls while the store responds; a change waits for at most this long. */
    Duration pollDelay;
    /** The store counts as lost after this time without progress, in addition to the hold time. */
    Duration unresponsiveAfter;
    /** Delay after a call that failed at once; doubles up to maxRetryDelay. */
    Duration initialRetryDelay { 100 };
    Duration maxRetryDelay;

    /** Longest time from the beginning of an outage until the store counts as lost. */
    Duration maxLossDetectionTime() const
    {
        return pollDelay + longPollTimeout + unresponsiveAfter;
    }
    /** Limits for changes that must be active within @p bound. */
    static StoreCallLimits within(Duration bound);
};

/** What to do next. */
struct StoreCallStep
{
    /** A call must be started; it already counts as open. */
    bool isCallDue = false;
    /** When to call step() again, unless an event comes first. */
    Time nextAt = Time::never();
};

/** Schedules a node's calls to the store, and parallel ones while it does not respond. Not thread-safe. */
class StoreCallScheduler
{
public:
    /** @p seed: nodes with different seeds do not retry in step. */
    StoreCallScheduler(StoreCallLimits limits, std::uint64_t seed);

    /** Starts a new query, which the store may hold for @p holdTime. Calls of an earlier query no longer count. */
    void ask(Duration holdTime, Time now);
    StoreCallStep step(Time now);
    /** A part of a response arrived. No parallel call is started while more arrives. */
    void onProgress(Time now);
    /** A call ended without a usable response. */
    void onFailed(Time now);
    /** The query was answered. */
    void onAnswered();
    /** Whether the store counts as lost because of the time without progress, although no call has failed. */
    bool isOverdue(Time now) const;

private:
    /** Returns @p span with a jitter of up to a quarter. */
    Duration jittered(Duration span);

    StoreCallLimits m_limits;
    std::mt19937_64 m_random;
    bool m_isQuerying = false;
    std::size_t m_openCalls = 0;
    bool m_isFirstCall = true;
    Duration m_holdTime;
    Time m_nextCallAt;
    Time m_lastProgressAt;
    Duration m_retryDelay;
};

} // namespace ApricotStep
