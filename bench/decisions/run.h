#pragma once

#include "bench/decisions/fakes.h"
#include "bench/decisions/workload.h"

#include <array>
#include <string_view>
#include <vector>

namespace DecisionBench
{

enum class Policy {
    /** The modules of coordination/: scheduler, placement, replica choice and load permits. */
    Ours,
    RandomLru,
    LeastLoadedLru,
    HashLru,
    Fifo,
};
inline constexpr std::size_t PolicyCount = 5;
std::string_view policyName(Policy policy);

/** The result of one request as its caller sees it. */
struct Outcome
{
    /** Time from arrival until the adapter was loaded, 0 if it already was; only valid for a dispatched request. */
    Micros stall = 0;
    Micros firstTokenAt = -1;
    bool isDispatched = false;
    bool isComplete = false;
    /** An engine restart interrupted the answer, and the caller got an error. */
    bool isInterrupted = false;
    /** The caller was told that the request did not run. */
    bool isRefused = false;
};

struct RunResult
{
    std::vector<Arrival> arrivals;
    std::vector<Outcome> outcomes;
    /** Counted from WarmUp to ArrivalsEnd only. */
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
