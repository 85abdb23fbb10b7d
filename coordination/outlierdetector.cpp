#include "coordination/outlierdetector.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

// Weight of the newest outcome in the recent share of failures: about the last ten count.
constexpr double Newest = 0.1;

struct Watched
{
    int failuresInRow = 0;
    /** Recent share of failures, 0 to 1. */
    double failing = 0;
    int ejections = 0;
    /** Ejected before this. */
    Time ejectedUntil;
    /** The ramp starts here; Time() when there is none. */
    Time returnedAt;
    /** Since when it has been free of ejection; a long good time forgives. */
    Time lastEjectionEnd;
    Time unreachableUntil;
};

} // namespace

struct OutlierDetector::Private
{
    OutlierLimits limits;
    absl::flat_hash_map<UpstreamId, Watched> watched;

    int ejectedCount(Time now) const
    {
        return static_cast<int>(
            std::count_if(watched.begin(), watched.end(), [now](const auto &entry) { return now < entry.second.ejectedUntil; }));
    }
    bool mayEjectOneMore(Time now) const
    {
        const auto most = static_cast<int>(limits.maxEjectedShare * static_cast<double>(watched.size()));
        return ejectedCount(now) < std::max(most, watched.size() > 1 ? 1 : 0);
    }
    // Ejected ones are left out: their share is old news and would make the next seem no worse than usual.
    bool isWorseThanOthers(const Watched &suspect, Time now) const
    {
        double sum = 0;
        int others = 0;
        for (const auto &[id, entry] : watched) {
            if (&entry != &suspect && now >= entry.ejectedUntil) {
                sum += entry.failing;
                ++others;
            }
        }
        return others > 0 && suspect.failing >= sum / others + limits.failureRateMargin;
    }
    Duration ejectionTime(int ejections) const
    {
        constexpr int MaxDoublings = 16;
        return std::min(Duration(limits.baseEjectionTime.milliseconds() << std::min(ejections, MaxDoublings)), limits.maxEjectionTime);
    }
    // Called before each outcome: an upstream that stayed well for as long as the longest ejection starts afresh.
    void forgive(Watched &entry, Time now) const
    {
        if (entry.ejections > 0 && now > entry.lastEjectionEnd + limits.maxEjectionTime) {
            entry.ejections = 0;
        }
    }
};

OutlierDetector::OutlierDetector(OutlierLimits limits)
    : d(std::make_unique<Private>())
{
    d->limits = limits;
}

OutlierDetector::~OutlierDetector() = default;
OutlierDetector::OutlierDetector(OutlierDetector &&) noexcept = default;
OutlierDetector &OutlierDetector::operator=(OutlierDetector &&) noexcept = default;

void OutlierDetector::setUpstreams(const std::vector<UpstreamId> &upstreams)
{
    absl::flat_hash_map<UpstreamId, Watched> kept;
    for (const UpstreamId &id : upstreams) {
        const auto at = d->watched.find(id);
        kept.emplace(id, at == d->watched.end() ? Watched {} : at->second);
    }
    d->watched = std::move(kept);
}

void OutlierDetector::remove(const UpstreamId &upstream)
{
    d->watched.erase(upstream);
}

void OutlierDetector::onUnreachable(const UpstreamId &upstream, Time now)
{
    onFailure(upstream, now);
    d->watched[upstream].unreachableUntil = now + d->limits.unreachableBackoff;
}

bool OutlierDetector::isReachable(const UpstreamId &upstream, Time now) const
{
    const auto at = d->watched.find(upstream);
    return at == d->watched.end() || now >= at->second.unreachableUntil;
}

void OutlierDetector::onSuccess(const UpstreamId &upstream, Time now)
{
    Watched &entry = d->watched[upstream];
    d->forgive(entry, now);
    entry.failuresInRow = 0;
    entry.failing -= entry.failing * Newest;
}

void OutlierDetector::onFailure(const UpstreamId &upstream, Time now)
{
    Watched &entry = d->watched[upstream];
    d->forgive(entry, now);
    ++entry.failuresInRow;
    entry.failing += (1 - entry.failing) * Newest;
    // One that just returned has no credit: a single failure of the first trial ejects it again.
    const bool isOnTrial = entry.returnedAt != Time() && now < entry.returnedAt + d->limits.slowStartTime;
    const bool isOut = entry.failuresInRow >= d->limits.failuresToEject || (isOnTrial && entry.ejections > 0);
    if (!isOut || now < entry.ejectedUntil || !d->mayEjectOneMore(now) || !d->isWorseThanOthers(entry, now)) {
        return;
    }
    entry.ejectedUntil = now + d->ejectionTime(entry.ejections);
    entry.lastEjectionEnd = entry.ejectedUntil;
    entry.returnedAt = entry.ejectedUntil;
    entry.failuresInRow = 0;
    ++entry.ejections;
}

void OutlierDetector::onRestart(const UpstreamId &upstream, Time now)
{
    Watched &entry = d->watched[upstream];
    if (now >= entry.ejectedUntil) {
        entry.returnedAt = now;
    }
}

bool OutlierDetector::isEjected(const UpstreamId &upstream, Time now) const
{
    const auto at = d->watched.find(upstream);
    return at != d->watched.end() && now < at->second.ejectedUntil;
}

double OutlierDetector::share(const UpstreamId &upstream, Time now) const
{
    const auto at = d->watched.find(upstream);
    if (at == d->watched.end() || (at->second.returnedAt == Time() && now >= at->second.ejectedUntil)) {
        return 1;
    }
    if (now < at->second.ejectedUntil) {
        return 0;
    }
    const double grown = (now - at->second.returnedAt).toSeconds() / std::max(d->limits.slowStartTime.toSeconds(), 0.001);
    return std::clamp(grown, d->limits.slowStartShare, 1.0);
}

int OutlierDetector::ejectedCount(Time now) const
{
    return d->ejectedCount(now);
}

} // namespace ApricotStep
