#include "coordination/residencytable.h"
#include "coordination/upstreamchoice.h"
#include "coordination/upstreamdirectory.h"

#include <map>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Time Start { 10'000 };

UpstreamRecord record(const std::string &id, std::int64_t startedAt = 1)
{
    UpstreamRecord result;
    result.id = UpstreamId(id);
    result.service = ServiceName("svc");
    result.address = "10.0.0.1:1";
    result.slots = 4;
    result.startedAt = startedAt;
    return result;
}

std::size_t usableCount(const UpstreamDirectory &directory)
{
    return directory.usable(ServiceName("svc")).size();
}

} // namespace

// An upstream announces that it leaves, and an older record of the same start arrives afterwards, as from a slow read. It must not get work
// again before it restarts.
Test(upstreamdirectory, leavingIsFinalUntilTheNextStart)
{
    UpstreamDirectory directory({});
    directory.put(record("u"), Start);
    UpstreamRecord leaving = record("u");
    leaving.isLeaving = true;
    directory.put(leaving, Start);
    directory.put(record("u"), Start);
    cr_assert_eq(usableCount(directory), 0);
    directory.put(record("u", 2), Start);
    cr_assert_eq(usableCount(directory), 1);
}

// During an outage of the store the entries of all upstreams of a service expire although the upstreams are alive. Without the grace period
// callers would be refused until the entries are back.
Test(upstreamdirectory, entriesLostInAnOutageHaveAGracePeriod)
{
    UpstreamDirectory directory({});
    directory.put(record("u"), Start);
    directory.put(record("v"), Start);
    directory.onStoreRegained(Start);
    directory.remove(UpstreamId("u"), "lapsed", Start + Duration(10));
    directory.remove(UpstreamId("v"), "not listed", Start + Duration(20));
    cr_assert_eq(usableCount(directory), 2);
    directory.put(record("u"), Start + Duration(1500));
    directory.endGracePeriods(Start + Duration(2100));
    cr_assert_eq(usableCount(directory), 1);
    cr_assert_not_null(directory.usable(UpstreamId("u")));
}

// Guards against the removal of an upstream that is alive but whose entry came back after the node's last read of the store.
Test(upstreamdirectory, aGracePeriodEndsWithAReadOfTheStore)
{
    UpstreamDirectory directory({});
    directory.put(record("back"), Start);
    directory.put(record("gone"), Start);
    directory.onStoreRegained(Start);
    directory.remove(UpstreamId("back"), "lapsed", Start + Duration(10));
    directory.remove(UpstreamId("gone"), "lapsed", Start + Duration(10));
    // The node reads the store once before and once after the entry is back.
    directory.endGracePeriods(Start + Duration(1000));
    cr_assert_eq(usableCount(directory), 2);
    directory.put(record("back"), Start + Duration(2500));
    cr_assert_eq(directory.endGracePeriods(Start + Duration(2500)).size(), 1);
    cr_assert_not_null(directory.usable(UpstreamId("back")));
    cr_assert_null(directory.usable(UpstreamId("gone")));
}

// Guards against a grace period of which no one knows when it ends.
Test(upstreamdirectory, nextRemovalTimeIsThatOfTheMissingEntries)
{
    UpstreamDirectory directory({});
    directory.put(record("u"), Start);
    directory.put(record("v"), Start);
    directory.onStoreRegained(Start);
    cr_assert(directory.nextRemovalTime() == Time::never());
    directory.remove(UpstreamId("u"), "lapsed", Start + Duration(10));
    directory.remove(UpstreamId("v"), "lapsed", Start + Duration(10));
    cr_assert(directory.nextRemovalTime() == directory.gracePeriodEnd());
    directory.put(record("u"), Start + Duration(500));
    cr_assert(directory.nextRemovalTime() == directory.gracePeriodEnd());
    directory.endGracePeriods(directory.gracePeriodEnd());
    cr_assert(directory.nextRemovalTime() == Time::never());
    cr_assert_eq(usableCount(directory), 1);
}

