#include "main/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ApricotStep
{

namespace
{

const prometheus::Histogram::BucketBoundaries SecondsBuckets { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 2.5, 5, 10, 30, 60, 300,
    1800 };

constexpr int MinServerErrorStatus = 500;

static_assert(
    static_cast<std::size_t>(ServiceClass::Service) == PriorityCount, "the service classes start with the priorities, in the same order");

ServiceClass classOf(Priority priority)
{
    return static_cast<ServiceClass>(priority);
}

std::string priorityName(Priority priority)
{
    return std::string(PriorityNames[static_cast<std::size_t>(priority)]);
}

} // namespace

struct Metrics::Private
{
    ServiceLevels *levels = nullptr;
    const Clock *clock = nullptr;

    void recordAnswer(ServiceClass serviceClass, Duration took)
    {
        if (levels != nullptr) {
            levels->recordAnswer(serviceClass, took, clock->now());
        }
    }
    void recordFailure(ServiceClass serviceClass, ErrorKind kind)
    {
        if (levels != nullptr) {
            levels->recordFailure(serviceClass, kind, clock->now());
        }
    }

    prometheus::Registry registry;

    prometheus::Family<prometheus::Counter> &completions =
        prometheus::BuildCounter().Name("apricotstep_completions_total").Help("Completions by class and outcome.").Register(registry);
    prometheus::Family<prometheus::Histogram> &stalls = prometheus::BuildHistogram()
                                                            .Name("apricotstep_load_stall_seconds")
                                                            .Help("Time a completion waited for its adapter to load.")
                                                            .Register(registry);
    prometheus::Family<prometheus::Histogram> &firstTokens = prometheus::BuildHistogram()
                                                                 .Name("apricotstep_first_token_seconds")
                                                                 .Help("Time from arrival to the first byte of the answer.")
                                                                 .Register(registry);
    prometheus::Family<prometheus::Histogram> &durations = prometheus::BuildHistogram()
                                                               .Name("apricotstep_completion_seconds")
                                                               .Help("Time from arrival to the end of the answer.")
                                                               .Register(registry);
    prometheus::Family<prometheus::Counter> &serviceCalls = prometheus::BuildCounter()
                                                                .Name("apricotstep_service_calls_total")
                                                                .Help("Calls to plain services by service and status.")
                                                                .Register(registry);
    prometheus::Family<prometheus::Histogram> &loads = prometheus::BuildHistogram()
                                                           .Name("apricotstep_adapter_load_seconds")
                                                           .Help("Time an adapter took to load, by outcome.")
                                                           .Register(registry);
    prometheus::Family<prometheus::Counter> &evictions =
        prometheus::BuildCounter().Name("apricotstep_evictions_total").Help("Evictions by outcome.").Register(registry);
    prometheus::Family<prometheus::Counter> &retries =
        prometheus::BuildCounter().Name("apricotstep_retries_total").Help("Calls made again, by retry budget.").Register(registry);
    prometheus::Family<prometheus::Counter> &ejections = prometheus::BuildCounter()
                                                             .Name("apricotstep_ejections_total")
                                                             .Help("Times that a failing upstream was left out.")
                                                             .Register(registry);
    prometheus::Family<prometheus::Counter> &forwards =
        prometheus::BuildCounter().Name("apricotstep_forwards_total").Help("Requests passed on to other nodes.").Register(registry);
    prometheus::Gauge &config =
        prometheus::BuildGauge().Name("apricotstep_config_version").Help("Configuration version in force.").Register(registry).Add({});
    prometheus::Family<prometheus::Counter> &configRefusals = prometheus::BuildCounter()
                                                                  .Name("apricotstep_config_refused_total")
                                                                  .Help("Configurations not taken as published, by reason.")
                                                                  .Register(registry);
    prometheus::Counter &lateAnswers = prometheus::BuildCounter()
                                           .Name("apricotstep_late_answers_total")
                                           .Help("Answers that came for attempts already given up.")
                                           .Register(registry)
                                           .Add({});
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::setServiceLevels(ServiceLevels &levels, const Clock &clock)
{
    d->levels = &levels;
    d->clock = &clock;
}

void Metrics::completionServed(Priority priority, Duration stall, Duration firstToken, Duration total)
{
    const std::string className = priorityName(priority);
    d->completions.Add({ { "class", className }, { "outcome", "ok" } }).Increment();
    d->stalls.Add({ { "class", className } }, SecondsBuckets).Observe(stall.toSeconds());
    d->firstTokens.Add({ { "class", className } }, SecondsBuckets).Observe(firstToken.toSeconds());
    d->durations.Add({ { "class", className } }, SecondsBuckets).Observe(total.toSeconds());
    d->recordAnswer(classOf(priority), firstToken);
}

void Metrics::completionFailed(Priority priority, ErrorKind kind)
{
    d->completions.Add({ { "class", priorityName(priority) }, { "outcome", std::string(errorAnswer(kind).code) } }).Increment();
    d->recordFailure(classOf(priority), kind);
}

void Metrics::serviceCall(const std::string &service, int status, Duration took)
{
    d->serviceCalls.Add({ { "service", service }, { "status", std::to_string(status) } }).Increment();
    if (status >= MinServerErrorStatus) {
        d->recordFailure(ServiceClass::Service, ErrorKind::UpstreamFailed);
    } else {
        d->recordAnswer(ServiceClass::Service, took);
    }
}

void Metrics::serviceFailed(const std::string &service, ErrorKind kind)
{
    d->serviceCalls.Add({ { "service", service }, { "status", std::to_string(errorAnswer(kind).httpStatus) } }).Increment();
    d->recordFailure(ServiceClass::Service, kind);
}

void Metrics::adapterLoad(bool isLoaded, Duration took)
{
    d->loads.Add({ { "outcome", isLoaded ? "ok" : "failed" } }, SecondsBuckets).Observe(took.toSeconds());
}

void Metrics::eviction(bool isEvicted)
{
    d->evictions.Add({ { "outcome", isEvicted ? "ok" : "failed" } }).Increment();
}

void Metrics::forward(const std::string &outcome)
{
    d->forwards.Add({ { "outcome", outcome } }).Increment();
}

void Metrics::setConfigVersion(std::uint64_t version)
{
    d->config.Set(static_cast<double>(version));
}

void Metrics::configRefused(const std::string &reason)
{
    d->configRefusals.Add({ { "reason", reason } }).Increment();
}

void Metrics::lateAnswerDropped()
{
    d->lateAnswers.Increment();
}

void Metrics::retry(const std::string &pool)
{
    d->retries.Add({ { "pool", pool } }).Increment();
}

void Metrics::ejection(const std::string &upstream)
{
    d->ejections.Add({ { "upstream", upstream } }).Increment();
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(d->registry.Collect());
}

} // namespace ApricotStep
