#include "coordination/leasevoters.h"

#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const Time Start { 1'000'000 };

FleetMessage messageOf(const std::string &id, std::uint32_t rememberedNodes = 0)
{
    FleetMessage message;
    message.sender = NodeId(id);
    message.peerAddress = id + ":1";
    message.rememberedNodes = rememberedNodes;
    return message;
}

} // namespace

// A seed address responds. If it still counted besides the node at that address, no majority would be reached in a small fleet.
Test(leasevoters, aNodeReplacesItsSeedAddress)
{
    LeaseVoters voters(LeaseVoterLimits {}, NodeId("n1"));
    voters.addSeed("n2:1", Start);
    voters.addSeed("n3:1", Start);
    cr_assert_eq(voters.count(Start), 3);
    voters.onMessage(messageOf("n2"), Start);
    cr_assert_eq(voters.count(Start), 3);
    cr_assert(voters.reachesMajority(Start));
    cr_assert(voters.lowestId(Start) == NodeId("n1"), "a seed is not the lowest");
}

// The minority side of a partition must not forget the others, or both sides would elect a holder.
Test(leasevoters, onlyAMajorityForgetsNodes)
{
    LeaseVoters voters(LeaseVoterLimits {}, NodeId("n3"));
    for (const char *id : { "n1", "n2", "n4", "n5" }) {
        voters.onMessage(messageOf(id), Start);
    }
    const Time later = Start + LeaseVoterLimits {}.voterTimeout + Duration(1);
    voters.onMessage(messageOf("n4"), later);
    voters.removeExpired(later);
    cr_assert_eq(voters.count(later), 5, "two of five are live");
    voters.onMessage(messageOf("n5"), later);
    voters.removeExpired(later);
    cr_assert_eq(voters.count(later), 3);
    cr_assert(voters.lowestId(later) == NodeId("n3"));
}

// Behind a partition a node that has just started knows a part of the fleet. Its majority is counted of all nodes that live ones remember;
// what a node reported that is gone does not count, or the fleet could never shrink.
Test(leasevoters, theFleetIsAsLargeAsLiveNodesRemember)
{
    LeaseVoters voters(LeaseVoterLimits {}, NodeId("n1"));
    voters.onMessage(messageOf("n2", 40), Start);
    cr_assert_eq(voters.fleetSize(2, Start), 40);
    cr_assert_eq(voters.fleetSize(50, Start), 50);
    cr_assert_eq(voters.fleetSize(2, Start + Duration::seconds(10)), 2);
}
