#include "main/entry/storereader.h"
#include "testentrynodefixture.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <csignal>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

constexpr Duration SecondPageTime { 300 };

/** A store that can stop answering: calls that arrive meanwhile are never answered, as behind a network partition. */
class UnresponsiveStore
{
public:
    explicit UnresponsiveStore(std::string upstreamAddress)
        : m_upstreamAddress(std::move(upstreamAddress))
        , m_server([this](const std::string &request) { return answer(request); })
    {
    }
    std::string address() const
    {
        return m_server.address();
    }
    void stopAnswering()
    {
        m_isUnresponsive = true;
    }
    /** Waits until @p count calls have arrived since stopAnswering(). */
    void waitForUnanswered(int count) const
    {
        while (m_unanswered < count) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }
    /** Changes the configuration to one whose only route is @p pathPrefix, and answers from now on. */
    void resumeWithRoute(const std::string &pathPrefix)
    {
        resumeWithChange(item("op/config", configuration(7, pathPrefix), 3));
    }
    /** Answers until it has reported that the upstream's entry has expired, then stops again. */
    void answerOnceWithoutUpstream()
    {
        m_answersOnce = true;
        resumeWithChange(R"({"key":"servers/u1","revision":3,"tombstone":true})");
    }

private:
    void resumeWithChange(const std::string &change)
    {
        {
            const absl::MutexLock lock(&m_mutex);
            m_change = change;
        }
        m_isUnresponsive = false;
    }
    ScriptedAnswer answer(const std::string &request)
    {
        if (m_isUnresponsive) {
            ++m_unanswered;
            return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Keep, true };
        }
        const absl::MutexLock lock(&m_mutex);
        if (!m_change.empty() && absl::StrContains(request, "after=2&")) {
            m_isUnresponsive = m_answersOnce.load();
            return ScriptedAnswer { json(absl::StrCat(R"({"events":[)", m_change, R"(],"storeRevision":3})")) };
        }
        return storeAnswer(request, m_upstreamAddress);
    }

    std::string m_upstreamAddress;
    std::atomic<bool> m_isUnresponsive { false };
    std::atomic<bool> m_answersOnce { false };
    std::atomic<int> m_unanswered { 0 };
    absl::Mutex m_mutex;
    std::string m_change ABSL_GUARDED_BY(m_mutex);
    ScriptedUpstream m_server;
};

ScriptedAnswer pageWithOneUpstream()
{
    return ScriptedAnswer { json(
        absl::StrCat(R"({"hasMore":false,"items":[)", item("servers/u1", upstreamEntry("10.0.0.1:1")), R"(],"storeRevision":2})")) };
}

/** A store of two pages with an upstream each, the second of which takes SecondPageTime; nothing changes after them. */
ScriptedAnswer answerInTwoPages(const std::string &request)
{
    if (absl::StrContains(request, "kv-watch")) {
        return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Keep, true };
    }
    const bool isFirst = !absl::StrContains(request, "after=");
    if (!isFirst) {
        std::this_thread::sleep_for(std::chrono::milliseconds(SecondPageTime.milliseconds()));
    }
    const std::string entry = item(isFirst ? "servers/first" : "servers/second", upstreamEntry("10.0.0.1:1"));
    return ScriptedAnswer { json(
        absl::StrCat(R"({"hasMore":)", isFirst ? "true" : "false", R"(,"items":[)", entry, R"(],"storeRevision":30})")) };
}

} // namespace

// The whole path of a request: a node reads the store, which also holds a malformed entry, reports that it is ready, lists itself in the
// directory, and forwards a request to the only upstream and the answer to the caller.
Test(entrynode, forwardsRequestToUpstream)
{
    const ScriptedUpstream upstream(&answerCompletely);
    const ScriptedUpstream store([&](const std::string &request) { return storeAnswer(request, upstream.address()); });
    const auto settings = settingsFor(store.address());
    HttpClient client;
    const RunningNode running(settings);
    cr_assert(becomesReady(client, settings));
    const Response directory = get(client, settings.directoryAddress, "/apricotstep/resolve?name=h.example&zone=z");
    cr_assert_eq(directory.status, 200);
    cr_assert(absl::StrContains(directory.body, settings.callerAddress), "%s", directory.body.c_str());
    const HttpHeaders headers { { "Host", "h.example" }, { "Apricotstep-Request-Id", "r-1" } };
    const Response answer = get(client, settings.callerAddress, "/p/x?y=1", headers);
    cr_assert_eq(answer.status, 200);
    cr_assert(answer.body == "whole");
    cr_assert(absl::StartsWith(upstream.requests().front(), "GET /p/x?y=1 HTTP/1.1\r\n"));
    cr_assert_eq(get(client, settings.callerAddress, "/nowhere/", headers).status, 404);
}

