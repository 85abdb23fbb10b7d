#pragma once

#include "coordination/workitem.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace DecisionBench
{

/** Virtual time in microseconds, because an engine step is not a whole number of milliseconds. */
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

/** The request mix of one priority class. */
struct ClassProfile
{
    /** Share of all requests, 0 to 1. */
    double share = 0;
    int minTokens = 1;
    int maxTokens = 1;
    /** Allowed time from arrival to the first token. */
    Micros allowance = 0;
};

/** Size and load of one deployment. */
struct Deployment
{
    std::string_view name;
    int engines = 9;
    int slots = 8;
    int batch = 16;
    int adapters = 3000;
    int callers = 200;
    double zipf = 1.0;
    /**
     * Requests per second that adapter loads can sustain at this popularity skew if requests run one at a time: the store's load rate
     * divided by the miss ratio when the most popular adapters stay loaded.
     */
    double capacity = 4.5;
    /** Requests per second in the scenarios without overload. */
    double offeredRate = 4.0;
    ClassProfile classes[ApricotStep::PriorityCount];
    int stallWeight = 50;
    int batchWeight = 50;
    int urgentSlotsPercent = 25;
    /** An engine step takes stepBase, plus stepPerRequest for each request in the batch, plus prefill for each that joins it. */
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
/** Arrivals before this time are served but not measured, because all engines start without adapters. */
inline constexpr Micros WarmUp = 120 * Second;
inline constexpr Micros ArrivalsEnd = 720 * Second;

/** Returns the arrivals of one run in order of time. With the same seed, every policy gets the same arrivals. */
std::vector<Arrival> makeArrivals(const Deployment &deployment, Scenario scenario, std::uint64_t seed);

} // namespace DecisionBench
