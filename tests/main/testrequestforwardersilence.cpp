#include "testrequestforwarderfixture.h"

#include <absl/strings/match.h>
#include <absl/time/clock.h>

#include <algorithm>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

constexpr Duration LongPause { 1900 };
constexpr const char *Events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

HttpRequest patientRequest()
{
    HttpRequest request = ForwarderFixture::request();
    request.headers["apricotstep-deadline-ms"] = "8000";
    for (auto &[name, value] : request.headerList) {
        value = name == "Apricotstep-Deadline-Ms" ? "8000" : value;
    }
    return request;
}

/** A stream of two events with a long pause between them; continued after the first event, only the second without a pause. */
ScriptedAnswer pausingStream(const std::string &request, const char *head = StreamHead)
{
    if (absl::StrContains(request, "Last-Event-Id: 1\r\n")) {
        return ScriptedAnswer { absl::StrCat(head, chunk("id: 2\ndata: b\n\n"), "0\r\n\r\n") };
    }
    ScriptedAnswer answer { absl::StrCat(head, chunk("id: 1\ndata: a\n\n")) };
    answer.laterParts = { absl::StrCat(chunk("id: 2\ndata: b\n\n"), "0\r\n\r\n") };
    answer.pause = LongPause;
    return answer;
}

/** Requests of callers that the upstream got; the node asks a silent one for a sign of life, too. */
int sentRequests(const ScriptedUpstream &upstream)
{
    const auto requests = upstream.requests();
    return static_cast<int>(std::count_if(requests.begin(), requests.end(),
        [](const std::string &request) { return !absl::StartsWith(request, "GET /apricotstep/report "); }));
}

struct SilenceFixture : ForwarderFixture
{
    explicit SilenceFixture(int maxAttempts = 2)
    {
        configure(RequestKind::Stream, maxAttempts, true, Duration(8000));
    }
    std::shared_ptr<Caller> answer()
    {
        const auto caller = send(patientRequest());
        for (int i = 0; i < 4 && !caller->isDone(); ++i) {
            runUntil([&] { return caller->isDone(); });
        }
        return caller;
    }
};

} // namespace

// Guards against a stream that is broken off because its upstream, the only one, is silent for a while.
Test(silentupstreams, streamOfAnUpstreamThatPausesIsDelivered)
{
    const ScriptedUpstream upstream([](const std::string &request) { return pausingStream(request); });
    SilenceFixture fixture;
    fixture.addUpstream("u1", upstream);
    const auto caller = fixture.answer();
    cr_assert(caller->isFinished());
    cr_assert_str_eq(caller->body().c_str(), Events);
    cr_assert_eq(sentRequests(upstream), 1);
}

// Guards against a stream that is broken off because the node through which it is sent receives nothing for a while.
Test(silentupstreams, relayedStreamOfAnUpstreamThatPausesIsDelivered)
{
    const ScriptedUpstream relay([](const std::string &request) { return pausingStream(request, RelayedStreamHead); });
    SilenceFixture fixture;
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    const auto caller = fixture.answer();
    cr_assert(caller->isFinished());
    cr_assert_str_eq(caller->body().c_str(), Events);
}

// Guards against a stream that was continued once and is then broken off because the second upstream is silent for a while.
Test(silentupstreams, continuedStreamOfAnUpstreamThatPausesIsDelivered)
{
    std::atomic<int> calls = 0;
    const auto script = [&calls](const std::string &) {
        if (++calls == 1) {
            return ScriptedAnswer { absl::StrCat(StreamHead, chunk("id: 1\ndata: a\n\n")), ScriptedAnswer::ConnectionAction::Close };
        }
        ScriptedAnswer answer { absl::StrCat(StreamHead, chunk("id: 2\nda")) };
        answer.laterParts = { absl::StrCat(chunk("ta: b\n\n"), "0\r\n\r\n") };
        answer.pause = LongPause;
        return answer;
    };
    const ScriptedUpstream first(script);
    const ScriptedUpstream second(script);
    SilenceFixture fixture;
    fixture.addUpstream("u1", first);
    fixture.addUpstream("u2", second);
    const auto caller = fixture.answer();
    cr_assert(caller->isFinished());
    cr_assert_str_eq(caller->body().c_str(), Events);
}

// Guards against streams that end at all upstreams, though they have sent data, because this process got no processor time.
Test(silentupstreams, streamsOfANodeThatWasSuspendedAreDelivered)
{
    const auto script = [](const std::string &) {
        ScriptedAnswer answer { absl::StrCat(StreamHead, chunk("id: 1\ndata: a\n\n")) };
        for (int i = 2; i <= 20; ++i) {
            answer.laterParts.push_back(chunk(absl::StrCat("id: ", i, "\ndata: a\n\n")));
        }
        answer.laterParts.emplace_back("0\r\n\r\n");
        answer.pause = Duration(100);
        return answer;
    };
    const ScriptedUpstream first(script);
    const ScriptedUpstream second(script);
    SilenceFixture fixture;
    fixture.addUpstream("u1", first);
    fixture.addUpstream("u2", second);
    fixture.loop.after(Duration(200), [] { absl::SleepFor(absl::Milliseconds(1700)); });
    const auto caller = fixture.answer();
    cr_assert(caller->isFinished());
    cr_assert(absl::StrContains(caller->body(), "id: 20\ndata: a\n\n"));
    cr_assert_eq(sentRequests(first) + sentRequests(second), 1);
}

// Guards against answers that are replaced by an error, though they arrived in time, because this process got no processor time until after
// the deadline.
Test(suspendednode, answersThatArrivedWhileTheNodeWasSuspendedAreDelivered)
{
    constexpr std::size_t LongBody = 100'000;
    const std::string longAnswer =
        absl::StrCat("HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\nContent-Length: ", LongBody,
            "\r\n\r\n", std::string(LongBody, 'b'));
    struct Suspension
    {
        Duration begin;
        Duration length;
        Duration answerAt;
    };
    for (const std::string &answer : { std::string(CompleteAnswer), longAnswer }) {
        for (const Suspension &suspension :
            { Suspension { Duration(950), Duration(300), Duration(1050) }, Suspension { Duration(500), Duration(760), Duration(700) },
                Suspension { Duration(500), Duration(1000), Duration(700) } }) {
            const ScriptedUpstream upstream([&](const std::string &) {
                absl::SleepFor(absl::Milliseconds(suspension.answerAt.milliseconds()));
                return ScriptedAnswer { answer };
            });
            ForwarderFixture fixture;
            fixture.configure(RequestKind::NonIdempotent, 1);
            fixture.addUpstream("u1", upstream);
            fixture.loop.after(suspension.begin, [&] { absl::SleepFor(absl::Milliseconds(suspension.length.milliseconds())); });
            const auto caller = fixture.send(ForwarderFixture::request());
            fixture.runUntil([&] { return caller->isDone(); });
            cr_assert_eq(caller->status(), 200);
        }
    }
}

// Guards against a node that is late in every round and keeps no deadline.
Test(suspendednode, deadlinesHoldThoughEveryRoundIsLate)
{
    const ScriptedUpstream upstream([](const std::string &) {
        return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Keep, true };
    });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::NonIdempotent, 1);
    fixture.addUpstream("u1", upstream);
    std::function<void()> work = [&] {
        absl::SleepFor(absl::Milliseconds(450));
        fixture.loop.after(Duration(1), work);
    };
    fixture.loop.after(Duration(0), work);
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 504);
}
