#include "testentrynodefixture.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <atomic>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

constexpr int Streams = 12;

ScriptedAnswer answerWithStream(const std::string &request)
{
    const std::string id = absl::StrContains(request, "Last-Event-Id") ? "2" : "1";
    return ScriptedAnswer { absl::StrCat("HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\n",
                                "Content-Type: text/event-stream\r\n\r\nid: ", id, "\ndata: a\n\n"),
        ScriptedAnswer::ConnectionAction::Close };
}

std::string upstreamItem(std::size_t number, const std::string &address, int slots = 4, int revision = 2)
{
    return item(absl::StrCat("servers/u", number),
        absl::StrCat(R"({"service":"svc","address":")", address, R"(","zone":"z","version":"v)", number, R"(","slots":)", slots,
            R"(,"state":"ready","coldLeftMs":0,"seq":1,"born":5})"),
        revision);
}

/** A store that lists one upstream of each of some software versions. */
ScriptedAnswer answerAsStore(const std::string &request, const std::vector<std::string> &addresses, int timeoutMs = 15000)
{
    if (absl::StrContains(request, "kv-watch")) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return ScriptedAnswer { json(R"({"events":[],"storeRevision":2})") };
    }
    const std::string config = absl::StrCat(
        R"({"version":4,"routes":[{"name":"chat","host":"h.example","pathPrefix":"/chat/","kind":"stream",)",
        R"("resumable":true,"maxAttempts":2,"timeoutMs":)", timeoutMs, R"(,"service":"svc"}],"services":[{"name":"svc","maxConns":10}]})");
    std::vector<std::string> items { item("op/config", config) };
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        items.push_back(upstreamItem(i, addresses[i]));
    }
    return ScriptedAnswer { json(absl::StrCat(R"({"hasMore":false,"items":[)", absl::StrJoin(items, ","), R"(],"storeRevision":2})")) };
}

/** Whether one of the requests that the upstream received has the id. */
bool hasReceived(const ScriptedUpstream &upstream, const std::string &id)
{
    const auto requests = upstream.requests();
    return std::any_of(requests.begin(), requests.end(),
        [&id](const std::string &request) { return absl::StrContains(request, "Apricotstep-Request-Id: " + id + "\r\n"); });
}

} // namespace

// Guards against streams of a node that is gone which go on at another software version, or are refused although other nodes know them.
Test(entrynode, streamsOfANodeThatIsGoneGoOnAtTheirVersion)
{
    const ScriptedUpstream first(&answerWithStream);
    const ScriptedUpstream second(&answerWithStream);
    const std::vector<std::string> addresses { first.address(), second.address() };
    const ScriptedUpstream store([addresses](const std::string &request) { return answerAsStore(request, addresses); });
    HttpClient client;
    const auto lostSettings = settingsFor(store.address());
    auto settings = settingsFor(store.address());
    settings.node = NodeId("n2");
    settings.seeds = { lostSettings.peerAddress };
    const RunningNode left(settings);
    const auto send = [&client](const Platform::ProcessSettings &node, HttpHeaders headers) {
        headers.emplace_back("Host", "h.example");
        return get(client, node.callerAddress, "/chat/x", std::move(headers));
    };
    {
        const RunningNode lost(lostSettings);
        cr_assert(becomesReady(client, lostSettings) && becomesReady(client, settings));
        std::this_thread::sleep_for(std::chrono::milliseconds(500)); // The nodes learn of each other.
        for (int i = 0; i < Streams; ++i) {
            cr_assert_eq(send(lostSettings, { { "Apricotstep-Request-Id", absl::StrCat("r", i) } }).status, 200);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(500)); // Two heartbeats.
    }
    for (int i = 0; i < Streams; ++i) {
        const std::string id = absl::StrCat("again", i);
        const std::string resumed = absl::StrCat("r", i);
        const Response response = send(settings, { { "Apricotstep-Request-Id", id }, { "Last-Event-Id", "1" }, { "Resumes", resumed } });
        cr_expect_eq(response.status, 200, "%s: %d", id.c_str(), response.status);
        cr_expect_eq(hasReceived(first, id), hasReceived(first, resumed));
        cr_expect_eq(hasReceived(second, id), hasReceived(second, resumed));
    }
    cr_expect_eq(send(settings, { { "Apricotstep-Request-Id", "x" }, { "Last-Event-Id", "1" }, { "Resumes", "unknown" } }).status, 503);
}

namespace
{

constexpr int TimeoutMs = 1000;
// A stream lasts for two timeouts at most, and nodes add two seconds.
constexpr Duration StreamLifetime { 4000 };
constexpr Duration Lateness { 2500 };

/** One node, started after all others were lost, that is asked to continue streams which no node knows. */
struct LoneNode
{
    SystemClock clock;
    HttpClient client;
    Platform::ProcessSettings settings;
    RunningNode node;
    Time startedAt = clock.now();
    int lastRequest = 0;

    explicit LoneNode(const ScriptedUpstream &store)
        : settings(settingsFor(store.address()))
        , node(settings)
    {
        cr_assert(becomesReady(client, settings));
    }
    int takeUp()
    {
        return get(client, settings.callerAddress, "/chat/x",
            { { "Host", "h.example" }, { "Apricotstep-Request-Id", absl::StrCat("again", ++lastRequest) }, { "Last-Event-Id", "1" },
                { "Resumes", "unknown" } })
            .status;
    }
    Duration age() const
    {
        return clock.now() - startedAt;
    }
};

} // namespace

// All nodes are lost right after a release. The version that is left continued streams that the other one had begun, since a caller waits
// for longer than one request lasts; or it continued none for good, since the entries of its upstreams do not change.
Test(entrynode, nodesThatHaveJustStartedContinueStreamsOnceNoneFromBeforeAreLeft)
{
    const ScriptedUpstream upstream(&answerWithStream);
    const ScriptedUpstream store(
        [address = upstream.address()](const std::string &request) { return answerAsStore(request, { address }, TimeoutMs); });
    LoneNode lone(store);
    int status = 0;
    while (status != 200 && lone.age() < StreamLifetime + Lateness) {
        const bool isEarly = lone.age() < StreamLifetime - Duration(500);
        status = lone.takeUp();
        cr_assert(status == 503 || (status == 200 && !isEarly), "%d after %d ms", status, static_cast<int>(lone.age().milliseconds()));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    cr_assert_eq(status, 200);
}

// An upstream whose entry does not change serves on beside one of another version whose entry does. Its version was forgotten, and the
// other one continued its streams.
Test(entrynode, softwareOfAnUpstreamWhoseEntryDoesNotChangeIsNotForgotten)
{
    const ScriptedUpstream first(&answerWithStream);
    const ScriptedUpstream second(&answerWithStream);
    std::atomic<bool> isChanged { false };
    const ScriptedUpstream store([&](const std::string &request) {
        if (isChanged && absl::StrContains(request, "kv-watch") && absl::StrContains(request, "after=2")) {
            return ScriptedAnswer { json(
                absl::StrCat(R"({"events":[)", upstreamItem(1, second.address(), 5, 3), R"(],"storeRevision":3})")) };
        }
        return answerAsStore(request, { first.address(), second.address() }, TimeoutMs);
    });
    LoneNode lone(store);
    while (lone.age() < StreamLifetime + Duration(500)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    isChanged = true;
    while (lone.age() < StreamLifetime + Lateness) {
        cr_assert_eq(lone.takeUp(), 503, "after %d ms", static_cast<int>(lone.age().milliseconds()));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
}
