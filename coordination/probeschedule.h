#pragma once

#include "coordination/membertable.h"

#include <random>
#include <vector>

namespace ApricotStep
{

using Random = std::mt19937_64;

/** Order of probes: each live member once per round, in random order, so that an unresponsive one is found within a bounded time. */
class ProbeSchedule
{
public:
    /** Empty if no other member is live. */
    NodeId next(const MemberTable &table, Random &random);

private:
    std::vector<NodeId> m_round;
};

/**
 * Chooses at most @p count relays for an indirect probe of @p target: one in the target's availability zone, one in this node's zone, the
 * rest from anywhere. With a partition between two zones there is still a path, and a partition within a zone can be distinguished from a
 * dead member.
 */
std::vector<NodeId> chooseRelays(const MemberTable &table, const Member &target, const ZoneId &ownZone, std::size_t count, Random &random);

/** Up to @p count live members in random order, none of them @p except. */
std::vector<NodeId> chooseLive(const MemberTable &table, std::size_t count, const NodeId &except, Random &random);

} // namespace ApricotStep
