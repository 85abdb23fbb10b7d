#include "coordination/factset.h"
#include "coordination/gossipqueue.h"
#include "tests/fakes/fakefleet.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace ApricotStep;
using Fakes::FakeFleet;

namespace
{

void addNodes(FakeFleet &fleet, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        fleet.add("zone" + std::to_string(i % 3));
    }
    fleet.readVmList();
    fleet.run(Duration::seconds(12));
}

std::size_t countAware(const FakeFleet &fleet, const UpstreamId &upstream)
{
    return static_cast<std::size_t>(std::count_if(
        fleet.nodes.begin(), fleet.nodes.end(), [&](const auto &node) { return node.membership->view()->leaving.contains(upstream); }));
}

} // namespace

Test(membership, nodesFindEachOtherThroughTheVmList)
{
    FakeFleet fleet(1);
    addNodes(fleet, 12);
    cr_assert(fleet.isAgreed());
    cr_assert(fleet.nodes[3].membership->isFresh(fleet.now()));
}

Test(membership, crashedNodeLeavesEveryViewAndReturnsAfterRestart)
{
    // A VM fails. Until the others notice, callers are sent to it and their connections time out.
    FakeFleet fleet(2);
    addNodes(fleet, 10);
    fleet.nodes[4].isUp = false;
    fleet.run(Duration::seconds(10));
    cr_assert(fleet.isAgreed());
    fleet.start(4);
    fleet.readVmList();
    fleet.run(Duration::seconds(12));
    cr_assert(fleet.isAgreed());
}

Test(membership, lossAloneDeclaresNoMemberDead)
{
    // The network drops one datagram in ten for five minutes. A member declared dead by mistake would lose its upstreams needlessly.
    FakeFleet fleet(3);
    addNodes(fleet, 12);
    fleet.loss = 0.1;
    fleet.duplication = 0.1;
    fleet.run(Duration::seconds(300));
    for (const auto &node : fleet.nodes) {
        cr_assert_eq(node.membership->counters().deaths, 0);
    }
}

Test(membership, fleetMergesAfterAPartitionHeals)
{
    // A switch failure separates two halves, and each declares the other dead. After it is repaired they must merge again.
    FakeFleet fleet(4);
    addNodes(fleet, 8);
    fleet.isCut = [](std::size_t from, std::size_t to) { return (from < 4) != (to < 4); };
    fleet.run(Duration::seconds(60));
    cr_assert_not(fleet.sees(0, 7));
    cr_assert(fleet.sees(0, 3));
    fleet.isCut = {};
    fleet.run(Duration::seconds(40));
    cr_assert(fleet.isAgreed());
}

Test(membership, pausedProcessIsNotFreshUntilPeersRespond)
{
    // A process is paused for a minute while others take over its upstreams. When it resumes, it must not act on its stale view.
    FakeFleet fleet(5);
    addNodes(fleet, 5);
    const Membership &paused = *fleet.nodes[2].membership;
    fleet.nodes[2].pausedUntil = fleet.now() + Duration::seconds(60);
    fleet.run(Duration::seconds(59));
    cr_assert_not(fleet.sees(0, 2));
    cr_assert_not(paused.isFresh(fleet.now() + Duration::seconds(1)), "checked before its first tick after the pause");
    bool wasStale = false;
    fleet.run(Duration::seconds(15), [&] { wasStale = wasStale || !paused.isFresh(fleet.now()); });
    cr_assert(wasStale);
    cr_assert(paused.isFresh(fleet.now()));
    cr_assert(fleet.isAgreed());
    cr_assert_eq(paused.counters().pauses, 1);
}

