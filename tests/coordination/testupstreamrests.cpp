#include "coordination/upstreamrests.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

UpstreamRecord upstream(std::int64_t startedAt = 1)
{
    UpstreamRecord record;
    record.id = UpstreamId("u");
    record.startedAt = startedAt;
    return record;
}

} // namespace

// Guards against a shorter rest that ends a longer one, and against a new start of the upstream that inherits the rest of the former one.
Test(upstreamrests, longestRestOfAStartHolds)
{
    UpstreamRests rests;
    cr_assert(rests.onRefusal(upstream(), Time(3000), Time(0)));
    cr_assert_not(rests.onRefusal(upstream(), Time(1000), Time(10)));
    cr_assert(rests.restsUntil(upstream()) == Time(3000));
    cr_assert(rests.restsUntil(upstream(2)) == Time());
    cr_assert(rests.onRefusal(upstream(), Time(9000), Time(3000)));
}

// Guards against a rest that a peer was asked for and that keeps this node from an upstream which would serve it, and against a lease
// holder that does not learn of it.
Test(upstreamrests, restOfAPeerOnlyShowsThatTheUpstreamIsStrained)
{
    UpstreamRests asked;
    asked.onRefusal(upstream(), Time(3000), Time(0));
    UpstreamRests peer;
    peer.onPeerRests(asked.own(Time(1000)), Time(1000));
    cr_assert(peer.restsUntil(upstream()) == Time());
    cr_assert(peer.isStrained(upstream(), Time(2999)) && !peer.isStrained(upstream(), Time(3000)));
    cr_assert(asked.isStrained(upstream(), Time(2999)) && peer.own(Time(1000)).empty());
    cr_assert(asked.own(Time(3000)).empty());
}
