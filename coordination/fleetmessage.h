#pragma once

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
    /** Prompt tokens of those that have not answered yet. */
    std::uint32_t pendingTokens = 0;

    bool operator==(const UpstreamLoad &) const = default;
};

/** An adapter that requests run on or wait for, at one engine or at none yet. */
struct AdapterUse
{
    BaseModelId model;
    AdapterId adapter;
    /** Where; empty for a request that has no place yet. */
    UpstreamId engine;
    /** Requests that started or arrived since the last message. */
    std::uint32_t count = 0;
    /** The copies that there are would make requests wait too long. */
    bool hasOverloadedCopies = false;
    /** Requests that wait for it, and how long the freshest of them can still wait and begin within its latency objective. */
    std::uint32_t waiting = 0;
    Duration latencySlack;

    bool operator==(const AdapterUse &) const = default;
};

/** Adds @p use to @p uses, or to what they hold of the same adapter at the same engine. */
void addUse(std::vector<AdapterUse> &uses, const AdapterUse &use);

/** Where one copy of an adapter stands. */
struct AdapterCopy
{
    BaseModelId model;
    AdapterId adapter;
    /** Empty when not known. */
    AdapterVersion version;
    /** In place; else on its way. */
    bool isReady = false;

    bool operator==(const AdapterCopy &) const = default;
};

/** The adapters of one engine, as its holder knows them. A later row replaces an earlier one. */
struct EngineResidency
{
    UpstreamId engine;
    /** The start of the engine that this speaks of. */
    std::int64_t startedAt = 0;
    /** The holder's fencing token, then its count of rows: the greater pair is the later. */
    FencingToken fence;
    std::uint64_t sequence = 0;
    std::vector<AdapterCopy> copies;

    bool operator==(const EngineResidency &) const = default;
};

/** What a node has seen of the weight store; for nodes that have just started. */
struct StoreView
{
    double maxConcurrentFetches = 0;
    Duration minFetchTime;
    Duration typicalFetchTime;
    /** Zero when no load at hand has been seen. */
    Duration typicalCachedLoadTime;
    /** Fetches have been seen to slow each other down. */
    bool hasSeenContention = false;

    bool operator==(const StoreView &) const = default;
};

/** A part of the engines; the orders to it have one holder at a time. */
using EngineShard = StrongNumber<struct EngineShardTag>;

/** A node asks all others to let it alone give orders to the engines of a shard for a while. */
struct LeaseClaim
{
    EngineShard shard;
    FencingToken fence;
    /** How long until the claimant gives orders: 0 when it does already. */
    Duration ordersIn;
    /** The claimant's clock when it sent this; comes back in the grant. */
    Time sentAt;
};

/** How long ago the sender gave its last order to a shard's engines, while it was the holder. */
struct LastOrder
{
    EngineShard shard;
    Duration ago;
};

/** A node's promise to let no other node give orders for the lease's time. */
struct LeaseGrant
{
    EngineShard shard;
    NodeId holder;
    Incarnation incarnation;
    /** The claim's. */
    Time sentAt;
    /** The greatest fencing token of this shard that the sender has heard of. */
    FencingToken greatestFence;
};

/**
 * How long a node that speaks every @p interval counts as alive after its last message: while no three of its messages in a row are lost,
 * and a late one has come.
 */
inline Duration heartbeatTimeout(Duration interval)
{
    constexpr int MaxMissedMessages = 3;
    constexpr Duration LateMessageMargin { 300 };
    return interval * MaxMissedMessages + LateMessageMargin;
}

/** What nodes tell each other, several times a second. */
struct FleetMessage
{
    NodeId sender;
    Incarnation incarnation;
    ZoneId zone;
    /** The availability zone whose engines the sender uses; empty when it uses all. */
    ZoneId scope;
    /** Share of a core that the sender has, against those of the others. */
    double capacity = 0;
    /** The sender speaks to this receiver at least this often; zero when it does not say. */
    Duration interval;
    /** How far the sender has read the store, and whether it reads it by itself and is answered. */
    std::uint64_t readRevision = 0;
    bool isReadingStore = false;
    /** IP number and port for callers and for other nodes. */
    std::string callerAddress;
    std::string peerAddress;
    bool isReady = false;
    bool isLeaving = false;
    ConfigVersion configVersion;
    std::vector<LeaseClaim> claims;
    std::vector<LeaseGrant> grants;
    /** How long the sender has run: its predecessor under the same id gave no orders since. */
    Duration uptime;
    std::vector<LastOrder> lastOrders;
    /** Nodes that the sender has heard of lately and remembers, itself included; 0 when it does not say. */
    std::uint32_t rememberedNodes = 0;
    /** The sender gives up these leases. */
    std::vector<EngineShard> releases;
    /** Peer addresses of nodes that the sender heard of lately, so that those who know few find the others. */
    std::vector<std::string> contacts;
    /** Unset in messages that do not speak of load. */
    std::optional<std::vector<UpstreamLoad>> loads;
    std::vector<AdapterUse> uses;
    std::vector<EngineResidency> residencies;
    /** Unset where the sender has seen no fetch, or does not say. */
    std::optional<StoreView> store;
};

} // namespace ApricotStep
