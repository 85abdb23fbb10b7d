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
    /** Copies stand somewhere, but requests would wait too long there. */
    bool hasOverloadedCopies = false;
    /** Since when it is wanted without a break. */
    Time since;
    /** Requests that wait for it, and until when the freshest can begin within its latency objective. */
    std::uint32_t waiting = 0;
    Time objectiveDeadline;
};

/**
 * What the nodes together run and wait for, adapter by adapter. Not thread-safe.
 *
 * The sums are made once after each message and not at each question: a plan asks for each copy of each engine whether a request runs on
 * it.
 */
class FleetDemand
{
public:
    /** What a node said counts for this long: six messages missed. */
    static constexpr Duration UseTimeout { 1500 };

    explicit FleetDemand(Duration popularityHalfLife);

    /** What @p node runs and waits for; replaces what it said before. */
    void onUses(const NodeId &node, const std::vector<AdapterUse> &uses, Time now);
    /** What @p node waits for now; what it runs stays as it said before. */
    void onPendingAdapters(const NodeId &node, const std::vector<AdapterUse> &pendingAdapters, Time now);
    /** Brings the sums up to @p now; the questions below are about that moment. */
    void refresh(Time now);

    bool isUsed(const UpstreamId &engine, const AdapterRef &adapter) const;
    /** In no order: which is to be loaded first changes with time, and sortPendingAdapters() says so each round. */
    const std::vector<PendingAdapter> &pendingAdapters() const;
    /** Requests for it, each counting half after the half life. */
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
