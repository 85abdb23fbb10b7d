#pragma once

#include "core/strongid.h"
#include "state/fleetview.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** The score of a (key, member) pair with hash @p hash for a member of @p weight > 0. The greatest score wins; it grows with the hash. */
double rendezvousScore(std::uint64_t hash, double weight);

/** The score of (@p key, @p member) in rendezvous hashing, which is the same on all nodes. The greatest score wins. */
double rendezvousScore(std::string_view key, std::string_view member, double weight);

/**
 * The owner of @p upstream: the node with the highest score among the live nodes in the upstream's availability zone, or among all live
 * nodes if that zone has none. Null if @p nodes is empty.
 */
const NodeView *ownerOf(const UpstreamId &upstream, const ZoneId &zone, const std::vector<NodeView> &nodes);

} // namespace ApricotStep
