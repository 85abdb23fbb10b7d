#pragma once

#include "coordination/brittleupstreams.h"
#include "coordination/contentquarantine.h"
#include "coordination/enginespeed.h"
#include "coordination/indirectprobes.h"
#include "coordination/streamorigins.h"
#include "coordination/teamcredit.h"
#include "coordination/upstreamdirectory.h"
#include "coordination/upstreamlimits.h"
#include "coordination/upstreamrests.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ApricotStep
{

/** What one node has running at one upstream. */
struct UpstreamLoad
{
    UpstreamId upstream;
    /** Requests sent and not ended. */
    std::uint32_t running = 0;
    /** Prompt tokens of the requests that have not answered yet. */
    std::uint32_t pendingTokens = 0;
    /** Tokens of prompts and expected answers of the running requests; 0 in messages of versions that do not report them. */
    std::uint32_t reservedTokens = 0;

    bool operator==(const UpstreamLoad &) const = default;
};

/** An adapter that requests run on or wait for, on one engine or on none yet. */
struct AdapterUse
{
    BaseModelId model;
    AdapterId adapter;
    /** Empty for requests that have not been assigned to an engine. */
    UpstreamId engine;
    /** Requests that started or arrived since the last message. */
    std::uint32_t count = 0;
    /** The existing copies would make requests wait too long. */
    bool hasOverloadedCopies = false;
    /** Number of waiting requests, and how long the most recent one can still wait to begin within its latency objective. */
    std::uint32_t waiting = 0;
    Duration latencySlack;
    /** The requests wait for a copy on an engine with this software version; empty if any will do. */
    SoftwareVersion software;

    bool operator==(const AdapterUse &) const = default;
};

/** Adds @p use to @p uses, or to the entry for the same adapter on the same engine. */
void addUse(std::vector<AdapterUse> &uses, const AdapterUse &use);

/** A copy of an adapter on an engine. */
struct AdapterCopy
{
    BaseModelId model;
    AdapterId adapter;
    /** Empty when unknown. */
    AdapterVersion version;
    /** Whether the copy is loaded; otherwise it is being loaded. */
    bool isReady = false;

    bool operator==(const AdapterCopy &) const = default;
};

/** The adapters of one engine, as its lease holder reports them. A later residency replaces an earlier one. */
struct EngineResidency
{
    UpstreamId engine;
    /** The start of the engine that this refers to. */
    std::int64_t startedAt = 0;
    /** The holder's fencing token and its count of residencies; the greater pair is the later. */
    FencingToken fence;
    std::uint64_t sequence = 0;
    std::vector<AdapterCopy> copies;

    bool operator==(const EngineResidency &) const = default;
};

/** What a node has observed of the weight store; for nodes that have just started. */
struct StoreView
{
    double maxConcurrentFetches = 0;
    Duration minFetchTime;
    Duration typicalFetchTime;
    /** Zero before any load of a cached adapter has been observed. */
    Duration typicalCachedLoadTime;
    /** Fetches have been observed to slow each other down. */
    bool hasSeenContention = false;
    /** Fetches in flight in the sender's scope, and those together with the adapters that wait for a fetch; 0 if the sender orders none. */
    std::uint32_t scopeFetches = 0;
    std::uint32_t scopeDemand = 0;

    bool operator==(const StoreView &) const = default;
};

/** A part of the engines; only one node at a time holds the lease to give orders to them. */
using EngineShard = StrongNumber<struct EngineShardTag>;

/** A request to all other nodes for the exclusive right to give orders to the engines of a shard for the time of the lease. */
struct LeaseClaim
{
    EngineShard shard;
    FencingToken fence;
    /** How long until the claimant gives orders; 0 if it does already. */
    Duration ordersIn;
    /** The claimant's clock when it sent the claim; returned in the grant. */
    Time sentAt;
};

/** How long ago the sender, while it held the lease, gave its last order to the engines of a shard. */
struct LastOrder
{
    EngineShard shard;
    Duration ago;
};

/** A node's agreement to grant the lease of this shard to no other node for the duration of the lease. */
struct LeaseGrant
{
    EngineShard shard;
    NodeId holder;
    Incarnation incarnation;
    /** Copied from the claim. */
    Time sentAt;
    /** The greatest fencing token of this shard that the sender has seen. */
    FencingToken greatestFence;
};

/**
 * Time since the last message after which a node that sends every @p interval counts as unresponsive: three messages in a row are lost, and
 * the next one is late.
 */
inline Duration heartbeatTimeout(Duration interval)
{
    constexpr int MaxMissedMessages = 3;
    constexpr Duration LateMessageMargin { 300 };
    return interval * MaxMissedMessages + LateMessageMargin;
}

/** The message that nodes send each other several times a second. */
struct FleetMessage
{
    NodeId sender;
    Incarnation incarnation;
    ZoneId zone;
    /** The availability zone whose engines the sender uses; empty when it uses all. */
    ZoneId scope;
    /** Share of a CPU core that the sender has, relative to that of the others. */
    double capacity = 0;
    /** Requests per second that the sender receives from callers. */
    double requestRate = 0;
    /** Maximum interval between the sender's messages to this receiver; zero if not given. */
    Duration interval;
    /** The revision up to which the sender has read the store, and whether it reads the store itself and gets answers. */
    std::uint64_t readRevision = 0;
    bool isReadingStore = false;
    /** For how long the sender has read the store without seeing an outage; zero if it does not read it. */
    Duration storeReadingTime;
    /** IP address and port for callers and for other nodes. */
    std::string callerAddress;
    std::string peerAddress;
    bool isReady = false;
    bool isLeaving = false;
    /** The sender may soon be unable to tell which keys have been withdrawn; callers with keys should use other nodes. */
    bool hasOutdatedKeys = false;
    ConfigVersion configVersion;
    std::vector<LeaseClaim> claims;
    std::vector<LeaseGrant> grants;
    /** How long the sender has been running; an earlier process with the same id has given no orders during this time. */
    Duration uptime;
    std::vector<LastOrder> lastOrders;
    /** Number of nodes that the sender has received messages from and remembers, itself included; 0 if not given. */
    std::uint32_t rememberedNodes = 0;
    /** The sender, or a node that told it, has had contact with the rest of the fleet. Not set by versions that do not know. */
    bool isFleetKnown = false;
    /** The size of the fleet that the sender was told at its start, and how long ago; 0 if it was told none. */
    std::uint32_t reportedNodes = 0;
    Duration reportedAgo;
    /** Shards whose leases the sender releases. */
    std::vector<EngineShard> releases;
    /** Peer addresses of nodes that the sender has recently received messages from, for nodes that know few others. */
    std::vector<std::string> contacts;
    /** Unset in messages without load information. */
    std::optional<std::vector<UpstreamLoad>> loads;
    std::vector<AdapterUse> uses;
    std::vector<EngineResidency> residencies;
    /** The load of all nodes together at the engines that the sender gives orders to, for nodes that do not use these engines. */
    std::vector<UpstreamLoad> engineLoads;
    /** Unset if the sender has observed no fetch or does not include it. */
    std::optional<StoreView> store;
    /** Questions to the issuer of teams' credit, and its answers. */
    std::vector<CreditQuery> creditQueries;
    std::vector<CreditGrant> creditGrants;
    /** What upstreams lately stated in answers to the sender. */
    std::vector<UpstreamLimitStatement> upstreamLimits;
    /** The rests that upstreams asked the sender for. */
    std::vector<UpstreamRest> upstreamRests;
    /** Engines that the sender has lately observed to be slower or faster than others. */
    std::vector<EngineSpeedReport> engineSpeeds;
    /** Upstreams that lately stated in answers to the sender that they are leaving. */
    std::vector<UpstreamStart> leavingUpstreams;
    /** The services whose upstreams the sender cannot connect to. */
    std::vector<ServiceName> unreachableServices;
    /** What the sender lately heard of upstreams that fail if they turn too many requests away. */
    std::vector<BrittleStatement> brittleUpstreams;
    /** Streams that the sender has begun, for nodes at which their callers take them up again. */
    std::vector<BegunStream> begunStreams;
    std::vector<StreamQuery> streamQueries;
    std::vector<StreamAnswer> streamAnswers;
    /** What the sender knows of content under which upstreams end. */
    QuarantineStatements quarantine;
    /** Upstreams that the receiver is asked to probe, and what the sender found when it was asked. */
    std::vector<UpstreamStart> probeRequests;
    std::vector<ProbeResult> probeResults;
};

} // namespace ApricotStep
