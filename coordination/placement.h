#pragma once

#include "core/strongid.h"
#include "state/catalog.h"
#include "state/fleetview.h"

#include <memory>
#include <vector>

namespace ApricotStep
{

// Orders the upstreams on which each adapter can be loaded.
//
// There are tens of thousands of adapters, most of them idle, and upstreams with few slots each, and every request needs an upstream.
// Without a common order, nodes would load the same rarely used adapter on different upstreams, and each such copy costs a load and an
// eviction.
//
// Eight candidates are the maximum spread of one adapter and leave alternatives when some are ejected. Ordering upstreams of equal weight
// needs only integers, so the logarithm of weighted rendezvous hashing is computed only for the few best of each weight. A decision over
// thousands of upstreams therefore takes microseconds (bench/placementcost).

/** An upstream that can serve an adapter, and the node that owns it. */
struct Candidate
{
    const UpstreamSpec *upstream = nullptr;
    const NodeView *owner = nullptr;
};

/**
 * The candidates of all adapters for one catalog and one view of the fleet. Immutable; shared between threads.
 *
 * All nodes with the same snapshots compute the same candidates, so they agree on the preferred engine of an adapter without any message.
 */
class Placement
{
public:
    static constexpr std::size_t MaxCandidates = 8;

    /** Computes the owner of each engine that is not leaving. Keeps both snapshots alive. */
    Placement(std::shared_ptr<const Catalog> catalog, std::shared_ptr<const FleetView> fleet);
    ~Placement();

    /**
     * The engines of the base model of @p adapter in rendezvous order weighted by capacity, best first, at most MaxCandidates. Empty when
     * no node owns any.
     */
    std::vector<Candidate> candidates(const AdapterKey &adapter) const;
    /** Whether this placement was built from these same snapshot objects. */
    bool isBuiltFrom(const std::shared_ptr<const Catalog> &catalog, const std::shared_ptr<const FleetView> &fleet) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
