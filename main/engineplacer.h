#pragma once

#include "coordination/placement.h"
#include "core/clock.h"
#include "main/upstreamhealth.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ApricotStep
{

/** A request that needs an engine. */
struct PlacementRequest
{
    AdapterKey adapter;
    /** Engines on which an attempt failed. */
    std::vector<UpstreamId> tried;
    /** Another node forwarded the request because, in its view, this node owns an engine for it. */
    bool isForwarded = false;
    /** The request may go to an engine of another node, which then handles it as forwarded. */
    bool mayForward = false;
};

/** Returns the number of requests queued and running on an engine that this node owns. */
using DepthOf = std::function<int(const UpstreamId &)>;

/** Chooses the engine for each completion that reaches this node. Thread-safe. */
class EnginePlacer
{
public:
    /** The references must outlive it. */
    EnginePlacer(NodeId self, ZoneId zone, const Clock &clock, UpstreamHealth &health, std::uint64_t seed);
    ~EnginePlacer();

    /** Returns the placement for these snapshots. The last one is kept and returned again for the same pair. */
    std::shared_ptr<const Placement> placement(
        const std::shared_ptr<const Catalog> &catalog, const std::shared_ptr<const FleetView> &fleet);
    /**
     * Returns the engine for @p request, or nothing if no engine can take it now. The engine belongs to another node only if that node owns
     * the adapter's preferred engine or the request may be forwarded.
     */
    std::optional<Candidate> choose(const PlacementRequest &request, const Placement &placement, const DepthOf &depthOf);
    /** Counts a completion for @p adapter as in progress until the returned handle is released. The placer must outlive the handle. */
    std::shared_ptr<void> begin(const AdapterKey &adapter);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
