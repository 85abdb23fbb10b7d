#pragma once

#include "coordination/fleetmessage.h"
#include "coordination/leasevoters.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <memory>
#include <optional>
#include <vector>

namespace ApricotStep
{

// Any number of nodes may be killed, paused, partitioned or restarted at any time, and nodes cannot persist anything. Without the lease,
// two nodes could order the same engine: one evicts what the other has just loaded, or both together fill more slots than the engine has,
// and it crashes. Orders under two holders' names would be visible within seconds.
// A node gives orders only while more than half of the nodes that it knows of have granted it the lease, which means that they grant it to
// no other node for the duration of the lease. Two majorities share a node, and that node does not grant twice. Six renewals fit into one
// lease, so that lost datagrams alone (three in a hundred) end no lease within a day. A node that has just started does not know its former
// grants, so it grants nothing for the duration of a lease. A new holder waits until its orders are a handover delay apart from the former
// holder's. Reachable nodes report how long ago they gave their last order and how long they have been running; an unreachable one stopped
// before its lease expired, which was before the new lease began.

struct OrderLeaseLimits
{
    /** How long a grant is valid. */
    Duration leaseDuration { 1200 };
    /** Subtracted from the holder's own view of its lease: the drift of two steady clocks during that time, and a scheduling delay. */
    Duration clockMargin { 150 };
    Duration renewalInterval { 200 };
    /** Handover delay: orders of two holders must be further apart than this. */
    Duration handoverDelay { 3000 };
    /** A message that arrives later than this after the start of a lease was sent after that start: datagrams take a few milliseconds. */
    Duration maxMessageDelay { 300 };
    /** Added to the lease after the last claim of another node, before this node claims the lease. */
    Duration livenessTimeout { 900 };
};

/** What determines a node's priority for a shard's lease, so that all nodes agree on the one that claims first. */
struct LeasePriority
{
    /** The availability zone of the shard's engines; empty if they are spread. */
    ZoneId shardZone;
    /** This node's own zone and its share of a core. */
    ZoneId zone;
    double capacity = 0;
};

/** Elects the one node that may give orders to the engines of one shard. Not thread-safe. */
class OrderLease
{
public:
    /** @p voters must outlive the lease, and must be given each message first. */
    OrderLease(OrderLeaseLimits limits, EngineShard shard, NodeId self, Incarnation incarnation, LeaseVoters &voters, Time now,
        LeasePriority priorityInputs = {});
    OrderLease(OrderLease &&) noexcept;
    ~OrderLease();

    /** Handles another node's message. Returns the grant to respond with, if any. */
    std::optional<LeaseGrant> onMessage(const FleetMessage &message, Time now);
    /**
     * Returns the claim to send to all nodes, if this node should claim or renew the lease. Call it once per renewal interval.
     * @p isWilling: this node can do the holder's work. @p holdsOther: it holds another shard's lease, so that other nodes are preferred.
     * @p wall: the time of day; it makes fencing tokens rise above those of all former holders.
     */
    std::optional<LeaseClaim> claim(bool isWilling, bool holdsOther, Time now, Time wall);
    /** Gives up the lease. This node does not claim it again. */
    void release();

    /** The fencing token for orders; empty if this node may not give orders now. Check immediately before each order is sent. */
    std::optional<FencingToken> mayOrder(Time now) const;
    /** Whether this node holds the lease. It may still have to wait for the handover delay before it gives orders. */
    bool isHolder(Time now) const;
    /** Time since this node could last give orders; empty if it never could. */
    std::optional<LastOrder> lastOrder(Time now) const;
    /** The holder: this node, the node that it has granted the lease to, or the one whose claims it receives. Empty if it knows of none. */
    NodeId holder(Time now) const;
    FencingToken greatestFence() const;
    /**
     * Time until the holder gives orders, as far as this node knows: 0 if it already does. Without a holder, the time until a new one is
     * expected to.
     */
    Duration ordersIn(Time now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
