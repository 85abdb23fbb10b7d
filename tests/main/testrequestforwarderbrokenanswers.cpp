#include "testrequestforwarderfixture.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

const std::string Sealed = "Apricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\n";
const std::string NotRun = "Apricotstep-Request-Id: {id}\r\nApricotstep-Not-Run: 1\r\n";
const std::string SpoiltLength = "Content-Length: 5x\r\n\r\nwhole";

std::string headOf(const std::string &statusLine, const std::string &fields)
{
    return absl::StrCat("HTTP/1.1 ", statusLine, "\r\n", fields);
}

std::vector<std::string> brokenAnswers()
{
    return { headOf("200 OK", Sealed + SpoiltLength), headOf("200 OK", Sealed + "X Blank: 1\r\nContent-Length: 5\r\n\r\nwhole"),
        headOf("200 OK", Sealed + "X-\x01: 1\r\nContent-Length: 5\r\n\r\nwhole"), headOf("200 OK", " X-Fold: 1\r\n" + Sealed + "\r\nwhole"),
        headOf("200 OK", Sealed + "no field\r\n\r\nwhole"), headOf("000 OK", Sealed + "Content-Length: 5\r\n\r\nwhole"),
        headOf("600 OK", Sealed + "Content-Length: 5\r\n\r\nwhole"),
        headOf("200 OK", Sealed + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
        headOf("200 OK", Sealed + "Transfer-Encoding: chunked\r\n\r\n5x\r\nwhole\r\n0\r\n\r\n"), headOf("503 Full", NotRun + SpoiltLength),
        headOf("429 Many", NotRun + " X-Fold: 1\r\nContent-Length: 0\r\n\r\n") };
}

ScriptedUpstream::Script answersWith(const std::string &bytes)
{
    return [bytes](const std::string &) { return ScriptedAnswer { bytes, ScriptedAnswer::ConnectionAction::Close }; };
}

} // namespace

// Guards against a broken answer that reaches its caller as a whole one, or whose status promises that the request has not run.
Test(brokenanswers, brokenAnswersReachNoCaller)
{
    for (const RequestKind kind : { RequestKind::NonIdempotent, RequestKind::Idempotent, RequestKind::Stream }) {
        for (const std::string &bytes : brokenAnswers()) {
            const ScriptedUpstream broken(answersWith(bytes));
            const ScriptedUpstream other(answersWith(CompleteAnswer));
            ForwarderFixture fixture;
            fixture.configure(kind, 1);
            fixture.addUpstream("broken", broken);
            const auto caller = fixture.send(ForwarderFixture::request());
            fixture.runUntil([&] { return caller->isDone(); });
            cr_expect_eq(caller->status(), 502, "%s: %d", bytes.c_str(), caller->status());
        }
    }
}

// Guards against a broken answer that ends a request which may run again elsewhere, or runs twice one that must not.
Test(brokenanswers, onlyRepeatableRequestsGoToAnotherUpstream)
{
    for (const RequestKind kind : { RequestKind::Idempotent, RequestKind::NonIdempotent }) {
        for (const std::string &bytes : brokenAnswers()) {
            bool hasAnswered = false;
            const ScriptedUpstream::Script script = [&](const std::string &) {
                const bool isFirst = !std::exchange(hasAnswered, true);
                return ScriptedAnswer { isFirst ? bytes : CompleteAnswer, ScriptedAnswer::ConnectionAction::Close };
            };
            const ScriptedUpstream one(script);
            const ScriptedUpstream two(script);
            ForwarderFixture fixture;
            fixture.configure(kind, 2);
            fixture.addUpstream("one", one);
            fixture.addUpstream("two", two);
            const auto caller = fixture.send(ForwarderFixture::request());
            fixture.runUntil([&] { return caller->isDone(); });
            const bool isRepeatable = kind == RequestKind::Idempotent;
            cr_expect_eq(caller->status(), isRepeatable ? 200 : 502, "%s", bytes.c_str());
            cr_expect_eq(one.requests().size() + two.requests().size(), isRepeatable ? 2U : 1U, "%s", bytes.c_str());
        }
    }
}
