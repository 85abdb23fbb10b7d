#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace ApricotStep
{

// Load pattern: every node waits at the store for changes when the store, or the way to it, falls silent and later returns.
// Without further calls: a call that was begun just before the return is never answered, and its node is deaf until it gives that call up.
// All nodes lost the store in the same moment and ask again in step, so none of them can tell the others of a change.
// So a node asks again beside a call that is overdue, on another connection, and takes the first answer. A slow store is still heard, since
// earlier calls stay open. Grounds for the figures: they are shares of the time within which a change has to be in force, so that a return
// is noticed within half of it.

struct StoreCallLimits
{
    /** How long the store may hold a call until something changes. */
    Duration longPollTimeout;
    /** Beyond what the store may hold a call, before another one begins beside it. */
    Duration hedgeDelay;
    /** Between further calls. */
    Duration hedgeInterval;
    /** From one question to the next while the store answers: a change waits for so long at most. */
    Duration pollDelay;
    /** Without a sign of life for so long, the store counts as lost. */
    Duration unresponsiveAfter;
    /** After a call that failed at once; doubles up to maxRetryDelay. */
    Duration initialRetryDelay { 100 };
    Duration maxRetryDelay;

    /** For changes that have to be in force within @p bound. */
    static StoreCallLimits within(Duration bound);
};

/** What to do now. */
struct StoreCallStep
{
    /** A call has to begin; it counts as begun. */
    bool isCallDue = false;
    /** When to ask again for a step, unless something happens before. */
    Time nextAt = Time::never();
};

/** Decides when a node asks the store, and how often while it is not answered. Not thread-safe. */
class StoreCallScheduler
{
public:
    /** @p seed: nodes with different seeds do not ask in step. */
    StoreCallScheduler(StoreCallLimits limits, std::uint64_t seed);

    /** A new question, which the store may hold for @p holdTime; calls of an earlier one no longer count. */
    void ask(Duration holdTime, Time now);
    StoreCallStep step(Time now);
    /** A part of an answer came: nothing is repeated while it goes on. */
    void onProgress(Time now);
    /** A call ended without an answer to use. */
    void onFailed(Time now);
    /** The question is answered. */
    void onAnswered();
    /** No sign of life for so long that the store counts as lost, although no call has failed. */
    bool isOverdue(Time now) const;

private:
    /** @p span, longer or shorter by up to a quarter. */
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
