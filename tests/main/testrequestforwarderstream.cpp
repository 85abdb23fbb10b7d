#include "testrequestforwarderfixture.h"
#include "unreachableaddress.h"

#include <absl/strings/str_replace.h>
#include <absl/synchronization/notification.h>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

/** The head of an answer with neither a length nor chunks, whose end is that of its connection. */
constexpr const char *UnframedHead = "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\n\r\n";
constexpr auto Close = ScriptedAnswer::ConnectionAction::Close;
constexpr auto Reset = ScriptedAnswer::ConnectionAction::Reset;

ScriptedAnswer unframed(const std::string &body, ScriptedAnswer::ConnectionAction action = Close)
{
    return ScriptedAnswer { UnframedHead + body, action };
}

/** The answer to a request that has a second attempt only if it is resumable. */
std::shared_ptr<Caller> answerOf(RequestKind kind, bool isResumable, const ScriptedUpstream::Script &script)
{
    return answerOfTwo(kind, isResumable ? 2 : 1, isResumable, script);
}

} // namespace

// Guards against a stream that an upstream broke off inside an event, by closing its connection, and that ends as complete for the caller.
Test(unframedanswers, streamThatEndsInsideAnEventDoesNotLookComplete)
{
    for (const char *rest : { "id: 2\nda", "id: 2\ndata: b\n", "i" }) {
        const auto caller = answerOf(
            RequestKind::Stream, false, [rest](const std::string &) { return unframed(absl::StrCat("id: 1\ndata: a\n\n", rest)); });
        cr_assert(caller->isDone());
        cr_assert_not(caller->isFinished());
        cr_assert_eq(caller->body(), "id: 1\ndata: a\n\n");
    }
}

// Guards against a stream without any event that ends as complete for the caller.
Test(unframedanswers, streamWithoutAnEventDoesNotLookComplete)
{
    const auto caller = answerOf(RequestKind::Stream, false, [](const std::string &) { return unframed(""); });
    cr_assert(caller->isDone());
    cr_assert_not(caller->isFinished());
}

// Guards against a resumable stream that was broken off inside an event and is not continued.
Test(unframedanswers, resumableStreamThatEndsInsideAnEventContinues)
{
    int calls = 0;
    const auto caller = answerOf(RequestKind::Stream, true, [&calls](const std::string &request) {
        if (asksForReport(request)) {
            return ScriptedAnswer { EmptyReport };
        }
        if (++calls == 1) {
            return unframed("id: 1\ndata: a\n\nid: 2\nda");
        }
        cr_assert(absl::StrContains(request, "Last-Event-Id: 1\r\n"), "%s", request.c_str());
        return unframed("id: 2\ndata: b\n\n");
    });
    cr_assert(caller->body() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "%s", caller->body().c_str());
    cr_assert(caller->isFinished());
}

// Guards against an answer whose upstream closed within its head and that is delivered as whole, with an empty or short body.
Test(unframedanswers, answerThatIsCutInItsHeadIsNotDelivered)
{
    enum class Way { Direct, KeptConnection, Relayed };
    const std::string head = "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\nContent-Type: text/plain\r\n"
                             "Content-Length: 5\r\n\r\n";
    for (const Way way : { Way::Direct, Way::KeptConnection, Way::Relayed }) {
        for (const auto action : { ScriptedAnswer::ConnectionAction::Close, ScriptedAnswer::ConnectionAction::Reset }) {
            // In the status line, before and within a name, within and after a value, and before the empty line.
            for (const std::size_t cut :
                { std::size_t(0), std::size_t(5), std::size_t(13), std::size_t(17), std::size_t(25), std::size_t(48), head.find("Seal"),
                    head.find(": s") + 3, head.find("text/"), head.find("Length"), head.size() - 5, head.size() - 4, head.size() - 2 }) {
                ForwarderFixture fixture;
                fixture.configure(RequestKind::NonIdempotent, 1);
                int calls = 0;
                const ScriptedUpstream upstream([&](const std::string &) {
                    const bool isWhole = way == Way::KeptConnection && ++calls == 1;
                    return isWhole ? ScriptedAnswer { CompleteAnswer } : ScriptedAnswer { head.substr(0, cut), action };
                });
                if (way == Way::Relayed) {
                    fixture.addUnreachableUpstream("u1");
                    fixture.addRelay("n2", upstream);
                } else {
                    fixture.addUpstream("u1", upstream);
                }
                if (way == Way::KeptConnection) {
                    const auto first = fixture.send(ForwarderFixture::requestWithId("r-1"));
                    fixture.runUntil([&] { return first->isDone(); });
                    cr_assert_eq(first->status(), 200);
                }
                const auto caller = fixture.send(ForwarderFixture::requestWithId("r-2"));
                fixture.runUntil([&] { return caller->isDone(); });
                cr_assert_geq(caller->status(), 500, "way %d, cut at %zu: %d", static_cast<int>(way), cut, caller->status());
            }
        }
    }
}

// Guards against calls that check no head and take one that is cut for an answer without a body.
Test(unframedanswers, callThatChecksNoHeadDoesNotTakeACutOneForAnAnswer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t cut = 0; cut <= head.size(); ++cut) {
        const ScriptedUpstream upstream([&](const std::string &) {
            return ScriptedAnswer { head.substr(0, cut), ScriptedAnswer::ConnectionAction::Close };
        });
        HttpClient client;
        absl::Notification isDone;
        CallResult result;
        HttpCall call;
        call.url = "http://" + upstream.address() + "/";
        call.onDone = [&](const CallResult &ended) {
            result = ended;
            isDone.Notify();
        };
        client.start(std::move(call));
        cr_assert(isDone.WaitForNotificationWithTimeout(absl::Seconds(5)));
        cr_assert_eq(result.state == AttemptState::Answered, cut == head.size(), "cut at %zu", cut);
    }
}

