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

// An upstream announces that it leaves; an older account of the same start arrives afterwards, as from a slow read. It stays left.
Test(upstreamdirectory, leavingIsForGoodWithinOneStart)
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

// The store was away, and the entries of upstreams that could not renew them lapsed meanwhile. All of a service's upstreams live; without
// the grace its callers would be refused until the entries are back.
Test(upstreamdirectory, entriesLostInAnOutageCountForAWhile)
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

// Guards against dropping a living upstream because its entry came back after the node's last reading of the store.
Test(upstreamdirectory, aGraceEndsWithAReadingAndNotWithTheClock)
{
    UpstreamDirectory directory({});
    directory.put(record("back"), Start);
    directory.put(record("gone"), Start);
    directory.onStoreRegained(Start);
    directory.remove(UpstreamId("back"), "lapsed", Start + Duration(10));
    directory.remove(UpstreamId("gone"), "lapsed", Start + Duration(10));
    // The node's readings: one before the entry is back, one after it.
    directory.endGracePeriods(Start + Duration(1000));
    cr_assert_eq(usableCount(directory), 2);
    directory.put(record("back"), Start + Duration(2500));
    cr_assert_eq(directory.endGracePeriods(Start + Duration(2500)).size(), 1);
    cr_assert_not_null(directory.usable(UpstreamId("back")));
    cr_assert_null(directory.usable(UpstreamId("gone")));
}

// While the store is well, an entry that goes means that the upstream gets no more work from that moment.
Test(upstreamdirectory, aRemovedUpstreamGetsNoWork)
{
    UpstreamDirectory directory({});
    directory.put(record("u"), Start);
    const auto changes = directory.remove(UpstreamId("u"), "removed", Start);
    cr_assert_eq(changes.size(), 1);
    cr_assert_eq(usableCount(directory), 0);
}

// Rows of two holders overtake each other. The one with the greater token counts, and an adapter that an engine has just refused counts as
// missing there until a later row.
Test(enginerows, onlyALaterRowReplacesARow)
{
    const AdapterRef adapter { BaseModelId("m"), AdapterId("a") };
    const AdapterCopy copy { adapter.model, adapter.adapter, AdapterVersion("1"), true };
    ResidencyTable residencies;
    cr_assert(residencies.put(EngineResidency { UpstreamId("u"), 1, FencingToken(5), 9, { copy } }));
    cr_assert_not(residencies.put(EngineResidency { UpstreamId("u"), 1, FencingToken(4), 20, {} }));
    cr_assert_not(residencies.put(EngineResidency { UpstreamId("u"), 1, FencingToken(5), 8, {} }));
    cr_assert(residencies.copy(record("u"), adapter).has_value());
    residencies.markMissing(UpstreamId("u"), adapter);
    cr_assert_not(residencies.copy(record("u"), adapter).has_value());
    residencies.put(EngineResidency { UpstreamId("u"), 1, FencingToken(5), 10, { copy } });
    cr_assert(residencies.copy(record("u"), adapter).has_value());
    cr_assert_not(residencies.copy(record("u", 2), adapter).has_value(), "a new start holds nothing of before");
}

// Guards against an engine that starts anew under another holder with a lower token, whose copies nobody would believe in.
Test(enginerows, aRowOfALaterStartReplacesOneWithAHigherToken)
{
    const AdapterRef adapter { BaseModelId("m"), AdapterId("a") };
    const AdapterCopy copy { adapter.model, adapter.adapter, AdapterVersion("1"), true };
    ResidencyTable residencies;
    residencies.put(EngineResidency { UpstreamId("u"), 1, FencingToken(9), 50, {} });
    cr_assert(residencies.put(EngineResidency { UpstreamId("u"), 2, FencingToken(5), 1, { copy } }));
    cr_assert(residencies.copy(record("u", 2), adapter).has_value());
    cr_assert_not(residencies.put(EngineResidency { UpstreamId("u"), 1, FencingToken(9), 51, {} }));
}

// Twelve nodes choose at once on the same figures. With what each has just sent counted, no engine gets more than its share twice over.
Test(upstreamchoice, requestsSpreadOverEqualEngines)
{
    std::mt19937_64 random(1);
    std::vector<UpstreamRecord> records { record("a"), record("b"), record("c") };
    UpstreamLoadTracker book;
    for (int i = 0; i < 30; ++i) {
        std::vector<UpstreamOption> options;
        for (const UpstreamRecord &entry : records) {
            options.push_back(UpstreamOption { &entry, book.load(entry.id, Start), 1, false });
        }
        book.onSent(chooseEngine(options, 1000, {}, random)->record->id, 1000);
    }
    for (const UpstreamLoad &load : book.own()) {
        cr_assert_eq(load.running, 10);
    }
}

