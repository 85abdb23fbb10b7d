// Measures the effect of a retry budget, an adaptive concurrency limit and outlier ejection, in virtual time against simulated upstreams.
// Prints one line per metric: scenario.variant.metric value unit. Options: --seeds N (default 20).

#include "coordination/attempt.h"
#include "coordination/concurrencylimit.h"
#include "coordination/outlierdetector.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <string>
#include <vector>

using namespace ApricotStep;

namespace
{

constexpr int UpstreamCount = 9;
constexpr int Batch = 16;
constexpr double MeanServiceMs = 100;
constexpr Duration CallerDeadline { 2000 };
constexpr Duration AttemptTimeout { 400 };
constexpr Duration SimulatedTime = Duration::seconds(60);

struct Scenario
{
    std::string name;
    /** Offered load as a multiple of the capacity of all upstreams. */
    double load = 0.7;
    /** Share of attempts that fail after the upstream has processed them. */
    double failing = 0;
    /** Factor on the service time of the first upstream from 10 s to 40 s. */
    double slowdown = 1;
};

struct Variant
{
    std::string name;
    int maxAttempts = 3;
    bool hasBudget = false;
    bool hasLimit = false;
    bool hasEjection = false;
};

struct Metrics
{
    double requests = 0;
    double attempts = 0;
    double successes = 0;
    double refused = 0;
    std::vector<double> latenciesMs;
};

struct Request
{
    Time arrival;
    int attempts = 0;
    int lastUpstream = -1;
};

struct Attempt
{
    std::size_t request = 0;
    int upstream = 0;
    Time sentAt;
    int inFlight = 0;
    bool isEnded = false;
};

struct Upstream
{
    int running = 0;
    // Attempts that the sender considers sent and not ended.
    int inFlight = 0;
    std::deque<std::size_t> waiting;
    ConcurrencyLimit limit { { 1, Batch } };
};

enum class EventKind {
    Arrival,
    Sent,
    WorkDone,
    TimedOut,
};

struct Event
{
    Time at;
    std::uint64_t order = 0;
    EventKind kind = EventKind::Arrival;
    std::size_t index = 0;

    bool operator>(const Event &other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

RetryBudgetLimits budgetOf(const Variant &variant)
{
    RetryBudgetLimits limits;
    if (!variant.hasBudget) {
        limits.reserve = 1e12;
    }
    return limits;
}

UpstreamId idOf(int upstream)
{
    return UpstreamId("u" + std::to_string(upstream));
}

class Simulation
{
public:
    Simulation(const Scenario &scenario, const Variant &variant, std::uint64_t seed)
        : m_scenario(scenario)
        , m_variant(variant)
        , m_random(seed)
        , m_budget(budgetOf(variant), Time(0))
        , m_upstreams(UpstreamCount)
    {
        m_retries.maxAttempts = variant.maxAttempts;
        std::vector<UpstreamId> ids;
        ids.reserve(UpstreamCount);
        for (int i = 0; i < UpstreamCount; ++i) {
            ids.push_back(idOf(i));
        }
        m_outliers.setUpstreams(ids);
    }

    Metrics run()
    {
        post(Time(1), EventKind::Arrival, 0);
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        m_metrics.requests = static_cast<double>(m_requests.size());
        m_metrics.attempts = static_cast<double>(m_attempts.size());
        return std::move(m_metrics);
    }

private:
    double chance()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    void post(Time at, EventKind kind, std::size_t index)
    {
        m_events.push({ at, m_order++, kind, index });
    }
    void handle(const Event &event)
    {
        switch (event.kind) {
        case EventKind::Arrival:
            arrive();
            break;
        case EventKind::Sent:
            send(event.index);
            break;
        case EventKind::WorkDone:
            workDone(event.index);
            break;
        case EventKind::TimedOut:
            failAttempt(event.index, ErrorKind::UpstreamTimeout, AttemptPhase::Unknown);
            break;
        }
    }

    void arrive()
    {
        m_requests.push_back({ m_now });
        send(m_requests.size() - 1);
        const double arrivalsPerMs = m_scenario.load * UpstreamCount * Batch / MeanServiceMs;
        m_nextArrivalMs += std::exponential_distribution<double>(arrivalsPerMs)(m_random);
        const Time next(1 + static_cast<std::int64_t>(m_nextArrivalMs));
        if (next < Time(0) + SimulatedTime) {
            post(next, EventKind::Arrival, 0);
        }
    }

    bool isAvailable(int upstream)
    {
        const Upstream &at = m_upstreams[static_cast<std::size_t>(upstream)];
        if (m_variant.hasLimit && at.inFlight >= at.limit.limit()) {
            return false;
        }
        return !m_variant.hasEjection || chance() < m_outliers.share(idOf(upstream), m_now);
    }

    // The random order simulates the candidate lists of many adapters.
    int pickUpstream(int last)
    {
        std::array<int, UpstreamCount> order;
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), m_random);
        const auto available =
            std::find_if(order.begin(), order.end(), [&](int upstream) { return upstream != last && isAvailable(upstream); });
        return available == order.end() ? -1 : *available;
    }

