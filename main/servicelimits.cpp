#include "main/servicelimits.h"

#include "coordination/concurrencylimit.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

// A service mixes quick look-ups with slow bookings, so its latency swings far more than an engine's time to the first token.
constexpr double ServiceTolerance = 3;
constexpr int FewestCalls = 4;

struct Place
{
    ConcurrencyLimit limit;
    int inFlight = 0;
};

} // namespace

struct ServiceLimits::Private
{
    int most = 1;
    mutable absl::Mutex mutex;
    absl::flat_hash_map<UpstreamId, Place> places ABSL_GUARDED_BY(mutex);

    Place &place(const UpstreamId &upstream) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        const auto at = places.find(upstream);
        if (at != places.end()) {
            return at->second;
        }
        const ConcurrencyBounds bounds { std::min(FewestCalls, most), most, ServiceTolerance };
        return places.emplace(upstream, Place { ConcurrencyLimit(bounds) }).first->second;
    }
};

ServiceLimits::ServiceLimits(int most)
    : d(std::make_unique<Private>())
{
    d->most = most;
}

ServiceLimits::~ServiceLimits() = default;

bool ServiceLimits::tryStart(const UpstreamId &upstream)
{
    const absl::MutexLock lock(&d->mutex);
    Place &place = d->place(upstream);
    if (place.inFlight >= place.limit.limit()) {
        return false;
    }
    ++place.inFlight;
    return true;
}

void ServiceLimits::onEnd(const UpstreamId &upstream, ServiceOutcome outcome, Duration latency, Time now)
{
    const absl::MutexLock lock(&d->mutex);
    Place &place = d->place(upstream);
    if (outcome == ServiceOutcome::Answered) {
        place.limit.onSample(latency, place.inFlight, now);
    } else if (outcome == ServiceOutcome::Failed) {
        place.limit.onDropped(now);
    }
    --place.inFlight;
}

int ServiceLimits::inFlight(const UpstreamId &upstream) const
{
    const absl::MutexLock lock(&d->mutex);
    const auto at = d->places.find(upstream);
    return at == d->places.end() ? 0 : at->second.inFlight;
}

} // namespace ApricotStep
