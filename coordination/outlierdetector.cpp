#include "coordination/outlierdetector.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

// Weight of the newest outcome in the recent failure rate; about the last ten outcomes count.
constexpr double NewestWeight = 0.1;

struct UpstreamState
{
    int consecutiveFailures = 0;
    /** Moving average of failures, 0 to 1. */
    double failureRate = 0;
    int ejections = 0;
    /** The end of the current or last ejection. */
    Time ejectedUntil;
    /** The beginning of the slow start; Time() if there was none. */
    Time slowStartAt;
    /** The end of the last ejection, from which the time without ejection is counted. */
    Time lastEjectionEnd;
    Time unreachableUntil;
    Time endedUntil;
};

} // namespace

struct OutlierDetector::Private
{
    OutlierLimits limits;
    absl::flat_hash_map<UpstreamId, UpstreamState> states;

    int ejectedCount(Time now) const
    {
        return static_cast<int>(
            std::count_if(states.begin(), states.end(), [now](const auto &entry) { return now < entry.second.ejectedUntil; }));
    }
    bool mayEjectOneMore(Time now) const
    {
        const auto maxEjected = static_cast<int>(limits.maxEjectedShare * static_cast<double>(states.size()));
        return ejectedCount(now) < std::max(maxEjected, states.size() > 1 ? 1 : 0);
    }
    // Leaves out ejected upstreams: their failure rate is stale and would hide that another upstream is worse than the others.
    bool isWorseThanOthers(const UpstreamState &candidate, Time now) const
    {
        double sum = 0;
        int others = 0;
        for (const auto &[id, entry] : states) {
            if (&entry != &candidate && now >= entry.ejectedUntil) {
                sum += entry.failureRate;
                ++others;
            }
        }
        return others > 0 && candidate.failureRate >= sum / others + limits.failureRateMargin;
    }
    Duration ejectionTime(int ejections) const
    {
        constexpr int MaxDoublings = 16;
        return std::min(Duration(limits.baseEjectionTime.milliseconds() << std::min(ejections, MaxDoublings)), limits.maxEjectionTime);
    }
    // Called before each outcome: resets the ejection count of an upstream that was not ejected for the maximum ejection time.
    void resetOldEjections(UpstreamState &entry, Time now) const
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
    absl::flat_hash_map<UpstreamId, UpstreamState> kept;
    for (const UpstreamId &id : upstreams) {
        const auto at = d->states.find(id);
        kept.emplace(id, at == d->states.end() ? UpstreamState {} : at->second);
    }
    d->states = std::move(kept);
}

void OutlierDetector::remove(const UpstreamId &upstream)
{
    d->states.erase(upstream);
}

void OutlierDetector::onUnreachable(const UpstreamId &upstream, Time now)
{
    onFailure(upstream, now);
    d->states[upstream].unreachableUntil = now + d->limits.unreachableBackoff;
}

void OutlierDetector::onEnded(const UpstreamId &upstream, Time now)
{
    d->states[upstream].endedUntil = now + d->limits.endedBackoff;
}

void OutlierDetector::onStarted(const UpstreamId &upstream)
{
    const auto at = d->states.find(upstream);
    if (at != d->states.end()) {
        at->second.endedUntil = Time();
    }
}

bool OutlierDetector::isReachable(const UpstreamId &upstream, Time now) const
{
    const auto at = d->states.find(upstream);
    return at == d->states.end() || now >= std::max(at->second.unreachableUntil, at->second.endedUntil);
}

void OutlierDetector::onSuccess(const UpstreamId &upstream, Time now)
{
    UpstreamState &entry = d->states[upstream];
    d->resetOldEjections(entry, now);
    entry.consecutiveFailures = 0;
    entry.endedUntil = Time();
    entry.failureRate -= entry.failureRate * NewestWeight;
}

void OutlierDetector::onFailure(const UpstreamId &upstream, Time now)
{
    UpstreamState &entry = d->states[upstream];
    d->resetOldEjections(entry, now);
    ++entry.consecutiveFailures;
    entry.failureRate += (1 - entry.failureRate) * NewestWeight;
    // During the slow start after an ejection a single failure ejects the upstream again.
    const bool isInSlowStart = entry.slowStartAt != Time() && now < entry.slowStartAt + d->limits.slowStartTime;
    const bool isOutlier = entry.consecutiveFailures >= d->limits.failuresToEject || (isInSlowStart && entry.ejections > 0);
    if (!isOutlier || now < entry.ejectedUntil || !d->mayEjectOneMore(now) || !d->isWorseThanOthers(entry, now)) {
        return;
    }
    entry.ejectedUntil = now + d->ejectionTime(entry.ejections);
    entry.lastEjectionEnd = entry.ejectedUntil;
    entry.slowStartAt = entry.ejectedUntil;
    entry.consecutiveFailures = 0;
    ++entry.ejections;
}

void OutlierDetector::onRestart(const UpstreamId &upstream, Time now)
{
    UpstreamState &entry = d->states[upstream];
    if (now >= entry.ejectedUntil) {
        entry.slowStartAt = now;
    }
}

bool OutlierDetector::isEjected(const UpstreamId &upstream, Time now) const
{
    const auto at = d->states.find(upstream);
    return at != d->states.end() && now < at->second.ejectedUntil;
}

double OutlierDetector::share(const UpstreamId &upstream, Time now) const
{
    const auto at = d->states.find(upstream);
    if (at == d->states.end() || (at->second.slowStartAt == Time() && now >= at->second.ejectedUntil)) {
        return 1;
    }
    if (now < at->second.ejectedUntil) {
        return 0;
    }
    const double progress = (now - at->second.slowStartAt).toSeconds() / std::max(d->limits.slowStartTime.toSeconds(), 0.001);
    return std::clamp(progress, d->limits.slowStartShare, 1.0);
}

int OutlierDetector::ejectedCount(Time now) const
{
    return d->ejectedCount(now);
}

} // namespace ApricotStep
