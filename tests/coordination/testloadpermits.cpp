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

Test(loadpermits, theMostUrgentRequestOfAllNodesGoesFirst)
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

Test(loadpermits, thePermitOfALostNodeExpires)
{
    // A node takes a permit and crashes, and its load never ends. If such permits did not expire, all loading would stop after a few
    // crashes.
    LoadBudget budget;
    budget.parallel = 1;
    PermitIssuer issuer(budget);
    issuer.request(request("dead", Priority::Urgent), Time(1));
    cr_assert_eq(issuer.grant(Time(1)).size(), 1);
    issuer.request(request("other", Priority::Urgent), Time(1900));
    cr_assert_eq(issuer.grant(Time(1900)).size(), 0);
    cr_assert_eq(issuer.grant(Time(2100)).size(), 1);
}

Test(loadpermits, theRequestOfALostClientExpires)
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

Test(loadpermits, anUnusedPermitGoesToTheNextRequest)
{
    PermitIssuer issuer({});
    issuer.request(request("a", Priority::Urgent), Time(1));
    issuer.request(request("b", Priority::Urgent), Time(1));
    cr_assert_eq(issuer.grant(Time(1)).size(), 1);
    issuer.release({ name("n", "a"), PermitEnd::Unused }, Time(2));
    cr_assert_eq(issuer.grant(Time(2)).size(), 1);
}

Test(loadpermits, eachSideOfAPartitionTakesItsShare)
{
    // A network partition leaves an issuer on each side. If each used the whole budget, the store would get twice its rate of loads and
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

Test(loadpermits, withoutAnIssuerANodeUsesItsEqualPart)
{
    // The issuer is lost. Engines must go on loading, or every adapter that is not loaded stalls until the nodes agree on a new issuer.
    PermitClient client(NodeId("n"), {});
    client.setFleet({ NodeId("giver") }, 10, Time(1));
    cr_assert_eq(count<SendToIssuer>(client.requestPermit(request("a", Priority::Urgent), Time(1))), 1);
    client.onIssuerReply(false, Time(2));
    cr_assert_eq(count<PermitReceived>(client.tick(Time(1100))), 1, "the first load of its part needs no wait");
    cr_assert_eq(count<PermitReceived>(client.requestPermit(request("b", Priority::Urgent), Time(1200))), 0, "2 a second over 10 nodes");
    cr_assert_eq(count<SendToIssuer>(client.tick(Time(2300))), 1, "the issuer is tried again");
}

Test(loadpermits, aGrantWithoutAWaitingRequestIsReleased)
{
    PermitClient client(NodeId("n"), {});
    client.setFleet({ NodeId("giver") }, 1, Time(1));
    client.requestPermit(request("a", Priority::Urgent), Time(1));
    client.release({ name("n", "a"), PermitEnd::Withdrawn }, Time(2));
    const auto actions = client.granted({ name("n", "a"), Duration(2000) }, Time(3));
    cr_assert_eq(count<PermitReceived>(actions), 0);
    cr_assert_eq(count<SendToIssuer>(actions), 1);
}

Test(loadpermits, theIssuerEstimatesTheWaitOverAllNodes)
{
    // A burst reaches all engines at once. Each engine sees only its own load; the issuer estimates the wait from the requests of all of
    // them.
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

Test(loadpermits, aWithdrawalThatCrossesTheGrantCreatesNoPermit)
{
    // An engine withdraws its request just as the permit is sent. If the withdrawal counted as the release of an unused permit, the permit
    // would be spent twice, and the store would get more loads than it can serve.
    PermitIssuer issuer({});
    issuer.request(request("a", Priority::Urgent), Time(1));
    cr_assert_eq(issuer.grant(Time(1)).size(), 1);
    issuer.release({ name("n", "a"), PermitEnd::Withdrawn }, Time(2));
    issuer.request(request("b", Priority::Urgent), Time(2));
    cr_assert_eq(issuer.grant(Time(2)).size(), 0);
    issuer.release({ name("n", "a"), PermitEnd::Unused }, Time(3));
    cr_assert_eq(issuer.grant(Time(3)).size(), 1);
}
