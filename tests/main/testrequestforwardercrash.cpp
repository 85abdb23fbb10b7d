#include "testrequestforwarderfixture.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

constexpr int Engines = 20;
constexpr int ManyEngines = 80;
// What may still reach upstreams once so many have ended under it.
constexpr int ToleratedAfterwards = 3;
constexpr int CrashesToTell = 3;

const std::string SoundStream = absl::StrCat(StreamHead, chunk("id: 1\ndata: a\n\n"), chunk("id: 2\ndata: b\n\n"), "0\r\n\r\n");

/** A forwarder before upstreams that end when they get a request that contains "deadly" in its head or body. */
struct CrashFixture : ForwarderFixture
{
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    std::atomic<int> deadlyArrivals { 0 };
    int lastRequest = 0;

    enum class AfterEnd {
        RefusesConnections,
        ReturnsAtOnce,
        IsSilent,
    };
    AfterEnd afterEnd = AfterEnd::RefusesConnections;
    std::vector<std::atomic<bool>> hasReturned = std::vector<std::atomic<bool>>(ManyEngines);
    std::vector<std::atomic<bool>> isSilent = std::vector<std::atomic<bool>>(ManyEngines);

    explicit CrashFixture(int maxAttempts, int engines = Engines, AfterEnd after = AfterEnd::RefusesConnections)
        : afterEnd(after)
    {
        configure(RequestKind::Idempotent, maxAttempts);
        addUpstreams("", CompleteAnswer, engines);
    }
    /** Upstreams that send @p beginning of their streams before they end. */
    CrashFixture(const std::string &beginning, bool isResumable)
    {
        configure(RequestKind::Stream, 2, isResumable);
        addUpstreams(beginning, SoundStream, Engines);
    }
    void addUpstreams(const std::string &beginning, const std::string &soundAnswer, int engines)
    {
        for (int i = 0; i < engines; ++i) {
            upstreams.push_back(std::make_unique<ScriptedUpstream>([this, i, beginning, soundAnswer](const std::string &request) {
                const auto index = static_cast<std::size_t>(i);
                const bool isDeadly = absl::StrContains(request, "deadly");
                deadlyArrivals += isDeadly ? 1 : 0;
                isSilent[index] = isSilent[index] || (isDeadly && afterEnd == AfterEnd::IsSilent);
                if (isSilent[index]) {
                    ScriptedAnswer nothing;
                    nothing.isHanging = true;
                    return nothing;
                }
                if (!isDeadly) {
                    return ScriptedAnswer { soundAnswer };
                }
                if (afterEnd == AfterEnd::ReturnsAtOnce) {
                    hasReturned[index] = true;
                } else {
                    upstreams[index]->stopListening();
                }
                ScriptedAnswer answer { beginning, ScriptedAnswer::ConnectionAction::Reset };
                if (!beginning.empty()) {
                    answer.laterParts = { "" }; // A reset right after the bytes would discard them.
                    answer.pause = Duration(20);
                }
                return answer;
            }));
            addUpstream(absl::StrCat("u", i), *upstreams.back());
        }
    }
    /** Sends deadly requests until as many upstreams as are enough to tell have fallen silent. */
    void silenceUpstreams()
    {
        while (std::count(isSilent.begin(), isSilent.end(), true) < CrashesToTell) {
            cr_assert_eq(sendWithNewId("deadly"), 504);
        }
    }
    /** Whether the node holds content back within a few probes, which a busy machine may delay. */
    bool holdsSomethingSoon()
    {
        const auto holds = [this] {
            clusterState.quarantine.statements(false, clock.now()); // As with each heartbeat.
            return clusterState.quarantine.heldCount() > 0;
        };
        runUntil(holds);
        runUntil(holds);
        return holds();
    }
    /** The store lists the new starts of upstreams that are back. */
    void listNewStarts()
    {
        for (std::size_t i = 0; i < hasReturned.size(); ++i) {
            const UpstreamRecord *former =
                hasReturned[i].exchange(false) ? clusterState.upstreams.usable(UpstreamId(absl::StrCat("u", i))) : nullptr;
            if (former != nullptr) {
                UpstreamRecord record = *former;
                record.startedAt = clock.wallTime().milliseconds();
                clusterState.upstreams.put(record, clock.now());
                forwarder->onUpstreamStarted(record);
            }
        }
    }
    /** Sends a request with a new id, as a caller does that comes again, and returns its status. */
    int sendWithNewId(const std::string &body)
    {
        return sendAttempt(request(), body);
    }
    int sendAttempt(HttpRequest attempt, const std::string &body)
    {
        setRequestId(attempt, absl::StrCat("r-", ++lastRequest));
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
    /** Sends for some seconds; returns the arrivals of deadly requests later than the contact time after @p crashesToTell of them. */
    int lateArrivals(int crashesToTell, const std::function<void(int number)> &sendOne)
    {
        constexpr Duration ContactTime { 3000 };
        int late = 0;
        std::optional<Time> toldAt;
        const Time end = clock.now() + Duration(5500);
        for (int number = 0; clock.now() < end; ++number) {
            const int arrivals = deadlyArrivals;
            const bool isLate = toldAt && clock.now() - *toldAt > ContactTime;
            sendOne(number);
            late += isLate ? deadlyArrivals - arrivals : 0;
            if (!toldAt && deadlyArrivals >= crashesToTell) {
                toldAt = clock.now();
            }
            runFor(Duration(100));
            listNewStarts();
        }
        return late;
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

// An upstream that ends while it writes its answer was taken for proof that the request is sound, and its caller took one after the other.
Test(crashingrequests, requestUnderWhichUpstreamsEndedMidAnswerReachesFewMore)
{
    const std::string firstEvent = StreamHead + chunk("id: 1\ndata: a\n\n");
    const std::string threeEvents = firstEvent + chunk("id: 2\ndata: b\n\n") + chunk("id: 3\ndata: c\n\n");
    const std::vector<std::pair<std::string, bool>> ways { { StreamHead, true }, { firstEvent, true }, { firstEvent, false },
        { threeEvents, true } };
    for (const auto &[beginning, isResumable] : ways) {
        CrashFixture fixture(beginning, isResumable);
        cr_assert_leq(fixture.lateArrivals(CrashesToTell, [&](int) { fixture.sendWithNewId("deadly"); }), ToleratedAfterwards);
        cr_assert_lt(fixture.deadlyArrivals, Engines);
        cr_assert_eq(fixture.sendWithNewId("deadly"), 400);
        cr_assert_eq(fixture.sendWithNewId("sound"), 200);
    }
}

// The same for a part of prompts of which no two are alike, beside sound ones with the same first part.
Test(crashingrequests, partUnderWhichUpstreamsEndedMidAnswerReachesFewMore)
{
    constexpr int CrashesToTellPart = 5;
    CrashFixture fixture(StreamHead + chunk("id: 1\ndata: a\n\n"), true);
    int sent = 0;
    int served = 0;
    const int late = fixture.lateArrivals(CrashesToTellPart, [&](int number) {
        fixture.sendPrompt("first:100,deadly:50");
        served += fixture.sendPrompt(absl::StrCat("first:100,other", number % 3, ":50")) == 200 ? 1 : 0;
        ++sent;
        fixture.runFor(Duration(300));
    });
    cr_assert_leq(late, ToleratedAfterwards, "%d arrivals", late);
    cr_assert_lt(fixture.deadlyArrivals, Engines);
    cr_assert_eq(served, sent);
    cr_assert_eq(fixture.sendPrompt("first:100,deadly:50"), 400);
}

// Upstreams end, one after the other, while they write the answer to a sound request, which others continue to its end.
Test(crashingrequests, streamThatOthersFinishIsNotHeldBack)
{
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Stream, 2, true);
    std::vector<std::unique_ptr<ScriptedUpstream>> ending;
    const ScriptedUpstream steady([](const std::string &) { return ScriptedAnswer { SoundStream }; });
    constexpr int Ends = 8;
    for (int i = 0; i < Ends; ++i) {
        ending.push_back(std::make_unique<ScriptedUpstream>([&ending, i](const std::string &) {
            ending[static_cast<std::size_t>(i)]->stopListening();
            ScriptedAnswer answer { StreamHead + chunk("id: 1\ndata: a\n\n"), ScriptedAnswer::ConnectionAction::Reset };
            answer.laterParts = { "" };
            answer.pause = Duration(20);
            return answer;
        }));
        fixture.addUpstream("ending", *ending.back());
        fixture.addUpstream("steady", steady);
        const auto caller = fixture.send(ForwarderFixture::request());
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert(caller->isFinished());
        const Time end = fixture.clock.now() + Duration(400);
        fixture.runUntil([&] { return fixture.clock.now() >= end; });
    }
    cr_assert_eq(fixture.clusterState.quarantine.heldCount(), 0);
}

// A request under which only some upstreams end is answered by the others: it is sound there, and must not be refused.
Test(crashingrequests, requestThatSomeUpstreamsAnswerIsServed)
{
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Idempotent, 2);
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    // Each third arrival is answered: by chance alone, three upstreams in a row would now and then end before any answer.
    std::atomic<int> arrivals { 0 };
    for (int i = 0; i < Engines; ++i) {
        upstreams.push_back(std::make_unique<ScriptedUpstream>([&upstreams, &arrivals, i](const std::string &) {
            if (arrivals++ % 3 == 2) {
                return ScriptedAnswer { CompleteAnswer };
            }
            upstreams[static_cast<std::size_t>(i)]->stopListening();
            return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Reset };
        }));
        fixture.addUpstream(absl::StrCat("u", i), *upstreams.back());
    }
    for (int i = 0; i < Engines; ++i) {
        const auto caller = fixture.send(ForwarderFixture::request());
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert_neq(caller->status(), 400);
        const Time end = fixture.clock.now() + Duration(100);
        fixture.runUntil([&] { return fixture.clock.now() >= end; });
    }
    cr_assert_eq(fixture.clusterState.quarantine.heldCount(), 0);
}

