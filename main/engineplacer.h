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

/** What a request needs a place for. */
struct PlacementRequest
{
    AdapterKey adapter;
    /** Engines that failed it. */
    std::vector<UpstreamId> tried;
    /** Another node sent it here because it sees this node as the right one. */
    bool isForwarded = false;
    /** It may go to an engine of another node, which takes it as forwarded. */
    bool mayForward = false;
};

/** Requests queued and running on an engine that this node owns. */
using DepthOf = std::function<int(const UpstreamId &)>;

/** Chooses the engine for each completion that comes to this node. Thread-safe. */
class EnginePlacer
{
public:
    /** The references must outlive it. */
    EnginePlacer(NodeId self, ZoneId zone, const Clock &clock, UpstreamHealth &health, std::uint64_t seed);
    ~EnginePlacer();

    /** The placement under these snapshots; worked out once for each pair. */
    std::shared_ptr<const Placement> placement(
        const std::shared_ptr<const Catalog> &catalog, const std::shared_ptr<const FleetView> &fleet);
    /**
     * The engine for @p request. One of another node only when that node is the home of the adapter or the request may be forwarded. Empty
     * when no engine can take it now.
     */
    std::optional<Candidate> choose(const PlacementRequest &request, const Placement &placement, const DepthOf &depthOf);
    /** Counts a completion for @p adapter as in progress until what it returns is released; this must outlive that. */
    std::shared_ptr<void> begin(const AdapterKey &adapter);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