// One engine has a long prompt to read, and another is ejected. Work goes to neither while a third is well, but it goes somewhere when all
// are ejected.
Test(upstreamchoice, busyAndEjectedEnginesComeLast)
{
    std::mt19937_64 random(1);
    const UpstreamRecord busy = record("busy");
    const UpstreamRecord ejected = record("ejected");
    const UpstreamRecord well = record("well");
    const std::vector<UpstreamOption> options {
        { &busy, { 1, 39'000 }, 1, true },
        { &ejected, { 0, 0 }, 0, true },
        { &well, { 3, 0 }, 1, false },
    };
    cr_assert_eq(chooseEngine(options, 800, {}, random)->record, &well);
    const std::vector<UpstreamOption> onlyEjected { { &ejected, { 0, 0 }, 0, true } };
    cr_assert_eq(chooseEngine(onlyEjected, 800, {}, random)->record, &ejected);
    cr_assert_null(chooseEngine({}, 800, {}, random));
}

// Twenty nodes send requests of a popular adapter with twelve long beginnings to its four copies, each node by itself. Sent to the least
// loaded copy each time, every engine reads every beginning anew, and callers wait for prompts to be read that are kept next door. No
// engine may get much more than its share for it.
Test(upstreamchoice, requestsThatShareABeginningMeetAtOneCopy)
{
    const std::vector<UpstreamRecord> records { record("a"), record("b"), record("c"), record("d") };
    std::mt19937_64 random(5);
    std::map<std::pair<std::string, std::string>, bool> read;
    std::map<std::string, double> queued;
    int kept = 0;
    constexpr int Requests = 1200;
    for (int i = 0; i < Requests; ++i) {
        const std::string prefix = "aa:2500," + std::to_string(random() % 12) + ":3800";
        std::vector<UpstreamOption> options;
        for (const UpstreamRecord &entry : records) {
            options.push_back(UpstreamOption { &entry, { 0, queued[entry.id.value()] }, 1, true });
        }
        creditSharedPrefix(options, prefix, 6300);
        const std::string chosen = chooseEngine(options, 9200, {}, random)->record->id.value();
        bool &isRead = read[{ chosen, prefix }];
        kept += isRead ? 1 : 0;
        queued[chosen] += isRead ? 2900 : 9200;
        isRead = true;
        // 38 tokens a millisecond at each engine, a request every 30 ms: half of what they can read without any reuse is asked for.
        for (auto &[id, tokens] : queued) {
            tokens = std::max(tokens - 30 * 38, 0.0);
        }
    }
    cr_assert_gt(kept, Requests * 9 / 10);
    std::vector<UpstreamOption> crowded { { &records[0], { 0, 0 }, 1, true }, { &records[1], { 0, 0 }, 1, true } };
    creditSharedPrefix(crowded, "p", 6300);
    UpstreamOption &home = crowded[0].cachedTokens > 0 ? crowded[0] : crowded[1];
    home.load.pendingTokens = 20'000;
    cr_assert_neq(chooseEngine(crowded, 9200, {}, random)->record, home.record, "a queue longer than the reading sends it elsewhere");
}

// Peers that fell silent have nothing running that anybody knows of: their last figures must not weigh for ever.
Test(upstreambook, silentPeersStopCounting)
{
    UpstreamLoadTracker book;
    book.onPeerLoads(NodeId("n"), { UpstreamLoad { UpstreamId("u"), 5, 100 } }, Start);
    cr_assert_eq(book.load(UpstreamId("u"), Start).running, 5);
    cr_assert_eq(book.load(UpstreamId("u"), Start + Duration(1600)).running, 0);
    book.onSent(UpstreamId("u"), 100);
    book.onEnded(UpstreamId("u"), 100);
    cr_assert(book.own().empty());
}

// Messages replace each other several times a second, some name an upstream twice, and nodes fall silent in between. Sums that drift make
// an idle engine look full for good, so that it gets no requests while others are crowded.
Test(upstreambook, sumsFollowEachMessageAndReturnToZero)
{
    const UpstreamId one("one");
    const UpstreamId two("two");
    UpstreamLoadTracker book;
    std::mt19937_64 random(11);
    Time now = Start;
    for (int round = 0; round < 2000; ++round) {
        now = now + Duration(7);
        const NodeId peer("node-" + std::to_string(random() % 20));
        const auto figure = [&random] { return static_cast<std::uint32_t>(random() % 4); };
        book.onPeerLoads(
            peer, { UpstreamLoad { one, figure(), 1000 * figure() }, UpstreamLoad { one, figure(), 0 }, UpstreamLoad { two, 0, 0 } }, now);
        cr_assert_geq(book.load(one, now).running, 0);
    }
    for (int peer = 0; peer < 20; ++peer) {
        book.onPeerLoads(NodeId("node-" + std::to_string(peer)), { UpstreamLoad { one, 2, 50 } }, now);
    }
    cr_assert_eq(book.load(one, now).running, 40);
    cr_assert_eq(book.load(one, now).pendingTokens, 1000);
    cr_assert_eq(book.load(one, now + UpstreamLoadTracker::PeerTimeout + Duration(200)).running, 0);
    cr_assert_eq(book.load(two, now).running, 0);
}
