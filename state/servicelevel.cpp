#include "state/servicelevel.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

struct ClassCounters
{
    struct Bucket
    {
        std::int64_t minute = -1;
        EventCounts counts;
    };

    absl::Mutex mutex;
    // A ring buffer indexed by minute. A bucket of an older minute counts as empty, so buckets need no reset while there are no events.
    std::array<Bucket, ServiceLevels::MinuteCount> ring ABSL_GUARDED_BY(mutex);
};

std::int64_t minuteOf(Time time)
{
    return time.milliseconds() / ServiceLevels::Minute.milliseconds();
}

} // namespace

struct ServiceLevels::Private
{
    std::array<Objective, ServiceClassCount> objectives;
    std::array<ClassCounters, ServiceClassCount> classCounters;

    void add(ServiceClass serviceClass, bool isGood, Time now)
    {
        ClassCounters &counters = classCounters[static_cast<std::size_t>(serviceClass)];
        const std::int64_t minute = minuteOf(now);
        const absl::MutexLock lock(&counters.mutex);
        ClassCounters::Bucket &bucket = counters.ring[static_cast<std::size_t>(minute) % MinuteCount];
        if (bucket.minute != minute) {
            bucket = { minute, {} };
        }
        ++(isGood ? bucket.counts.good : bucket.counts.bad);
    }
};

double burnRate(const EventCounts &counts, const Objective &objective)
{
    if (counts.total() == 0) {
        return 0;
    }
    return static_cast<double>(counts.bad) / static_cast<double>(counts.total()) / (1.0 - objective.target);
}

bool spendsErrorBudget(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadRequest:
    case ErrorKind::NotFound:
    case ErrorKind::MethodNotAllowed:
    case ErrorKind::RequestTooLarge:
    case ErrorKind::RequestTimeout:
    case ErrorKind::UnknownSelector:
    case ErrorKind::AmbiguousSelector:
    case ErrorKind::UnknownService:
    case ErrorKind::KeyRequired:
    case ErrorKind::KeyInvalid:
    case ErrorKind::KeyMismatch:
    case ErrorKind::KeyExpired:
    case ErrorKind::DeadlineTooShort:
    case ErrorKind::CallerGone:
        return false;
    default:
        return true;
    }
}

ServiceLevels::ServiceLevels(const std::array<Objective, ServiceClassCount> &objectives)
    : d(std::make_unique<Private>())
{
    d->objectives = objectives;
}

ServiceLevels::~ServiceLevels() = default;

const Objective &ServiceLevels::objective(ServiceClass serviceClass) const
{
    return d->objectives[static_cast<std::size_t>(serviceClass)];
}

void ServiceLevels::recordAnswer(ServiceClass serviceClass, Duration latency, Time now)
{
    const Duration limit = objective(serviceClass).limit;
    d->add(serviceClass, limit == Duration(0) || latency <= limit, now);
}

void ServiceLevels::recordFailure(ServiceClass serviceClass, ErrorKind kind, Time now)
{
    if (spendsErrorBudget(kind)) {
        d->add(serviceClass, false, now);
    }
}

std::vector<EventCounts> ServiceLevels::series(ServiceClass serviceClass, std::size_t minutes, Time now) const
{
    const std::size_t count = std::clamp<std::size_t>(minutes, 1, MinuteCount);
    const std::int64_t newest = minuteOf(now);
    ClassCounters &counters = d->classCounters[static_cast<std::size_t>(serviceClass)];
    std::vector<EventCounts> all;
    const absl::MutexLock lock(&counters.mutex);
    for (std::int64_t minute = newest - static_cast<std::int64_t>(count) + 1; minute <= newest; ++minute) {
        const ClassCounters::Bucket &bucket = counters.ring[static_cast<std::size_t>(std::max<std::int64_t>(minute, 0)) % MinuteCount];
        all.push_back(bucket.minute == minute ? bucket.counts : EventCounts {});
    }
    return all;
}

EventCounts ServiceLevels::window(ServiceClass serviceClass, std::size_t minutes, Time now) const
{
    EventCounts sum;
    for (const EventCounts &counts : series(serviceClass, minutes, now)) {
        sum.good += counts.good;
        sum.bad += counts.bad;
    }
    return sum;
}

} // namespace ApricotStep
