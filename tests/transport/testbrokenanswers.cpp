#include "tests/main/scriptedupstream.h"
#include "transport/httpclient.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>

#include <random>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;
using Fixtures::ScriptedAnswer;
using Fixtures::ScriptedUpstream;

namespace
{

constexpr const char *SoundAnswer = "HTTP/1.1 200 OK\r\nX-First: 1\r\nX-Second: 2\r\nContent-Length: 5\r\n\r\nwhole";
const std::string StatusLine = "HTTP/1.1 200 OK\r\n";

struct Received
{
    CallResult result;
    std::string body;
};

Received call(HttpClient &client, const ScriptedUpstream &upstream, const std::string &path, const std::string &body = {})
{
    Received received;
    absl::Notification done;
    HttpCall httpCall;
    httpCall.url = absl::StrCat("http://", upstream.address(), path);
    httpCall.method = body.empty() ? "GET" : "POST";
    httpCall.body = body;
    httpCall.isSentOnce = true;
    httpCall.totalTimeout = Duration::seconds(5);
    httpCall.onData = [&](std::string_view data) {
        received.body.append(data);
        return true;
    };
    httpCall.onDone = [&](const CallResult &result) {
        received.result = result;
        done.Notify();
    };
    client.start(std::move(httpCall));
    done.WaitForNotification();
    return received;
}

/** Answers requests for /broken with @p bytes and closes the connection, and others as it should, on kept connections. */
ScriptedUpstream::Script answersBroken(const std::string &bytes)
{
    return [bytes](const std::string &request) {
        if (!absl::StartsWith(request, "GET /broken ")) {
            return ScriptedAnswer { SoundAnswer };
        }
        return ScriptedAnswer { bytes, ScriptedAnswer::ConnectionAction::Close };
    };
}

} // namespace

// Guards against a line without a field before it that libcurl folds onto a field of an earlier answer, whose memory is freed already: the
// process ended.
Test(brokenanswers, foldedLineWithoutAFieldDoesNotEndTheProcess)
{
    constexpr int Rounds = 50;
    const std::string fold = " X-Fold: " + std::string(300, 'f') + "\r\n";
    for (const std::string &bytes : {
             StatusLine + fold + "Content-Length: 5\r\n\r\nwhole",
             StatusLine + "\tX-Fold: 1\r\n\r\n",
             "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + StatusLine + fold + "Content-Length: 5\r\n\r\nwhole",
             "HTTP/1.1 103 Early Hints\r\n" + fold + "\r\n" + std::string(SoundAnswer),
             StatusLine + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fold + "\r\n",
         }) {
        const ScriptedUpstream upstream(answersBroken(bytes));
        HttpClient client;
        for (int i = 0; i < Rounds; ++i) {
            cr_assert_eq(call(client, upstream, "/sound").body, "whole");
            call(client, upstream, "/broken");
        }
    }
}

