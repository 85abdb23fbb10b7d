#include "bench/decisions/metrics.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <unordered_map>
#include <utility>

namespace DecisionBench
{

namespace
{

using ApricotStep::Priority;
using ApricotStep::PriorityCount;
using ApricotStep::PriorityNames;

constexpr double MeasuredSeconds = static_cast<double>(ArrivalsEnd - WarmUp) / static_cast<double>(Second);

double seconds(Micros duration)
{
    return static_cast<double>(duration) / static_cast<double>(Second);
}

bool isMeasured(const Arrival &arrival)
{
    return arrival.at >= WarmUp && arrival.at < ArrivalsEnd;
}

bool isInTime(const Arrival &arrival, const Outcome &outcome)
{
    return outcome.isComplete && outcome.firstTokenAt >= 0 && outcome.firstTokenAt <= arrival.deadline;
}

struct ClassTally
{
    std::vector<double> stalls;
    // Refused and lost requests count with their whole allowance, so that refusing requests does not improve the percentiles.
    std::vector<double> stallsWithRefused;
    std::vector<double> firstTokenTimes;
    int arrived = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int interrupted = 0;
    int lost = 0;
};

void add(ClassTally &tally, const Arrival &arrival, const Outcome &outcome)
{
    ++tally.arrived;
    const double allowance = seconds(arrival.deadline - arrival.at);
    if (outcome.isRefused) {
        ++tally.refused;
        tally.stallsWithRefused.push_back(allowance);
        return;
    }
    if (outcome.isInterrupted) {
        ++tally.interrupted;
        return;
    }
    if (!outcome.isComplete) {
        ++tally.lost;
        tally.stallsWithRefused.push_back(allowance);
        return;
    }
    tally.stalls.push_back(seconds(outcome.stall));
    tally.stallsWithRefused.push_back(seconds(outcome.stall));
    tally.firstTokenTimes.push_back(seconds(outcome.firstTokenAt - arrival.at));
    (isInTime(arrival, outcome) ? tally.inTime : tally.late) += 1;
}

void addPercentileMetrics(Metrics &metrics, const std::string &name, const std::vector<double> &values)
{
    metrics[name + ".p50"] = { percentile(values, 0.50), "s" };
    metrics[name + ".p95"] = { percentile(values, 0.95), "s" };
    metrics[name + ".p99"] = { percentile(values, 0.99), "s" };
}

void addTallyMetrics(Metrics &metrics, const std::string &name, const ClassTally &tally)
{
    addPercentileMetrics(metrics, name + ".stall", tally.stalls);
    metrics[name + ".stall_with_refused.p99"] = { percentile(tally.stallsWithRefused, 0.99), "s" };
    addPercentileMetrics(metrics, name + ".first_token", tally.firstTokenTimes);
    metrics[name + ".in_time"] = { tally.arrived == 0 ? 1.0 : static_cast<double>(tally.inTime) / tally.arrived, "of-1" };
    metrics[name + ".late"] = { static_cast<double>(tally.late), "requests" };
    metrics[name + ".refused"] = { static_cast<double>(tally.refused), "requests" };
    metrics[name + ".cut"] = { static_cast<double>(tally.interrupted), "requests" };
    metrics[name + ".lost"] = { static_cast<double>(tally.lost), "requests" };
}

// Jain's fairness index over the share of each caller's requests that was answered in time.
double fairness(const RunResult &result)
{
    std::unordered_map<int, std::pair<int, int>> callers;
    for (std::size_t request = 0; request < result.arrivals.size(); ++request) {
        const Arrival &arrival = result.arrivals[request];
        if (isMeasured(arrival)) {
            ++callers[arrival.caller].first;
            callers[arrival.caller].second += isInTime(arrival, result.outcomes[request]) ? 1 : 0;
        }
    }
    double sum = 0;
    double squares = 0;
    for (const auto &[caller, counts] : callers) {
        const double fraction = static_cast<double>(counts.second) / counts.first;
        sum += fraction;
        squares += fraction * fraction;
    }
    return squares <= 0 ? 0 : sum * sum / (static_cast<double>(callers.size()) * squares);
}

} // namespace

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(std::ceil(fraction * static_cast<double>(values.size()))) - 1;
    const auto position = values.begin() + std::max<std::ptrdiff_t>(0, at);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

Metrics computeMetrics(const Deployment &deployment, const RunResult &result)
{
    ClassTally tallies[PriorityCount];
    int inTime = 0;
    int dispatched = 0;
    int lost = 0;
    for (std::size_t request = 0; request < result.arrivals.size(); ++request) {
        const Arrival &arrival = result.arrivals[request];
        if (isMeasured(arrival)) {
            add(tallies[static_cast<std::size_t>(arrival.priority)], arrival, result.outcomes[request]);
            dispatched += result.outcomes[request].isDispatched ? 1 : 0;
        }
    }
    Metrics metrics;
    for (std::size_t index = 0; index < PriorityCount; ++index) {
        addTallyMetrics(metrics, std::string(PriorityNames[index]), tallies[index]);
        inTime += tallies[index].inTime;
        lost += tallies[index].lost;
    }
    metrics["goodput"] = { inTime / MeasuredSeconds, "requests/s" };
    metrics["lost"] = { static_cast<double>(lost), "requests" };
    metrics["batch_fill"] = {
        result.steps == 0 ? 0.0 : static_cast<double>(result.stepTokens) / static_cast<double>(result.steps) / deployment.batch, "of-1"
    };
    metrics["loads"] = { result.loads / MeasuredSeconds, "loads/s" };
    metrics["requests_per_load"] = { static_cast<double>(dispatched) / std::max(1, result.loads), "requests" };
    metrics["fairness"] = { fairness(result), "jain" };
    metrics["evicted_in_use"] = { static_cast<double>(result.evictedInUse), "evictions" };
    metrics["told_not_run_but_ran"] = { static_cast<double>(result.refusedButDispatched), "requests" };
    return metrics;
}

double firstTokenP95(const RunResult &result, const std::function<bool(const Arrival &)> &isSelected)
{
    std::vector<double> times;
    for (std::size_t request = 0; request < result.arrivals.size(); ++request) {
        const Arrival &arrival = result.arrivals[request];
        if (isMeasured(arrival) && isSelected(arrival) && result.outcomes[request].firstTokenAt >= 0) {
            times.push_back(seconds(result.outcomes[request].firstTokenAt - arrival.at));
        }
    }
    return percentile(std::move(times), 0.95);
}

double clairvoyantLoads(const Deployment &deployment, const RunResult &result)
{
    std::vector<std::pair<Micros, int>> uses;
    for (std::size_t request = 0; request < result.arrivals.size(); ++request) {
        if (result.outcomes[request].isDispatched) {
            uses.emplace_back(result.arrivals[request].at, result.arrivals[request].adapter);
        }
    }
    constexpr std::size_t Never = std::numeric_limits<std::size_t>::max();
    std::vector<std::size_t> nextUse(uses.size(), Never);
    std::unordered_map<int, std::size_t> nextUseByAdapter;
    for (std::size_t at = uses.size(); at-- > 0;) {
        const auto later = nextUseByAdapter.find(uses[at].second);
        nextUse[at] = later == nextUseByAdapter.end() ? Never : later->second;
        nextUseByAdapter[uses[at].second] = at;
    }
    std::set<std::pair<std::size_t, int>> byNextUse;
    std::unordered_map<int, std::size_t> resident;
    int loads = 0;
    for (std::size_t at = 0; at < uses.size(); ++at) {
        const int adapter = uses[at].second;
        const auto held = resident.find(adapter);
        if (held != resident.end()) {
            byNextUse.erase({ held->second, adapter });
        } else {
            loads += uses[at].first >= WarmUp ? 1 : 0;
            if (std::cmp_equal(resident.size(), deployment.engines * deployment.slots)) {
                resident.erase(byNextUse.rbegin()->second);
                byNextUse.erase(std::prev(byNextUse.end()));
            }
        }
        resident[adapter] = nextUse[at];
        byNextUse.insert({ nextUse[at], adapter });
    }
    return loads / MeasuredSeconds;
}

double batchFillBound(const Deployment &deployment, const RunResult &result)
{
    const double step = seconds(deployment.stepBase + deployment.stepPerRequest * deployment.batch);
    std::vector<std::pair<double, int>> changes;
    double tokens = 0;
    for (const Arrival &arrival : result.arrivals) {
        if (!isMeasured(arrival)) {
            continue;
        }
        tokens += arrival.tokens;
        if (arrival.priority != Priority::Patient) {
            changes.emplace_back(seconds(arrival.at), 1);
            changes.emplace_back(seconds(arrival.at) + arrival.tokens * step, -1);
        }
    }
    std::sort(changes.begin(), changes.end());
    double steps = 0;
    int active = 0;
    double lastChangeAt = 0;
    for (const auto &[at, change] : changes) {
        steps += (at - lastChangeAt) / step * std::ceil(static_cast<double>(active) / deployment.batch);
        active += change;
        lastChangeAt = at;
    }
    return std::min(1.0, tokens / (deployment.batch * std::max(steps, tokens / deployment.batch)));
}

} // namespace DecisionBench
