#include "main/upstreamhealth.h"

#include "main/log.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

namespace ApricotStep
{

struct UpstreamHealth::Private
{
    Private(const Clock &aClock, Metrics &allMetrics, std::uint64_t seed)
        : clock(aClock)
        , metrics(allMetrics)
        , log(componentLogger("health"))
        , random(seed)
    {
    }

    const Clock &clock;
    Metrics &metrics;
    Logger log;
    mutable absl::Mutex mutex;
    ConfigVersion version ABSL_GUARDED_BY(mutex);
    OutlierDetector outliers ABSL_GUARDED_BY(mutex) { OutlierLimits {} };
    absl::flat_hash_map<std::string, RetryBudget> budgets ABSL_GUARDED_BY(mutex);
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);

    RetryBudget &budget(const std::string &pool, Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        return budgets.try_emplace(pool, RetryBudgetLimits {}, now).first->second;
    }
};

UpstreamHealth::UpstreamHealth(const Clock &clock, Metrics &metrics, std::uint64_t seed)
    : d(std::make_unique<Private>(clock, metrics, seed))
{
}

UpstreamHealth::~UpstreamHealth() = default;

void UpstreamHealth::setUpstreams(ConfigVersion version, const std::vector<UpstreamId> &upstreams)
{
    const absl::MutexLock lock(&d->mutex);
    if (version != d->version) {
        d->version = version;
        d->outliers.setUpstreams(upstreams);
    }
}

void UpstreamHealth::onSuccess(const UpstreamId &upstream, const std::string &pool)
{
    const Time now = d->clock.now();
    const absl::MutexLock lock(&d->mutex);
    d->outliers.onSuccess(upstream, now);
    d->budget(pool, now).onSuccess(now);
}

void UpstreamHealth::onFailure(const UpstreamId &upstream)
{
    const Time now = d->clock.now();
    bool isNewlyEjected = false;
    {
        const absl::MutexLock lock(&d->mutex);
        const bool wasEjected = d->outliers.isEjected(upstream, now);
        d->outliers.onFailure(upstream, now);
        isNewlyEjected = !wasEjected && d->outliers.isEjected(upstream, now);
    }
    if (isNewlyEjected) {
        d->metrics.ejection(upstream.value());
        d->log->warn("{} is temporarily ejected after repeated failures.", upstream.value());
    }
}

void UpstreamHealth::onRestart(const UpstreamId &upstream)
{
    const absl::MutexLock lock(&d->mutex);
    d->outliers.onRestart(upstream, d->clock.now());
}

double UpstreamHealth::share(const UpstreamId &upstream) const
{
    const absl::MutexLock lock(&d->mutex);
    return d->outliers.share(upstream, d->clock.now());
}

RetryDecision UpstreamHealth::decide(const AttemptFailure &failure, const RetryContext &retryContext, const std::string &pool)
{
    const Time now = d->clock.now();
    RetryDecision decision;
    {
        const absl::MutexLock lock(&d->mutex);
        decision = decideRetry(failure, retryContext, RetryLimits {}, d->budget(pool, now), d->random, now);
    }
    if (std::holds_alternative<TryAgain>(decision)) {
        d->metrics.retry(pool);
    }
    return decision;
}

bool isUpstreamFault(ErrorKind kind)
{
    return kind == ErrorKind::UpstreamUnreachable || kind == ErrorKind::UpstreamFailed || kind == ErrorKind::UpstreamTimeout
        || kind == ErrorKind::StreamCut;
}

} // namespace ApricotStep
