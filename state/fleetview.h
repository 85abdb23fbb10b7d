#pragma once

#include "core/strongid.h"

#include <absl/container/flat_hash_set.h>

#include <string>
#include <vector>

namespace ApricotStep
{

/** A node as the live view knows it. */
struct NodeView
{
    NodeId id;
    ZoneId zone;
    /** host:port for callers. */
    std::string callerAddress;
    /** host:port for other nodes; may be empty. */
    std::string rpcAddress;
    /** Zero when only the VM list knows of it. */
    Incarnation incarnation;

    bool operator==(const NodeView &) const = default;
};

/** Which nodes live and which upstreams are leaving, as this node sees it now. An immutable snapshot. */
struct FleetView
{
    /** Those that live and stay, sorted by id. */
    std::vector<NodeView> nodes;
    /** Those that live and are leaving: they own nothing and get no new work, but still answer for their own keys. */
    std::vector<NodeView> leavingNodes;
    absl::flat_hash_set<UpstreamId> leaving;
    /** The VM list names a node that does not live here: it may be dead, or on the other side of a partition. */
    bool isNodeMissing = false;

    bool operator==(const FleetView &) const = default;

    /** Null when @p id does not live. */
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
