#pragma once

#include "coordination/fleetmessage.h"
#include "coordination/residencytable.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <utility>
#include <vector>

namespace ApricotStep
{

/** An adapter that requests wait for. */
struct PendingAdapter
{
    AdapterRef adapter;
    /** Only copies on engines with this software version count; empty if all do. */
    SoftwareVersion software;
    /** The adapter is loaded somewhere, but requests would wait too long there. */
    bool hasOverloadedCopies = false;
    /** Since when the adapter has been pending without interruption. */
    Time since;
    /** Number of waiting requests, and until when the most recent one can begin within its latency objective. */
    std::uint32_t waiting = 0;
    Time objectiveDeadline;
};

/**
 * The adapters in use and the pending adapters of all nodes together. Not thread-safe.
 *
 * The sums are computed once after each message and not in each getter, since a plan asks for each copy of each engine whether a request
 * runs on it.
 */
class FleetDemand
{
public:
    /** How long a report of a node stays valid: six missed messages. */
    static constexpr Duration UseTimeout { 1500 };

    explicit FleetDemand(Duration popularityHalfLife);

    /** Replaces what @p node runs and waits for. */
    void onUses(const NodeId &node, const std::vector<AdapterUse> &uses, Time now);
    /** Replaces what @p node waits for; what it runs stays as last reported. */
    void onPendingAdapters(const NodeId &node, const std::vector<AdapterUse> &pendingAdapters, Time now);
    /** Updates the sums to @p now; the getters below refer to that time. */
    void refresh(Time now);

    bool isUsed(const UpstreamId &engine, const AdapterRef &adapter) const;
    /** Unsorted, since the order changes with time; sortPendingAdapters() sorts them in each round. */
    const std::vector<PendingAdapter> &pendingAdapters() const;
    /** Number of requests for the adapter, each weighted by exponential decay with the half-life. */
    double popularity(const AdapterRef &adapter, Time now) const;

private:
    struct Popularity
    {
        double value = 0;
        Time at;
    };
    struct NodeUses
    {
        std::vector<AdapterUse> uses;
        Time lastReceivedAt;
    };

    void removeUnresponsive(Time now);
    void removeUnpopular(Time now);
    void aggregate(Time now);

    Duration m_popularityHalfLife;
    absl::flat_hash_map<NodeId, NodeUses> m_nodes;
    absl::flat_hash_map<AdapterRef, Popularity> m_popularity;
    absl::flat_hash_set<std::pair<UpstreamId, AdapterRef>> m_used;
    std::vector<PendingAdapter> m_pendingAdapters;
    bool m_isChanged = false;
    Time m_lastSweepAt;
};

} // namespace ApricotStep
