#pragma once

#include "core/strongid.h"

#include <cstddef>
#include <string>
#include <vector>

namespace ApricotStep
{

// Callers ask for the addresses of nodes, keep the answer for some seconds and pick one address at random for each connection. If all nodes
// of a large fleet were listed, each would serve a few callers and keep connections of its own to all upstreams: 118 nodes made 3,400 new
// connections for 4,900 requests, and each chose engines by the load that 117 others had reported. Therefore only as many nodes of the
// caller's zone are listed as its load needs, the same ones in all answers, those with the largest share of a core first: the time to
// process a request on a twelfth of a core is six times that on half of one. More are listed as the load grows.
// A node that refuses callers' keys, because it cannot learn which ones were withdrawn, is left out.

struct CallerDirectoryLimits
{
    /** Maximum number of addresses in one answer. */
    std::size_t maxAddresses = 64;
    /** With fewer nodes than this in the caller's zone, the nodes of all zones are listed. */
    std::size_t minSameZoneNodes = 2;
    /** At least this many nodes are listed, so that the loss of one affects a part of the callers only. */
    std::size_t minNodes = 4;
    /** Processor time that a node needs for a request, control included, in core seconds. */
    double processorTimePerRequest = 0.005;
    /** The part of their processors that the listed nodes use for the recent load; the rest is for bursts and lost nodes. */
    double targetUtilization = 0.25;
};

/** A ready node that callers may use. */
struct DirectoryNode
{
    NodeId id;
    std::string address;
    ZoneId zone;
    /** Share of a core. */
    double capacity = 0;
    /** Requests per second that it receives. */
    double requestRate = 0;
    /** It may soon refuse callers with keys. */
    bool hasOutdatedKeys = false;
};

/** Returns the addresses for a caller in @p callerZone; empty if there is no node. */
std::vector<std::string> chooseAddresses(
    const std::vector<DirectoryNode> &nodes, const ZoneId &callerZone, const CallerDirectoryLimits &limits);

} // namespace ApricotStep
