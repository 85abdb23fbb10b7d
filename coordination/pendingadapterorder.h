#pragma once

#include "coordination/fleetdemand.h"
#include "core/clock.h"

#include <vector>

namespace ApricotStep
{

// Load pattern: a fleet starts with nothing loaded, or demand moves, and for some seconds more adapters are asked for than the weight store
// can fetch.
// With the oldest want first, each adapter arrives when its requests have just missed their objective: every caller is late, and those
// who come last leave. One would notice waits that all lie between the objective and the callers' patience. So an adapter goes first that
// still brings requests in time, and among those the one that more wait for; who is late already waits for what the store has left. Late
// requests are not forgotten: they count too, each for a part of one that can be in time, so an adapter that many late ones wait for comes
// before a single one that can be in time.

struct PendingAdapterOrderLimits
{
    /** What a late answer is worth to its caller, against one in time. */
    double lateWeight = 0.3;
};

/** Sorts @p pendingAdapters, the one to be loaded first to the front. @p load: what a load is expected to take. */
void sortPendingAdapters(std::vector<PendingAdapter> &pendingAdapters, const PendingAdapterOrderLimits &limits, Duration load, Time now);

} // namespace ApricotStep
