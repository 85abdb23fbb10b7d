#include "coordination/outliers.h"

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

struct Outliers::Private
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
        return others > 0 && suspect.failing >= sum / others + limits.worseBy;
    }
    Duration ejectionTime(int ejections) const
    {
        constexpr int MaxDoublings = 16;
        return std::min(Duration(limits.firstEjection.milliseconds() << std::min(ejections, MaxDoublings)), limits.longestEjection);
    }
    // Called before each outcome: an upstream that stayed well for as long as the longest ejection starts afresh.
    void forgive(Watched &entry, Time now) const
    {
        if (entry.ejections > 0 && now > entry.lastEjectionEnd + limits.longestEjection) {
            entry.ejections = 0;
        }
    }
};

Outliers::Outliers(OutlierLimits limits)
    : d(std::make_unique<Private>())
{
    d->limits = limits;
}

Outliers::~Outliers() = default;
Outliers::Outliers(Outliers &&) noexcept = default;
Outliers &Outliers::operator=(Outliers &&) noexcept = default;

void Outliers::setUpstreams(const std::vector<UpstreamId> &upstreams)
{
    absl::flat_hash_map<UpstreamId, Watched> kept;
    for (const UpstreamId &id : upstreams) {
        const auto at = d->watched.find(id);
        kept.emplace(id, at == d->watched.end() ? Watched {} : at->second);
    }
    d->watched = std::move(kept);
}

void Outliers::forget(const UpstreamId &upstream)
{
    d->watched.erase(upstream);
}

void Outliers::onUnreachable(const UpstreamId &upstream, Time now)
{
    onFailure(upstream, now);
    d->watched[upstream].unreachableUntil = now + d->limits.unreachableTime;
}

bool Outliers::isReachable(const UpstreamId &upstream, Time now) const
{
    const auto at = d->watched.find(upstream);
    return at == d->watched.end() || now >= at->second.unreachableUntil;
}

void Outliers::onSuccess(const UpstreamId &upstream, Time now)
{
    Watched &entry = d->watched[upstream];
    d->forgive(entry, now);
    entry.failuresInRow = 0;
    entry.failing -= entry.failing * Newest;
}

void Outliers::onFailure(const UpstreamId &upstream, Time now)
{
    Watched &entry = d->watched[upstream];
    d->forgive(entry, now);
    ++entry.failuresInRow;
    entry.failing += (1 - entry.failing) * Newest;
    // One that just returned has no credit: a single failure of the first trial ejects it again.
    const bool isOnTrial = entry.returnedAt != Time() && now < entry.returnedAt + d->limits.rampTime;
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

void Outliers::onRestart(const UpstreamId &upstream, Time now)
{
    Watched &entry = d->watched[upstream];
    if (now >= entry.ejectedUntil) {
        entry.returnedAt = now;
    }
}

bool Outliers::isEjected(const UpstreamId &upstream, Time now) const
{
    const auto at = d->watched.find(upstream);
    return at != d->watched.end() && now < at->second.ejectedUntil;
}

double Outliers::share(const UpstreamId &upstream, Time now) const
{
    const auto at = d->watched.find(upstream);
    if (at == d->watched.end() || (at->second.returnedAt == Time() && now >= at->second.ejectedUntil)) {
        return 1;
    }
    if (now < at->second.ejectedUntil) {
        return 0;
    }
    const double grown = (now - at->second.returnedAt).toSeconds() / std::max(d->limits.rampTime.toSeconds(), 0.001);
    return std::clamp(grown, d->limits.startShare, 1.0);
}

int Outliers::ejectedCount(Time now) const
{
    return d->ejectedCount(now);
}

} // namespace ApricotStep
