#pragma once

#include "core/clock.h"

namespace ApricotStep
{

// Bounds retries when an upstream fails or slows down and every failed request is sent again.
// Without a budget, with up to A attempts per request, failing upstreams get A times their load when they can bear it least, and stay down
// after the cause has gone. The symptom is that sent requests rise while goodput falls.
// The share bounds the load at 1 + share times the original load, whatever fails. A tenth covers the failures that restarts cause on an
// ordinary day many times over, and is too little extra load to overload an upstream. The reserve covers the burst of failures of one
// restarting upstream (about one batch). The minimum rate lets a node without traffic, which earns no retries, retry a single failure.

struct RetryBudgetLimits
{
    /** Retries that one success earns, 0 to 1. */
    double share = 0.1;
    /** Retries that can be saved up; a new budget starts with this many. */
    double reserve = 16;
    /** Retries per second earned without any success. */
    double minRetriesPerSecond = 0.5;
};

/** A token bucket that limits retries to a share of the successful requests. Not thread-safe. */
class RetryBudget
{
public:
    RetryBudget(RetryBudgetLimits limits, Time now);

    /** Applies new limits; saved retries above the new reserve are lost. */
    void setLimits(RetryBudgetLimits limits, Time now);
    /** A request succeeded. */
    void onSuccess(Time now);
    /** Takes one retry; returns false if none is available. */
    bool take(Time now);
    /** The number of retries available now. */
    double available(Time now);

private:
    void refill(Time now);

    RetryBudgetLimits m_limits;
    double m_tokens;
    Time m_refilledAt;
};

} // namespace ApricotStep
