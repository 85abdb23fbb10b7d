#include "coordination/pendingadapterorder.h"

#include <algorithm>
#include <tuple>

namespace ApricotStep
{

namespace
{

// Of the requests that wait for one adapter at one node only the freshest is known to be in time; the others count as late.
double gainOf(const AdapterWant &want, const WantOrderLimits &limits, Duration load, Time now)
{
    const auto waiting = static_cast<double>(std::max<std::uint32_t>(want.waiting, 1));
    const bool isInTime = now + load <= want.inTimeUntil;
    return isInTime ? 1 + (waiting - 1) * limits.lateShare : waiting * limits.lateShare;
}

} // namespace

void orderWants(std::vector<AdapterWant> &pendingAdapters, const WantOrderLimits &limits, Duration load, Time now)
{
    std::vector<std::pair<double, AdapterWant>> weighed;
    weighed.reserve(pendingAdapters.size());
    for (AdapterWant &want : pendingAdapters) {
        weighed.emplace_back(gainOf(want, limits, load, now), std::move(want));
    }
    // Among equals the older want: none waits for all others for good.
    std::sort(weighed.begin(), weighed.end(), [](const auto &a, const auto &b) {
        return std::tie(a.second.hasOverloadedCopies, b.first, a.second.since, a.second.adapter)
            < std::tie(b.second.hasOverloadedCopies, a.first, b.second.since, b.second.adapter);
    });
    pendingAdapters.clear();
    for (auto &[gain, want] : weighed) {
        pendingAdapters.push_back(std::move(want));
    }
}

} // namespace ApricotStep
