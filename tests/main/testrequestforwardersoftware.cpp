#include "testrequestforwarderfixture.h"

#include <absl/strings/str_replace.h>

#include <atomic>
#include <thread>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

ScriptedAnswer wholeStream(const std::string &events)
{
    return ScriptedAnswer { absl::StrCat(StreamHead, chunk(events), "0\r\n\r\n") };
}

ScriptedAnswer brokenStream(const std::string &events)
{
    return ScriptedAnswer { absl::StrCat(StreamHead, chunk(events)), ScriptedAnswer::ConnectionAction::Reset };
}

/** A request with the id @p id that takes up the stream which the request @p resumed began, after its first event. */
HttpRequest resumption(const std::string &id, const std::string &resumed)
{
    HttpRequest request = ForwarderFixture::requestWithId(id);
    const HttpHeaders added { { "Last-Event-Id", "1" }, { "Resumes", resumed } };
    for (const auto &[name, value] : added) {
        if (!value.empty()) {
            request.headerList.emplace_back(name, value);
            request.headers[absl::AsciiStrToLower(name)] = value;
        }
    }
    return request;
}

/** A forwarder before one upstream of each of two software versions. */
struct TwoVersionsFixture : ForwarderFixture
{
    ScriptedUpstream first;
    ScriptedUpstream second;

    explicit TwoVersionsFixture(const ScriptedUpstream::Script &firstScript)
        : first(firstScript)
        , second([](const std::string &) { return wholeStream("id: 2\ndata: b\n\n"); })
    {
        configure(RequestKind::Stream, 2, true);
        addUpstream("u1", first, "v1");
    }
    /** Sends a request that the first upstream begins, and only then adds the second one. */
    std::shared_ptr<Caller> begin()
    {
        const auto caller = send(request());
        runUntil([&] { return !first.requests().empty(); });
        addUpstream("u2", second, "v2");
        runUntil([&] { return caller->isDone(); });
        return caller;
    }
};

} // namespace

// Guards against a stream that a node continues, within one answer, at an upstream of another software version.
Test(softwareversions, streamIsContinuedOnlyAtItsVersion)
{
    TwoVersionsFixture fixture([](const std::string &) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // The second upstream is listed before the stream breaks off.
        return brokenStream("id: 1\ndata: a\n\n");
    });
    const auto caller = fixture.begin();
    cr_assert(fixture.second.requests().empty());
    cr_assert_not(caller->isFinished());
    cr_assert_eq(caller->body(), "id: 1\ndata: a\n\n");
}

// Guards against a stream that its caller takes up again and that goes on at an upstream of another software version.
Test(softwareversions, resumedStreamGoesOnOnlyAtItsVersion)
{
    TwoVersionsFixture fixture([](const std::string &request) {
        return absl::StrContains(request, "Last-Event-Id") ? wholeStream("id: 2\ndata: b\n\n") : wholeStream("id: 1\ndata: a\n\n");
    });
    cr_assert(fixture.begin()->isFinished());
    for (int i = 0; i < 12; ++i) {
        const auto caller = fixture.send(resumption(absl::StrCat("r-2", i), "r-1"));
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert_eq(caller->status(), 200);
    }
    cr_assert(fixture.second.requests().empty());
}

// Guards against streams that begin on a version which another node, whose view is some seconds old, does not know of yet.
Test(softwareversions, newStreamsBeginOnAVersionOnlyOnceAllNodesKnowIt)
{
    TwoVersionsFixture fixture([](const std::string &) { return wholeStream("id: 1\ndata: a\n\n"); });
    SoftwareHistory &history = fixture.clusterState.softwareHistory;
    history.setMaxViewAge(Duration(1500));
    history.onListed(ServiceName("svc"), SoftwareVersion("v1"), fixture.clock.now(), Duration::seconds(60));
    history.onViewConfirmed(fixture.clock.now());
    fixture.addUpstream("u2", fixture.second, "v2");
    history.onListed(ServiceName("svc"), SoftwareVersion("v2"), fixture.clock.now());
    const Time listedAt = fixture.clock.now();
    for (int number = 0; fixture.clock.now() - listedAt < Duration(1000); ++number) {
        const auto caller = fixture.send(ForwarderFixture::requestWithId(absl::StrCat("r-", number)));
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert_eq(caller->status(), 200);
    }
    cr_assert(fixture.second.requests().empty());
    for (int number = 0; fixture.second.requests().empty() && number < 3000; ++number) {
        const auto caller = fixture.send(ForwarderFixture::requestWithId(absl::StrCat("s-", number)));
        fixture.runUntil([&] { return caller->isDone(); });
    }
    cr_assert_not(fixture.second.requests().empty());
}

