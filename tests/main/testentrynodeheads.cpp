#include "testentrynodefixture.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <atomic>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

constexpr std::size_t FieldBytes = 100;

std::string limits(std::size_t headerBytes)
{
    return absl::StrCat(R"({"maxHeaderBytes":)", headerBytes, R"(,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000})");
}

std::string configurationWithLimit(int version, std::size_t headerBytes)
{
    std::string text = configuration(version, "/p/");
    text.pop_back();
    return absl::StrCat(text, R"(,"limits":)", limits(headerBytes), "}");
}

/** Headers of a request whose head is about @p bytes long. */
HttpHeaders headersOf(std::size_t bytes, const std::string &id)
{
    HttpHeaders headers { { "Host", "h.example" }, { "Apricotstep-Request-Id", id } };
    for (std::size_t used = 200; used + FieldBytes <= bytes; used += FieldBytes) {
        headers.emplace_back(absl::StrCat("X-Field-", used), std::string(FieldBytes - 20, 'v'));
    }
    return headers;
}

/** An upstream whose answers have heads of about @p bytes. */
ScriptedAnswer answerWithHead(std::size_t bytes)
{
    std::string head = "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\nContent-Length: 5\r\n";
    for (std::size_t used = 0; used + FieldBytes <= bytes; used += FieldBytes) {
        absl::StrAppend(&head, "X-Answer-", used, ": ", std::string(FieldBytes - 20, 'w'), "\r\n");
    }
    return ScriptedAnswer { head + "\r\nwhole" };
}

} // namespace

// Guards against an answer that is lost because its head finds no memory beside the head of its request.
Test(entrynodeheads, answersWithLongHeadsAreDeliveredOrReportedAsFailed)
{
    std::atomic<std::size_t> answerHead { 9000 };
    const ScriptedUpstream upstream([&answerHead](const std::string &) { return answerWithHead(answerHead); });
    const ScriptedUpstream store([&](const std::string &request) { return storeAnswer(request, upstream.address()); });
    const auto settings = settingsFor(store.address());
    HttpClient client;
    const RunningNode running(settings);
    cr_assert(becomesReady(client, settings));
    cr_assert_eq(get(client, settings.callerAddress, "/p/x", headersOf(15800, "r-1")).status, 200);
    cr_assert_eq(get(client, settings.callerAddress, "/p/x", headersOf(500, "r-2")).status, 200);
    answerHead = 50000;
    cr_assert_eq(get(client, settings.callerAddress, "/p/x", headersOf(500, "r-3")).status, 200);
    answerHead = 200000;
    const Response tooLong = get(client, settings.callerAddress, "/p/x", headersOf(500, "r-4"));
    cr_assert_eq(tooLong.status, 502, "%d", tooLong.status);
    cr_assert(absl::StrContains(tooLong.body, "upstream_failed"), "%s", tooLong.body.c_str());
}

// Guards against a limit on heads that stays as it was when the configuration changes it: requests that it allows are refused, or those
// that it forbids run.
Test(entrynodeheads, limitOfTheConfigurationAppliesWhileTheNodeRuns)
{
    const ScriptedUpstream upstream(&answerCompletely);
    std::atomic<int> version { 4 };
    std::atomic<std::size_t> limit { 16384 };
    const ScriptedUpstream store([&](const std::string &request) {
        const std::string current = item("op/config", configurationWithLimit(version, limit), version);
        if (!absl::StrContains(request, "kv-watch")) {
            return ScriptedAnswer { json(absl::StrCat(R"({"hasMore":false,"items":[)", current, ",",
                item("servers/u1", upstreamEntry(upstream.address())), R"(],"storeRevision":4})")) };
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        return ScriptedAnswer { json(absl::StrCat(R"({"events":[)", current, R"(],"storeRevision":)", version.load(), "}")) };
    });
    const auto settings = settingsFor(store.address());
    HttpClient client;
    const RunningNode running(settings);
    cr_assert(becomesReady(client, settings));
    const auto statusOf = [&](std::size_t bytes) { return get(client, settings.callerAddress, "/p/x", headersOf(bytes, "r-1")).status; };
    const auto publish = [&](std::size_t bytes) {
        limit = bytes;
        ++version;
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    };
    cr_assert_eq(statusOf(15000), 200);
    cr_assert_eq(statusOf(30000), 431);
    publish(65536);
    cr_assert_eq(statusOf(15000), 200);
    cr_assert_eq(statusOf(60000), 200);
    cr_assert_eq(statusOf(90000), 431);
    publish(4096);
    cr_assert_eq(statusOf(3000), 200);
    cr_assert_eq(statusOf(6000), 431);
    cr_assert_eq(get(client, settings.readinessAddress, "/apricotstep/ready", headersOf(6000, "r-2")).status, 431);
}
