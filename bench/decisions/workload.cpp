#include "bench/decisions/workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>

namespace DecisionBench
{

namespace
{

using ApricotStep::Priority;

constexpr double HotCallerFactor = 19; // In addition to its regular share, so 20 times in total.
constexpr double HotAdapterShare = 0.3;
constexpr double LongShare = 0.05;
constexpr int LongTokens = 4000;
constexpr Micros BurstEvery = 120 * Second;
constexpr Micros BurstLength = 20 * Second;
constexpr double BurstFactor = 4;
constexpr Micros ShiftEvery = 180 * Second;
constexpr int ShiftedRanks = 30;

class Popularity
{
public:
    Popularity(const Deployment &deployment, std::mt19937_64 &random)
        : m_adapterOfRank(static_cast<std::size_t>(deployment.adapters))
    {
        double sum = 0;
        for (int rank = 1; rank <= deployment.adapters; ++rank) {
            sum += 1.0 / std::pow(rank, deployment.zipf);
            m_cumulated.push_back(sum);
        }
        std::iota(m_adapterOfRank.begin(), m_adapterOfRank.end(), 0);
        std::shuffle(m_adapterOfRank.begin(), m_adapterOfRank.end(), random);
    }
    int draw(std::mt19937_64 &random) const
    {
        std::uniform_real_distribution<double> uniform(0, m_cumulated.back());
        const auto at = std::lower_bound(m_cumulated.begin(), m_cumulated.end(), uniform(random));
        return m_adapterOfRank[static_cast<std::size_t>(at - m_cumulated.begin())];
    }
    int mostPopular() const
    {
        return m_adapterOfRank.front();
    }
    /** Swaps each of the most popular adapters with a randomly chosen rarer one. */
    void shift(std::mt19937_64 &random)
    {
        std::uniform_int_distribution<std::size_t> rareRank(ShiftedRanks, m_adapterOfRank.size() - 1);
        for (std::size_t rank = 0; rank < ShiftedRanks; ++rank) {
            std::swap(m_adapterOfRank[rank], m_adapterOfRank[rareRank(random)]);
        }
    }

private:
    std::vector<double> m_cumulated;
    std::vector<int> m_adapterOfRank;
};

double rateAt(const Deployment &deployment, Scenario scenario, Micros at)
{
    switch (scenario) {
    case Scenario::Light:
        return deployment.offeredRate * 0.6;
    case Scenario::Overload2:
        return deployment.capacity * 2;
    case Scenario::Overload5:
        return deployment.capacity * 5;
    case Scenario::Burst:
        // The mean rate equals that of the steady scenario.
        return deployment.offeredRate * (at % BurstEvery < BurstLength ? BurstFactor : 0.4);
    default:
        return deployment.offeredRate;
    }
}

Priority drawClass(const Deployment &deployment, std::mt19937_64 &random)
{
    double remaining = std::uniform_real_distribution<double>(0, 1)(random);
    for (std::size_t index = 0; index + 1 < ApricotStep::PriorityCount; ++index) {
        remaining -= deployment.classes[index].share;
        if (remaining < 0) {
            return static_cast<Priority>(index);
        }
    }
    return Priority::Patient;
}

Arrival drawArrival(const Deployment &deployment, Scenario scenario, const Popularity &popularity, Micros at, std::mt19937_64 &random)
{
    Arrival arrival;
    arrival.at = at;
    arrival.priority = drawClass(deployment, random);
    const ClassProfile &profile = deployment.classes[static_cast<std::size_t>(arrival.priority)];
    arrival.tokens = std::uniform_int_distribution<int>(profile.minTokens, profile.maxTokens)(random);
    arrival.caller = std::uniform_int_distribution<int>(0, deployment.callers - 1)(random);
    arrival.adapter = popularity.draw(random);
    const double chance = std::uniform_real_distribution<double>(0, 1)(random);
    if (scenario == Scenario::HotAdapter && chance < HotAdapterShare) {
        arrival.adapter = popularity.mostPopular();
    }
    if (scenario == Scenario::LongAmongShort && chance < LongShare) {
        arrival.tokens = LongTokens;
    }
    arrival.deadline = at + profile.allowance;
    return arrival;
}

Micros interarrivalTime(double rate, std::mt19937_64 &random)
{
    return static_cast<Micros>(std::exponential_distribution<double>(rate)(random) * static_cast<double>(Second));
}

} // namespace

std::string_view scenarioName(Scenario scenario)
{
    static constexpr std::array<std::string_view, ScenarioCount> Names { "light", "steady", "burst", "hot-caller", "hot-adapter",
        "slow-upstream", "long-among-short", "overload2", "overload5", "popularity-shift", "engine-restart", "load-failures" };
    return Names[static_cast<std::size_t>(scenario)];
}

// The allowances of urgent and standard requests are the defaults of [deadlines]. Those of patient requests are shorter than the default,
// so that a run of 12 minutes can show missed deadlines.
// Mix of a training provider: half of the requests are schedule lookups and kitchen questions, about a third lesson reviews, the rest
// assessments.
Deployment kumasi()
{
    Deployment deployment;
    deployment.name = "kumasi";
    deployment.classes[0] = { 0.50, 40, 120, 10 * Second };
    deployment.classes[1] = { 0.35, 200, 600, 60 * Second };
    deployment.classes[2] = { 0.15, 400, 1200, 900 * Second };
    deployment.stallWeight = 90;
    deployment.batchWeight = 10;
    return deployment;
}

// Mix of an accounting office: half of the requests are summaries of a month of documents, a quarter drafts, a quarter short questions.
Deployment ksiegowo()
{
    Deployment deployment;
    deployment.name = "ksiegowo";
    deployment.batch = 32;
    deployment.stepPerRequest = Millisecond / 2;
    deployment.classes[0] = { 0.25, 60, 150, 10 * Second };
    deployment.classes[1] = { 0.25, 300, 800, 60 * Second };
    deployment.classes[2] = { 0.50, 800, 2400, 1800 * Second };
    deployment.stallWeight = 20;
    deployment.batchWeight = 80;
    return deployment;
}

std::vector<Arrival> makeArrivals(const Deployment &deployment, Scenario scenario, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Popularity popularity(deployment, random);
    std::vector<Arrival> arrivals;
    Micros nextShift = ShiftEvery;
    for (Micros at = 0; at < ArrivalsEnd;) {
        at += interarrivalTime(rateAt(deployment, scenario, at), random);
        if (scenario == Scenario::PopularityShift && at >= nextShift) {
            popularity.shift(random);
            nextShift += ShiftEvery;
        }
        arrivals.push_back(drawArrival(deployment, scenario, popularity, at, random));
    }
    if (scenario == Scenario::HotCaller) {
        // Uses a separate random generator, so that the requests of the other callers are the same as in the steady scenario.
        std::mt19937_64 hotRandom(seed + 1'000'003);
        const double rate = deployment.offeredRate / deployment.callers * HotCallerFactor;
        for (Micros at = WarmUp; at < ArrivalsEnd;) {
            at += interarrivalTime(rate, hotRandom);
            arrivals.push_back(drawArrival(deployment, scenario, popularity, at, hotRandom));
            arrivals.back().caller = HotCaller;
        }
        std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    }
    return arrivals;
}

} // namespace DecisionBench
