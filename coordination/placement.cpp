#include "coordination/placement.h"

#include "coordination/rendezvous.h"

#include <algorithm>

namespace ApricotStep
{

std::vector<Candidate> placementFor(const AdapterKey &adapter, const Catalog &catalog, const FleetView &fleet)
{
    struct Scored
    {
        double score;
        const UpstreamSpec *upstream;
    };
    const std::string name = adapter.name();
    std::vector<Scored> scored;
    for (const UpstreamSpec &upstream : catalog.upstreams()) {
        if (upstream.kind == UpstreamKind::Engine && !fleet.leaving.contains(upstream.id)) {
            scored.push_back({ rendezvousScore(name, upstream.id.value(), upstream.slots), &upstream });
        }
    }
    std::sort(scored.begin(), scored.end(),
        [](const Scored &a, const Scored &b) { return a.score != b.score ? a.score > b.score : a.upstream->id < b.upstream->id; });
    std::vector<Candidate> candidates;
    for (const Scored &entry : scored) {
        const NodeView *owner = ownerOf(entry.upstream->id, entry.upstream->zone, fleet.nodes);
        if (owner != nullptr) {
            candidates.push_back({ entry.upstream, owner });
        }
    }
    return candidates;
}

} // namespace ApricotStep
