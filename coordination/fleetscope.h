#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <set>

namespace ApricotStep
{

// Load pattern: a fleet of a hundred nodes and more, most with a twelfth of a core, that choose among as many engines.
// Without a scope: each node tells each other one of its load five times a second. With 134 nodes that is 670 messages a second to read at
// each, two fifths of a small node's core and 1.1 GB between zones in 48 s; the holders of orders fall behind, and a third of all requests
// is refused while engines are idle. So the nodes of a large fleet use the engines of one availability zone each and tell only each other
// of them; of the rest they hear now and then that they live. Grounds for the figures: 32 nodes send as many
// messages as the 34 of one zone do, with which a calm day of 134 nodes takes 0.029 of a core at the mean, callers' work included; and in
// smaller fleets one zone's engines are too few to hold the adapters that are asked for there.

struct FleetScopeLimits
{
    /** Up to so many nodes, this one included, all use all engines. */
    int maxUndividedNodes = 32;
    /** A divided fleet becomes whole again only below this, so that one restart does not do it. */
    int minDividedNodes = 24;
    /** Between messages to nodes that use the same engines. */
    Duration inScopeInterval { 200 };
    /** Between messages to all others: they only count votes, and callers are hardly ever sent there. */
    Duration outOfScopeInterval { 2000 };
};

/** Decides which engines a node uses, and which nodes it tells what it runs. Not thread-safe. */
class FleetScope
{
public:
    /** @p own: this node's availability zone. */
    FleetScope(FleetScopeLimits limits, ZoneId own);

    /** @p nodesAlive: this one included. @p engineZones: where engines are that may get work. */
    void update(int nodesAlive, const std::set<ZoneId> &engineZones);

    /** The zone whose engines this node uses; empty when it uses all. */
    const ZoneId &zone() const;
    /** Whether the engines of @p engineZone are in use here. */
    bool covers(const ZoneId &engineZone) const;
    /** Whether a node of @p peerZone that uses the engines of @p peerScope (empty: all) shares engines with this one. */
    bool isScopePeer(const ZoneId &peerZone, const ZoneId &peerScope) const;

private:
    FleetScopeLimits m_limits;
    ZoneId m_ownZone;
    ZoneId m_zone;
};

} // namespace ApricotStep
