#include "testrequestforwarderfixture.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

// What lies in the buffers of the system between an upstream and the node.
constexpr std::size_t SystemBufferBytes = std::size_t(16) << 20U;
// Long before the deadline of the requests, 1.2 s.
constexpr Duration Soon { 800 };
const std::string Head = "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\n";
const std::string SoundStream = absl::StrCat(StreamHead, chunk("id: 1\ndata: a\n\n"), "0\r\n\r\n");

/** Beginning and repeated part of answers without end, none of them a stream. */
std::vector<ScriptedAnswer> endlessAnswers()
{
    const std::vector<std::pair<std::string, std::string>> parts { { "", "x" }, { Head, "X-More: x\r\n" },
        { "", "HTTP/1.1 102 Processing\r\n\r\n" }, { Head + "\r\n", "x" }, { Head + "Content-Length: 900000000000\r\n\r\n", "x" },
        { Head + "Transfer-Encoding: chunked\r\n\r\n", chunk(std::string(4000, 'x')) },
        { "HTTP/1.1 500 No\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\n\r\n", "x" } };
    std::vector<ScriptedAnswer> result;
    for (const auto &[beginning, repeated] : parts) {
        ScriptedAnswer answer { beginning };
        answer.endless = repeated;
        result.push_back(answer);
    }
    return result;
}

ScriptedAnswer endlessEvent()
{
    ScriptedAnswer answer { StreamHead + chunk("id: 1\ndata: a\n\nid: 2\ndata: ") };
    answer.endless = chunk(std::string(4000, 'x'));
    return answer;
}

/** An upstream that answers requests whose body contains "endless" without end, and the others as they should be. */
struct EndlessFixture : ForwarderFixture
{
    ScriptedUpstream upstream;
    Time sentAt;

    EndlessFixture(RequestKind kind, const ScriptedAnswer &endless)
        : upstream([kind, endless](const std::string &request) {
            if (absl::StrContains(request, "endless")) {
                return endless;
            }
            return ScriptedAnswer { kind == RequestKind::Stream ? SoundStream : std::string(CompleteAnswer) };
        })
    {
        configure(kind, 1);
        addUpstream("u", upstream);
    }
    std::shared_ptr<Caller> sendBody(const std::string &id, const std::string &body)
    {
        HttpRequest request = requestWithId(id);
        request.body = body;
        sentAt = clock.now();
        return send(std::move(request));
    }
    /** Waits for the answer; returns whether it came soon. */
    bool isAnsweredSoon(const std::shared_ptr<Caller> &caller)
    {
        runUntil([&] { return caller->isDone(); });
        return caller->isDone() && clock.now() - sentAt < Soon;
    }
};

} // namespace

// An upstream sends a head or a body without end: the node kept all of it, until the deadline of the request.
Test(endlessanswers, callerGetsATrueAnswerSoonAndMemoryStaysBounded)
{
    for (const ScriptedAnswer &endless : endlessAnswers()) {
        EndlessFixture fixture(RequestKind::NonIdempotent, endless);
        const auto caller = fixture.sendBody("r-1", "endless");
        cr_assert(fixture.isAnsweredSoon(caller), "%s", endless.endless.c_str());
        cr_assert_eq(caller->status(), 502, "%d: %s", caller->status(), endless.endless.c_str());
        fixture.runUntil([&] { return fixture.upstream.endedEndless() == 1; });
        cr_assert_eq(fixture.upstream.endedEndless(), 1);
        cr_assert_lt(fixture.upstream.endlessBytes(), AnswerLimits().maxAnswerBytes + SystemBufferBytes, "%zu bytes of %s",
            fixture.upstream.endlessBytes(), endless.endless.substr(0, 20).c_str());
    }
}

// The same request is served by another upstream if it may be repeated.
Test(endlessanswers, requestThatMayBeRepeatedIsServedElsewhere)
{
    for (const ScriptedAnswer &endless : endlessAnswers()) {
        std::atomic<int> calls { 0 };
        const auto script = [&](const std::string &) { return ++calls == 1 ? endless : ScriptedAnswer { CompleteAnswer }; };
        const SystemClock clock;
        const Time sentAt = clock.now();
        const auto caller = answerOfTwo(RequestKind::Idempotent, 2, false, script);
        const Duration took = clock.now() - sentAt;
        cr_assert_eq(caller->status(), 200);
        cr_assert(caller->body() == "whole");
        cr_assert_lt(took.milliseconds(), Soon.milliseconds());
    }
}

// One event without an end made the node search all that had come, again with each part: it answered nobody meanwhile.
Test(endlessanswers, eventWithoutEndIsBrokenOffAndDelaysNobody)
{
    EndlessFixture fixture(RequestKind::Stream, endlessEvent());
    const auto endless = fixture.sendBody("r-0", "endless");
    for (int i = 1; i <= 5; ++i) {
        const auto sound = fixture.sendBody(absl::StrCat("r-", i), "sound");
        cr_assert(fixture.isAnsweredSoon(sound), "request %d", i);
        cr_assert(sound->isFinished());
    }
    fixture.runUntil([&] { return endless->isDone(); });
    cr_assert_not(endless->isFinished());
    cr_assert(endless->body() == "id: 1\ndata: a\n\n");
    fixture.runUntil([&] { return fixture.upstream.endedEndless() == 1; });
    cr_assert_eq(fixture.upstream.endedEndless(), 1);
    cr_assert_lt(fixture.upstream.endlessBytes(), AnswerLimits().maxEventBytes + SystemBufferBytes);
}

// A resumable stream goes on at another upstream, without the part of the event.
Test(endlessanswers, resumableStreamGoesOnAfterAnEventWithoutEnd)
{
    std::atomic<int> calls { 0 };
    const ScriptedUpstream::Script script = [&](const std::string &) {
        return ++calls == 1 ? endlessEvent() : ScriptedAnswer { absl::StrCat(StreamHead, chunk("id: 2\ndata: b\n\n"), "0\r\n\r\n") };
    };
    const auto caller = answerOfTwo(RequestKind::Stream, 2, true, script);
    cr_assert(caller->isFinished());
    cr_assert(caller->body() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "%s", caller->body().c_str());
}

// Many answers without end at the same time take the memory of the others.
Test(endlessanswers, manyAtOnceLeaveMemoryForOthers)
{
    constexpr int EndlessAnswers = 24;
    for (const ScriptedAnswer &endless : { endlessAnswers()[3], endlessAnswers()[5] }) {
        EndlessFixture fixture(RequestKind::Idempotent, endless);
        std::vector<std::shared_ptr<Caller>> callers;
        for (int i = 0; i < EndlessAnswers; ++i) {
            callers.push_back(fixture.sendBody(absl::StrCat("e-", i), "endless"));
        }
        const auto sound = fixture.sendBody("r-1", "sound");
        fixture.runUntil([&] { return sound->isDone(); });
        cr_assert_eq(sound->status(), 200);
        for (const auto &caller : callers) {
            fixture.runUntil([&] { return caller->isDone(); });
            cr_assert_eq(caller->status(), 502);
        }
        cr_assert_eq(fixture.forwarder->answerBytes(), 0);
    }
}