    void send(std::size_t number)
    {
        Request &request = m_requests[number];
        const int upstream = pickUpstream(request.lastUpstream);
        if (upstream < 0) {
            m_metrics.refused += 1;
            return;
        }
        ++request.attempts;
        request.lastUpstream = upstream;
        Upstream &at = m_upstreams[static_cast<std::size_t>(upstream)];
        ++at.inFlight;
        m_attempts.push_back({ number, upstream, m_now, at.inFlight });
        const std::size_t attempt = m_attempts.size() - 1;
        const Time deadline = request.arrival + CallerDeadline;
        post(std::min(m_now + AttemptTimeout, deadline), EventKind::TimedOut, attempt);
        at.waiting.push_back(attempt);
        startWork(at, upstream);
    }

    double slowdown(int upstream) const
    {
        const bool isSlow = upstream == 0 && m_now >= Time(10'000) && m_now < Time(40'000);
        return isSlow ? m_scenario.slowdown : 1;
    }

    // The upstream also processes attempts that timed out: it does not know that the sender has abandoned them.
    void startWork(Upstream &at, int upstream)
    {
        while (at.running < Batch && !at.waiting.empty()) {
            const std::size_t attempt = at.waiting.front();
            at.waiting.pop_front();
            ++at.running;
            const double serviceMs = std::gamma_distribution<double>(4, MeanServiceMs / 4)(m_random) * slowdown(upstream);
            post(m_now + Duration(std::max<std::int64_t>(1, std::llround(serviceMs))), EventKind::WorkDone, attempt);
        }
    }

    void workDone(std::size_t number)
    {
        const int upstream = m_attempts[number].upstream;
        Upstream &at = m_upstreams[static_cast<std::size_t>(upstream)];
        --at.running;
        if (!m_attempts[number].isEnded) {
            if (chance() < m_scenario.failing) {
                failAttempt(number, ErrorKind::UpstreamFailed, AttemptPhase::Unknown);
            } else {
                succeed(number);
            }
        }
        startWork(at, upstream);
    }

    void succeed(std::size_t number)
    {
        Attempt &attempt = m_attempts[number];
        attempt.isEnded = true;
        Upstream &at = m_upstreams[static_cast<std::size_t>(attempt.upstream)];
        --at.inFlight;
        at.limit.onSample(m_now - attempt.sentAt, attempt.inFlight, m_now);
        m_outliers.onSuccess(idOf(attempt.upstream), m_now);
        m_budget.onSuccess(m_now);
        m_metrics.successes += 1;
        m_metrics.latenciesMs.push_back(static_cast<double>((m_now - m_requests[attempt.request].arrival).milliseconds()));
    }

