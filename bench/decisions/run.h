#pragma once

#include "bench/decisions/fakes.h"
#include "bench/decisions/workload.h"

#include <array>
#include <string_view>
#include <vector>

namespace DecisionBench
{

enum class Policy {
    /** The modules of coordination/. */
    Ours,
    RandomLru,
    LeastLoadedLru,
    HashLru,
    Fifo,
};
inline constexpr std::size_t PolicyCount = 5;
std::string_view policyName(Policy policy);

/** What a caller received for one request. */
struct Outcome
{
    /** From arrival until its adapter was loaded; only valid when dispatched. */
    Micros stall = 0;
    Micros firstTokenAt = -1;
    bool isDispatched = false;
    bool isComplete = false;
    /** A restart of the engine cut the answer off, and the caller was told. */
    bool isInterrupted = false;
    /** Told that it was not run. */
    bool isRefused = false;
};

struct RunResult
{
    std::vector<Arrival> arrivals;
    std::vector<Outcome> outcomes;
    /** Of the judged time. */
    std::int64_t steps = 0;
    std::int64_t stepTokens = 0;
    int loads = 0;
    /** Violations; all must be 0. */
    int evictedInUse = 0;
    int sentToUnloaded = 0;
    int refusedButDispatched = 0;
};

struct RunOptions
{
    Policy policy = Policy::Ours;
    Scenario scenario = Scenario::Steady;
    StoreModel storeModel = StoreModel::Rate;
    std::uint64_t seed = 1;
};

RunResult runSimulation(const Deployment &deployment, const RunOptions &options);

} // namespace DecisionBench
