#include "main/entry/storereader.h"
#include "scriptedupstream.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <thread>

#include <criterion/criterion.h>

using namespace ApricotStep;
using Rig::ScriptedAnswer;
using Rig::ScriptedUpstream;

namespace
{

constexpr Duration PageTime { 300 };
constexpr Duration WholeReading = PageTime + Duration(500);

std::string entry(const std::string &id)
{
    const std::string value = R"({"service":"svc","address":"10.0.0.1:1","zone":"z","slots":4,"state":"ready","seq":1,"born":5})";
    return absl::StrCat(R"({"key":"servers/)", id, R"(","value":")", absl::Base64Escape(value), R"(","revision":2,"lease":0})");
}

ScriptedAnswer page(const std::string &item, bool hasMore)
{
    const std::string body = absl::StrCat(R"({"hasMore":)", hasMore ? "true" : "false", R"(,"items":[)", item, R"(],"storeRevision":30})");
    return ScriptedAnswer { absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body) };
}

/** A store of two pages with an upstream each, the second of which takes a while; nothing changes after them. */
ScriptedAnswer answer(const std::string &request)
{
    if (absl::StrContains(request, "kv-watch")) {
        return ScriptedAnswer { "", ScriptedAnswer::Then::Keep, true };
    }
    if (!absl::StrContains(request, "after=")) {
        return page(entry("first"), true);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(PageTime.milliseconds()));
    return page(entry("second"), false);
}

} // namespace

// Guards against losing an upstream that a neighbour tells of while the node reads the store page by page.
Test(storereader, whatANeighbourTellsBetweenTwoPagesStays)
{
    const SystemClock clock;
    const ScriptedUpstream store(&answer);
    EventLog log(clock, "n1");
    Beliefs beliefs;
    IoLoop loop(clock);
    StoreReader reader(loop, log, beliefs, store.address(), Duration::seconds(2), [](const BeliefChanges &) {});
    Platform::StoreItem told;
    told.key = "servers/told";
    told.value = R"({"service":"svc","address":"10.0.0.2:1","zone":"z","slots":4,"state":"ready","seq":1,"born":5})";
    told.revision = 40;
    loop.after(Duration(PageTime.milliseconds() / 2), [&] {
        cr_assert_not(reader.hasReadAll());
        cr_assert(reader.takeFromPeer(NodeId("n2"), PeerChanges { Platform::encodeWatch({ told }, 40), {}, {} }));
    });
    loop.after(WholeReading, [&] { loop.stop(); });
    reader.start();
    loop.run();
    cr_assert(reader.hasReadAll());
    cr_assert_eq(beliefs.upstreams.size(), 3);
    cr_assert_not_null(beliefs.upstreams.usable(UpstreamId("told")));
}
