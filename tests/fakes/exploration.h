#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fakes
{

/** The guarantees that every history must keep. */
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

/** A safeguard that a history disables, to show that the exploration detects its absence. The comments say what happens without it. */
enum class Safeguard {
    None,
    /** The adapter version is resolved again at dispatch, and the model named in the answer is not checked. */
    VersionBinding,
    /** Evictions ignore the settle time and the load report. */
    EvictionWait,
    /** Dispatches ignore the lease. */
    Lease,
    /** An attempt accepts any answer that arrives on its connection. */
    AttemptId,
    /** A broken connection counts as not sent. */
    SentState,
    /** Any node runs a request with any key. */
    KeyOwner,
    /** The ledger is lost when an attempt fails. */
    LedgerMemory,
    /** The check right before sending ignores that the upstream is leaving. */
    LeavingCheck,
    /** A shutdown waits for a fixed time only. */
    DrainWait,
    /** Lower configuration versions are accepted. */
    VersionOrder,
    /** A starting node does not ask its peers for the highest configuration version. */
    StartVersion,
};
inline constexpr Safeguard AllSafeguards[] = { Safeguard::VersionBinding, Safeguard::EvictionWait, Safeguard::Lease, Safeguard::AttemptId,
    Safeguard::SentState, Safeguard::KeyOwner, Safeguard::LedgerMemory, Safeguard::LeavingCheck, Safeguard::DrainWait,
    Safeguard::VersionOrder, Safeguard::StartVersion };
std::string_view safeguardName(Safeguard guard);

struct HistoryResult
{
    std::uint64_t violations[InvariantCount] = {};
    /** The first violation; empty if there was none. */
    std::string first;
    // Events of the history, to detect a run that tests nothing.
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t evictions = 0;
    std::uint64_t payments = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t fenced = 0;

    std::uint64_t total() const;
};

/** Runs one simulated history of 3 to 5 nodes with faults; equal seeds give equal histories. */
HistoryResult exploreHistory(std::uint64_t seed, int nodes, Safeguard disabled);

} // namespace Fakes
