#pragma once

#include "coordination/workitem.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace DecisionBench
{

/** Virtual time in microseconds, since a step of an engine is not a whole number of milliseconds. */
using Micros = std::int64_t;
inline constexpr Micros Second = 1'000'000;
inline constexpr Micros Millisecond = 1'000;

enum class Scenario {
    Light,
    Steady,
    Burst,
    HotCaller,
    HotAdapter,
    SlowUpstream,
    LongAmongShort,
    Overload2,
    Overload5,
    PopularityShift,
    EngineRestart,
    LoadFailures,
};
inline constexpr std::size_t ScenarioCount = 12;
std::string_view scenarioName(Scenario scenario);

/** How one class of requests looks. */
struct ClassProfile
{
    /** Part of all requests, 0 to 1. */
    double share = 0;
    int minTokens = 1;
    int maxTokens = 1;
    /** Allowance to the first token. */
    Micros allowance = 0;
};

/** The sizes of one user's deployment. */
struct Deployment
{
    std::string_view name;
    int engines = 9;
    int slots = 8;
    int batch = 16;
    int adapters = 3000;
    int callers = 200;
    double zipf = 1.0;
    /** Requests a second that the loads sustain one by one at this skew: store rate / misses of keeping the most popular. */
    double capacity = 4.5;
    /** Offered in the scenarios that are not overload. */
    double offeredRate = 4.0;
    ClassProfile classes[ApricotStep::PriorityCount];
    int stallWeight = 50;
    int batchWeight = 50;
    int urgentSlotsPercent = 25;
    /** A step of the engine: base + perRequest for each that runs, and prefill for each that joins. */
    Micros stepBase = 25 * Millisecond;
    Micros stepPerRequest = Millisecond;
    Micros prefill = 30 * Millisecond;
};
Deployment kumasi();
Deployment ksiegowo();

struct Arrival
{
    Micros at = 0;
    int adapter = 0;
    int caller = 0;
    ApricotStep::Priority priority = ApricotStep::Priority::Standard;
    int tokens = 1;
    Micros deadline = 0;
};

inline constexpr int HotCaller = 0;
/** Arrivals before this are served but not judged: all engines start empty. */
inline constexpr Micros WarmUp = 120 * Second;
inline constexpr Micros ArrivalsEnd = 720 * Second;

/** The arrivals of one run, in order of time. The same seed gives the same ones to each policy. */
std::vector<Arrival> makeArrivals(const Deployment &deployment, Scenario scenario, std::uint64_t seed);

} // namespace DecisionBench