// Without an outage of the store, an upstream gets no more work once its entry is removed.
Test(upstreamdirectory, aRemovedUpstreamGetsNoWork)
{
    UpstreamDirectory directory({});
    directory.put(record("u"), Start);
    const auto changes = directory.remove(UpstreamId("u"), "removed", Start);
    cr_assert_eq(changes.size(), 1);
    cr_assert_eq(usableCount(directory), 0);
}

// Engine residency reports of two lease holders can arrive out of order. The one with the higher token counts, and an adapter that an
// engine has just refused counts as not loaded there until a newer report.
Test(residencytable, onlyANewerReportReplacesAReport)
{
    const AdapterRef adapter { BaseModelId("m"), AdapterId("a") };
    const AdapterCopy copy { adapter.model, adapter.adapter, AdapterVersion("1"), true };
    ResidencyTable residency;
    cr_assert(residency.put(EngineResidency { UpstreamId("u"), 1, FencingToken(5), 9, { copy } }));
    cr_assert_not(residency.put(EngineResidency { UpstreamId("u"), 1, FencingToken(4), 20, {} }));
    cr_assert_not(residency.put(EngineResidency { UpstreamId("u"), 1, FencingToken(5), 8, {} }));
    cr_assert(residency.copy(record("u"), adapter).has_value());
    residency.markMissing(UpstreamId("u"), adapter);
    cr_assert_not(residency.copy(record("u"), adapter).has_value());
    residency.put(EngineResidency { UpstreamId("u"), 1, FencingToken(5), 10, { copy } });
    cr_assert(residency.copy(record("u"), adapter).has_value());
    cr_assert_not(residency.copy(record("u", 2), adapter).has_value(), "a restarted engine holds no adapters from before");
}

// An engine restarts under another lease holder with a lower token. Guards against ignoring its residency report and so its copies.
Test(residencytable, aReportOfALaterStartReplacesOneWithAHigherToken)
{
    const AdapterRef adapter { BaseModelId("m"), AdapterId("a") };
    const AdapterCopy copy { adapter.model, adapter.adapter, AdapterVersion("1"), true };
    ResidencyTable residency;
    residency.put(EngineResidency { UpstreamId("u"), 1, FencingToken(9), 50, {} });
    cr_assert(residency.put(EngineResidency { UpstreamId("u"), 2, FencingToken(5), 1, { copy } }));
    cr_assert(residency.copy(record("u", 2), adapter).has_value());
    cr_assert_not(residency.put(EngineResidency { UpstreamId("u"), 1, FencingToken(9), 51, {} }));
}

// Twelve nodes choose at the same time with the same load data. Guards against overloading one of several equal engines because the
// requests that were just sent are not counted.
Test(upstreamchoice, requestsSpreadOverEqualEngines)
{
    std::mt19937_64 random(1);
    std::vector<UpstreamRecord> records { record("a"), record("b"), record("c") };
    UpstreamLoadTracker tracker;
    for (int i = 0; i < 30; ++i) {
        std::vector<UpstreamOption> options;
        for (const UpstreamRecord &entry : records) {
            options.push_back(UpstreamOption { &entry, tracker.load(entry.id, Start), 1, false });
        }
        tracker.onSent(chooseEngine(options, { 1000, {} }, {}, random)->record->id, 1000, Start);
    }
    for (const UpstreamLoad &load : tracker.own()) {
        cr_assert_eq(load.running, 10);
    }
}

