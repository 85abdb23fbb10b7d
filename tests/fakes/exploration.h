#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fakes
{

/** The promises of the brief, in its order. */
enum class Invariant {
    RightAdapter,
    NoEvictionInUse,
    OwnWholeAnswer,
    NotRunIsTrue,
    RunsAtMostOnce,
    NoWorkForLeaving,
    GracefulShutdown,
    ConfigurationHolds,
};
inline constexpr std::size_t InvariantCount = 8;
inline constexpr std::string_view InvariantNames[InvariantCount] = { "right_adapter", "no_eviction_in_use", "own_whole_answer",
    "not_run_is_true", "runs_at_most_once", "no_work_for_leaving", "graceful_shutdown", "configuration_holds" };

/** The guard that a history leaves out, to show that the exploration would notice. */
enum class Safeguard {
    None,
    /** The answer's model is compared with nothing, and the version is looked up again at dispatch. */
    VersionBinding,
    /** Evictions ignore the settle time and the load report. */
    EvictionWait,
    /** Dispatches ignore the lease. */
    Lease,
    /** An attempt takes any answer that arrives on its connection. */
    AttemptId,
    /** A broken connection counts as not sent. */
    SentState,
    /** Any node runs any key. */
    KeyOwner,
    /** An accepted key is forgotten when its attempt breaks. */
    LedgerMemory,
    /** The check right before sending ignores that the upstream leaves. */
    LeavingCheck,
    /** A shutdown waits for a fixed time only. */
    DrainWait,
    /** Lower configuration versions are taken. */
    VersionOrder,
    /** A node that starts does not ask its peers for the highest version. */
    StartVersion,
};
inline constexpr Safeguard AllSafeguards[] = { Safeguard::VersionBinding, Safeguard::EvictionWait, Safeguard::Lease, Safeguard::AttemptId,
    Safeguard::SentState, Safeguard::KeyOwner, Safeguard::LedgerMemory, Safeguard::LeavingCheck, Safeguard::DrainWait,
    Safeguard::VersionOrder, Safeguard::StartVersion };
std::string_view safeguardName(Safeguard guard);

struct HistoryResult
{
    std::uint64_t violations[InvariantCount] = {};
    /** What went wrong first; empty when nothing did. */
    std::string first;
    // What the history exercised, so that a run that tests nothing is seen as such.
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t evictions = 0;
    std::uint64_t payments = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t fenced = 0;

    std::uint64_t total() const;
};

/** One history of @p nodes nodes, 3 to 5; equal seeds give equal histories. */
HistoryResult exploreHistory(std::uint64_t seed, int nodes, Safeguard disabled);

} // namespace Fakes