// Guards against a broken answer that passes for a whole one: its caller gets a body that the server did not send.
Test(brokenanswers, brokenAnswersAreReportedAsMalformed)
{
    const std::string length = "Content-Length: 5\r\n";
    const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
    std::vector<std::string> answers;
    for (const char *fields : { "Content-Length: 5x\r\n", "Content-Length: 5.0\r\n", "Content-Length: 0 5\r\n", "Content-Length: 0x5\r\n",
             "Content-Length: 5, 380\r\n", "Content-Length: 5\r\nContent-Length: 380\r\n", "Content-Length: +5\r\n",
             "Content-Length: 99999999999999999999999999\r\n", "Content-Length : 5\r\n", "Content-Length\t: 5\r\n",
             "Content-Length\x01: 5\r\n", "Transfer-Encoding : chunked\r\n", "Transfer-Encoding: \r\n", "Content-Length: \r\n",
             "Content-Length: -5\r\n" }) {
        answers.push_back(absl::StrCat(StatusLine, fields, "\r\nwhole"));
    }
    for (const char *fields : { "Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 380\r\n", "Transfer-Encoding: x\r\n" }) {
        answers.push_back(absl::StrCat(StatusLine, fields, "\r\n", chunks));
    }
    for (const char *line : { ": no name", "X Blank: 1", "X-Blank : 1", "X-Tab\t: 1", "X-\x01: 1", "X-\x7f: 1", "X-\xc3\xa4: 1", "X(: 1",
             "X/: 1", "X\": 1", "X-Cr: a\rb", "\rX: 1", " X-Fold: 1", "no field" }) {
        answers.push_back(absl::StrCat(StatusLine, length, line, "\r\n\r\nwhole"));
        answers.push_back(absl::StrCat(StatusLine, line, "\r\n", length, "\r\nwhole"));
    }
    for (const char *line : { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 200x",
             "HTTP/1.1  200 OK", "HTTP/2 200 OK", "http/1.1 200 OK", "HTTP/1.1 101 Switching", "junk" }) {
        answers.push_back(absl::StrCat(line, "\r\n", length, "\r\nwhole"));
        answers.push_back(absl::StrCat(line, "\r\n\r\n"));
    }
    for (const char *body : { "5x\r\nwhole\r\n0\r\n\r\n", "5;\r\nwhole\r\n0\r\n\r\n", "5\r\nwholeX\r\n0\r\n\r\n",
             "5\r\nwhole\r\n0x\r\n\r\n", "5\r\nwhole\r\n0\r\nno field\r\n\r\n", "x\r\n" }) {
        answers.push_back(absl::StrCat(StatusLine, "Transfer-Encoding: chunked\r\n\r\n", body));
    }
    HttpClient client;
    for (const std::string &bytes : answers) {
        const ScriptedUpstream upstream(answersBroken(bytes));
        const Received broken = call(client, upstream, "/broken");
        cr_expect(broken.result.state == AttemptState::Sent && broken.result.error == ErrorKind::UpstreamFailed, "%s", bytes.c_str());
        cr_expect(broken.result.isMalformed && broken.result.status == 0, "%s: %s", bytes.c_str(), broken.result.detail.c_str());
        cr_expect_eq(call(client, upstream, "/sound").body, "whole");
    }
}

