#pragma once

#include "coordination/membertable.h"

#include <random>
#include <vector>

namespace ApricotStep
{

using Random = std::mt19937_64;

/** Whom to probe next: each live member once in a round of random order, so that a silent one is found within a bounded time. */
class ProbeSchedule
{
public:
    /** Empty when no other member lives. */
    NodeId next(const MemberTable &table, Random &random);

private:
    std::vector<NodeId> m_round;
};

/**
 * Relays for an indirect probe of @p target, at most @p count: one of the target's availability zone, one of the own zone, the rest
 * from anywhere. A cut between two zones then still leaves a path, and one within a zone is told apart from a dead member.
 */
std::vector<NodeId> chooseRelays(const MemberTable &table, const Member &target, const ZoneId &ownZone, std::size_t count, Random &random);

/** Up to @p count live members in random order, none of them @p except. */
std::vector<NodeId> chooseLive(const MemberTable &table, std::size_t count, const NodeId &except, Random &random);

} // namespace ApricotStep
