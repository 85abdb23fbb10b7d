#include "coordination/hotspread.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>

namespace ApricotStep
{

namespace
{

constexpr double ColdDemand = 0.05;
// Longer gaps are cut to this, so that a spread does not move faster than the damping allows after an idle time.
constexpr double MaxGapSeconds = 60;

struct AdapterSpread
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
    absl::flat_hash_map<AdapterKey, AdapterSpread> spreads;

    void advance(AdapterSpread &spread, Time now) const
    {
        const double seconds = std::clamp((now - spread.at).toSeconds(), 0.0, MaxGapSeconds);
        spread.at = std::max(spread.at, now);
        const double kept = std::exp(-seconds / limits.averagingWindow.toSeconds());
        spread.demand = spread.inProgress + (spread.demand - spread.inProgress) * kept;
        const double needed = spread.demand / limits.demandPerReplica;
        const double step = spread.width * limits.maxMovePerSecond * seconds;
        if (needed > spread.width) {
            spread.width = std::min({ spread.width + step, needed, limits.maxWidth });
        } else if (needed < spread.width * limits.narrowBelow) {
            spread.width = std::max({ spread.width - step, needed / limits.narrowBelow, 1.0 });
        }
    }
    static bool isCold(const AdapterSpread &spread)
    {
        return spread.inProgress == 0 && spread.demand < ColdDemand && spread.width <= 1;
    }
    void removeCold(Time now)
    {
        absl::erase_if(spreads, [&](auto &entry) {
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
    auto at = d->spreads.find(adapter);
    if (at == d->spreads.end()) {
        if (d->spreads.size() >= d->limits.capacity) {
            d->removeCold(now);
        }
        if (d->spreads.size() >= d->limits.capacity) {
            return;
        }
        at = d->spreads.emplace(adapter, AdapterSpread { 0, 0, 1, now }).first;
    }
    d->advance(at->second, now);
    ++at->second.inProgress;
}

void HotSpread::onEnd(const AdapterKey &adapter, Time now)
{
    const auto at = d->spreads.find(adapter);
    if (at == d->spreads.end() || at->second.inProgress == 0) {
        return;
    }
    d->advance(at->second, now);
    --at->second.inProgress;
}

double HotSpread::width(const AdapterKey &adapter, Time now)
{
    const auto at = d->spreads.find(adapter);
    if (at == d->spreads.end()) {
        return 1;
    }
    d->advance(at->second, now);
    return at->second.width;
}

std::size_t HotSpread::trackedCount() const
{
    return d->spreads.size();
}

} // namespace ApricotStep
