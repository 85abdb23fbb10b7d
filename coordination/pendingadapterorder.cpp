#include "coordination/pendingadapterorder.h"

#include <algorithm>
#include <tuple>

namespace ApricotStep
{

namespace
{

// Only the most recent of the requests that wait for an adapter on one node is known to be in time; the others count as late.
double gainOf(const PendingAdapter &pending, const PendingAdapterOrderLimits &limits, Duration load, Time now)
{
    const auto waiting = static_cast<double>(std::max<std::uint32_t>(pending.waiting, 1));
    const bool isInTime = now + load <= pending.objectiveDeadline;
    return isInTime ? 1 + (waiting - 1) * limits.lateWeight : waiting * limits.lateWeight;
}

} // namespace

void sortPendingAdapters(std::vector<PendingAdapter> &pendingAdapters, const PendingAdapterOrderLimits &limits, Duration load, Time now)
{
    std::vector<std::pair<double, PendingAdapter>> weighted;
    weighted.reserve(pendingAdapters.size());
    for (PendingAdapter &pending : pendingAdapters) {
        weighted.emplace_back(gainOf(pending, limits, load, now), std::move(pending));
    }
    // Among equals the oldest comes first, so that no adapter waits behind all others indefinitely.
    std::sort(weighted.begin(), weighted.end(), [](const auto &a, const auto &b) {
        return std::tie(a.second.hasOverloadedCopies, b.first, a.second.since, a.second.adapter, a.second.software)
            < std::tie(b.second.hasOverloadedCopies, a.first, b.second.since, b.second.adapter, b.second.software);
    });
    pendingAdapters.clear();
    for (auto &[gain, pending] : weighted) {
        pendingAdapters.push_back(std::move(pending));
    }
}

} // namespace ApricotStep
