#include "testrequestforwarderfixture.h"

#include <atomic>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

constexpr const char *NotRunAnswerWithoutId = "HTTP/1.1 503 Full\r\nApricotstep-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/** A payment for an adapter that only the engine "u1" has loaded, so that it waits after each refusal. */
HttpRequest paymentForAdapter(ForwarderFixture &fixture)
{
    fixture.loadAdapter("u1");
    HttpRequest request = ForwarderFixture::request();
    request.headers["apricotstep-model"] = "m/a7";
    return request;
}

} // namespace

// Guards against a request that runs twice, or runs though its caller was told that it did not: the second copy of its first refusal is
// taken for the answer to its next attempt at the same upstream.
Test(lateanswers, copyOfARefusalIsNotTakenForTheAnswerToTheSameRequest)
{
    std::atomic<int> calls { 0 };
    std::atomic<int> runs { 0 };
    const ScriptedUpstream upstream([&](const std::string &) {
        if (++calls == 1) {
            ScriptedAnswer refusal { NotRunAnswer };
            refusal.lateCopy = NotRunAnswer;
            return refusal;
        }
        ++runs;
        return ScriptedAnswer { CompleteAnswer };
    });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::NonIdempotent, 1);
    fixture.addUpstream("u1", upstream);
    const auto caller = fixture.send(paymentForAdapter(fixture));
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(runs, 1, "%d runs", runs.load());
    cr_assert_eq(caller->status(), 200);
}

// Guards against a refusal that names no request and is taken for the answer to one that runs: it may be a late answer to an earlier call
// on the connection, such as an order, which has no id.
Test(lateanswers, refusalWithoutIdOnAKeptConnectionDoesNotProveThatTheRequestDidNotRun)
{
    std::atomic<int> calls { 0 };
    const auto script = [&calls](const std::string &) {
        ScriptedAnswer answer { CompleteAnswer };
        answer.lateCopy = ++calls == 1 ? NotRunAnswerWithoutId : "";
        return answer;
    };
    const ScriptedUpstream upstream(script);
    ForwarderFixture fixture;
    fixture.configure(RequestKind::NonIdempotent, 1);
    fixture.addUpstream("u1", upstream);
    const auto first = fixture.send(ForwarderFixture::requestWithId("r-1"));
    fixture.runUntil([&] { return first->isDone(); });
    cr_assert_eq(first->status(), 200);
    const auto second = fixture.send(ForwarderFixture::requestWithId("r-2"));
    fixture.runUntil([&] { return second->isDone(); });
    cr_assert_eq(calls, 2);
    cr_assert_eq(second->status(), 502);
}

// A true refusal without an id on a new connection can only be the answer to the request, which is served elsewhere.
Test(lateanswers, refusalWithoutIdOnANewConnectionIsBelieved)
{
    const ScriptedUpstream full([](const std::string &) { return ScriptedAnswer { NotRunAnswerWithoutId }; });
    const ScriptedUpstream free([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    // Each forwarder has connections of its own, and chooses at random.
    for (int i = 0; i < 20; ++i) {
        ForwarderFixture fixture;
        fixture.configure(RequestKind::NonIdempotent, 1);
        fixture.addUpstream("full", full);
        fixture.addUpstream("free", free);
        const auto caller = fixture.send(ForwarderFixture::requestWithId("r-1"));
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert_eq(caller->status(), 200);
    }
    cr_assert_not(full.requests().empty());

    ForwarderFixture fixture;
    fixture.configure(RequestKind::NonIdempotent, 1);
    fixture.addUpstream("full", full);
    const auto refused = fixture.send(ForwarderFixture::requestWithId("r-1"));
    fixture.runUntil([&] { return refused->isDone(); });
    cr_assert_eq(refused->status(), 503);
}

// An upstream that refuses a request again and again, and means it, is asked again while the request waits, and serves it in the end.
Test(lateanswers, trueRefusalsAreBelievedUntilTheUpstreamServesTheRequest)
{
    std::atomic<int> calls { 0 };
    const ScriptedUpstream upstream([&](const std::string &) { return ScriptedAnswer { ++calls <= 3 ? NotRunAnswer : CompleteAnswer }; });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::NonIdempotent, 1);
    fixture.addUpstream("u1", upstream);
    const auto caller = fixture.send(paymentForAdapter(fixture));
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(calls, 4);
    cr_assert_eq(caller->status(), 200);
}
