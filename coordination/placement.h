#pragma once

#include "core/strongid.h"
#include "state/catalog.h"
#include "state/fleetview.h"

#include <vector>

namespace ApricotStep
{

/** An upstream that can serve an adapter, and the node that owns it. */
struct Candidate
{
    const UpstreamSpec *upstream = nullptr;
    const NodeView *owner = nullptr;
};

/**
 * The engines for @p adapter in rendezvous order, best first, without leaving ones and without those that no node owns.
 * All nodes with the same view compute the same list, so a cold adapter has one home without any message.
 */
std::vector<Candidate> placementFor(const AdapterKey &adapter, const Catalog &catalog, const FleetView &fleet);

} // namespace ApricotStep
