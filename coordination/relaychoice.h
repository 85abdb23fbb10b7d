#pragma once

#include "core/strongid.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace ApricotStep
{

// A node that does not reach the upstreams of a service has other nodes send the requests of its callers. Many nodes may be cut off at
// once, for example those of a zone, and choose among the same few others: each request goes to the less loaded of two random ones, since
// the load that they report is older than a request takes.

/** A node that reaches the upstreams which this node does not. */
struct RelayNode
{
    NodeId id;
    /** Its IP address and port for other nodes. */
    std::string peerAddress;
    /** Share of a CPU core. */
    double capacity = 0;
    /** Requests per second that it receives, those of other nodes included. */
    double requestRate = 0;
};

/** Chooses a node to send a request through, other than those in @p excluded; null if there is none. */
const RelayNode *chooseRelay(const std::vector<RelayNode> &nodes, const std::set<NodeId> &excluded, std::mt19937_64 &random);

} // namespace ApricotStep