// Guards against an answer that is cut, or refused by the reader of its head, and passes for a whole one.
Test(brokenanswers, cutAnswersAreReportedAsFailed)
{
    HttpClient client;
    for (const char *bytes : { "", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 380\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", "HTTP/1.1 100 Continue\r\n\r\n" }) {
        const ScriptedUpstream upstream(answersBroken(bytes));
        const Received broken = call(client, upstream, "/broken");
        cr_expect(broken.result.state == AttemptState::Sent && !broken.result.isMalformed, "%s", bytes);
    }
}

// Guards against a part of an answer that passes for a whole one because its connection was reset while the request was still being sent.
Test(brokenanswers, earlyAnswerThatIsResetIsReportedAsFailed)
{
    constexpr int Rounds = 10;
    const std::string body(4U << 20U, 'b');
    for (const char *bytes : { "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" }) {
        for (const Duration pause : { Duration(0), Duration(1), Duration(20) }) {
            ScriptedAnswer answer { bytes, ScriptedAnswer::ConnectionAction::Reset };
            if (pause > Duration(0)) {
                answer.laterParts = { "" };
                answer.pause = pause;
            }
            const ScriptedUpstream upstream([answer](const std::string &) { return answer; }, ScriptedUpstream::Reading::Heads);
            HttpClient client;
            for (int i = 0; i < Rounds; ++i) {
                const Received broken = call(client, upstream, "/", body);
                cr_expect(
                    broken.result.state == AttemptState::Sent, "%s, reset after %d ms", bytes, static_cast<int>(pause.milliseconds()));
            }
        }
    }
}

// Guards against proper answers that are refused because they are rare.
Test(brokenanswers, properAnswersAreServed)
{
    HttpClient client;
    for (const char *bytes : { "HTTP/1.1 200 OK\r\n\r\nwhole", "HTTP/1.0 200 OK\r\n\r\nwhole", "HTTP/1.1 200\nContent-Length: 5\n\nwhole",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: 1\r\nX-Empty:\r\nX-Tab: a\tb\r\nContent-Length: 5\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n2;a=b\r\nwh\r\n3;c=\"d\"\r\nole\r\n0\r\nX-Trailer: 1\r\n\r\n",
             "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n5\nwhole\n0\n\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeand more",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\nmore" }) {
        const ScriptedUpstream upstream(answersBroken(bytes));
        const Received received = call(client, upstream, "/broken");
        cr_expect(received.result.state == AttemptState::Answered, "%s: %s", bytes, received.result.detail.c_str());
        cr_expect_eq(received.body, "whole", "%s", bytes);
        cr_expect_eq(received.result.status, 200);
    }
}

// Guards against a connection that is used again after a whole answer with more bytes behind it, which the next call would get.
Test(brokenanswers, connectionWithBytesBehindAnAnswerIsNotUsedAgain)
{
    for (const char *bytes :
        { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
            "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" }) {
        const ScriptedUpstream upstream([bytes](const std::string &request) {
            return ScriptedAnswer { absl::StartsWith(request, "GET /broken ") ? bytes : SoundAnswer };
        });
        HttpClient client;
        for (int i = 0; i < 10; ++i) {
            cr_assert(call(client, upstream, "/broken").result.state == AttemptState::Answered);
            cr_assert_eq(call(client, upstream, "/sound").body, "whole", "%s", bytes);
        }
    }
}

// Guards against lines without end around a body and heads without end, which the process would keep.
Test(brokenanswers, linesWithoutEndAreBrokenOff)
{
    const std::string inChunks = StatusLine + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> parts { { inChunks + "5;", "a" }, { inChunks + "0\r\n", "X-More: x\r\n" },
        { inChunks + "0\r\nX: ", "x" }, { inChunks, "1" }, { inChunks + "5\r\nwhole", "x" },
        { "", "HTTP/1.1 102 Processing\r\nX-More: x\r\n\r\n" }, { StatusLine, "X-More: x\r\n" }, { StatusLine + "X-More: ", "x" },
        { "", "x" }, { "HTTP/1.1 200 ", "x" } };
    for (const auto &[beginning, repeated] : parts) {
        ScriptedAnswer answer { beginning };
        answer.endless = repeated;
        const ScriptedUpstream upstream([answer](const std::string &) { return answer; });
        HttpClient client;
        const Received broken = call(client, upstream, "/");
        cr_expect(broken.result.state == AttemptState::Sent && broken.result.error == ErrorKind::UpstreamFailed, "%s...%s: %s",
            beginning.c_str(), repeated.c_str(), broken.result.detail.c_str());
    }
}

// Guards against a process that ends, or a call that never does, whatever an upstream sends on kept connections.
Test(brokenanswers, anyBytesEndTheirCall)
{
    constexpr int Rounds = 1500;
    const std::vector<std::string> heads { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 401 No\r\nWWW-Authenticate: Basic\r\n", "HTTP/1.1 302 Found\r\nLocation: /other\r\n" };
    const std::vector<std::string> lines { " fold\r\n", "\tfold: 1\r\n", "X-A: b\r\n", "X-B:\r\n", "\r\n", "\n", "\r\r\n",
        "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "Connection: keep-alive\r\n", "Trailer: X\r\n", ": x\r\n",
        std::string("\0\r\n", 3), "5\r\nwhole\r\n0\r\n" };
    std::mt19937_64 random(1);
    const ScriptedUpstream upstream([&](const std::string &request) {
        if (!absl::StartsWith(request, "GET /broken ")) {
            return ScriptedAnswer { SoundAnswer };
        }
        std::string bytes = random() % 8 == 0 ? "" : heads[random() % heads.size()];
        for (auto count = random() % 8; count > 0; --count) {
            bytes += random() % 4 == 0 ? heads[random() % heads.size()] : lines[random() % lines.size()];
        }
        const bool isClosed = random() % 4 != 0;
        return ScriptedAnswer { bytes + "\r\nwhole",
            isClosed ? ScriptedAnswer::ConnectionAction::Close : ScriptedAnswer::ConnectionAction::Reset };
    });
    HttpClient client;
    int soundCount = 0;
    for (int i = 0; i < Rounds; ++i) {
        call(client, upstream, "/broken");
        // The kept connection that it takes may have been closed.
        const Received sound = call(client, upstream, "/sound");
        soundCount += sound.body == "whole" ? 1 : 0;
        cr_assert(sound.body == "whole" || sound.result.state == AttemptState::Sent);
    }
    cr_assert_gt(soundCount, Rounds / 2);
}
