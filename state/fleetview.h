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
};

/** Which nodes live and which upstreams are leaving, as this node sees it now. An immutable snapshot. */
struct FleetView
{
    std::vector<NodeView> nodes;
    absl::flat_hash_set<UpstreamId> leaving;

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