Test(membership, leavingUpstreamIsKnownEverywhereWithinThreeSeconds)
{
    // The VM list of one node shows a leaving upstream while the lists of the others lag. New work sent there in the meantime would be cut
    // off when the VM ends.
    FakeFleet fleet(6);
    addNodes(fleet, 60);
    fleet.loss = 0.01;
    VmRecord vm;
    vm.id = "engine7";
    vm.role = VmRole::Upstream;
    vm.leaving = true;
    VmList list = fleet.list;
    list.vms.push_back(vm);
    fleet.handle(0, VmListRead { list });
    fleet.run(Duration::seconds(3));
    cr_assert_eq(countAware(fleet, UpstreamId("engine7")), 60);
}

Test(membership, newNodeLearnsEarlierRumours)
{
    FakeFleet fleet(7);
    addNodes(fleet, 6);
    fleet.handle(1, AnnounceRumour { ConfigFact { NodeId("node1"), ConfigVersion(9) } });
    fleet.handle(1, AnnounceRumour { LeavingFact { "engine1", Incarnation() } });
    fleet.handle(1, AnnounceRumour { HandOffFact { NodeId("old"), Incarnation(4), NodeId("node1") } });
    fleet.run(Duration::seconds(60));
    const std::size_t newcomer = fleet.add("zone1");
    fleet.readVmList();
    fleet.run(Duration::seconds(30));
    cr_assert_eq(fleet.nodes[newcomer].membership->rumours().size(), 3);
    cr_assert_eq(fleet.nodes[newcomer].learned.size(), 3);
}

Test(membership, liveMemberMissingFromTheVmListStays)
{
    // The VM list is stale and lacks a node that serves. If the node were dropped, its callers would be cut off.
    FakeFleet fleet(8);
    addNodes(fleet, 5);
    fleet.list.vms.erase(fleet.list.vms.begin() + 2);
    fleet.readVmList();
    fleet.run(Duration::seconds(30));
    cr_assert(fleet.isAgreed());
}

Test(membership, leavingNodeOwnsNothingButCanStillBeFound)
{
    // A node shuts down gracefully. It gets no new work, but callers that hold its keys must still reach it.
    FakeFleet fleet(9);
    addNodes(fleet, 5);
    fleet.handle(1, AnnounceLeaving {});
    fleet.run(Duration::seconds(3));
    cr_assert_not(fleet.sees(0, 1));
    cr_assert_eq(fleet.nodes[0].membership->view()->leavingNodes.size(), 1);
    fleet.handle(1, AnnounceLeft {});
    fleet.nodes[1].isUp = false;
    fleet.run(Duration::seconds(2));
    cr_assert(fleet.nodes[0].membership->view()->leavingNodes.empty());
}

Test(membership, ackToAnIntroductionIncludesTheResponder)
{
    // The first ack to a starting node gets lost, and its peer knows the node by then. If the peer sent bare acks from then on, the new
    // node would take itself to be the only one and the owner of everything. Seeds 654, 4451 and 6836 of the exploration test reproduced
    // this.
    Membership known({ NodeId("b"), Incarnation(1), 0, 0, MemberState::Alive, {}, 1, ZoneId("z"), "10.0.0.1:1", "", "" }, {}, 1);
    MemberDatagram datagram;
    datagram.sender = NodeId("a");
    datagram.incarnation = Incarnation(1);
    datagram.updates.push_back({ NodeId("a"), Incarnation(1), 0, 0, MemberState::Alive, {}, 2, ZoneId("z"), "10.0.0.2:1", "", "" });
    for (std::uint32_t counter = 1; counter <= 3; ++counter) {
        datagram.counter = counter;
        datagram.body = Ping { counter };
        const auto actions = known.handle(DatagramReceived { datagram, "10.0.0.2:1" }, Time(counter));
        const auto &answer = std::get<SendDatagram>(actions.front()).datagram;
        cr_assert(std::any_of(answer.updates.begin(), answer.updates.end(), [](const auto &update) { return update.id == NodeId("b"); }));
    }
}

