#include "main/engineplacer.h"

#include "coordination/hotspread.h"
#include "coordination/replicachoice.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>

namespace ApricotStep
{

struct EnginePlacer::Private
{
    Private(NodeId aSelf, ZoneId aZone, const Clock &aClock, UpstreamHealth &aHealth, std::uint64_t seed)
        : self(std::move(aSelf))
        , zone(std::move(aZone))
        , clock(aClock)
        , health(aHealth)
        , random(seed)
    {
    }

    const NodeId self;
    const ZoneId zone;
    const Clock &clock;
    UpstreamHealth &health;
    absl::Mutex placementMutex;
    std::shared_ptr<const Placement> current ABSL_GUARDED_BY(placementMutex);
    absl::Mutex spreadMutex;
    HotSpread spread ABSL_GUARDED_BY(spreadMutex) { SpreadLimits {} };
    std::mt19937_64 random ABSL_GUARDED_BY(spreadMutex);

    ReplicaView view(const Candidate &candidate, const PlacementRequest &request, const DepthOf &depthOf) const;
};

// Skips engines of other nodes unless the request may be forwarded to them. The owner of such an engine would otherwise send the request
// back to this node, which owns the preferred engine.
ReplicaView EnginePlacer::Private::view(const Candidate &candidate, const PlacementRequest &request, const DepthOf &depthOf) const
{
    const UpstreamId &id = candidate.upstream->id;
    const bool isOwn = candidate.owner->id == self;
    ReplicaView view;
    view.isTried = (!isOwn && !request.mayForward) || std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end();
    view.isInSameZone = candidate.upstream->zone == zone;
    if (!view.isTried && isOwn) {
        view.depth = depthOf(id);
        view.share = health.share(id);
    }
    return view;
}

EnginePlacer::EnginePlacer(NodeId self, ZoneId zone, const Clock &clock, UpstreamHealth &health, std::uint64_t seed)
    : d(std::make_unique<Private>(std::move(self), std::move(zone), clock, health, seed))
{
}

EnginePlacer::~EnginePlacer() = default;

std::shared_ptr<const Placement> EnginePlacer::placement(
    const std::shared_ptr<const Catalog> &catalog, const std::shared_ptr<const FleetView> &fleet)
{
    {
        const absl::MutexLock lock(&d->placementMutex);
        if (d->current != nullptr && d->current->isBuiltFrom(catalog, fleet)) {
            return d->current;
        }
    }
    // Two threads may build the placement concurrently; both get the same result.
    auto created = std::make_shared<const Placement>(catalog, fleet);
    std::vector<UpstreamId> upstreams;
    for (const UpstreamSpec &upstream : catalog->upstreams()) {
        upstreams.push_back(upstream.id);
    }
    d->health.setUpstreams(catalog->version(), upstreams);
    const absl::MutexLock lock(&d->placementMutex);
    d->current = created;
    return created;
}

std::optional<Candidate> EnginePlacer::choose(const PlacementRequest &request, const Placement &placement, const DepthOf &depthOf)
{
    const std::vector<Candidate> candidates = placement.candidates(request.adapter);
    if (candidates.empty()) {
        return std::nullopt;
    }
    const bool ownsPreferred = candidates.front().owner->id == d->self;
    if (!ownsPreferred && !request.isForwarded && request.tried.empty()) {
        return candidates.front();
    }
    std::vector<ReplicaView> views;
    views.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        views.push_back(d->view(candidate, request, depthOf));
    }
    const absl::MutexLock lock(&d->spreadMutex);
    const double width = d->spread.width(request.adapter, d->clock.now());
    const auto chosen = chooseReplica(views, width, d->random);
    return chosen ? std::optional(candidates[*chosen]) : std::nullopt;
}

std::shared_ptr<void> EnginePlacer::begin(const AdapterKey &adapter)
{
    {
        const absl::MutexLock lock(&d->spreadMutex);
        d->spread.onArrival(adapter, d->clock.now());
    }
    return std::shared_ptr<void>(d.get(), [self = d.get(), adapter](void *) {
        const absl::MutexLock lock(&self->spreadMutex);
        self->spread.onEnd(adapter, self->clock.now());
    });
}

} // namespace ApricotStep