// Guards against a stream that goes on at an upstream which has started again under its id, with other software, before the store tells it.
Test(softwareversions, streamDoesNotGoOnAtANewStartThatTheStoreHasNotTold)
{
    std::atomic<bool> hasRestarted { false };
    ForwarderFixture fixture;
    const ScriptedUpstream upstream([&hasRestarted](const std::string &request) {
        if (asksForReport(request)) {
            const std::string body = absl::StrCat("{\"born\":", hasRestarted ? 77 : 1, "}");
            return ScriptedAnswer { absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body) };
        }
        return absl::StrContains(request, "Last-Event-Id") ? wholeStream("id: 2\ndata: b\n\n") : wholeStream("id: 1\ndata: a\n\n");
    });
    fixture.configure(RequestKind::Stream, 2, true);
    fixture.addUpstream("u1", upstream, "v1");
    UpstreamRecord record = *fixture.clusterState.upstreams.usable(UpstreamId("u1"));
    record.startedAt = 1;
    fixture.clusterState.upstreams.put(record, fixture.clock.now());
    const auto begun = fixture.send(ForwarderFixture::requestWithId("r-1"));
    fixture.runUntil([&] { return begun->isDone(); });
    const auto resumed = fixture.send(resumption("r-2", "r-1"));
    fixture.runUntil([&] { return resumed->isDone(); });
    cr_assert_eq(resumed->status(), 200);
    cr_assert_eq(resumed->body(), "id: 2\ndata: b\n\n");
    hasRestarted = true;
    const auto joined = fixture.send(resumption("r-3", "r-1"));
    fixture.runUntil([&] { return joined->isDone(); });
    cr_assert_neq(joined->status(), 200);
    cr_assert_not(absl::StrContains(joined->body(), "data: b"));
}

// Guards against a stream that two upstreams answer at once, because the end of a cancelled call is taken for that of the call after it,
// and against a caller that is refused although an attempt is left.
Test(softwareversions, streamThatLeavesANewStartGoesOnAtOneUpstream)
{
    for (const int maxAttempts : { 2, 3, 4 }) {
        std::atomic<bool> hasRestarted { false };
        const auto answerReport = [](int startedAt) {
            const std::string body = absl::StrCat("{\"born\":", startedAt, "}");
            return ScriptedAnswer { absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body) };
        };
        const ScriptedUpstream restarted([&](const std::string &request) {
            if (asksForReport(request)) {
                std::this_thread::sleep_for(std::chrono::milliseconds(hasRestarted ? 100 : 0)); // The others are listed meanwhile.
                return answerReport(hasRestarted ? 77 : 1);
            }
            if (!hasRestarted) {
                return wholeStream("id: 1\ndata: a\n\n");
            }
            return ScriptedAnswer { absl::StrCat(StreamHead, chunk("id: 2\ndata: x\n\n")), ScriptedAnswer::ConnectionAction::Keep, true };
        });
        const auto continueStream = [&](const std::string &request) {
            if (asksForReport(request)) {
                return answerReport(1);
            }
            ScriptedAnswer answer { absl::StrCat(StreamHead, chunk("id: 2\ndata: b\n\n")) };
            answer.laterParts = { chunk("id: 3\ndata: c\n\n"), chunk("id: 4\ndata: d\n\n"), "0\r\n\r\n" };
            answer.pause = Duration(50);
            return answer;
        };
        const ScriptedUpstream second(continueStream);
        const ScriptedUpstream third(continueStream);
        ForwarderFixture fixture;
        fixture.configure(RequestKind::Stream, maxAttempts, true);
        fixture.addUpstream("u1", restarted, "v1");
        const auto begun = fixture.send(ForwarderFixture::requestWithId("r-1"));
        fixture.runUntil([&] { return begun->isDone(); });
        hasRestarted = true;
        const auto resumed = fixture.send(resumption("r-2", "r-1"));
        fixture.runUntil([&] { return restarted.requests().size() > 1; });
        fixture.addUpstream("u2", second, "v1");
        fixture.addUpstream("u3", third, "v1");
        fixture.runUntil([&] { return resumed->isDone(); });
        cr_assert_eq(resumed->status(), 200, "%d attempts", maxAttempts);
        cr_assert_eq(resumed->body(), "id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", "%d attempts: %s", maxAttempts,
            resumed->body().c_str());
        cr_assert(resumed->isFinished());
        // The stream itself and the report.
        cr_assert_eq(second.requests().size() + third.requests().size(), 2);
        // Nothing is left at an upstream that would weigh on the choice of the next one.
        for (const char *id : { "u1", "u2", "u3" }) {
            cr_assert_eq(fixture.clusterState.loadTracker.load(UpstreamId(id), fixture.clock.now()).running, 0);
        }
    }
}