    void failAttempt(std::size_t number, ErrorKind kind, AttemptPhase phase)
    {
        Attempt &attempt = m_attempts[number];
        if (attempt.isEnded) {
            return;
        }
        attempt.isEnded = true;
        Upstream &at = m_upstreams[static_cast<std::size_t>(attempt.upstream)];
        --at.inFlight;
        at.limit.onDropped(m_now);
        m_outliers.onFailure(idOf(attempt.upstream), m_now);
        const Request &request = m_requests[attempt.request];
        const RetryContext context { Idempotency::Idempotent, false, request.attempts, request.arrival + CallerDeadline, true };
        const RetryDecision decision = decideRetry({ phase, kind }, context, m_retries, m_budget, m_random, m_now);
        if (const auto *retry = std::get_if<TryAgain>(&decision)) {
            post(m_now + retry->delay, EventKind::Sent, attempt.request);
        }
    }

    const Scenario m_scenario;
    const Variant m_variant;
    std::mt19937_64 m_random;
    RetryLimits m_retries;
    RetryBudget m_budget;
    OutlierDetector m_outliers { OutlierLimits {} };
    std::vector<Upstream> m_upstreams;
    std::vector<Request> m_requests;
    std::vector<Attempt> m_attempts;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    double m_nextArrivalMs = 0;
    Time m_now;
    Metrics m_metrics;
};

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = values.begin() + static_cast<long>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

void print(const Scenario &scenario, const Variant &variant, const char *metric, double value, const char *unit)
{
    std::printf("%s.%s.%s %.3f %s\n", scenario.name.c_str(), variant.name.c_str(), metric, value, unit);
}

void measure(const Scenario &scenario, const Variant &variant, int seeds)
{
    Metrics all;
    for (int seed = 1; seed <= seeds; ++seed) {
        const Metrics result = Simulation(scenario, variant, static_cast<std::uint64_t>(seed)).run();
        all.requests += result.requests;
        all.attempts += result.attempts;
        all.successes += result.successes;
        all.refused += result.refused;
        all.latenciesMs.insert(all.latenciesMs.end(), result.latenciesMs.begin(), result.latenciesMs.end());
    }
    print(scenario, variant, "goodput", all.successes / all.requests, "share");
    print(scenario, variant, "load", all.attempts / all.requests, "attempts/request");
    print(scenario, variant, "refused", all.refused / all.requests, "share");
    print(scenario, variant, "p95", percentile(all.latenciesMs, 0.95), "ms");
    print(scenario, variant, "p99", percentile(all.latenciesMs, 0.99), "ms");
}

int seedsFrom(int count, char **arguments)
{
    constexpr int DefaultSeeds = 20;
    for (int i = 1; i + 1 < count; ++i) {
        if (std::strcmp(arguments[i], "--seeds") == 0) {
            return std::max(1, static_cast<int>(std::strtol(arguments[i + 1], nullptr, 10)));
        }
    }
    return DefaultSeeds;
}

} // namespace

int main(int count, char **arguments)
{
    const int seeds = seedsFrom(count, arguments);
    // The base failure rate (1x) is 10 % of all attempts.
    const std::vector<Scenario> failing { { "failures-1x", 0.7, 0.1 }, { "failures-2x", 0.7, 0.2 }, { "failures-5x", 0.7, 0.5 },
        { "failures-5x-busy", 0.9, 0.5 } };
    const std::vector<Variant> retryVariants { { "no-retries", 1 }, { "three-attempts", 3 }, { "budget", 3, true } };
    for (const Scenario &scenario : failing) {
        for (const Variant &variant : retryVariants) {
            measure(scenario, variant, seeds);
        }
    }
    const std::vector<Scenario> slowScenarios { { "slow-5x", 0.7, 0, 5 }, { "slow-20x", 0.7, 0, 20 }, { "overload-1.3x", 1.3 } };
    const std::vector<Variant> containmentVariants { { "budget", 3, true }, { "limit", 3, true, true },
        { "ejection", 3, true, false, true }, { "both", 3, true, true, true } };
    for (const Scenario &scenario : slowScenarios) {
        for (const Variant &variant : containmentVariants) {
            measure(scenario, variant, seeds);
        }
    }
    return 0;
}
