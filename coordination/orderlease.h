#pragma once

#include "coordination/fleetmessage.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <memory>
#include <optional>
#include <vector>

namespace ApricotStep
{

// Load pattern: any number of nodes is killed, frozen, cut off or restarted at any moment, and nothing of theirs can be written down.
// Without the lease: two nodes order the same engine. One evicts what the other has just loaded, or both together fill more places than the
// engine has, and the engine crashes. One would notice orders under two holders' names within seconds.
// A node gives orders only while more than half of the nodes that it knows of have promised, within the lease's time, to let no other node
// do so. Two majorities share a node, and that node does not promise twice. Grounds for the figures: six renewals fit into one lease, so
// that lost datagrams alone (three in a hundred) end none in a day. A node that has just started has forgotten its promises, so it makes
// none for a lease's time. A new holder is silent for the time that two holders' orders must be apart. Nodes that it hears tell how long
// ago they ordered last, and since when they run; one that it does not hear stopped before its lease ran out, which is before the new one
// began.

struct OrderLeaseLimits
{
    /** How long a promise binds. */
    Duration leaseDuration { 1200 };
    /** Taken off the holder's own view of its lease: what two steady clocks drift apart in that time, and a scheduling delay. */
    Duration clockMargin { 150 };
    /** Time between renewals. */
    Duration renewalInterval { 200 };
    /** Orders of two holders must be further apart than this. */
    Duration handoverDelay { 3000 };
    /**
     * A node not heard of for so long no longer counts in the majority, as far as those see it who hear more than half of all. The other
     * side of a partition never forgets: else both sides would lead. A minute outlasts the restarts of a whole fleet.
     */
    Duration voterTimeout = Duration::seconds(60);
    /** A message that arrives later than this after the begin of a lease was sent after it: datagrams take a few milliseconds. */
    Duration maxMessageDelay { 300 };
    /** A node that left counts for so long: it may be back behind a partition, where it gives its voice to the other side. */
    Duration leavingVoterTimeout = Duration::seconds(15);
    /** A node heard of within this may claim: three messages lost in a row, of one that does not say how often it speaks. */
    Duration livenessTimeout { 900 };
};

/** Where a node stands towards the engines of a shard, by which nodes agree on the one that claims first. */
struct LeasePriority
{
    /** The availability zone of the shard's engines; empty when they are spread. */
    ZoneId shardZone;
    /** This node's own zone, and its share of a core. */
    ZoneId zone;
    double capacity = 0;
};

/** Decides which node alone gives orders to the engines of one shard. Not thread-safe. */
class OrderLease
{
public:
    OrderLease(
        OrderLeaseLimits limits, EngineShard shard, NodeId self, Incarnation incarnation, Time now, LeasePriority priorityInputs = {});
    OrderLease(OrderLease &&) noexcept;
    ~OrderLease();

    /** A node that may exist, by the address where it would answer; counts until it is heard of under its id, or forgotten. */
    void addSeed(const std::string &peerAddress, Time now);
    /** Takes in what another node said. Returns the grant to answer with, if any. */
    std::optional<LeaseGrant> onMessage(const FleetMessage &message, Time now);
    /**
     * The claim to send to all now, if this node is to claim or renew. Call it every renewal time.
     * @p isWilling: this node can do the holder's work. @p holdsOther: it holds another shard, so that others are preferred. @p wall: the
     * time of day, from which fencing tokens rise above those of all holders before.
     */
    std::optional<LeaseClaim> claim(bool isWilling, bool holdsOther, Time now, Time wall);
    /** Gives the lease up; no claim follows. */
    void release();

    /** The fencing token to order with; empty when this node may not order now. Ask right before the order leaves. */
    std::optional<FencingToken> mayOrder(Time now) const;
    /** Whether this node holds the lease, though it may have to be silent still. */
    bool isHolder(Time now) const;
    /** How long ago this node could give orders last; empty when it never could, or when that does not matter any more. */
    std::optional<LastOrder> lastOrder(Time now) const;
    /** The node that this one has promised to, or itself; empty when none holds the lease as far as this node knows. */
    NodeId holder(Time now) const;
    FencingToken greatestFence() const;
    /** How long until the holder gives orders, as far as this node knows: 0 when it does, Time::never()'s distance when there is none. */
    Duration ordersIn(Time now) const;
    /** Whether this node hears more than half of the nodes that it knows of: else it is cut off, and whom it hears may be so, too. */
    bool reachesMajority(Time now) const;
    /** Nodes that count now, this one included. */
    int voterCount(Time now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
