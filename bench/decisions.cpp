// Runs the scheduling and placement of coordination/ in virtual time against simulated engines and a simulated weight store, and compares
// them with simple baseline policies and with theoretical bounds. Prints one line per metric: name value unit.

#include "bench/decisions/metrics.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <set>
#include <thread>

namespace
{

using namespace DecisionBench;

struct Options
{
    std::uint64_t seed = 1;
    int seeds = 1;
    std::string deployment = "kumasi";
    std::string scenario = "all";
    std::string store = "rate";
    int threads = 4;
    double offeredRate = 0;
    int stallWeight = -1;
    int batchWeight = -1;
    int urgentSlots = -1;
};

constexpr Policy Baselines[] = { Policy::RandomLru, Policy::LeastLoadedLru, Policy::HashLru, Policy::Fifo };

/** Returns the metrics of all policies for one seed, named policy.metric, and the ratios between them. */
Metrics runSeed(const Deployment &deployment, Scenario scenario, StoreModel storeModel, std::uint64_t seed)
{
    Metrics all;
    std::map<Policy, Metrics> byPolicy;
    RunResult ours;
    for (std::size_t index = 0; index < PolicyCount; ++index) {
        const auto policy = static_cast<Policy>(index);
        RunResult result = runSimulation(deployment, { policy, scenario, storeModel, seed });
        byPolicy[policy] = computeMetrics(deployment, result);
        const std::string prefix = std::string(policyName(policy)) + '.';
        for (const auto &[name, metric] : byPolicy[policy]) {
            std::string fullName = prefix;
            all[fullName.append(name)] = metric;
        }
        if (policy == Policy::Ours) {
            ours = std::move(result);
        }
    }
    const auto bestOf = [&](const std::string &name, bool isLowerBetter) {
        double best = isLowerBetter ? 1e18 : 0;
        for (const Policy policy : Baselines) {
            const double value = byPolicy[policy].at(name).value;
            // A value of 0 means that the policy served no request that had to wait, so there is nothing to compare with.
            if (isLowerBetter && value <= 0) {
                continue;
            }
            best = isLowerBetter ? std::min(best, value) : std::max(best, value);
        }
        return best;
    };
    const auto ratio = [](double value, double base) { return base > 0 ? value / base : 0.0; };
    const auto &ourMetrics = byPolicy[Policy::Ours];
    for (const std::string name : { "urgent.stall.p99", "urgent.stall_with_refused.p99", "urgent.first_token.p95", "loads" }) {
        all["ratio." + name] = { ratio(ourMetrics.at(name).value, bestOf(name, true)), "ours/best" };
    }
    for (const std::string name : { "batch_fill", "goodput" }) {
        all["ratio." + name] = { ratio(ourMetrics.at(name).value, bestOf(name, false)), "ours/best" };
    }
    all["bound.clairvoyant_loads"] = { clairvoyantLoads(deployment, ours), "loads/s" };
    all["bound.batch_fill"] = { batchFillBound(deployment, ours), "of-1" };
    all["ratio.loads_to_clairvoyant"] = { ratio(ourMetrics.at("loads").value, all["bound.clairvoyant_loads"].value), "ours/bound" };
    all["ratio.goodput_to_capacity"] = { ourMetrics.at("goodput").value / deployment.capacity, "ours/capacity" };
    if (scenario == Scenario::HotCaller) {
        const auto isOther = [](const Arrival &arrival) { return arrival.caller != HotCaller; };
        const auto isOtherUrgent = [](const Arrival &arrival) {
            return arrival.caller != HotCaller && arrival.priority == ApricotStep::Priority::Urgent;
        };
        for (const Policy policy : { Policy::Ours, Policy::HashLru }) {
            const std::string name(policyName(policy));
            const RunResult without = runSimulation(deployment, { policy, Scenario::Steady, storeModel, seed });
            const RunResult with = runSimulation(deployment, { policy, scenario, storeModel, seed });
            all["ratio.others_p95_with_to_without." + name] = { ratio(firstTokenP95(with, isOther), firstTokenP95(without, isOther)),
                "with/without" };
            all["ratio.others_urgent_p95_with_to_without." + name] = {
                ratio(firstTokenP95(with, isOtherUrgent), firstTokenP95(without, isOtherUrgent)), "with/without"
            };
        }
    }
    return all;
}

void print(const Options &options, const std::string &prefix, const std::vector<Metrics> &seeds)
{
    for (const auto &[name, first] : seeds.front()) {
        std::vector<double> values;
        values.reserve(seeds.size());
        for (const Metrics &metrics : seeds) {
            values.push_back(metrics.at(name).value);
        }
        std::string fullName = prefix;
        fullName.append(".").append(name);
        std::printf("%s %.4g %s\n", fullName.c_str(), percentile(values, 0.5), first.unit.c_str());
        // Targets must hold for every seed, so the extremes are printed too.
        const bool isCount = first.unit == "requests" || first.unit == "evictions";
        if (options.seeds > 1 && (name.starts_with("ratio.") || (isCount && name.starts_with("ours.")))) {
            std::printf("%s.min %.4g %s\n", fullName.c_str(), percentile(values, 0.0), first.unit.c_str());
            std::printf("%s.max %.4g %s\n", fullName.c_str(), percentile(values, 1.0), first.unit.c_str());
        }
    }
    std::fflush(stdout);
}

void runScenario(const Options &options, const Deployment &deployment, Scenario scenario)
{
    const StoreModel storeModel = options.store == "parallel" ? StoreModel::Parallel : StoreModel::Rate;
    std::vector<Metrics> seeds(static_cast<std::size_t>(options.seeds));
    std::atomic<int> next { 0 };
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options.threads));
    for (int thread = 0; thread < std::min(options.threads, options.seeds); ++thread) {
        threads.emplace_back([&] {
            for (int index = next++; index < options.seeds; index = next++) {
                seeds[static_cast<std::size_t>(index)] =
                    runSeed(deployment, scenario, storeModel, options.seed + static_cast<std::uint64_t>(index));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    print(options, std::string(deployment.name) + '.' + std::string(scenarioName(scenario)), seeds);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    std::set<std::string> scenarios { "all" };
    for (std::size_t index = 0; index < ScenarioCount; ++index) {
        scenarios.insert(std::string(scenarioName(static_cast<Scenario>(index))));
    }
    CLI::App app("Measures scheduling decisions under load. Prints one line per metric: name value unit; with several seeds, the median.");
    app.add_option("--seed", options.seed, "First seed");
    app.add_option("--seeds", options.seeds, "Number of seeds")->check(CLI::Range(1, 1000));
    app.add_option("--deployment", options.deployment)->check(CLI::IsMember({ "kumasi", "ksiegowo" }));
    app.add_option("--scenario", options.scenario)->check(CLI::IsMember(scenarios));
    app.add_option("--store", options.store, "Model of the weight store's capacity limit")->check(CLI::IsMember({ "rate", "parallel" }));
    app.add_option("--threads", options.threads, "Number of seeds to run in parallel")->check(CLI::Range(1, 64));
    app.add_option("--offered", options.offeredRate, "Requests per second, overrides the deployment's value");
    app.add_option("--stall-weight", options.stallWeight);
    app.add_option("--batch-weight", options.batchWeight);
    app.add_option("--urgent-slots", options.urgentSlots, "Percentage of slots reserved for urgent requests");
    CLI11_PARSE(app, argc, argv);

    Deployment deployment = options.deployment == "kumasi" ? kumasi() : ksiegowo();
    deployment.offeredRate = options.offeredRate > 0 ? options.offeredRate : deployment.offeredRate;
    deployment.stallWeight = options.stallWeight >= 0 ? options.stallWeight : deployment.stallWeight;
    deployment.batchWeight = options.batchWeight >= 0 ? options.batchWeight : deployment.batchWeight;
    deployment.urgentSlotsPercent = options.urgentSlots >= 0 ? options.urgentSlots : deployment.urgentSlotsPercent;
    for (std::size_t index = 0; index < ScenarioCount; ++index) {
        const auto scenario = static_cast<Scenario>(index);
        if (options.scenario == "all" || options.scenario == scenarioName(scenario)) {
            runScenario(options, deployment, scenario);
        }
    }
    return 0;
}
