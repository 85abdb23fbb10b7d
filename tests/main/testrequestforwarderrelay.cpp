#include "testrequestforwarderfixture.h"
#include "unreachableaddress.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

constexpr const char *RelayRefusal = "HTTP/1.1 503 No\r\nContent-Type: application/json\r\nRetry-After: 0.050\r\nContent-Length: 0\r\n\r\n";

/** A request of another node's caller. */
HttpRequest relayedRequest()
{
    HttpRequest request = ForwarderFixture::request();
    request.headerList.emplace_back("relay-team", "mine");
    return request;
}

std::shared_ptr<Caller> sendRelayed(ForwarderFixture &fixture, HttpRequest request, const RelayedRequest &relayed)
{
    auto caller = std::make_shared<Caller>();
    fixture.forwarder->onRelayedRequest(std::move(request), relayed, caller);
    fixture.runUntil([&] { return caller->isDone(); });
    return caller;
}

} // namespace

// Guards against a caller's key that leaves the node with a relayed request, and against callers that pretend to be another team.
Test(relays, keyStaysOnTheNode)
{
    const ScriptedUpstream relay([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    KeyFixture fixture;
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    HttpRequest request = ForwarderFixture::request();
    request.target = "/in/x";
    request.headerList.emplace_back("Authorization", "Token good");
    request.headerList.emplace_back("Relay-Team", "limited");
    const auto caller = fixture.send(request);
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 200);
    cr_assert_eq(relay.requests().size(), 1);
    const std::string sent = relay.requests().front();
    cr_assert(absl::StrContains(sent, "relay-team: mine\r\n"), "%s", sent.c_str());
    cr_assert(absl::StrContains(sent, "relay-config-version: 1\r\n"));
    for (const char *removed : { "good", "Authorization", "limited", "Apricotstep-Hold", "Kv-From", "Apricotstep-Tenant" }) {
        cr_assert_not(absl::StrContains(sent, removed), "%s in %s", removed, sent.c_str());
    }
}

// Guards against keys that a node which cannot know whether they were withdrawn still accepts for other nodes.
Test(relays, outdatedKeysAreNotRelayed)
{
    const ScriptedUpstream relay([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    KeyFixture fixture;
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    fixture.clusterState.routesKnownAt = fixture.clock.now() - Duration(4100);
    cr_assert_eq(fixture.statusOf("/in/x", "Token good"), 503);
    cr_assert(relay.requests().empty());
}

// Guards against charging a team's limit at no node or at both.
Test(relays, teamIsChargedByTheFirstNodeOnly)
{
    const ScriptedUpstream relay([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    KeyFixture fixture;
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    fixture.issuerCredit = 1500;
    cr_assert_eq(fixture.statusOf("/in/x", "Token limited", "900,100"), 200);
    cr_assert_eq(fixture.statusOf("/in/x", "Token limited", "900,100"), 429);
    cr_assert_eq(relay.requests().size(), 1);

    const ScriptedUpstream upstream([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    KeyFixture other;
    other.addUpstream("u1", upstream);
    other.issuerCredit = 0;
    HttpRequest request = ForwarderFixture::request();
    request.target = "/in/x";
    cr_assert_eq(sendRelayed(other, request, { ConfigVersion(1), TeamName("limited"), Duration(5) })->status(), 200);
    cr_assert(absl::StrContains(upstream.requests().front(), "Apricotstep-Tenant: limited"));
}

// Guards against a payment that runs twice because the node through which it was sent broke off.
Test(relays, paymentIsNotSentAgainAfterABrokenRelay)
{
    const ScriptedUpstream broken([](const std::string &) { return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Close }; });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::NonIdempotent, 1);
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", broken);
    fixture.addRelay("n3", broken);
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 502);
    cr_assert_eq(broken.requests().size(), 1);
}

// Guards against a payment whose outcome another node does not know being reported as not run.
Test(relays, unknownOutcomeIsNotReportedAsNotRun)
{
    const ScriptedUpstream relay([](const std::string &) { return ScriptedAnswer { "HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n" }; });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::NonIdempotent, 1);
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    fixture.addRelay("n3", relay);
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 502);
    cr_assert_eq(relay.requests().size(), 1);
}

// Guards against giving up a payment that one node refused, and that another one can serve.
Test(relays, refusalOfOneRelayIsTriedAtAnother)
{
    int calls = 0;
    const ScriptedUpstream relay([&](const std::string &) { return ScriptedAnswer { ++calls == 1 ? RelayRefusal : CompleteAnswer }; });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::NonIdempotent, 1);
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    fixture.addRelay("n3", relay);
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 200);
    cr_assert(caller->body() == "whole");
}