// The store is down when a node starts, and there is no peer. The node must not be ready, must list no addresses, and must refuse requests
// with 503.
Test(entrynode, isNotReadyWithoutStore)
{
    const ScriptedUpstream store([](const std::string &) { return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Reset }; });
    const auto settings = settingsFor(store.address());
    HttpClient client;
    const RunningNode running(settings);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    cr_assert_eq(get(client, settings.readinessAddress, "/apricotstep/ready").status, 503);
    cr_assert_eq(get(client, settings.directoryAddress, "/apricotstep/resolve?name=h.example&zone=z").status, 503);
    cr_assert_eq(get(client, settings.callerAddress, "/p/x", { { "Host", "h.example" }, { "Apricotstep-Request-Id", "r-1" } }).status, 503);
}

// A second node starts and is the only one that cannot reach the store. It must get the configuration and the upstreams from the first.
Test(entrynode, readsStoreThroughPeer)
{
    const ScriptedUpstream upstream(&answerCompletely);
    const ScriptedUpstream store([&](const std::string &request) { return storeAnswer(request, upstream.address()); });
    const ScriptedUpstream failingStore([](const std::string &) { return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Reset }; });
    const auto first = settingsFor(store.address());
    auto second = settingsFor(failingStore.address());
    second.node = NodeId("n2");
    second.seeds = { first.peerAddress };
    HttpClient client;
    const RunningNode runningFirst(first);
    cr_assert(becomesReady(client, first));
    const RunningNode runningSecond(second);
    cr_assert(becomesReady(client, second));
    const HttpHeaders headers { { "Host", "h.example" }, { "Apricotstep-Request-Id", "r-2" } };
    cr_assert_eq(get(client, second.callerAddress, "/p/x", headers).status, 200);
}

// A draining node must report at once that it is not ready, still answer requests that arrive late, and end when all answers are sent.
Test(entrynode, drainingNodeStillAnswers)
{
    const ScriptedUpstream upstream(&answerCompletely);
    const ScriptedUpstream store([&](const std::string &request) { return storeAnswer(request, upstream.address()); });
    const auto settings = settingsFor(store.address());
    HttpClient client;
    const RunningNode running(settings);
    cr_assert(becomesReady(client, settings));
    running.node->drain();
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    cr_assert_eq(get(client, settings.readinessAddress, "/apricotstep/ready").status, 503);
    const HttpHeaders headers { { "Host", "h.example" }, { "Apricotstep-Request-Id", "r-3" } };
    cr_assert_eq(get(client, settings.callerAddress, "/p/x", headers).status, 200);
}

// The platform announces changed settings to all processes, even while a node is still starting. Without handlers from the very start, the
// signal ends the process, which has to start again: callers that have just got its address cannot connect (soak test, seed 241).
Test(entrynode, signalsDoNotEndStartingNode)
{
    installSignalHandlers();
    cr_assert_eq(raise(SIGHUP), 0);
    cr_assert_eq(raise(SIGTERM), 0);
}

// Guards against a configuration that takes effect too late because a call that was sent just before the store recovered is never answered.
Test(entrynode, appliesConfigurationInTimeAfterStoreOutage)
{
    const ScriptedUpstream upstream(&answerCompletely);
    UnresponsiveStore store(upstream.address());
    const auto settings = settingsFor(store.address());
    HttpClient client;
    const RunningNode running(settings);
    cr_assert(becomesReady(client, settings));
    const HttpHeaders headers { { "Host", "h.example" }, { "Apricotstep-Request-Id", "r-4" } };
    cr_assert_eq(get(client, settings.callerAddress, "/added/x", headers).status, 404);
    store.stopAnswering();
    store.waitForUnanswered(1);
    store.resumeWithRoute("/added/");
    std::this_thread::sleep_for(std::chrono::milliseconds(settings.configurationBound.milliseconds()));
    cr_assert_eq(get(client, settings.callerAddress, "/added/x", headers).status, 200);
}

// Guards against dropping a running upstream whose entry expired during an outage of the store, at a node that has received nothing since.
Test(entrynode, keepsExpiredUpstreamUntilStoreIsReadAgain)
{
    const ScriptedUpstream upstream(&answerCompletely);
    UnresponsiveStore store(upstream.address());
    const auto settings = settingsFor(store.address());
    HttpClient client;
    const RunningNode running(settings);
    cr_assert(becomesReady(client, settings));
    store.stopAnswering();
    // Long enough for the store to count as lost.
    std::this_thread::sleep_for(std::chrono::milliseconds(5000));
    store.answerOnceWithoutUpstream();
    std::this_thread::sleep_for(std::chrono::milliseconds(5000));
    const HttpHeaders headers { { "Host", "h.example" }, { "Apricotstep-Request-Id", "r-5" } };
    cr_assert_eq(get(client, settings.callerAddress, "/p/x", headers).status, 200);
}

