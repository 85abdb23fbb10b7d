#pragma once

#include "coordination/fleetmessage.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ApricotStep
{

// The leases of all shards are granted by the same nodes. Each node receives messages from all others: with 195 nodes and a dozen shards, a
// list of voters for each lease would be updated three thousand times a second, a seventh of what a small node spends on a calm day.
// Therefore all leases of a node share one list.

struct LeaseVoterLimits
{
    /**
     * A node from which no message has arrived for this long no longer counts towards the majority, but only for nodes that receive
     * messages from more than half of all nodes. The minority side of a partition never removes nodes; otherwise both sides would elect a
     * holder. A minute outlasts the restarts of a whole fleet.
     */
    Duration voterTimeout = Duration::seconds(60);
    /** How long a node that left still counts: it may have returned behind a partition, where it grants the lease to the other side. */
    Duration leavingVoterTimeout = Duration::seconds(15);
    /**
     * Minimum time for which a node counts as live after its last message. Allows for three consecutive lost messages of a node that does
     * not state its heartbeat interval.
     */
    Duration livenessTimeout { 900 };
    /** Within this time a node that starts learns of nearly all others that it can reach. */
    Duration discoveryTime { 800 };
    /**
     * A part of the fleet that has contact with most seeds, but not with all, may belong to a larger part that remembers it: it waits for
     * so long. For the same time a part that has lost contact with all seeds elects no holder, since they may be in a part that does not
     * know of it.
     */
    Duration partialSeedTimeout = Duration::seconds(6);
    /** How long a part of the fleet waits that has contact with half of the seeds or less. */
    Duration seedTimeout = Duration::seconds(12);
};

/** The size of the fleet as a node was told it by others. */
struct ReportedFleetSize
{
    std::size_t nodes = 0;
    Time at;
};

/** How a node learned of the rest of the fleet. */
enum class FleetKnowledge {
    /** All nodes that it has contact with may have started a moment ago behind a partition. */
    None,
    FromPeers,
    FromSeeds,
    Assumed,
};
const char *fleetKnowledgeName(FleetKnowledge knowledge);

/** The last claim of a shard by another node. */
struct ReceivedClaim
{
    EngineShard shard;
    Time receivedAt;
};

/** Another node, as far as the leases need to know it. */
struct LeaseVoter
{
    Time lastReceivedAt;
    /** It counts as live for this long after its last message. */
    Duration heartbeatTimeout;
    ZoneId zone;
    /** Share of a CPU core. */
    double capacity = 0;
    bool isLeaving = false;
    /** One for each shard. Only heartbeats contain claims, so a claim holds until further heartbeats are overdue. */
    std::vector<ReceivedClaim> claims;
    /** Number of nodes that it knows of. */
    std::size_t rememberedNodes = 0;
    /** Its process has been running since then; never() if unknown. */
    Time startedAt = Time::never();
    /** Only an address that was passed to addAddress(). */
    bool isAddress = false;
};

/** The nodes that count towards the majorities of leases. Not thread-safe. */
class LeaseVoters
{
public:
    LeaseVoters(LeaseVoterLimits limits, NodeId self);

    /**
     * Adds a node that may exist, by the address at which it would respond. It counts until a message from that address arrives or until it
     * expires.
     */
    void addAddress(const std::string &peerAddress, Time now);
    /**
     * Sets the addresses that all nodes get at their start; @p ownAddress may be among them. Without seeds a node knows of the fleet from
     * the beginning. To be called once, before all others.
     */
    void setSeeds(const std::vector<std::string> &addresses, const std::string &ownAddress, Time now);
    /** Handles another node's message; to be called before OrderLease::onMessage(). */
    void onMessage(const FleetMessage &message, Time now);
    /** Removes the nodes that no longer count. */
    void removeExpired(Time now);

    /** All nodes but this one, by id. */
    const absl::btree_map<NodeId, LeaseVoter> &others() const;
    static bool isLive(const LeaseVoter &voter, Time now);
    bool counts(const LeaseVoter &voter, Time now) const;
    /**
     * Whether more than half of the nodes that this node knows of, itself included, are live. Otherwise it is cut off, and so may be the
     * nodes that it receives messages from.
     */
    bool reachesMajority(Time now) const;
    /** Number of nodes that count towards the majority, this one included. */
    std::size_t count(Time now) const;
    /**
     * The size of the fleet: @p ownCount or the largest number that any live node reports. A node that has just started counts only the
     * nodes from which it receives messages; behind a partition that is a part of the fleet, and a majority of that part would elect a
     * second holder.
     */
    std::size_t fleetSize(std::size_t ownCount, Time now) const;
    /** Whether the ids of all nodes that count are known; of others only an address is. */
    bool areIdsKnown(Time now) const;
    /** The lowest id of the nodes that count and whose ids are known. */
    NodeId lowestId(Time now) const;

    /**
     * Whether the nodes that count may elect a holder. Nodes that have all started behind a partition, with nobody left who remembers the
     * fleet, would otherwise take their part for the whole. As removeExpired() or onMessage() left it.
     */
    bool allowsHolder(Time now) const;
    /** Time until this node assumes that it knows of the fleet if it hears nothing new; 0 if it does. */
    Duration fleetKnownIn(Time now) const;
    FleetKnowledge knowledge() const;
    /** The size that others told this node at its start; no nodes if it needs none. */
    ReportedFleetSize reportedSize(Time now) const;

private:
    /** Sums over all nodes at one time. */
    struct Tally
    {
        Time at = Time::never();
        std::uint64_t change = 0;
        bool reachesMajority = false;
        std::size_t count = 1;
        std::size_t maxRemembered = 0;
    };

    struct Seed
    {
        bool isHeard = false;
        Time heardAt;
        Duration heartbeatTimeout;
    };

    bool isRemembered(const LeaseVoter &voter, Time now) const;
    /** Number of seeds, this node included if it is one. */
    std::size_t seedCount() const;
    std::size_t liveSeeds(Time now) const;
    bool reachesMostSeeds(Time now) const;
    Duration seedWait(Time now) const;
    void adoptReportedSize(const FleetMessage &message, Time now);
    void updateKnowledge(Time now);
    const Tally &tally(Time now) const;

    LeaseVoterLimits m_limits;
    NodeId m_self;
    absl::btree_map<NodeId, LeaseVoter> m_others;
    /** Number of addresses that count although nothing was received from them. */
    std::size_t m_unheardAddresses = 0;
    std::uint64_t m_changes = 0;
    /** All seeds but this node itself, by peer address. */
    absl::btree_map<std::string, Seed> m_seeds;
    bool m_isSeed = false;
    Time m_startedAt;
    FleetKnowledge m_knowledge = FleetKnowledge::FromSeeds;
    ReportedFleetSize m_reportedSize;
    /** Cached, since the leases ask several times for each message. */
    mutable Tally m_tally;
};

} // namespace ApricotStep
