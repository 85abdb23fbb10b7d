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

/** Identity, resources and addresses of this node in the fleet. */
struct FleetIdentity
{
    NodeId id;
    Incarnation incarnation;
    ZoneId zone;
    /** All availability zones of the fleet. */
    std::vector<ZoneId> zones;
    /** Share of a CPU core that this node has. */
    double capacity = 0;
    std::string callerAddress;
    std::string peerAddress;
    std::vector<std::string> seeds;
};

/** Another node, as of its last message. */
struct Peer
{
    NodeId id;
    ZoneId zone;
    /** The availability zone whose engines it uses; empty when it uses all. */
    ZoneId scope;
    std::string callerAddress;
    std::string peerAddress;
    bool isReady = false;
    bool isLeaving = false;
    /** It may soon refuse callers with keys. */
    bool hasOutdatedKeys = false;
    ConfigVersion configVersion;
    Time lastReceivedAt;
    double capacity = 0;
    double requestRate = 0;
    std::uint64_t readRevision = 0;
    bool isReadingStore = false;
    /** It reads the store itself and has seen no outage since then; never() if it did not tell. */
    Time readingStoreSince = Time::never();
    /** It counts as alive for this long after its last message. */
    Duration heartbeatTimeout;
    /** The services whose upstreams it cannot connect to. */
    std::vector<ServiceName> unreachableServices;
};

/** How far this node has read the store, and whether it reads it itself. */
struct StoreReadState
{
    std::uint64_t revision = 0;
    bool isReading = false;
    /** For how long it has read the store without seeing an outage; zero if it does not read it. */
    Duration readingTime;
};

/** What this node has running at the upstreams, and the adapters in use. */
struct NodeLoadReport
{
    std::vector<UpstreamLoad> loads;
    std::vector<AdapterUse> uses;
};

/** Exchanges datagrams with the other nodes: heartbeats, load, the adapters at each engine, and the leases to give orders to engines. */
class FleetLink
{
public:
    struct Callbacks
    {
        /** Called before each message that reports load. Each arrival is counted only once. */
        std::function<NodeLoadReport()> loadReport;
        /** The pending adapters: those that requests of this node wait for. */
        std::function<std::vector<AdapterUse>()> pendingAdapters;
        /** Requests per second that this node receives from callers. */
        std::function<double()> requestRate;
        /** Whether this node accepts requests. */
        std::function<bool()> isReady;
        /** Whether this node may soon be unable to accept keys. */
        std::function<bool()> hasOutdatedKeys;
        /** A peer reported the adapters that its requests run on and wait for. */
        std::function<void(const NodeId &, const std::vector<AdapterUse> &)> onUses;
        /** A peer reported only its pending adapters. */
        std::function<void(const NodeId &, const std::vector<AdapterUse> &)> onPendingAdapters;
        /** Called for each message. */
        std::function<StoreReadState()> storeReadState;
        /** A peer has read the store up to a later revision than it had before. */
        std::function<void()> onPeerReadFurther;
        /** Engine residencies were updated. */
        std::function<void()> onResidencyChanged;
        /** This node holds the lease of a shard; called repeatedly. */
        std::function<void(std::uint64_t shard, FencingToken term)> onShardHeld;
        /** Returns the answer to a query for an account of a shard whose lease this node holds. */
        std::function<std::optional<CreditGrant>(std::uint64_t shard, const NodeId &, Incarnation, const CreditQuery &)> onCreditQuery;
        std::function<void(const std::vector<CreditGrant> &)> onCreditGrants;
        /** A peer repeats what upstreams stated in answers to it. */
        std::function<void(const NodeId &, const std::vector<UpstreamLimitStatement> &)> onUpstreamLimits;
        /** A peer repeats what it heard of upstreams that fail if they refuse too many requests. */
        std::function<void(const NodeId &, const std::vector<BrittleStatement> &)> onBrittleUpstreams;
        /** What a peer knows of content under which upstreams end. */
        std::function<void(const NodeId &, const QuarantineStatements &)> onQuarantineStatements;
        /** Upstreams stated in answers to a peer that they are leaving. */
        std::function<void(const std::vector<UpstreamStart> &)> onLeavingUpstreams;
        std::function<void(const std::vector<StreamAnswer> &)> onStreamAnswers;
        /** A peer asks this node to probe upstreams. */
        std::function<void(const NodeId &, const std::vector<UpstreamStart> &)> onProbeRequests;
        /** What a peer's probes have found. */
        std::function<void(const NodeId &, const std::vector<ProbeResult> &)> onProbeResults;
        /** A peer has a newer configuration than this node. */
        std::function<void(const Peer &)> onNewerConfiguration;
    };

    FleetLink(
        IoLoop &loop, EventLog &log, ClusterState &clusterState, FleetIdentity identity, OrderLeaseLimits limits, Callbacks callbacks);
    ~FleetLink();

    /** Opens the socket and starts to send heartbeats. Errors: SettingsInvalid. */
    Result<bool> start();
    /** Announces to all nodes that this one leaves, and releases its leases: it gives no orders from now on. */
    void leave();
    /** Sends this node's pending adapters to the lease holders without waiting for the next heartbeat. */
    void sendPendingAdapters();
    /** Sends what this node knows of brittle upstreams to all nodes without waiting for the next heartbeat. */
    void sendBrittleUpstreams();
    /** Sends what this node has learned of content under which upstreams end to all nodes without waiting for the next heartbeat. */
    void sendQuarantine();
    /** The order in which this node comes among the nodes that accept requests, for @p key; unset if it may be cut off from most others. */
    std::optional<int> rankFor(std::uint64_t key) const;
    /** Sends queries to the lease holders of their accounts' shards. Returns the accounts without a known holder. */
    std::vector<CreditAccount> sendCreditQueries(const std::vector<CreditQuery> &queries);
    /** Asks other nodes where a stream began. Returns the number of nodes asked; each answers once, unless the datagram is lost. */
    int sendStreamQuery(const StreamQuery &query);
    /** Asks @p peers to probe an upstream. */
    void sendProbeRequest(const UpstreamStart &upstream, const std::vector<NodeId> &peers);
    /** Tells a peer that has asked what this node's probe found. */
    void sendProbeResult(const NodeId &peer, const ProbeResult &result);
    /** Stores the residencies of engines that this node gives orders to, and sends them to all nodes that use these engines. */
    void announce(const std::vector<EngineResidency> &residencies);

    const ShardMap &shards() const;
    /** The lease of one of shards(). */
    const OrderLease &lease(EngineShard shard) const;
    /** Number of nodes that count towards majorities, this one included. */
    int knownNodes() const;
    /**
     * The number of nodes as of the last time that this node received messages from a majority of them; empty for a node that has just
     * started, or has never reached a majority.
     */
    std::optional<int> fleetSize() const;
    /** Whether the adapters at the engines of both shards are announced to the same nodes and planned together. */
    bool arePlannedTogether(EngineShard one, EngineShard other) const;
    /** Time until a lease holder gives orders to any engines in scope; unset if this node gets no messages from a majority of nodes. */
    std::optional<Duration> ordersIn() const;
    /** Whether the fleet is so large that nodes report load and adapters only to those that use the same engines. */
    bool isDivided() const;
    /** The alive peers that use the same engines as this node. */
    std::vector<const Peer *> scopePeers() const;
    /** Peers that are alive now. */
    std::vector<const Peer *> alive() const;
    /** Peers whose last message came within @p time. */
    std::vector<const Peer *> heardWithin(Duration time) const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
