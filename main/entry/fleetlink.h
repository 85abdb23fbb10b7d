#pragma once

#include "coordination/fleetmessage.h"
#include "coordination/fleetscope.h"
#include "coordination/orderlease.h"
#include "coordination/shardmap.h"
#include "main/entry/clusterstate.h"
#include "main/entry/eventlog.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ApricotStep
{

/** How a node appears to the others. */
struct FleetIdentity
{
    NodeId id;
    Incarnation incarnation;
    ZoneId zone;
    /** All availability zones of the fleet. */
    std::vector<ZoneId> zones;
    /** Share of a core that this node has. */
    double capacity = 0;
    std::string callerAddress;
    std::string peerAddress;
    std::vector<std::string> seeds;
};

/** Another node, as last heard of. */
struct Peer
{
    NodeId id;
    ZoneId zone;
    /** Whose engines it uses; empty: all. */
    ZoneId scope;
    std::string callerAddress;
    std::string peerAddress;
    bool isReady = false;
    bool isLeaving = false;
    ConfigVersion configVersion;
    Time lastReceivedAt;
    double capacity = 0;
    std::uint64_t readRevision = 0;
    bool isReadingStore = false;
    /** It counts as alive while it was heard of within this. */
    Duration heartbeatTimeout;
};

/** What this node says of its reading of the store. */
struct StoreReadState
{
    std::uint64_t revision = 0;
    bool isReading = false;
};

/** What this node says of its load. */
struct NodeLoadReport
{
    std::vector<UpstreamLoad> loads;
    std::vector<AdapterUse> uses;
};

/** Exchanges datagrams with the other nodes: who lives, what runs where, who gives orders. */
class FleetLink
{
public:
    struct Callbacks
    {
        /** Asked before each message that speaks of load; what was counted since is counted anew. */
        std::function<NodeLoadReport()> loadReport;
        /** Adapters that requests of this node wait for. */
        std::function<std::vector<AdapterUse>()> pendingAdapters;
        /** Whether this node takes requests. */
        std::function<bool()> isReady;
        /** A peer said what it runs and waits for. */
        std::function<void(const NodeId &, const std::vector<AdapterUse> &)> onUses;
        /** A peer said only what it waits for. */
        std::function<void(const NodeId &, const std::vector<AdapterUse> &)> onPendingAdapters;
        /** How far this node has read the store, and whether it reads it itself. */
        std::function<StoreReadState()> storeReadState;
        /** A peer has read further than it had. */
        std::function<void()> onPeerReadFurther;
        /** Rows of engines that were news. */
        std::function<void()> onResidencyChanged;
        /** A peer has a later configuration than this node. */
        std::function<void(const Peer &)> onNewerConfiguration;
    };

    FleetLink(
        IoLoop &loop, EventLog &log, ClusterState &clusterState, FleetIdentity identity, OrderLeaseLimits limits, Callbacks callbacks);
    ~FleetLink();

    /** Opens the socket and begins. Errors: SettingsInvalid. */
    Result<bool> start();
    /** Tells all that this node leaves; it gives no orders from now on. */
    void leave();
    /** Tells the nodes that give orders at once what this one waits for. */
    void sendPendingAdapters();
    /** Tells all nodes that use these engines. */
    void announce(const std::vector<EngineResidency> &residencies);

    const ShardMap &shards() const;
    /** The lease of one of shards(). */
    const OrderLease &lease(EngineShard shard) const;
    /** Whether what stands at the engines of both shards is told to the same nodes, and weighed together. */
    bool arePlannedTogether(EngineShard one, EngineShard other) const;
    /** How long until any node gives orders to engines; unset while this node does not hear most of the others. */
    std::optional<Duration> ordersIn() const;
    /** Whether the fleet is so large that nodes tell each other only of the engines that they share. */
    bool isDivided() const;
    /** Those of the alive peers that use the same engines as this node. */
    std::vector<const Peer *> scopePeers() const;
    /** Peers that are alive now. */
    std::vector<const Peer *> alive() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