// Guards against a payment that no node could send being reported as possibly run, which keeps its caller from sending it again.
Test(relays, refusalOfAllRelaysIsReportedAsNotRun)
{
    const ScriptedUpstream relay([](const std::string &) { return ScriptedAnswer { RelayRefusal }; });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::NonIdempotent, 1);
    fixture.addUnreachableUpstream("u1");
    for (const char *id : { "n2", "n3", "n4", "n5", "n6" }) {
        fixture.addRelay(id, relay);
    }
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 503);
    cr_assert(caller->hasHeader("Retry-After"));
    cr_assert_leq(relay.requests().size(), 3);
}

// Guards against a request that all other nodes refused being held while the node tries each upstream that it does not reach.
Test(relays, refusalOfAllRelaysIsDeliveredAtOnce)
{
    const ScriptedUpstream relay([](const std::string &) { return ScriptedAnswer { RelayRefusal }; });
    const UnreachableAddress silent(UnreachableAddress::Kind::Silent);
    ForwarderFixture fixture;
    fixture.configure(RequestKind::NonIdempotent, 1);
    for (const char *id : { "u1", "u2", "u3" }) {
        fixture.addUpstreamAt(id, silent.address());
        fixture.clusterState.reachability.onUnreachable(ServiceName("svc"), UpstreamId(id), fixture.clock.now());
    }
    std::mt19937_64 random;
    fixture.clusterState.reachability.decide(
        ServiceName("svc"), { UpstreamId("u1"), UpstreamId("u2"), UpstreamId("u3") }, fixture.clock.now(), random);
    fixture.addRelay("n2", relay);
    fixture.addRelay("n3", relay);
    const Time start = fixture.clock.now();
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 503);
    cr_assert_lt((fixture.clock.now() - start).milliseconds(), 300);
}

// Guards against an answer that another node cut off, or that lacks the upstream's seal, reaching a caller as whole.
Test(relays, onlyWholeSealedAnswersAreDelivered)
{
    for (const char *answer : { IncompleteAnswer, "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nContent-Length: 5\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: other\r\nApricotstep-Server-Seal: s\r\nContent-Length: 5\r\n\r\nother" }) {
        const ScriptedUpstream relay([&](const std::string &) {
            return ScriptedAnswer { answer, ScriptedAnswer::ConnectionAction::Close };
        });
        ForwarderFixture fixture;
        fixture.configure(RequestKind::NonIdempotent, 1);
        fixture.addUnreachableUpstream("u1");
        fixture.addRelay("n2", relay);
        const auto caller = fixture.send(ForwarderFixture::request());
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert_eq(caller->status(), 502, "%s", answer);
    }
}

// Guards against a stream that ends because the node through which it came is gone, while another one can resume it.
Test(relays, resumableStreamContinuesThroughAnotherRelay)
{
    int calls = 0;
    const ScriptedUpstream relay([&](const std::string &) {
        return ++calls == 1 ? ScriptedAnswer { absl::StrCat(RelayedStreamHead, chunk("id: 1\ndata: a\n\nid: 2\nda")),
            ScriptedAnswer::ConnectionAction::Reset }
                            : ScriptedAnswer { absl::StrCat(RelayedStreamHead, chunk("id: 2\ndata: b\n\n"), "0\r\n\r\n") };
    });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Stream, 2, true);
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    fixture.addRelay("n3", relay);
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert(caller->isFinished());
    cr_assert(caller->body() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "%s", caller->body().c_str());
    cr_assert(absl::StrContains(relay.requests().back(), "Last-Event-Id: 1\r\n"));
}