// Guards against a stream whose software version no node knows and that goes on at any upstream. Nothing has run, and it is refused at
// once.
Test(softwareversions, unknownStreamIsRefusedWhileVersionsDiffer)
{
    for (const char *resumed : { "r-0", "" }) {
        TwoVersionsFixture fixture([](const std::string &) { return wholeStream("id: 1\ndata: a\n\n"); });
        fixture.begin();
        const Time before = fixture.clock.now();
        const auto caller = fixture.send(resumption("r-2", resumed));
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert_eq(caller->status(), 503);
        cr_assert(caller->hasHeader("Retry-After"));
        cr_assert_leq((fixture.clock.now() - before).milliseconds(), 300);
        cr_assert_eq(fixture.first.requests().size() + fixture.second.requests().size(), 1);
    }
}

// Guards against a stream that is taken up again after all upstreams of its version have left, and goes on at another version.
Test(softwareversions, streamIsRefusedOnceItsVersionHasLeft)
{
    TwoVersionsFixture fixture([](const std::string &) { return wholeStream("id: 1\ndata: a\n\n"); });
    fixture.begin();
    fixture.clusterState.upstreams.remove(UpstreamId("u1"), "left", fixture.clock.now());
    const auto caller = fixture.send(resumption("r-2", "r-1"));
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert_eq(caller->status(), 503);
    cr_assert(fixture.second.requests().empty());
}

// Guards against a stream that another node continues for this one, at an upstream of another software version.
Test(softwareversions, relayedStreamGoesOnOnlyAtItsVersion)
{
    const ScriptedUpstream relay([](const std::string &request) {
        const bool isContinued = absl::StrContains(request, "Last-Event-Id");
        const std::string events = isContinued ? "id: 2\ndata: b\n\n" : "id: 1\ndata: a\n\n";
        const std::string head = absl::StrReplaceAll(RelayedStreamHead, { { "origin: svc", "origin: svc v1" } });
        return isContinued ? ScriptedAnswer { absl::StrCat(head, chunk(events), "0\r\n\r\n") }
                           : ScriptedAnswer { absl::StrCat(head, chunk(events)), ScriptedAnswer::ConnectionAction::Reset };
    });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Stream, 2, true);
    fixture.addUpstreamAt("u1", "127.0.0.1:1", "v1");
    fixture.addRelay("n2", relay);
    fixture.addRelay("n3", relay);
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert(caller->isFinished());
    cr_assert_not(caller->hasHeader("relay-stream-origin"));
    cr_assert_not(absl::StrContains(relay.requests().front(), "relay-stream-origin"));
    cr_assert(absl::StrContains(relay.requests().back(), "relay-stream-origin: svc v1\r\n"), "%s", relay.requests().back().c_str());
    cr_assert(fixture.clusterState.streamOrigins.find(streamIdOf("r-1"), fixture.clock.now())
        == StreamOrigin({ ServiceName("svc"), SoftwareVersion("v1") }));
}