// Guards against a stream whose continuation is cut within its head and that ends as if it were whole.
Test(unframedanswers, streamWhoseContinuationIsCutInItsHeadDoesNotLookWhole)
{
    for (const std::size_t cut : { std::size_t(0), std::size_t(12), std::size_t(17), std::size_t(60) }) {
        int calls = 0;
        const auto caller = answerOf(RequestKind::Stream, true, [&](const std::string &request) {
            if (asksForReport(request)) {
                return ScriptedAnswer { EmptyReport };
            }
            if (++calls == 1) {
                return ScriptedAnswer { absl::StrCat(StreamHead, chunk("id: 1\ndata: a\n\n")), ScriptedAnswer::ConnectionAction::Reset };
            }
            return ScriptedAnswer { std::string(StreamHead).substr(0, cut), ScriptedAnswer::ConnectionAction::Close };
        });
        cr_assert_not(caller->isFinished(), "cut at %zu", cut);
        cr_assert_eq(caller->body(), "id: 1\ndata: a\n\n");
    }
}

// Guards against whole answers that are taken for broken ones because they end with their connection.
Test(unframedanswers, wholeAnswersAreDelivered)
{
    for (const char *stream : { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\ndata: a\n\n\n" }) {
        const auto caller = answerOf(RequestKind::Stream, false, [stream](const std::string &) { return unframed(stream); });
        cr_assert(caller->isFinished());
        cr_assert(caller->body() == stream, "%s", caller->body().c_str());
    }
    const auto caller = answerOf(RequestKind::NonIdempotent, false, [](const std::string &) { return unframed("whole"); });
    cr_assert_eq(caller->status(), 200);
    cr_assert_eq(caller->body(), "whole");
}

// Guards against an answer that an upstream reset on the way and that is delivered as whole.
Test(unframedanswers, answerThatIsResetIsNotDelivered)
{
    const auto payment = answerOf(RequestKind::NonIdempotent, false, [](const std::string &) { return unframed("half", Reset); });
    cr_assert_eq(payment->status(), 502);
    const auto stream = answerOf(RequestKind::Stream, false, [](const std::string &) { return unframed("id: 1\ndata: a\n\n", Reset); });
    cr_assert(stream->isDone());
    cr_assert_not(stream->isFinished());
}

// Guards against a stream that breaks off inside an event on its way through another node and ends as complete for the caller.
Test(unframedanswers, relayedStreamThatEndsInsideAnEventContinues)
{
    const ScriptedUpstream relay([](const std::string &request) {
        const bool isContinued = absl::StrContains(request, "Last-Event-Id: 1\r\n");
        const std::string events = isContinued ? "id: 2\ndata: b\n\n" : "id: 1\ndata: a\n\nid: 2\nda";
        return ScriptedAnswer { absl::StrReplaceAll(RelayedStreamHead, { { "Transfer-Encoding: chunked\r\n", "" } }) + events, Close };
    });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Stream, 2, true);
    fixture.addUnreachableUpstream("u1");
    fixture.addRelay("n2", relay);
    fixture.addRelay("n3", relay);
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert(caller->body() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "%s", caller->body().c_str());
    cr_assert(caller->isFinished());
}

// Guards against answers with a length or chunks, whose framing tells that they are whole, being taken for broken ones.
Test(unframedanswers, framedStreamThatEndsInsideAnEventIsDelivered)
{
    for (const bool isChunked : { false, true }) {
        const std::string body = "id: 1\ndata: a\n\nid: 2\ndata: b";
        const std::string answer = isChunked
            ? absl::StrCat(StreamHead, chunk(body), "0\r\n\r\n")
            : absl::StrCat("HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\nContent-Length: ", body.size(),
                "\r\n\r\n", body);
        const auto caller = answerOf(RequestKind::Stream, false, [&answer](const std::string &) {
            return ScriptedAnswer { answer, Close };
        });
        cr_assert(caller->isFinished());
        cr_assert(caller->body() == body, "%s", caller->body().c_str());
    }
}

// Guards against lengths that count what is no event, and times that contain an interruption of the stream.
Test(streamlengths, onlyWholeStreamsAreLearned)
{
    bool isBroken = true;
    const ScriptedUpstream::Script script = [&isBroken](const std::string &request) {
        const bool isContinued = absl::StrContains(request, "Last-Event-Id: 1\r\n");
        return isContinued ? unframed("id: 2\ndata: b\n\n")
            : isBroken     ? unframed("id: 1\ndata: a\n\n", Reset)
                           : unframed("id: 1\ndata: a\n\n: alive\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n\n");
    };
    const ScriptedUpstream first(script);
    const ScriptedUpstream second(script);
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Stream, 2, true);
    fixture.addUpstream("u1", first);
    fixture.addUpstream("u2", second);
    for (const double expected : { 0.0, 3.0 }) {
        isBroken = expected == 0;
        const auto caller = fixture.send(ForwarderFixture::requestWithId(isBroken ? "r-1" : "r-2"));
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert(caller->isFinished());
        const auto estimate = fixture.clusterState.answerLengths.estimate("r", std::nullopt, 0);
        cr_assert_eq(estimate.has_value(), !isBroken);
        cr_assert_float_eq(estimate.value_or(AnswerLength {}).expected, expected, 0.2);
    }
}