// Callers send the same request five at once, again and again, before anyone can know that upstreams end under it.
Test(crashingrequests, burstsOfARequestReachFewMore)
{
    constexpr int AtOnce = 5;
    CrashFixture fixture(2, ManyEngines);
    const int late = fixture.lateArrivals(CrashesToTell, [&](int number) {
        std::vector<std::shared_ptr<Caller>> callers;
        for (int i = 0; i < AtOnce; ++i) {
            HttpRequest request = ForwarderFixture::requestWithId(absl::StrCat("b-", number, "-", i));
            request.body = "deadly";
            callers.push_back(fixture.send(std::move(request)));
        }
        for (const auto &caller : callers) {
            fixture.runUntil([&] { return caller->isDone(); });
        }
        fixture.runFor(Duration(100));
    });
    cr_assert_leq(late, ToleratedAfterwards, "%d arrivals", late);
    cr_assert_lt(fixture.deadlyArrivals, ManyEngines);
    cr_assert_eq(fixture.sendWithNewId("sound"), 200);
}

// A supervisor starts an upstream that has ended again at once at its address, so no connection is ever refused. The store lists the new
// start.
Test(crashingrequests, requestUnderWhichUpstreamsEndAndReturnAtOnceReachesFewMore)
{
    CrashFixture fixture(2, Engines, CrashFixture::AfterEnd::ReturnsAtOnce);
    const int late = fixture.lateArrivals(CrashesToTell, [&](int) { fixture.sendWithNewId("deadly"); });
    cr_assert_leq(late, ToleratedAfterwards, "%d arrivals", late);
    cr_assert_eq(fixture.sendWithNewId("deadly"), 400);
    cr_assert_eq(fixture.sendWithNewId("sound"), 200);
}

