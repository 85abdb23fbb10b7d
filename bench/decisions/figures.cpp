#include "bench/decisions/figures.h"

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

constexpr double JudgedSeconds = static_cast<double>(ArrivalsEnd - WarmUp) / static_cast<double>(Second);

double seconds(Micros span)
{
    return static_cast<double>(span) / static_cast<double>(Second);
}

bool isJudged(const Arrival &arrival)
{
    return arrival.at >= WarmUp && arrival.at < ArrivalsEnd;
}

bool isInTime(const Arrival &arrival, const Outcome &outcome)
{
    return outcome.isWhole && outcome.firstTokenAt >= 0 && outcome.firstTokenAt <= arrival.deadline;
}

struct ClassTally
{
    std::vector<double> stalls;
    // Refused requests count with their whole allowance, so that refusing does not make stalls look short.
    std::vector<double> stallsOfAll;
    std::vector<double> firstTokens;
    int arrived = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int cut = 0;
    int lost = 0;
};

void add(ClassTally &tally, const Arrival &arrival, const Outcome &outcome)
{
    ++tally.arrived;
    const double allowance = seconds(arrival.deadline - arrival.at);
    if (outcome.isRefused) {
        ++tally.refused;
        tally.stallsOfAll.push_back(allowance);
        return;
    }
    if (outcome.isCut) {
        ++tally.cut;
        return;
    }
    if (!outcome.isWhole) {
        ++tally.lost;
        tally.stallsOfAll.push_back(allowance);
        return;
    }
    tally.stalls.push_back(seconds(outcome.stall));
    tally.stallsOfAll.push_back(seconds(outcome.stall));
    tally.firstTokens.push_back(seconds(outcome.firstTokenAt - arrival.at));
    (isInTime(arrival, outcome) ? tally.inTime : tally.late) += 1;
}

void putPercentiles(Figures &figures, const std::string &name, const std::vector<double> &values)
{
    figures[name + ".p50"] = { percentile(values, 0.50), "s" };
    figures[name + ".p95"] = { percentile(values, 0.95), "s" };
    figures[name + ".p99"] = { percentile(values, 0.99), "s" };
}

void putTally(Figures &figures, const std::string &name, const ClassTally &tally)
{
    putPercentiles(figures, name + ".stall", tally.stalls);
    figures[name + ".stall_with_refused.p99"] = { percentile(tally.stallsOfAll, 0.99), "s" };
    putPercentiles(figures, name + ".first_token", tally.firstTokens);
    figures[name + ".in_time"] = { tally.arrived == 0 ? 1.0 : static_cast<double>(tally.inTime) / tally.arrived, "of-1" };
    figures[name + ".late"] = { static_cast<double>(tally.late), "requests" };
    figures[name + ".refused"] = { static_cast<double>(tally.refused), "requests" };
    figures[name + ".cut"] = { static_cast<double>(tally.cut), "requests" };
    figures[name + ".lost"] = { static_cast<double>(tally.lost), "requests" };
}

// Jain's index over the parts of their requests that callers had answered in time.
double fairness(const RunResult &result)
{
    std::unordered_map<int, std::pair<int, int>> callers;
    for (std::size_t request = 0; request < result.arrivals.size(); ++request) {
        const Arrival &arrival = result.arrivals[request];
        if (isJudged(arrival)) {
            ++callers[arrival.caller].first;
            callers[arrival.caller].second += isInTime(arrival, result.outcomes[request]) ? 1 : 0;
        }
    }
    double sum = 0;
    double squares = 0;
    for (const auto &[caller, counts] : callers) {
        const double part = static_cast<double>(counts.second) / counts.first;
        sum += part;
        squares += part * part;
    }
    return squares <= 0 ? 0 : sum * sum / (static_cast<double>(callers.size()) * squares);
}

} // namespace

double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(std::ceil(part * static_cast<double>(values.size()))) - 1;
    const auto place = values.begin() + std::max<std::ptrdiff_t>(0, at);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

Figures figuresOf(const Deployment &deployment, const RunResult &result)
{
    ClassTally tallies[PriorityCount];
    int inTime = 0;
    int dispatched = 0;
    int lost = 0;
    for (std::size_t request = 0; request < result.arrivals.size(); ++request) {
        const Arrival &arrival = result.arrivals[request];
        if (isJudged(arrival)) {
            add(tallies[static_cast<std::size_t>(arrival.priority)], arrival, result.outcomes[request]);
            dispatched += result.outcomes[request].isDispatched ? 1 : 0;
        }
    }
    Figures figures;
    for (std::size_t index = 0; index < PriorityCount; ++index) {
        putTally(figures, std::string(PriorityNames[index]), tallies[index]);
        inTime += tallies[index].inTime;
        lost += tallies[index].lost;
    }
    figures["goodput"] = { inTime / JudgedSeconds, "requests/s" };
    figures["lost"] = { static_cast<double>(lost), "requests" };
    figures["batch_fill"] = {
        result.steps == 0 ? 0.0 : static_cast<double>(result.stepTokens) / static_cast<double>(result.steps) / deployment.batch, "of-1"
    };
    figures["loads"] = { result.loads / JudgedSeconds, "loads/s" };
    figures["requests_per_load"] = { static_cast<double>(dispatched) / std::max(1, result.loads), "requests" };
    figures["fairness"] = { fairness(result), "jain" };
    figures["evicted_in_use"] = { static_cast<double>(result.evictedInUse), "evictions" };
    figures["told_not_run_but_ran"] = { static_cast<double>(result.toldNotRunButRan), "requests" };
    return figures;
}

double firstTokenP95(const RunResult &result, const std::function<bool(const Arrival &)> &isChosen)
{
    std::vector<double> times;
    for (std::size_t request = 0; request < result.arrivals.size(); ++request) {
        const Arrival &arrival = result.arrivals[request];
        if (isJudged(arrival) && isChosen(arrival) && result.outcomes[request].firstTokenAt >= 0) {
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
    std::unordered_map<int, std::size_t> seen;
    for (std::size_t at = uses.size(); at-- > 0;) {
        const auto later = seen.find(uses[at].second);
        nextUse[at] = later == seen.end() ? Never : later->second;
        seen[uses[at].second] = at;
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
    return loads / JudgedSeconds;
}

double fillBound(const Deployment &deployment, const RunResult &result)
{
    const double step = seconds(deployment.stepBase + deployment.stepPerRequest * deployment.batch);
    std::vector<std::pair<double, int>> changes;
    double tokens = 0;
    for (const Arrival &arrival : result.arrivals) {
        if (!isJudged(arrival)) {
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
    double since = 0;
    for (const auto &[at, change] : changes) {
        steps += (at - since) / step * std::ceil(static_cast<double>(active) / deployment.batch);
        active += change;
        since = at;
    }
    return std::min(1.0, tokens / (deployment.batch * std::max(steps, tokens / deployment.batch)));
}

} // namespace DecisionBench