// Guards against requests to an upstream that was removed just after the store had cut one waiting watch, which was taken for an outage.
Test(storereader, oneCutWatchIsNoOutage)
{
    std::atomic<int> watches { 0 };
    const ScriptedUpstream store([&watches](const std::string &request) {
        if (!absl::StrContains(request, "kv-watch")) {
            return pageWithOneUpstream();
        }
        switch (++watches) {
        case 1:
            std::this_thread::sleep_for(std::chrono::milliseconds(900));
            return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Reset };
        case 2:
            return ScriptedAnswer { json(R"({"events":[{"key":"servers/u1","revision":3,"tombstone":true}],"storeRevision":3})") };
        default:
            return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Keep, true };
        }
    });
    const SystemClock clock;
    EventLog log(clock, "n1");
    ClusterState clusterState;
    IoLoop loop(clock);
    StoreReader reader(loop, log, clusterState, store.address(), Duration::seconds(2), [](const ClusterStateChanges &) {});
    loop.after(Duration(700), [&] { cr_assert_not_null(clusterState.upstreams.usable(UpstreamId("u1"))); });
    loop.after(Duration(1700), [&] { loop.stop(); });
    reader.start();
    loop.run();
    cr_assert_geq(watches, 2);
    cr_assert_null(clusterState.upstreams.usable(UpstreamId("u1")));
}

// Guards against requests to an upstream that was removed after the store had cut several watches in a row, which were taken for an outage.
Test(storereader, cutWatchesInARowAreNoOutage)
{
    constexpr int Cuts = 4;
    std::atomic<int> cuts { 0 };
    const ScriptedUpstream store([&cuts](const std::string &request) {
        if (!absl::StrContains(request, "kv-watch")) {
            return pageWithOneUpstream();
        }
        const bool waits = !absl::StrContains(request, "waitMs=0");
        if (waits && cuts < Cuts) {
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
            ++cuts;
            return ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Reset };
        }
        if (cuts < Cuts) {
            return ScriptedAnswer { json(R"({"events":[],"storeRevision":2})") };
        }
        return ScriptedAnswer { json(R"({"events":[{"key":"servers/u1","revision":3,"tombstone":true}],"storeRevision":3})") };
    });
    const SystemClock clock;
    EventLog log(clock, "n1");
    ClusterState clusterState;
    IoLoop loop(clock);
    StoreReader reader(loop, log, clusterState, store.address(), Duration::seconds(2), [](const ClusterStateChanges &) {});
    loop.after(Duration(200), [&] { cr_assert_not_null(clusterState.upstreams.usable(UpstreamId("u1"))); });
    std::function<void()> stopAfterLastCut = [&] {
        const bool areAllCut = cuts >= Cuts;
        loop.after(Duration(areAllCut ? 500 : 20), [&, areAllCut] { areAllCut ? loop.stop() : stopAfterLastCut(); });
    };
    stopAfterLastCut();
    reader.start();
    loop.run();
    cr_assert_null(clusterState.upstreams.usable(UpstreamId("u1")));
}