// Hosts fall silent under a request: they refuse nothing, and the store lists them as before for seconds.
Test(crashingrequests, requestUnderWhichHostsFallSilentIsHeldBackBeforeTheStoreShowsIt)
{
    CrashFixture fixture(2, Engines, CrashFixture::AfterEnd::IsSilent);
    fixture.probePeers = { { NodeId("a"), ZoneId() }, { NodeId("b"), ZoneId() }, { NodeId("c"), ZoneId() } };
    fixture.silenceUpstreams();
    cr_assert(fixture.holdsSomethingSoon());
    const int arrivals = fixture.deadlyArrivals;
    cr_assert_eq(fixture.sendWithNewId("deadly"), 400);
    cr_assert_eq(fixture.deadlyArrivals, arrivals);
    cr_assert_neq(fixture.sendWithNewId("sound"), 400);
}

// The links of this node are cut one after the other, under a request that its caller repeats: other nodes reach the upstreams.
Test(crashingrequests, requestThatHangsBehindCutLinksIsNotHeldBack)
{
    CrashFixture fixture(2, Engines, CrashFixture::AfterEnd::IsSilent);
    fixture.probePeers = { { NodeId("a"), ZoneId() }, { NodeId("b"), ZoneId() }, { NodeId("c"), ZoneId() } };
    fixture.probeAnswers = true;
    fixture.silenceUpstreams();
    cr_assert_not(fixture.holdsSomethingSoon());
    cr_assert_eq(fixture.sendWithNewId("deadly"), 504);
}

