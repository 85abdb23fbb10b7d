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
    voters.addAddress("n2:1", Start);
    voters.addAddress("n3:1", Start);
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

// Guards against a part of the fleet that takes itself for the whole, since all of its nodes have just started behind a partition.
Test(leasevoters, nodesThatNobodyToldOfTheFleetWaitForTheirSeeds)
{
    const LeaseVoterLimits limits;
    const auto votersWithSeeds = [](int heard) {
        LeaseVoters voters(LeaseVoterLimits {}, NodeId("n9"));
        voters.setSeeds({ "n1:1", "n2:1", "n3:1" }, "n9:1", Start);
        for (int i = 1; i <= heard; ++i) {
            voters.onMessage(messageOf("n" + std::to_string(i)), Start);
        }
        return voters;
    };
    const auto allowsHolderAfter = [&](int heard, Duration age) {
        LeaseVoters voters = votersWithSeeds(heard);
        for (int i = 1; i <= heard; ++i) {
            voters.onMessage(messageOf("n" + std::to_string(i)), Start + age - Duration(10));
        }
        voters.removeExpired(Start + age);
        return voters.allowsHolder(Start + age);
    };
    cr_assert_not(allowsHolderAfter(3, limits.discoveryTime - Duration(1)));
    cr_assert(allowsHolderAfter(3, limits.discoveryTime));
    cr_assert_not(allowsHolderAfter(2, limits.partialSeedTimeout - Duration(1)));
    cr_assert(allowsHolderAfter(2, limits.partialSeedTimeout));
    cr_assert_not(allowsHolderAfter(1, limits.seedTimeout - Duration(1)));
    cr_assert(allowsHolderAfter(1, limits.seedTimeout));
    cr_assert(votersWithSeeds(2).fleetKnownIn(Start) == limits.partialSeedTimeout);
}

// Guards against nodes that restart one after the other behind a partition and hand on that the fleet is known, but not how large it is.
Test(leasevoters, nodeThatIsToldOfTheFleetCountsItsSize)
{
    LeaseVoters told(LeaseVoterLimits {}, NodeId("n1"));
    told.setSeeds({ "n8:1", "n9:1" }, "n1:1", Start);
    FleetMessage message = messageOf("n2", 12);
    message.isFleetKnown = true;
    told.onMessage(message, Start);
    cr_assert(told.knowledge() == FleetKnowledge::FromPeers);
    const Time later = Start + Duration::seconds(5);
    cr_assert_eq(told.fleetSize(2, later), 12, "the node that told it is gone");
    LeaseVoters second(LeaseVoterLimits {}, NodeId("n3"));
    second.setSeeds({ "n8:1", "n9:1" }, "n3:1", later);
    FleetMessage handedOn = messageOf("n1", 2);
    handedOn.isFleetKnown = true;
    handedOn.reportedNodes = 12;
    handedOn.reportedAgo = Duration::seconds(5);
    second.onMessage(handedOn, later);
    cr_assert_eq(second.fleetSize(2, later + Duration::seconds(2)), 12);
    cr_assert_eq(second.fleetSize(2, Start + LeaseVoterLimits {}.voterTimeout + Duration(1)), 2, "the size is not handed on for ever");
}
