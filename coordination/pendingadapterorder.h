#pragma once

#include "coordination/fleetdemand.h"
#include "core/clock.h"

#include <vector>

namespace ApricotStep
{

// Decides which pending adapter is loaded first.
//
// When a deployment starts with no adapter loaded, or when demand shifts, more adapters are requested for some seconds than the weight
// store can fetch. With the oldest pending adapter first, each adapter arrives when its requests have just missed their latency objective:
// every caller is late, and the last ones give up. The symptom would be waits that all lie between the objective and the callers' own
// timeout.
//
// An adapter that can still serve requests in time is therefore loaded first, and among those the one that more requests wait for; late
// requests get the remaining capacity of the store. A late request counts as a fraction of one that can be in time, so an adapter that many
// late requests wait for comes before one with a single request that can be in time.

struct PendingAdapterOrderLimits
{
    /** Value of a late answer to its caller, relative to one in time. */
    double lateWeight = 0.3;
};

/** Sorts @p pendingAdapters, the one to be loaded first to the front. @p load: the expected time of a load. */
void sortPendingAdapters(std::vector<PendingAdapter> &pendingAdapters, const PendingAdapterOrderLimits &limits, Duration load, Time now);

} // namespace ApricotStep
