#include "coordination/loadpermits.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

PermitName name(const char *node, const char *adapterId)
{
    return { NodeId(node), UpstreamId("e"), { AdapterId(adapterId), AdapterVersion("1") } };
}

PermitRequest request(const char *adapterId, std::optional<Priority> urgency, Duration waited = Duration())
{
    return { name("n", adapterId), urgency, 1, waited };
}

template<typename T>
int count(const std::vector<PermitAction> &actions)
{
    int found = 0;
    for (const PermitAction &action : actions) {
        found += std::holds_alternative<T>(action) ? 1 : 0;
    }
    return found;
}

} // namespace

Test(loadpermits, theMostUrgentOfTheFleetGoesFirst)
{
    PermitIssuer issuer({});
    issuer.grant(Time(1));
    issuer.request(request("prefetch", std::nullopt), Time(1));
    issuer.request(request("patient", Priority::Patient, Duration(60'000)), Time(1));
    issuer.request(request("urgent", Priority::Urgent), Time(1));
    const auto grants = issuer.grant(Time(1));
    cr_assert_eq(grants.size(), 1, "one load at a time at full speed");
    cr_assert_eq(grants.front().name.adapter.id, AdapterId("urgent"));
    cr_assert_eq(issuer.grant(Time(400)).size(), 0);
    cr_assert_eq(issuer.grant(Time(501)).front().name.adapter.id, AdapterId("patient"));
}

Test(loadpermits, aLostEngineHoldsBackLittle)
{
    // A node takes a permit and dies. Its load never ends; were it counted for ever, the fleet would stop loading after a few deaths.
    LoadBudget budget;
    budget.parallel = 1;
    PermitIssuer issuer(budget);
    issuer.request(request("dead", Priority::Urgent), Time(1));
    cr_assert_eq(issuer.grant(Time(1)).size(), 1);
    issuer.request(request("other", Priority::Urgent), Time(1900));
    cr_assert_eq(issuer.grant(Time(1900)).size(), 0);
    cr_assert_eq(issuer.grant(Time(2100)).size(), 1);
}

Test(loadpermits, theRequestOfALostAskerIsForgotten)
{
    LoadBudget budget;
    budget.parallel = 1;
    PermitIssuer issuer(budget);
    issuer.request(request("a", Priority::Urgent), Time(1));
    issuer.grant(Time(1));
    issuer.request(request("ghost", Priority::Urgent), Time(1));
    cr_assert_eq(issuer.grant(Time(6000)).size(), 0);
    cr_assert_eq(issuer.waitingCount(), 0);
}

Test(loadpermits, anUnusedPermitGoesToTheNext)
{
    PermitIssuer issuer({});
    issuer.request(request("a", Priority::Urgent), Time(1));
    issuer.request(request("b", Priority::Urgent), Time(1));
    cr_assert_eq(issuer.grant(Time(1)).size(), 1);
    issuer.release({ name("n", "a"), PermitEnd::Unused }, Time(2));
    cr_assert_eq(issuer.grant(Time(2)).size(), 1);
}

Test(loadpermits, aSideOfAPartitionTakesItsShare)
{
    // The fleet splits in two, and each side has a giver. With the whole budget each, the store would be asked for twice its rate and
    // every load would take twice as long.
    PermitIssuer issuer({});
    issuer.setShare(0.5, Time(1));
    int granted = 0;
    for (int now = 1; now <= 10'000; now += 100) {
        issuer.request(request("a", Priority::Urgent), Time(now));
        for (const PermitGrant &grant : issuer.grant(Time(now))) {
            issuer.release({ grant.name, PermitEnd::Used }, Time(now));
            ++granted;
        }
    }
    cr_assert_geq(granted, 9);
    cr_assert_leq(granted, 11);
}

Test(loadpermits, withoutAGiverANodeGoesByItsEvenPart)
{
    // The giver is lost. Engines must go on loading, or every cold adapter stalls until the view has settled.
    PermitClient client(NodeId("n"), {});
    client.setFleet({ NodeId("giver") }, 10, Time(1));
    cr_assert_eq(count<SendToIssuer>(client.requestPermit(request("a", Priority::Urgent), Time(1))), 1);
    client.onIssuerReply(false, Time(2));
    cr_assert_eq(count<PermitReceived>(client.tick(Time(1100))), 1, "the first load of its part is free at once");
    cr_assert_eq(count<PermitReceived>(client.requestPermit(request("b", Priority::Urgent), Time(1200))), 0, "2 a second over 10 nodes");
    cr_assert_eq(count<SendToIssuer>(client.tick(Time(2300))), 1, "the giver is tried again");
}

Test(loadpermits, aGrantThatNobodyWaitsForGoesBack)
{
    PermitClient client(NodeId("n"), {});
    client.setFleet({ NodeId("giver") }, 1, Time(1));
    client.requestPermit(request("a", Priority::Urgent), Time(1));
    client.release({ name("n", "a"), PermitEnd::Withdrawn }, Time(2));
    const auto actions = client.granted({ name("n", "a"), Duration(2000) }, Time(3));
    cr_assert_eq(count<PermitReceived>(actions), 0);
    cr_assert_eq(count<SendToIssuer>(actions), 1);
}

Test(loadpermits, theGiverSaysHowLongTheFleetsQueueIs)
{
    // A burst hits all engines at once. Each has one load to wait for and thinks nothing of it; only the giver sees that they are ten.
    PermitIssuer issuer({});
    issuer.grant(Time(1));
    for (const char *adapterId : { "a", "b", "c", "d" }) {
        issuer.request(request(adapterId, Priority::Urgent), Time(1));
    }
    issuer.request(request("e", Priority::Patient), Time(1));
    cr_assert_eq(issuer.expectedWait(Priority::Urgent), Duration(2000), "four ahead at two a second");
    cr_assert_eq(issuer.expectedWait(Priority::Patient), Duration(2500));
    issuer.release({ name("n", "a"), PermitEnd::Withdrawn }, Time(2));
    cr_assert_eq(issuer.expectedWait(Priority::Urgent), Duration(1500));
}

Test(loadpermits, aWithdrawalThatCrossesTheGrantDoesNotMintAPermit)
{
    // An engine no longer wants a load just as its permit is sent. Were the withdrawal booked as a permit that came back, the permit
    // would be spent twice, and the store be asked for more than it can give.
    PermitIssuer issuer({});
    issuer.request(request("a", Priority::Urgent), Time(1));
    cr_assert_eq(issuer.grant(Time(1)).size(), 1);
    issuer.release({ name("n", "a"), PermitEnd::Withdrawn }, Time(2));
    issuer.request(request("b", Priority::Urgent), Time(2));
    cr_assert_eq(issuer.grant(Time(2)).size(), 0);
    issuer.release({ name("n", "a"), PermitEnd::Unused }, Time(3));
    cr_assert_eq(issuer.grant(Time(3)).size(), 1);
}