// Guards against requests to a removed upstream at nodes that have contact with the store, because another node was cut off from it.
Test(storereader, outageThatAPeerSawDelaysNoRemoval)
{
    std::atomic<int> watches { 0 };
    const ScriptedUpstream store([&watches](const std::string &request) {
        if (!absl::StrContains(request, "kv-watch")) {
            return pageWithOneUpstream();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        return ++watches == 1
            ? ScriptedAnswer { json(R"({"events":[{"key":"servers/u1","revision":3,"tombstone":true}],"storeRevision":3})") }
            : ScriptedAnswer { json(R"({"events":[],"storeRevision":3})") };
    });
    const SystemClock clock;
    EventLog log(clock, "n1");
    ClusterState clusterState;
    IoLoop loop(clock);
    StoreReader reader(loop, log, clusterState, store.address(), Duration::seconds(2), [](const ClusterStateChanges &) {});
    loop.after(Duration(200), [&] {
        cr_assert_not_null(clusterState.upstreams.usable(UpstreamId("u1")));
        cr_assert(reader.mergeFromPeer(NodeId("n2"), PeerChanges { Platform::encodeWatch({}, 2), Duration(50), {}, clock.now() }));
    });
    loop.after(Duration(700), [&] { loop.stop(); });
    reader.start();
    loop.run();
    cr_assert_null(clusterState.upstreams.usable(UpstreamId("u1")));
}

// Guards against followers that keep a removed upstream in use because the reader from which they fetch was cut off from the store.
Test(storereader, outageThatOtherReadersDisputeDelaysNoRemovalAtAFollower)
{
    for (const bool isDisputed : { true, false }) {
        const SystemClock clock;
        const ScriptedUpstream store([](const std::string &request) {
            return absl::StrContains(request, "kv-watch") ? ScriptedAnswer { json(R"({"events":[],"storeRevision":2})") }
                                                          : pageWithOneUpstream();
        });
        EventLog log(clock, "n1");
        ClusterState clusterState;
        IoLoop loop(clock);
        StoreReader reader(loop, log, clusterState, store.address(), Duration::seconds(2), [](const ClusterStateChanges &) {});
        std::vector<StoreOutage> reported;
        reader.setOutageDispute([&reported, isDisputed](const StoreOutage &outage, const NodeId &) {
            reported.push_back(outage);
            return isDisputed;
        });
        reader.setFollowing(true);
        loop.after(Duration(300), [&] {
            const PeerChanges outageOnly { Platform::encodeWatch({}, 2), Duration(50), {}, clock.now(), Duration(5500) };
            cr_assert(reader.mergeFromPeer(NodeId("n2"), outageOnly));
            const Platform::StoreItem removal { "servers/u1", "", 3, true };
            cr_assert(reader.mergeFromPeer(NodeId("n2"), PeerChanges { Platform::encodeWatch({ removal }, 3), {}, {}, clock.now() }));
            loop.stop();
        });
        reader.start();
        loop.run();
        cr_assert_eq(reported.size(), 1);
        cr_assert_eq((reported[0].end - reported[0].begin).milliseconds(), 5500);
        cr_assert_eq(clusterState.upstreams.usable(UpstreamId("u1")) == nullptr, isDisputed);
        // What is disputed here is not reported to other nodes.
        cr_assert_eq(reader.lastOutage().has_value(), !isDisputed);
    }
}

// Guards against requests to a removed upstream at a node that has just started: a peer with an older view of the store still lists it.
Test(storereader, copyOfAnOlderViewListsNoRemovedUpstream)
{
    const SystemClock clock;
    const ScriptedUpstream store([](const std::string &request) {
        return absl::StrContains(request, "kv-watch") ? ScriptedAnswer { "", ScriptedAnswer::ConnectionAction::Keep, true }
                                                      : pageWithOneUpstream();
    });
    EventLog log(clock, "n1");
    ClusterState clusterState;
    IoLoop loop(clock);
    StoreReader reader(loop, log, clusterState, store.address(), Duration::seconds(2), [](const ClusterStateChanges &) {});
    loop.after(Duration(300), [&] {
        cr_assert_eq(reader.revision(), 2);
        const Platform::StoreItem removed { "servers/removed", upstreamEntry("10.0.0.2:1"), 1, false };
        const Platform::StoreItem added { "servers/added", upstreamEntry("10.0.0.3:1"), 3, false };
        cr_assert(reader.mergeFromPeer(NodeId("n2"), PeerChanges { Platform::encodeWatch({ removed }, 1), {}, {}, clock.now() }));
        cr_assert(reader.mergeFromPeer(NodeId("n3"), PeerChanges { Platform::encodeWatch({ added }, 3), {}, {}, clock.now() }));
        loop.stop();
    });
    reader.start();
    loop.run();
    cr_assert_null(clusterState.upstreams.usable(UpstreamId("removed")));
    cr_assert_not_null(clusterState.upstreams.usable(UpstreamId("added")));
    cr_assert_not_null(clusterState.upstreams.usable(UpstreamId("u1")));
}

// Guards against losing an upstream that a peer reports while the node reads the store page by page.
Test(storereader, keepsPeerChangesReceivedBetweenPages)
{
    const SystemClock clock;
    const ScriptedUpstream store(&answerInTwoPages);
    EventLog log(clock, "n1");
    ClusterState clusterState;
    IoLoop loop(clock);
    StoreReader reader(loop, log, clusterState, store.address(), Duration::seconds(2), [](const ClusterStateChanges &) {});
    const Platform::StoreItem peerItem { "servers/told", upstreamEntry("10.0.0.2:1"), 40, false };
    loop.after(Duration(SecondPageTime.milliseconds() / 2), [&] {
        cr_assert_not(reader.hasReadAll());
        cr_assert(reader.mergeFromPeer(NodeId("n2"), PeerChanges { Platform::encodeWatch({ peerItem }, 40), {}, {} }));
    });
    loop.after(SecondPageTime + Duration(500), [&] { loop.stop(); });
    reader.start();
    loop.run();
    cr_assert(reader.hasReadAll());
    cr_assert_eq(clusterState.upstreams.size(), 3);
    cr_assert_not_null(clusterState.upstreams.usable(UpstreamId("told")));
}
