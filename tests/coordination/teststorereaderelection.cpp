#include "coordination/storereaderelection.h"

#include "coordination/upstreamdirectory.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Time Start { 10'000 };

std::vector<StorePeer> peers(int count, double capacity, std::uint64_t revision, bool areReading)
{
    std::vector<StorePeer> result;
    for (int i = 0; i < count; ++i) {
        result.push_back(StorePeer { NodeId("a" + std::to_string(i)), capacity, false, areReading, revision });
    }
    return result;
}

} // namespace

// If each of a hundred nodes waited at the store, every change would wake all of them; that would use up the call rate of the store, and
// each call is billed.
Test(storereaderelection, fewNodesReadAndTheOthersFollow)
{
    StoreReaderElection small(StoreReaderLimits {}, NodeId("z"), 0.1);
    const auto others = peers(30, 0.1, 50, true);
    cr_assert(small.decide(false, true, 40, others, Start).readsItself);
    const StoreReaderDecision decision = small.decide(true, true, 40, others, Start);
    cr_assert(!decision.readsItself && !decision.fetchFrom.isEmpty());
    cr_assert(small.decide(true, true, 50, others, Start).fetchFrom.isEmpty());
    // The nodes with the highest capacity read.
    StoreReaderElection large(StoreReaderLimits {}, NodeId("z"), 0.5);
    cr_assert(large.decide(true, true, 40, others, Start).readsItself);
}

// The readers are killed, or the store rejects them. A follower that waited for them would send requests to upstreams that have left, and
// keep a configuration that is no longer active.
Test(storereaderelection, everyNodeReadsWithoutAReaderThatTheStoreAnswers)
{
    StoreReaderElection election(StoreReaderLimits {}, NodeId("z"), 0.1);
    cr_assert(election.decide(true, true, 40, peers(30, 0.1, 50, false), Start).readsItself);
    cr_assert(election.decide(true, true, 40, {}, Start).readsItself);
    auto leaving = peers(2, 0.1, 50, false);
    leaving[0].isLeaving = true;
    cr_assert(election.decide(true, true, 40, leaving, Start).readsItself);
}

// A reader is alive but does not send its changes. The follower must not query it repeatedly: it reads the store itself for a while and
// then tries again.
Test(storereaderelection, failedFetchMakesANodeReadForAWhile)
{
    StoreReaderElection election(StoreReaderLimits {}, NodeId("z"), 0.1);
    const auto others = peers(5, 0.1, 50, true);
    election.onFetchFailed(Start);
    cr_assert(election.decide(true, true, 40, others, Start + Duration(2900)).readsItself);
    cr_assert_not(election.decide(true, true, 40, others, Start + Duration(3000)).readsItself);
}

// The store was unavailable, and this node's own call has not been answered since. Only a response to its own call shows the node that
// missing entries may return; if it followed others at once, it would drop live upstreams.
Test(storereaderelection, nodeThatLostTheStoreKeepsReadingUntilItResponds)
{
    StoreReaderElection election(StoreReaderLimits {}, NodeId("z"), 0.1);
    cr_assert(election.decide(true, false, 40, peers(5, 0.1, 50, true), Start).readsItself);
}

// Guards against a node that refuses callers' keys, since the store rejects it or nothing changes there, while a reader beside it knows
// that the configuration is still the newest.
Test(storereaderelection, nodeWithAnOldSnapshotFetchesFromAReader)
{
    StoreReaderLimits limits;
    limits.maxSnapshotAge = Duration(2000);
    const auto others = peers(5, 0.1, 50, true);
    StoreReaderElection follower(limits, NodeId("z"), 0.1);
    cr_assert(follower.decide(true, true, 50, others, Start, Start - Duration(1900)).fetchFrom.isEmpty());
    cr_assert_not(follower.decide(true, true, 50, others, Start, Start - Duration(2000)).fetchFrom.isEmpty());
    const StoreReaderDecision rejected = follower.decide(true, false, 50, others, Start, Start - Duration(2000));
    cr_assert(rejected.readsItself && !rejected.fetchFrom.isEmpty());
    follower.onFetched(Start);
    cr_assert(follower.decide(true, true, 50, others, Start + Duration(300), Start - Duration(2000)).fetchFrom.isEmpty());
    // Without a bound for withdrawn keys the age does not matter.
    StoreReaderElection unbounded(StoreReaderLimits {}, NodeId("z"), 0.1);
    cr_assert(unbounded.decide(true, false, 50, others, Start, Time()).fetchFrom.isEmpty());
}

