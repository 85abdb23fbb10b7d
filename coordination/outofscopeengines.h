#pragma once

#include "coordination/residencytable.h"
#include "coordination/upstreamchoice.h"
#include "coordination/upstreamloadtracker.h"
#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

namespace ApricotStep
{

// In a large fleet each zone's nodes use the engines of their own zone, so each zone loads the adapters that its callers ask for, although
// another zone may have them loaded half a millisecond away. After a shift of demand or a restart, the weight store is the bottleneck: with
// six zones, three of ten requests wait for a load, half of these are refused in the end, and a third of the loads fetch an adapter that
// another zone has. Meanwhile the engines of the zones with few callers are idle.
//
// Engines list their adapters in the store, and lease holders add the load of their engines to the messages that they send to all nodes
// anyway. Both are up to a second old. Therefore an engine out of scope is used only if no engine in scope can begin the request soon and
// the other one is expected to, by a wide margin. A stale choice costs little: an engine that no longer has the adapter refuses the request
// before it runs.

struct OutOfScopeLimits
{
    /** Older loads are not used: four messages of a lease holder were lost or it is gone. */
    Duration maxLoadAge { 2500 };
    /** The expected time to first token must be shorter than in scope by this factor, since the load is older. */
    double requiredGain = 2;
};

/** The engines outside of this node's scope: which adapters they have, and their load. Not thread-safe. */
class OutOfScopeEngines
{
public:
    explicit OutOfScopeEngines(OutOfScopeLimits limits);

    /** Sets the record of an engine. The engines in scope may be set as well. */
    void put(const UpstreamRecord &record);
    void remove(const UpstreamId &engine);
    /** The engine refused a request for the adapter: its record is outdated in this respect until it changes. */
    void markMissing(const UpstreamId &engine, const AdapterRef &adapter);
    /** A lease holder reported the load of its engines. */
    void onLoads(const std::vector<UpstreamLoad> &loads, Time now);

    /** The engines whose records list @p adapter. */
    std::vector<UpstreamId> enginesWith(const AdapterRef &adapter) const;
    /** The version of @p adapter that the engine lists; unset if it does not list the adapter. */
    std::optional<AdapterVersion> version(const UpstreamId &engine, const AdapterRef &adapter) const;
    /** Unset if no holder has reported it lately. */
    std::optional<FleetLoad> load(const UpstreamId &engine, Time now) const;

private:
    struct KnownLoad
    {
        FleetLoad load;
        Time at;
    };

    OutOfScopeLimits m_limits;
    absl::flat_hash_map<UpstreamId, UpstreamRecord> m_records;
    absl::flat_hash_map<AdapterRef, std::vector<UpstreamId>> m_enginesByAdapter;
    absl::flat_hash_map<UpstreamId, KnownLoad> m_loads;
};

/**
 * Whether a request should go to an engine out of scope. @p inScope: the expected time to first token at the best engine in scope; unset if
 * none has the adapter. @p outOfScope: the same out of scope. @p acceptableWait: waits that are no reason to leave the scope.
 */
bool shouldLeaveScope(std::optional<Duration> inScope, Duration outOfScope, Duration acceptableWait, const OutOfScopeLimits &limits);

} // namespace ApricotStep
