#include "protocol/membershipcodec.h"

#include <random>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr std::string_view Secret = "a secret of the fleet";

MemberDatagram example()
{
    MemberDatagram datagram;
    datagram.sender = NodeId("node1");
    datagram.incarnation = Incarnation(1796254767843320);
    datagram.counter = 77;
    datagram.digest = 0x12345678;
    datagram.body = PingRequest { 9, "10.0.0.1:7946" };
    datagram.updates.push_back(
        { NodeId("n2"), Incarnation(5), 2, 3, MemberState::Alive, {}, 513, ZoneId("z"), "10.0.0.2:1", "c:1", "r:1" });
    datagram.updates.push_back({ NodeId("n3"), Incarnation(6), 0, 4, MemberState::Suspect, NodeId("n2"), 0, {}, "", "", "" });
    datagram.rumours.push_back({ LeavingFact { "engine1", Incarnation(2) }, Duration::seconds(3) });
    datagram.rumours.push_back({ ConfigFact { NodeId("n2"), ConfigVersion(8) }, Duration() });
    datagram.rumours.push_back({ HandOffFact { NodeId("n4"), Incarnation(7), NodeId("n2") }, Duration() });
    return datagram;
}

} // namespace

Test(membershipcodec, datagramRoundTrips)
{
    const auto read = decodeMemberDatagram(encodeMemberDatagram(example(), Secret), Secret);
    cr_assert(read.isOk());
    const MemberDatagram &datagram = read.value();
    cr_assert(datagram.sender == NodeId("node1"));
    cr_assert_eq(datagram.counter, 77);
    cr_assert(std::get<PingRequest>(datagram.body).targetAddress == "10.0.0.1:7946");
    cr_assert_eq(datagram.updates.size(), 2);
    cr_assert(datagram.updates[0].rpcAddress == "r:1");
    cr_assert_eq(datagram.updates[0].number, 513);
    cr_assert_eq(datagram.updates[0].epoch, 2);
    cr_assert(datagram.updates[1].accuser == NodeId("n2"));
    cr_assert_eq(datagram.rumours.size(), 3);
    cr_assert(datagram.rumours[0].rumour == Rumour(LeavingFact { "engine1", Incarnation(2) }));
    cr_assert(datagram.rumours[0].age == Duration::seconds(3));
    cr_assert(datagram.rumours[2].rumour == Rumour(HandOffFact { NodeId("n4"), Incarnation(7), NodeId("n2") }));
}

Test(membershipcodec, pingIsSmall)
{
    MemberDatagram datagram;
    datagram.sender = NodeId("node-123");
    datagram.body = Ping { 1 };
    cr_assert_leq(encodeMemberDatagram(datagram, Secret).size(), 50);
}

Test(membershipcodec, forgedTruncatedAndModifiedDatagramsAreRejected)
{
    // Anyone on the network can send to the port. Accepting a modified datagram would let them declare nodes dead.
    const std::string bytes = encodeMemberDatagram(example(), Secret);
    cr_assert_not(decodeMemberDatagram(bytes, "another secret").isOk());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        cr_assert_not(decodeMemberDatagram(std::string_view(bytes).substr(0, size), Secret).isOk());
    }
    std::mt19937 random(1);
    for (int i = 0; i < 2000; ++i) {
        std::string changed = bytes;
        changed[random() % changed.size()] ^= static_cast<char>(1U << (random() % 8));
        cr_assert_not(decodeMemberDatagram(changed, Secret).isOk());
    }
}

Test(membershipcodec, signedButMalformedDatagramIsRejected)
{
    // A node of another release may send a format that is unknown here. Reading past its end would crash every node that receives it.
    MemberDatagram datagram = example();
    datagram.updates[0].state = static_cast<MemberState>(9);
    cr_assert_not(decodeMemberDatagram(encodeMemberDatagram(datagram, Secret), Secret).isOk());
    cr_assert_not(decodeMemberDatagram(std::string(MaxMemberDatagramBytes + 1, 'x'), Secret).isOk());
}
