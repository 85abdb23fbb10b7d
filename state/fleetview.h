#pragma once

#include "core/strongid.h"

#include <absl/container/flat_hash_set.h>

#include <string>
#include <vector>

namespace ApricotStep
{

/** A node as FleetView shows it. */
struct NodeView
{
    NodeId id;
    ZoneId zone;
    /** host:port for callers. */
    std::string callerAddress;
    /** host:port for other nodes; may be empty. */
    std::string rpcAddress;
    /** Zero if the node is known from the VM list only. */
    Incarnation incarnation;

    bool operator==(const NodeView &) const = default;
};

/** The live nodes and the leaving upstreams as this node currently sees them. An immutable snapshot. */
struct FleetView
{
    /** Live nodes that are not leaving, sorted by id. */
    std::vector<NodeView> nodes;
    /** Live nodes that are leaving, sorted by id. They own no upstreams and get no new work, but still answer for their own keys. */
    std::vector<NodeView> leavingNodes;
    /** Upstreams that are leaving. */
    absl::flat_hash_set<UpstreamId> leaving;
    /** The VM list contains a node that this node does not see as live: it may have failed, or a network partition may hide it. */
    bool isNodeMissing = false;

    bool operator==(const FleetView &) const = default;

    /** Null if @p id is not in nodes, also if it is leaving. */
    const NodeView *node(const NodeId &id) const
    {
        for (const NodeView &view : nodes) {
            if (view.id == id) {
                return &view;
            }
        }
        return nullptr;
    }
};

} // namespace ApricotStep