// Guards against work that continues at an upstream after the caller of a cut-off node has left.
Test(relays, callerThatLeavesEndsTheRelayedRequest)
{
    const ScriptedUpstream relay([](const std::string &) { return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Keep, true }; });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Stream, 1);
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return !relay.requests().empty(); });
    caller->disconnect();
    fixture.runUntil([&] { return relay.closedByPeer() > 0; });
    cr_assert_eq(relay.closedByPeer(), 1);
    cr_assert_eq(fixture.forwarder->activeCount(), 0);
}

// Guards against requests that go round among nodes of which none reaches an upstream.
Test(relays, relayedRequestIsNotRelayedAgain)
{
    const ScriptedUpstream relay([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Idempotent, 2);
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    const auto caller = sendRelayed(fixture, ForwarderFixture::request(), { ConfigVersion(1), TeamName(), Duration(0) });
    cr_assert_eq(caller->status(), 503);
    cr_assert(relay.requests().empty());
}

// Guards against a relayed request that an older configuration sends to the wrong upstream, or that runs without the team of its key.
Test(relays, relayedRequestNeedsTheConfigurationOfItsSender)
{
    const ScriptedUpstream upstream([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    KeyFixture fixture;
    fixture.addUpstream("u1", upstream);
    HttpRequest request = relayedRequest();
    request.target = "/in/x";
    cr_assert_eq(sendRelayed(fixture, request, { ConfigVersion(2), TeamName("mine"), Duration(0) })->status(), 503);
    cr_assert_eq(sendRelayed(fixture, request, { ConfigVersion(1), TeamName("gone"), Duration(0) })->status(), 503);
    cr_assert_eq(sendRelayed(fixture, request, { ConfigVersion(1), TeamName(), Duration(0) })->status(), 503);
    cr_assert(upstream.requests().empty());
    cr_assert_eq(sendRelayed(fixture, request, { ConfigVersion(1), TeamName("mine"), Duration(0) })->status(), 200);
}

// Guards against relayed requests that reach an upstream which asked for rest, limits its requests or leaves: the node that sends them
// heeds it.
Test(relays, statementsOfUpstreamsHoldForRelayedRequests)
{
    int calls = 0;
    const ScriptedUpstream upstream([&](const std::string &) {
        ++calls;
        return ScriptedAnswer {
            "HTTP/1.1 503 No\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Not-Run: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
        };
    });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Idempotent, 1);
    fixture.addUpstream("tired", upstream);
    for (int i = 0; i < 5; ++i) {
        const auto caller = sendRelayed(fixture, ForwarderFixture::request(), { ConfigVersion(1), TeamName(), Duration(0) });
        cr_assert_eq(caller->status(), 503);
    }
    cr_assert_eq(calls, 1);
}

// Guards against a relayed request that outlives its caller: the time that it spent at the first node counts.
Test(relays, timeAtTheFirstNodeCounts)
{
    const ScriptedUpstream upstream([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Idempotent, 1);
    fixture.addUpstream("u1", upstream);
    // The route allows 1,500 ms.
    const auto late = sendRelayed(fixture, ForwarderFixture::request(), { ConfigVersion(1), TeamName(), Duration(1600) });
    cr_assert_eq(late->status(), 503);
    cr_assert(upstream.requests().empty());
    cr_assert_eq(sendRelayed(fixture, ForwarderFixture::request(), { ConfigVersion(1), TeamName(), Duration(400) })->status(), 200);
}

// Guards against relaying forever: a node that reaches its upstreams again sends to them directly, and only probes meanwhile.
Test(relays, requestsGoDirectlyOnceUpstreamsAreReached)
{
    const ScriptedUpstream upstream([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    const ScriptedUpstream relay([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Idempotent, 1);
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    const auto first = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return first->isDone(); });
    cr_assert_eq(first->status(), 200);
    cr_assert_eq(relay.requests().size(), 1);
    UpstreamRecord record = *fixture.clusterState.upstreams.usable(UpstreamId("u1"));
    record.address = upstream.address();
    fixture.clusterState.upstreams.put(record, fixture.clock.now());
    fixture.runUntil([&] { return fixture.clusterState.reachability.isReachable(ServiceName("svc")); });
    cr_assert(upstream.requests().empty());
    const auto second = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return second->isDone(); });
    cr_assert_eq(second->status(), 200);
    cr_assert_eq(upstream.requests().size(), 1);
    cr_assert_eq(relay.requests().size(), 1);
}