Test(membership, noTwoLiveNodesShareANumber)
{
    // Numbers are 16 bits of a hash: among 600 nodes two are likely to have the same one, and could then create equal fencing tokens.
    FakeFleet fleet(10);
    MemberUpdate self;
    self.id = NodeId("b");
    self.membershipAddress = "10.0.0.1:1";
    Membership membership(self, {}, 1);
    VmRecord listed;
    listed.id = "b";
    membership.handle(VmListRead { { { listed } } }, Time(1));
    membership.handle(MembershipTick {}, Time(1));
    const std::uint16_t first = membership.number();
    MemberDatagram datagram;
    datagram.sender = NodeId("a");
    datagram.incarnation = Incarnation(1);
    datagram.counter = 1;
    datagram.body = Gossip {};
    MemberUpdate other = self;
    other.id = NodeId("a");
    other.number = first;
    other.incarnation = Incarnation(1);
    other.membershipAddress = "10.0.0.2:1";
    datagram.updates.push_back(other);
    membership.handle(DatagramReceived { datagram, "10.0.0.2:1" }, Time(2));
    cr_assert_neq(membership.number(), first);
}

Test(membership, replayedDatagramIsDropped)
{
    // A recorded datagram is sent again. Its signature is valid, so only its counter shows the replay.
    Membership membership({ NodeId("b"), Incarnation(1), 0, 0, MemberState::Alive, {}, 1, ZoneId("z"), "10.0.0.1:1", "", "" }, {}, 1);
    MemberDatagram datagram;
    datagram.sender = NodeId("a");
    datagram.incarnation = Incarnation(1);
    datagram.body = Ping { 7 };
    datagram.counter = 1;
    datagram.updates.push_back({ NodeId("a"), Incarnation(1), 0, 0, MemberState::Alive, {}, 2, ZoneId("z"), "10.0.0.2:1", "", "" });
    membership.handle(DatagramReceived { datagram, "10.0.0.2:1" }, Time(1));
    datagram.counter = 2;
    cr_assert_not(membership.handle(DatagramReceived { datagram, "10.0.0.2:1" }, Time(2)).empty());
    cr_assert(membership.handle(DatagramReceived { datagram, "10.0.0.2:1" }, Time(3)).empty());
    cr_assert_eq(membership.counters().replays, 1);
}

Test(factset, leavingFactOfAnUpstreamExpiresEverywhereAtTheSameTime)
{
    // A VM returns under its old id. A node that has expired the fact must not accept it again from a node that expires it a moment later.
    FactSet facts;
    const LeavingFact leaving { "engine1", Incarnation() };
    cr_assert(facts.merge({ leaving, Duration() }, Time(1000)));
    cr_assert(facts.expire(Time(1000) + FactSet::UpstreamLifetime));
    cr_assert_not(facts.isLeaving("engine1", Incarnation()));
    cr_assert_not(facts.merge({ leaving, FactSet::UpstreamLifetime }, Time(1000) + FactSet::UpstreamLifetime));
}

Test(factset, onlyAFewHoldersOfTheNewestConfigurationAreKept)
{
    FactSet facts;
    for (int i = 0; i < 10; ++i) {
        facts.merge({ ConfigFact { NodeId("n" + std::to_string(i)), ConfigVersion(5) }, Duration() }, Time(1));
    }
    cr_assert_eq(facts.all(Time(1)).size(), FactSet::MaxHolders);
    cr_assert(facts.merge({ ConfigFact { NodeId("n1"), ConfigVersion(6) }, Duration() }, Time(2)));
    cr_assert_not(facts.merge({ ConfigFact { NodeId("n1"), ConfigVersion(5) }, Duration() }, Time(3)));
    cr_assert_eq(facts.all(Time(3)).size(), 1);
}

Test(gossipqueue, itemIsSentABoundedNumberOfTimes)
{
    GossipQueue queue;
    queue.add(AgedRumour { LeavingFact { "engine1", Incarnation() }, Duration() }, Time(1));
    for (int i = 0; i < 4; ++i) {
        MemberDatagram datagram;
        queue.fill(datagram, 1000, 4, Time(1));
        cr_assert_eq(datagram.rumours.size(), 1);
    }
    cr_assert(queue.isEmpty());
}
