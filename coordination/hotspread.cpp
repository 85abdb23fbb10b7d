#include "coordination/hotspread.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>

namespace ApricotStep
{

namespace
{

constexpr double ColdDemand = 0.05;
// Long gaps are stepped through, so that a spread never moves faster after a quiet time than the damping allows.
constexpr double LongestGapSeconds = 60;

struct Heat
{
    int inProgress = 0;
    double demand = 0;
    double width = 1;
    Time at;
};

} // namespace

struct HotSpread::Private
{
    SpreadLimits limits;
    absl::flat_hash_map<AdapterKey, Heat> heats;

    void advance(Heat &heat, Time now) const
    {
        const double seconds = std::clamp((now - heat.at).toSeconds(), 0.0, LongestGapSeconds);
        heat.at = std::max(heat.at, now);
        const double kept = std::exp(-seconds / limits.averagedOver.toSeconds());
        heat.demand = heat.inProgress + (heat.demand - heat.inProgress) * kept;
        const double needed = heat.demand / limits.replicaDemand;
        const double step = heat.width * limits.movePerSecond * seconds;
        if (needed > heat.width) {
            heat.width = std::min({ heat.width + step, needed, limits.widest });
        } else if (needed < heat.width * limits.narrowBelow) {
            heat.width = std::max({ heat.width - step, needed / limits.narrowBelow, 1.0 });
        }
    }
    static bool isCold(const Heat &heat)
    {
        return heat.inProgress == 0 && heat.demand < ColdDemand && heat.width <= 1;
    }
    void forgetCold(Time now)
    {
        absl::erase_if(heats, [&](auto &entry) {
            advance(entry.second, now);
            return isCold(entry.second);
        });
    }
};

HotSpread::HotSpread(SpreadLimits limits)
    : d(std::make_unique<Private>())
{
    d->limits = limits;
}

HotSpread::~HotSpread() = default;
HotSpread::HotSpread(HotSpread &&) noexcept = default;
HotSpread &HotSpread::operator=(HotSpread &&) noexcept = default;

void HotSpread::onArrival(const AdapterKey &adapter, Time now)
{
    auto at = d->heats.find(adapter);
    if (at == d->heats.end()) {
        if (d->heats.size() >= d->limits.capacity) {
            d->forgetCold(now);
        }
        if (d->heats.size() >= d->limits.capacity) {
            return;
        }
        at = d->heats.emplace(adapter, Heat { 0, 0, 1, now }).first;
    }
    d->advance(at->second, now);
    ++at->second.inProgress;
}

void HotSpread::onEnd(const AdapterKey &adapter, Time now)
{
    const auto at = d->heats.find(adapter);
    if (at == d->heats.end() || at->second.inProgress == 0) {
        return;
    }
    d->advance(at->second, now);
    --at->second.inProgress;
}

double HotSpread::width(const AdapterKey &adapter, Time now)
{
    const auto at = d->heats.find(adapter);
    if (at == d->heats.end()) {
        return 1;
    }
    d->advance(at->second, now);
    return at->second.width;
}

std::size_t HotSpread::watchedCount() const
{
    return d->heats.size();
}

} // namespace ApricotStep