namespace
{

/** Sends a request to each of some upstreams, one after the other, whose entries lapse then. Returns how much content is held back. */
std::size_t heldAfterLapses(const ScriptedUpstream::Script &script, int status, bool isGone = false)
{
    constexpr int Lapses = 4;
    std::vector<std::unique_ptr<ScriptedUpstream>> leaving;
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Idempotent, 1);
    for (int i = 0; i < Lapses; ++i) {
        leaving.push_back(std::make_unique<ScriptedUpstream>(script));
        const UpstreamId id(absl::StrCat("u", i));
        fixture.addUpstream(id.value(), *leaving.back());
        HttpRequest request = ForwarderFixture::request();
        ForwarderFixture::setRequestId(request, absl::StrCat("r-", i));
        const auto caller = fixture.send(std::move(request));
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert_eq(caller->status(), status);
        if (isGone) {
            const Time probed = fixture.clock.now() + Duration(200);
            fixture.runUntil([&] { return fixture.clock.now() >= probed; });
            leaving.back()->stopListening();
        }
        const UpstreamRecord record = *fixture.clusterState.upstreams.usable(id);
        fixture.clusterState.upstreams.remove(id, "its entry lapsed", fixture.clock.now());
        fixture.forwarder->onUpstreamLapsed(record);
        const Time end = fixture.clock.now() + Duration(400);
        fixture.runUntil([&] { return fixture.clock.now() >= end; });
    }
    const Time end = fixture.clock.now() + Duration(1500);
    fixture.runUntil([&] {
        fixture.clusterState.quarantine.statements(false, fixture.clock.now());
        return fixture.clock.now() >= end;
    });
    return fixture.clusterState.quarantine.heldCount();
}

ScriptedUpstream::Script hangsAndReports(const std::string &report)
{
    return [report](const std::string &request) {
        ScriptedAnswer answer;
        answer.isHanging = !asksForReport(request);
        answer.bytes = answer.isHanging ? "" : report;
        return answer;
    };
}

} // namespace

// Some upstreams leave without announcing it: their entries lapse, and they serve on. What they were slow with was held back as deadly.
Test(crashingrequests, upstreamsThatServeOnAfterTheirEntryLapsesAccuseNothing)
{
    cr_assert_eq(heldAfterLapses(hangsAndReports(EmptyReport), 504), 0);
}

// Guards against engines whose report is broken and that are taken for ended: only a process that lives answers.
Test(crashingrequests, enginesWithBrokenReportsAccuseNothing)
{
    for (const char *report : { "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\n{}", "junk\r\n\r\n" }) {
        cr_assert_eq(heldAfterLapses(hangsAndReports(report), 504), 0);
    }
}

// Guards against sound content that is refused because upstreams sent broken answers to it before they ended.
Test(crashingrequests, upstreamsThatEndAfterBrokenAnswersAccuseNothing)
{
    const auto answersBroken = [](const std::string &) {
        return ScriptedAnswer { "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\nwhole", ScriptedAnswer::ConnectionAction::Close };
    };
    cr_assert_eq(heldAfterLapses(answersBroken, 502, true), 0);
}

// Another node has found out that an engine has ended, and this one would send it requests for as long as the store lists it.
Test(crashingrequests, upstreamThatEndedAtAnotherNodeGetsNoRequests)
{
    const ScriptedUpstream ended([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    const ScriptedUpstream other([](const std::string &) { return ScriptedAnswer { CompleteAnswer }; });
    ForwarderFixture fixture;
    fixture.configure(RequestKind::Idempotent, 1);
    fixture.addUpstream("u1", ended);
    fixture.addUpstream("u2", other);
    for (const char *engine : { "u1", "u2" }) {
        fixture.loadAdapter(engine);
    }
    QuarantineStatements statements;
    statements.crashes = { CrashReport { { UpstreamId("u1"), 1 }, Duration(1500), { { RequestContent { ContentDigest(5) } } } },
        CrashReport { { UpstreamId("u2"), 0 }, Duration(1500), { { RequestContent { ContentDigest(5) } } } } };
    fixture.forwarder->onQuarantineStatements(statements);
    for (int i = 0; i < 8; ++i) {
        HttpRequest request = ForwarderFixture::request();
        request.headers["apricotstep-model"] = "m/a7";
        ForwarderFixture::setRequestId(request, absl::StrCat("r-", i));
        const auto caller = fixture.send(std::move(request));
        fixture.runUntil([&] { return caller->isDone(); });
        cr_assert_eq(caller->status(), 200);
    }
    cr_assert(ended.requests().empty());
}
