#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <set>

namespace ApricotStep
{

// In a fleet of a hundred nodes and more, most with a twelfth of a core, that choose among as many engines, each node would send its load
// to every other one five times a second. With 134 nodes each of them reads 670 messages a second, which takes two fifths of a small node's
// core and 1.1 GB of traffic between zones in 48 s; the lease holders fall behind, and a third of all requests is refused while engines are
// idle. Therefore the nodes of a large fleet use the engines of one availability zone each and exchange load only with the nodes that use
// the same engines; all others get infrequent heartbeats. 32 nodes send as many messages as the 34 nodes of one zone, with which a calm day
// of 134 nodes takes 0.029 of a core on average, callers' requests included. In smaller fleets the engines of one zone are too few to hold
// the requested adapters.

struct FleetScopeLimits
{
    /** Up to this many nodes, this one included, all nodes use all engines. */
    int maxUndividedNodes = 32;
    /** A divided fleet becomes undivided only below this size, so that a single restart does not change it back. */
    int minDividedNodes = 24;
    /** Heartbeat interval to nodes that use the same engines. */
    Duration inScopeInterval { 200 };
    /** Heartbeat interval to all other nodes. They only count towards majorities, and callers are rarely sent there. */
    Duration outOfScopeInterval { 2000 };
    /** The same from a node that has just started. At the usual interval its vote would be missing at first. */
    Duration outOfScopeIntervalAtStart { 600 };
    /**
     * Minimum interval between renewals of a held lease to all other nodes, which makes it every third heartbeat. Two of them fit into a
     * lease, and the votes that lost datagrams cost at any moment are few against those of a whole fleet.
     */
    Duration outOfScopeRenewalInterval { 500 };
};

/** What a message contains that the nodes outside the sender's scope need. */
enum class MessageUrgency {
    Heartbeat,
    /** Renewals of leases that the sender holds. */
    Renewal,
    /** Claims of leases that the sender does not hold yet, released leases, or the departure of the sender. */
    Immediate,
};

/** Minimum time between two messages to the nodes outside the sender's scope. @p isStarting: the sender has just started. */
Duration outOfScopeInterval(const FleetScopeLimits &limits, MessageUrgency urgency, bool isStarting);

/** Decides which engines a node uses and which nodes it sends its load to. Not thread-safe. */
class FleetScope
{
public:
    /** @p own: this node's availability zone. */
    FleetScope(FleetScopeLimits limits, ZoneId own);

    /** @p nodesAlive includes this node. @p engineZones: the zones of the engines that may receive work. */
    void update(int nodesAlive, const std::set<ZoneId> &engineZones);

    /** The zone whose engines this node uses; empty if it uses all engines. */
    const ZoneId &zone() const;
    /** Whether this node uses the engines of @p engineZone. */
    bool covers(const ZoneId &engineZone) const;
    /**
     * Whether a peer shares engines with this node. @p peerScope is the zone whose engines the peer uses; if empty, @p peerZone is taken.
     */
    bool isScopePeer(const ZoneId &peerZone, const ZoneId &peerScope) const;

private:
    FleetScopeLimits m_limits;
    ZoneId m_ownZone;
    ZoneId m_zone;
};

} // namespace ApricotStep