// One engine has a long prompt to process and another is ejected. Requests must go to a third, healthy engine, but to an ejected one if all
// are ejected.
Test(upstreamchoice, busyAndEjectedEnginesAreAvoided)
{
    std::mt19937_64 random(1);
    const UpstreamRecord busy = record("busy");
    const UpstreamRecord ejected = record("ejected");
    const UpstreamRecord healthy = record("well");
    const std::vector<UpstreamOption> options {
        { &busy, { 1, 39'000 }, 1, true },
        { &ejected, { 0, 0 }, 0, true },
        { &healthy, { 3, 0 }, 1, false },
    };
    cr_assert_eq(chooseEngine(options, { 800, {} }, {}, random)->record, &healthy);
    const std::vector<UpstreamOption> onlyEjected { { &ejected, { 0, 0 }, 0, true } };
    cr_assert_eq(chooseEngine(onlyEjected, { 800, {} }, {}, random)->record, &ejected);
    cr_assert_null(chooseEngine({}, { 800, {} }, {}, random));
}

// Requests for a popular adapter share twelve long prefixes and go to its four copies, chosen by each node on its own. If each went to the
// least loaded copy, every engine would process every prefix, and callers would wait for prompts that another engine has cached. A long
// queue must still send a request to another copy.
Test(upstreamchoice, requestsWithASharedPrefixUseOneCopy)
{
    const std::vector<UpstreamRecord> records { record("a"), record("b"), record("c"), record("d") };
    std::mt19937_64 random(5);
    std::map<std::pair<std::string, std::string>, bool> processed;
    std::map<std::string, double> queued;
    int cacheHits = 0;
    constexpr int Requests = 1200;
    for (int i = 0; i < Requests; ++i) {
        const std::string prefix = "aa:2500," + std::to_string(random() % 12) + ":3800";
        std::vector<UpstreamOption> options;
        for (const UpstreamRecord &entry : records) {
            options.push_back(UpstreamOption { &entry, { 0, queued[entry.id.value()] }, 1, true });
        }
        creditSharedPrefix(options, prefix, 6300);
        const std::string chosen = chooseEngine(options, { 9200, {} }, {}, random)->record->id.value();
        bool &isProcessed = processed[{ chosen, prefix }];
        cacheHits += isProcessed ? 1 : 0;
        queued[chosen] += isProcessed ? 2900 : 9200;
        isProcessed = true;
        // 38 tokens per millisecond at each engine and a request every 30 ms: without reuse the engines could process half of the tokens.
        for (auto &[id, tokens] : queued) {
            tokens = std::max(tokens - 30 * 38, 0.0);
        }
    }
    cr_assert_gt(cacheHits, Requests * 9 / 10);
    std::vector<UpstreamOption> twoOptions { { &records[0], { 0, 0 }, 1, true }, { &records[1], { 0, 0 }, 1, true } };
    creditSharedPrefix(twoOptions, "p", 6300);
    UpstreamOption &preferred = twoOptions[0].cachedTokens > 0 ? twoOptions[0] : twoOptions[1];
    preferred.load.pendingTokens = 20'000;
    cr_assert_neq(chooseEngine(twoOptions, { 9200, {} }, {}, random)->record, preferred.record,
        "a queue that costs more than processing the prefix sends the request elsewhere");
}

// Guards against the last reported load of a peer that sends no more messages counting forever.
Test(upstreamloadtracker, stalePeersAreNotCounted)
{
    UpstreamLoadTracker tracker;
    tracker.onPeerLoads(NodeId("n"), { UpstreamLoad { UpstreamId("u"), 5, 100 } }, Start);
    cr_assert_eq(tracker.load(UpstreamId("u"), Start).running, 5);
    cr_assert_eq(tracker.load(UpstreamId("u"), Start + Duration(1600)).running, 0);
    tracker.onSent(UpstreamId("u"), 100, Start);
    tracker.onEnded(UpstreamId("u"), 100, Start);
    cr_assert(tracker.own().empty());
}

// Messages replace each other several times a second, some name an upstream twice, and peers stop sending in between. Sums that drift would
// make an idle engine look loaded forever, so that it gets no requests while other engines are overloaded.
Test(upstreamloadtracker, sumsFollowEachMessageAndReturnToZero)
{
    const UpstreamId one("one");
    const UpstreamId two("two");
    UpstreamLoadTracker tracker;
    std::mt19937_64 random(11);
    Time now = Start;
    for (int round = 0; round < 2000; ++round) {
        now = now + Duration(7);
        const NodeId peer("node-" + std::to_string(random() % 20));
        const auto randomLoad = [&random] { return static_cast<std::uint32_t>(random() % 4); };
        tracker.onPeerLoads(peer,
            { UpstreamLoad { one, randomLoad(), 1000 * randomLoad() }, UpstreamLoad { one, randomLoad(), 0 }, UpstreamLoad { two, 0, 0 } },
            now);
        cr_assert_geq(tracker.load(one, now).running, 0);
    }
    for (int peer = 0; peer < 20; ++peer) {
        tracker.onPeerLoads(NodeId("node-" + std::to_string(peer)), { UpstreamLoad { one, 2, 50 } }, now);
    }
    cr_assert_eq(tracker.load(one, now).running, 40);
    cr_assert_eq(tracker.load(one, now).pendingTokens, 1000);
    cr_assert_eq(tracker.load(one, now + UpstreamLoadTracker::PeerTimeout + Duration(200)).running, 0);
    cr_assert_eq(tracker.load(two, now).running, 0);
}

// Guards against a leaving upstream that gets work again because its entry expired and came back, or an older record of it arrives late.
Test(upstreamdirectory, leavingUpstreamIsNotListedAgain)
{
    UpstreamDirectory directory { UpstreamDirectoryLimits {} };
    UpstreamRecord record;
    record.id = UpstreamId("u");
    record.service = ServiceName("svc");
    record.startedAt = 7;
    directory.put(record, Time(0));
    const auto changes = directory.markLeaving(UpstreamStart { record.id, 7 }, true, Time(10));
    cr_assert(changes.size() == 1 && std::holds_alternative<UpstreamLeft>(changes.front()));
    cr_assert_null(directory.usable(record.id));
    cr_assert(directory.markLeaving(UpstreamStart { record.id, 7 }, true, Time(20)).empty());
    cr_assert_eq(directory.heardLeaving(Time(20)).size(), 1);
    directory.remove(record.id, "expired", Time(30));
    directory.put(record, Time(40));
    cr_assert_null(directory.usable(record.id));
    record.startedAt = 8;
    directory.put(record, Time(50));
    cr_assert_not_null(directory.usable(record.id));
    // A peer repeats late what it heard of the former start.
    cr_assert(directory.markLeaving(UpstreamStart { record.id, 7 }, false, Time(60)).empty());
    cr_assert_not_null(directory.usable(record.id));
}

// An upstream whose entry does not change went on, and its software was forgotten once streams had ended that began before.
Test(upstreamdirectory, softwareOfListedUpstreamsIsKnownUntilTheyAreRemoved)
{
    UpstreamDirectory directory { UpstreamDirectoryLimits {} };
    const auto put = [&directory](const std::string &id, const std::string &software, std::int64_t startedAt) {
        UpstreamRecord record;
        record.id = UpstreamId(id);
        record.service = ServiceName("svc");
        record.softwareVersion = SoftwareVersion(software);
        record.startedAt = startedAt;
        directory.put(record, Time(1));
    };
    const auto count = [&directory](const std::string &software) {
        const auto &listed = directory.listedSoftware();
        const auto at = listed.find(SoftwareOfService { ServiceName("svc"), SoftwareVersion(software) });
        return at != listed.end() ? at->second : 0;
    };
    put("a", "v1", 1);
    put("b", "v1", 1);
    cr_assert_eq(count("v1"), 2);
    put("a", "v2", 2);
    put("a", "v2", 2);
    cr_assert_eq(count("v1"), 1);
    cr_assert_eq(count("v2"), 1);
    directory.remove(UpstreamId("b"), "left", Time(2));
    cr_assert_eq(directory.listedSoftware().size(), 1);
}
