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

// A service mixes fast reads and slow writes, so its latency varies far more than an engine's time to first token.
constexpr double ServiceLatencyTolerance = 3;
constexpr int MinConcurrentCalls = 4;

struct UpstreamLimit
{
    ConcurrencyLimit limit;
    int inFlight = 0;
};

} // namespace

struct ServiceLimits::Private
{
    int maxConcurrentCalls = 1;
    mutable absl::Mutex mutex;
    absl::flat_hash_map<UpstreamId, UpstreamLimit> upstreamLimits ABSL_GUARDED_BY(mutex);

    UpstreamLimit &upstreamLimit(const UpstreamId &upstream) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        const auto at = upstreamLimits.find(upstream);
        if (at != upstreamLimits.end()) {
            return at->second;
        }
        const ConcurrencyBounds bounds { std::min(MinConcurrentCalls, maxConcurrentCalls), maxConcurrentCalls, ServiceLatencyTolerance };
        return upstreamLimits.emplace(upstream, UpstreamLimit { ConcurrencyLimit(bounds) }).first->second;
    }
};

ServiceLimits::ServiceLimits(int maxConcurrentCalls)
    : d(std::make_unique<Private>())
{
    d->maxConcurrentCalls = maxConcurrentCalls;
}

ServiceLimits::~ServiceLimits() = default;

bool ServiceLimits::tryStart(const UpstreamId &upstream)
{
    const absl::MutexLock lock(&d->mutex);
    UpstreamLimit &upstreamLimit = d->upstreamLimit(upstream);
    if (upstreamLimit.inFlight >= upstreamLimit.limit.limit()) {
        return false;
    }
    ++upstreamLimit.inFlight;
    return true;
}

void ServiceLimits::onEnd(const UpstreamId &upstream, ServiceOutcome outcome, Duration latency, Time now)
{
    const absl::MutexLock lock(&d->mutex);
    UpstreamLimit &upstreamLimit = d->upstreamLimit(upstream);
    if (outcome == ServiceOutcome::Answered) {
        upstreamLimit.limit.onSample(latency, upstreamLimit.inFlight, now);
    } else if (outcome == ServiceOutcome::Failed) {
        upstreamLimit.limit.onDropped(now);
    }
    --upstreamLimit.inFlight;
}

int ServiceLimits::inFlight(const UpstreamId &upstream) const
{
    const absl::MutexLock lock(&d->mutex);
    const auto at = d->upstreamLimits.find(upstream);
    return at == d->upstreamLimits.end() ? 0 : at->second.inFlight;
}

} // namespace ApricotStep
