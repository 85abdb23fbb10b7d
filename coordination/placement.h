#pragma once

#include "core/strongid.h"
#include "state/catalog.h"
#include "state/fleetview.h"

#include <memory>
#include <vector>

namespace ApricotStep
{

// Load pattern: tens of thousands of adapters, most of them idle, over upstreams with few slots each, and every request needs a place.
// Without a common order: nodes would load the same cold adapter on different upstreams, and each such copy costs a load and an eviction.
// Grounds for the figures: eight candidates are the widest spread of one adapter and leave alternates when some are ejected. The order of
// upstreams of equal weight needs only whole numbers, so the logarithm of weighted rendezvous hashing is taken for the few best of each
// weight alone; that is what makes a decision over thousands of upstreams cost microseconds (bench/placementcost).

/** An upstream that can serve an adapter, and the node that owns it. */
struct Candidate
{
    const UpstreamSpec *upstream = nullptr;
    const NodeView *owner = nullptr;
};

/**
 * Where adapters belong under one catalog and one view of the fleet. Immutable; shared between threads.
 *
 * All nodes with the same snapshots compute the same candidates, so a cold adapter has one home without any message.
 */
class Placement
{
public:
    static constexpr std::size_t MaxCandidates = 8;

    /** Works out the owner of each engine that is not leaving. Keeps both snapshots alive. */
    Placement(std::shared_ptr<const Catalog> catalog, std::shared_ptr<const FleetView> fleet);
    ~Placement();

    /**
     * The engines of the base model of @p adapter in rendezvous order by capacity, best first, at most MaxCandidates. Empty when no node
     * owns any.
     */
    std::vector<Candidate> candidates(const AdapterKey &adapter) const;
    /** Whether this placement was made from these very snapshots. */
    bool isBuiltFrom(const std::shared_ptr<const Catalog> &catalog, const std::shared_ptr<const FleetView> &fleet) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