// Guards against a node that continues a stream for another one at any software version, and against an answer that does not name the
// version.
Test(softwareversions, streamOfAnotherNodeIsBoundToItsVersion)
{
    TwoVersionsFixture fixture([](const std::string &request) {
        return absl::StrContains(request, "Last-Event-Id") ? wholeStream("id: 2\ndata: b\n\n") : wholeStream("id: 1\ndata: a\n\n");
    });
    fixture.addUpstream("u2", fixture.second, "v2");
    for (int i = 0; i < 12; ++i) {
        auto caller = std::make_shared<Caller>();
        const StreamOrigin origin { ServiceName("svc"), SoftwareVersion("v1") };
        fixture.forwarder->onRelayedRequest(resumption("r-2", "r-1"), RelayedRequest { ConfigVersion(1), {}, Duration(1), origin }, caller);
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert_eq(caller->status(), 200);
        cr_assert(caller->hasHeader("relay-stream-origin"));
    }
    cr_assert(fixture.second.requests().empty());
}

namespace
{

/** A forwarder that asks two other nodes where a stream began, which answer @p answers, or not at all. */
std::shared_ptr<Caller> resumeWithPeers(TwoVersionsFixture &fixture, const std::vector<std::optional<StreamOrigin>> &answers)
{
    fixture.addUpstream("u2", fixture.second, "v2");
    StreamQuery asked;
    fixture.sendStreamQuery = [&asked](const StreamQuery &query) {
        asked = query;
        return 2;
    };
    const auto caller = fixture.send(resumption("r-2", "r-1"));
    cr_assert_not(caller->isDone());
    for (const auto &answer : answers) {
        fixture.forwarder->onStreamAnswers({ StreamAnswer { asked, answer } });
    }
    fixture.runUntil([&] { return caller->isDone(); });
    return caller;
}

} // namespace

// Guards against a stream that is refused at a node that does not know it, although another node does.
Test(softwareversions, streamThatAnotherNodeKnowsGoesOn)
{
    TwoVersionsFixture fixture([](const std::string &) { return wholeStream("id: 1\ndata: a\n\n"); });
    const auto caller = resumeWithPeers(fixture, { std::nullopt, StreamOrigin { ServiceName("svc"), SoftwareVersion("v2") } });
    cr_assert_eq(caller->status(), 200);
    cr_assert(fixture.first.requests().empty());
}

// Guards against a caller that waits for nodes that are gone, and against one whose stream no node knows and goes on all the same.
Test(softwareversions, streamThatNoOtherNodeKnowsIsRefused)
{
    const std::vector<std::vector<std::optional<StreamOrigin>>> cases { { std::nullopt, std::nullopt }, { std::nullopt }, {} };
    for (const auto &answers : cases) {
        TwoVersionsFixture fixture([](const std::string &) { return wholeStream("id: 1\ndata: a\n\n"); });
        const Time before = fixture.clock.now();
        const auto caller = resumeWithPeers(fixture, answers);
        cr_assert_eq(caller->status(), 503);
        cr_assert_leq((fixture.clock.now() - before).milliseconds(), 400);
        cr_assert(fixture.first.requests().empty() && fixture.second.requests().empty());
    }
}

// An upstream has started again with another version when it begins a stream, but the node learns that only afterwards. The stream went on
// at the version that the node had known.
Test(softwareversions, streamBelongsToTheNewStartThatHadBegunIt)
{
    ForwarderFixture fixture;
    const ScriptedUpstream restarted([](const std::string &) {
        ScriptedAnswer answer = brokenStream("id: 1\ndata: a\n\n");
        answer.laterParts = { "" };
        answer.pause = Duration(200);
        return answer;
    });
    const ScriptedUpstream other([](const std::string &) { return wholeStream("id: 2\ndata: b\n\n"); });
    fixture.configure(RequestKind::Stream, 2, true);
    fixture.addUpstream("u1", restarted, "v1");
    UpstreamRecord record = *fixture.clusterState.upstreams.usable(UpstreamId("u1"));
    record.startedAt = (fixture.clock.wallTime() - Duration::seconds(1)).milliseconds();
    record.softwareVersion = SoftwareVersion("v2");
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return !caller->body().empty(); });
    fixture.addUpstream("u2", other, "v1");
    fixture.clusterState.upstreams.put(record, fixture.clock.now());
    fixture.forwarder->onUpstreamStarted(record);
    fixture.runUntil([&] { return caller->isDone(); });
    cr_assert(other.requests().empty());
    cr_assert_not(caller->isFinished());
    const auto resumed = fixture.send(resumption("r-2", "r-1"));
    fixture.runUntil([&] { return resumed->isDone(); });
    cr_assert(other.requests().empty());
}
