#pragma once

#include "core/strongid.h"
#include "state/fleetview.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** The score of a pair whose hash is @p hash, for a member of @p weight above 0. Greater wins; at equal weights the greater hash. */
double rendezvousScore(std::uint64_t hash, double weight);

/** Weight of (@p key, @p member) in rendezvous hashing; equal on all nodes. Greater wins. */
double rendezvousScore(std::string_view key, std::string_view member, double weight);

/**
 * The owner of @p upstream: the node with the highest score among the live nodes of the upstream's availability zone, among all live
 * nodes when that zone has none. Null when @p nodes is empty.
 */
const NodeView *ownerOf(const UpstreamId &upstream, const ZoneId &zone, const std::vector<NodeView> &nodes);

} // namespace ApricotStep
