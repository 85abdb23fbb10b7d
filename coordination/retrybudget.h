#pragma once

#include "core/clock.h"

namespace ApricotStep
{

// Load pattern: an upstream fails or slows down, and every request that it fails is sent again.
// Without a budget: with up to A attempts a request, a failing fleet gets A times its load at the moment when it can bear least, and stays
// down after the cause has gone. One would notice that sent requests rise while goodput falls.
// Grounds for the figures: the share bounds the multiplication of load at 1 + share whatever fails. A tenth covers what restarts cause on
// an ordinary day many times over and still is no load that tips an upstream over. The reserve lets a burst of failures by one restarting
// upstream (about one batch) through; the trickle lets a quiet node, which earns nothing, repeat a lone failure.

struct RetryBudgetLimits
{
    /** Retries that one success earns, 0 to 1. */
    double share = 0.1;
    /** Retries that can be saved up; also what a fresh budget holds. */
    double reserve = 16;
    /** Retries a second earned without any success. */
    double minRetriesPerSecond = 0.5;
};

/** Lets retries be at most a share of the successful traffic. A token bucket; not thread-safe. */
class RetryBudget
{
public:
    RetryBudget(RetryBudgetLimits limits, Time now);

    /** From now on; what was saved up beyond the new reserve is gone. */
    void setLimits(RetryBudgetLimits limits, Time now);
    /** A request ended well. */
    void onSuccess(Time now);
    /** Takes one retry out; false when there is none to take. */
    bool take(Time now);
    /** Retries that could be taken now. */
    double available(Time now);

private:
    void refill(Time now);

    RetryBudgetLimits m_limits;
    double m_tokens;
    Time m_refilledAt;
};

} // namespace ApricotStep
