#include "testrequestforwarderfixture.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

constexpr int Engines = 14;
// What may still reach upstreams once so many have ended under it.
constexpr int ToleratedAfterwards = 3;
constexpr int CrashesToTell = 3;

/** A forwarder before upstreams that end when they get a request that contains "deadly" in its head or body. */
struct CrashFixture : ForwarderFixture
{
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    std::atomic<int> deadlyArrivals { 0 };
    int lastRequest = 0;

    explicit CrashFixture(int maxAttempts)
    {
        configure(RequestKind::Idempotent, maxAttempts);
        for (int i = 0; i < Engines; ++i) {
            upstreams.push_back(std::make_unique<ScriptedUpstream>([this, i](const std::string &request) {
                if (!absl::StrContains(request, "deadly")) {
                    return ScriptedAnswer { CompleteAnswer };
                }
                ++deadlyArrivals;
                upstreams[static_cast<std::size_t>(i)]->stopListening();
                return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Reset };
            }));
            addUpstream(absl::StrCat("u", i), *upstreams.back());
        }
    }
    /** Sends a request with a new id, as a caller does that comes again, and returns its status. */
    int sendWithNewId(const std::string &body)
    {
        return sendAttempt(request(), body);
    }
    int sendAttempt(HttpRequest attempt, const std::string &body)
    {
        attempt.headers["apricotstep-request-id"] = absl::StrCat("r-", ++lastRequest);
        for (auto &[name, value] : attempt.headerList) {
            value = name == "Apricotstep-Request-Id" ? attempt.headers["apricotstep-request-id"] : value;
        }
        attempt.body = body;
        const auto caller = send(std::move(attempt));
        runUntil([&] { return caller->isDone(); });
        return caller->status();
    }
    /** Sends a request of its own with a prompt of these parts. */
    int sendPrompt(const std::string &sharedParts)
    {
        const int number = lastRequest + 1;
        HttpRequest attempt = request();
        const std::vector<std::pair<std::string, std::string>> added { { "Apricotstep-Model", "m" },
            { "Apricotstep-Token-Count", "170,20" }, { "Apricotstep-Prompt-Prefix", absl::StrCat(sharedParts, ",own", number, ":20") } };
        for (const auto &[name, value] : added) {
            attempt.headerList.emplace_back(name, value);
            attempt.headers[absl::AsciiStrToLower(name)] = value;
        }
        return sendAttempt(std::move(attempt), absl::StrCat("prompt ", number));
    }
    void runFor(Duration duration)
    {
        const Time end = clock.now() + duration;
        runUntil([&] { return clock.now() >= end; });
    }
};

} // namespace

// A caller repeats a request under which upstreams end, each time with a new id, and takes one upstream after the other with it.
Test(crashingrequests, requestUnderWhichUpstreamsEndedReachesFewMore)
{
    CrashFixture fixture(2);
    for (int i = 0; i < 2 * Engines; ++i) {
        fixture.sendWithNewId("deadly");
        fixture.runFor(Duration(100));
    }
    cr_assert_leq(fixture.deadlyArrivals, CrashesToTell + ToleratedAfterwards, "%d arrivals", fixture.deadlyArrivals.load());
    cr_assert_eq(fixture.sendWithNewId("sound"), 200);
}

// A refusal that says "come again" makes the caller of a request under which upstreams end try the next node.
Test(crashingrequests, heldRequestIsRefusedForGoodAndNotRun)
{
    CrashFixture fixture(2);
    for (int i = 0; i < Engines; ++i) {
        fixture.sendWithNewId("deadly");
        fixture.runFor(Duration(100));
    }
    const int arrivals = fixture.deadlyArrivals;
    HttpRequest request = ForwarderFixture::request();
    request.body = "deadly";
    const auto caller = fixture.send(std::move(request));
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 400);
    cr_assert(caller->bodyContains("content_held_back"));
    cr_assert_not(caller->hasHeader("Retry-After"));
    cr_assert_eq(fixture.deadlyArrivals, arrivals);
}

// Upstreams reset connections, or break answers off, and go on: no request is to blame, however often it meets them.
Test(crashingrequests, upstreamsThatBreakOffAndGoOnAccuseNothing)
{
    for (const std::string &answer : { std::string(), std::string(IncompleteAnswer) }) {
        ForwarderFixture fixture;
        fixture.configure(RequestKind::Idempotent, 1);
        const ScriptedUpstream upstream([&](const std::string &) {
            return ScriptedAnswer { answer, ScriptedAnswer::ConnectionAction::Reset };
        });
        fixture.addUpstream("u", upstream);
        for (int i = 0; i < 8; ++i) {
            const auto caller = fixture.send(ForwarderFixture::request());
            fixture.runUntil([&] { return caller->isDone(); });
            cr_assert_neq(caller->status(), 400);
            const Time end = fixture.clock.now() + Duration(150);
            fixture.runUntil([&] { return fixture.clock.now() >= end; });
        }
        cr_assert_eq(fixture.clusterState.quarantine.heldCount(), 0);
    }
}

// Requests of which no two are alike share a part of their prompts under which upstreams end, beside sound ones with the same first part.
Test(crashingrequests, partUnderWhichUpstreamsEndedReachesFewMore)
{
    constexpr int CrashesToTellPart = 5;
    CrashFixture fixture(2);
    int served = 0;
    for (int i = 0; i < Engines; ++i) {
        fixture.sendPrompt("first:100,deadly:50");
        served += fixture.sendPrompt(absl::StrCat("first:100,other", i % 3, ":50")) == 200 ? 1 : 0;
        fixture.runFor(Duration(400));
    }
    cr_assert_leq(fixture.deadlyArrivals, CrashesToTellPart + ToleratedAfterwards, "%d arrivals", fixture.deadlyArrivals.load());
    cr_assert_eq(served, Engines);
}