// Guards against followers that keep a removed upstream in use after an outage of the store, until the store changes again.
Test(storereaderelection, followerFetchesToEndAGracePeriodOfAQuietStore)
{
    constexpr Duration Step { 200 };
    constexpr Duration ReaderSnapshotAge { 1500 };
    StoreReaderElection follower(StoreReaderLimits {}, NodeId("z"), 0.1);
    const auto readers = peers(2, 0.5, 50, true);
    UpstreamDirectory upstreams({});
    UpstreamRecord record;
    record.id = UpstreamId("u");
    upstreams.put(record, Start);
    upstreams.onStoreRegained(Start);
    upstreams.remove(UpstreamId("u"), "the store removed it", Start + Duration(800));
    int fetches = 0;
    Time now = Start + Duration(800);
    for (; upstreams.size() > 0 && now < Start + Duration::seconds(10); now = now + Step) {
        const auto decision = follower.decide(true, true, 50, readers, now, now, upstreams.nextRemovalTime());
        cr_assert(decision.fetchFrom.isEmpty() || now >= upstreams.gracePeriodEnd());
        if (!decision.fetchFrom.isEmpty()) {
            ++fetches;
            follower.onFetched(now);
            upstreams.endGracePeriods(now - ReaderSnapshotAge);
        }
    }
    cr_assert_leq((now - upstreams.gracePeriodEnd()).milliseconds(), (ReaderSnapshotAge + Duration(800)).milliseconds());
    cr_assert_leq(fetches, 5);
    cr_assert(follower.decide(true, true, 50, readers, now + Duration(800), now, upstreams.nextRemovalTime()).fetchFrom.isEmpty());
}

// Guards against a node that the store does not answer and that keeps a removed upstream in use, although a reader beside it knows more.
Test(storereaderelection, nodeThatLostTheStoreFetchesToEndAGracePeriod)
{
    const auto readers = peers(2, 0.5, 50, true);
    StoreReaderElection lost(StoreReaderLimits {}, NodeId("z"), 0.1);
    cr_assert_not(lost.decide(true, false, 50, readers, Start, Start, Start).fetchFrom.isEmpty());
    // One that reads the store itself ends the grace period with its own next read.
    StoreReaderElection reader(StoreReaderLimits {}, NodeId("a"), 0.9);
    cr_assert(reader.decide(true, true, 50, readers, Start, Start, Start).fetchFrom.isEmpty());
}

// Guards against followers that keep a removed upstream in use because one reader was cut off from the store, although another one was not.
Test(storereaderelection, outageThatAnotherReaderHasNotSeenIsDisputed)
{
    StoreReaderLimits limits;
    limits.maxLossDetectionTime = Duration(3600);
    const StoreReaderElection follower(limits, NodeId("z"), 0.1);
    const StoreOutage outage { Start, Start + Duration(5500) };
    auto readers = peers(2, 0.5, 50, true);
    readers[0].lastReceivedAt = outage.end;
    readers[0].readingSince = outage.end;
    readers[1].lastReceivedAt = outage.end - Duration(200);
    readers[1].readingSince = Start - Duration::seconds(60);
    cr_assert(follower.isOutageDisputed(outage, readers[0].id, readers));
    // The one that was cut off does not dispute its own outage.
    cr_assert_not(follower.isOutageDisputed(outage, readers[1].id, readers));
}

// Guards against upstreams that are alive and are dropped after an outage of the store, because a reader is taken for one that saw none.
Test(storereaderelection, outageOfTheStoreIsNotDisputed)
{
    StoreReaderLimits limits;
    limits.maxLossDetectionTime = Duration(3600);
    const StoreReaderElection follower(limits, NodeId("z"), 0.1);
    const StoreOutage outage { Start, Start + Duration(5500) };
    const NodeId reporter("a0");
    const auto isDisputedBy = [&](bool isReading, Time readingSince, Time lastReceivedAt, Duration length) {
        auto readers = peers(2, 0.5, 50, true);
        readers[1].isReading = isReading;
        readers[1].readingSince = readingSince;
        readers[1].lastReceivedAt = lastReceivedAt;
        return follower.isOutageDisputed(StoreOutage { outage.begin, outage.begin + length }, reporter, readers);
    };
    const Time before = Start - Duration::seconds(60);
    cr_assert(isDisputedBy(true, before, outage.end, Duration(5500)));
    cr_assert_not(isDisputedBy(false, before, outage.end, Duration(5500)), "the other one is still cut off");
    cr_assert_not(isDisputedBy(true, outage.end - Duration(100), outage.end, Duration(5500)), "it has just regained the store");
    cr_assert_not(isDisputedBy(true, before, outage.begin + Duration(3000), Duration(5500)), "it ended before it noticed the outage");
    cr_assert_not(isDisputedBy(true, before, outage.begin + Duration(1000), Duration(1000)), "it may not have noticed a short outage");
    cr_assert_not(isDisputedBy(true, Time::never(), outage.end, Duration(5500)), "it does not tell for how long it has read the store");
}
