#include "coordination/rendezvous.h"

#include "core/hash.h"

#include <cmath>

namespace ApricotStep
{

namespace
{

const NodeView *best(const UpstreamId &upstream, const ZoneId *zone, const std::vector<NodeView> &nodes)
{
    const NodeView *winner = nullptr;
    double winnerScore = 0;
    for (const NodeView &node : nodes) {
        if (zone != nullptr && node.zone != *zone) {
            continue;
        }
        const double score = rendezvousScore(upstream.value(), node.id.value(), 1.0);
        if (winner == nullptr || score > winnerScore || (score == winnerScore && node.id < winner->id)) {
            winner = &node;
            winnerScore = score;
        }
    }
    return winner;
}

} // namespace

double rendezvousScore(std::uint64_t hash, double weight)
{
    // The logarithmic form makes shares proportional to weights, and a changed weight moves only the keys that it has to.
    constexpr double Steps = 9007199254740992.0; // 2^53
    const double unit = (static_cast<double>(hash >> 11) + 0.5) / Steps;
    return -weight / std::log(unit);
}

double rendezvousScore(std::string_view key, std::string_view member, double weight)
{
    return rendezvousScore(stableHash(key, member), weight);
}

const NodeView *ownerOf(const UpstreamId &upstream, const ZoneId &zone, const std::vector<NodeView> &nodes)
{
    const NodeView *sameZoneNode = best(upstream, &zone, nodes);
    return sameZoneNode != nullptr ? sameZoneNode : best(upstream, nullptr, nodes);
}

} // namespace ApricotStep
