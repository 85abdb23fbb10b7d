#include "coordination/storereaderelection.h"

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

// A hundred nodes each wait at the store, and every change wakes them all. Operators see the store's rate used up and pay for each call.
Test(storeturns, aFewReadAndTheOthersFollow)
{
    StoreReaderElection small(StoreReaderLimits {}, NodeId("z"), 0.1);
    const auto others = peers(30, 0.1, 50, true);
    cr_assert(small.decide(false, true, 40, others, Start).readsItself);
    const StoreReaderDecision decision = small.decide(true, true, 40, others, Start);
    cr_assert(!decision.readsItself && !decision.fetchFrom.isEmpty());
    cr_assert(small.decide(true, true, 50, others, Start).fetchFrom.isEmpty());
    // The largest nodes read.
    StoreReaderElection large(StoreReaderLimits {}, NodeId("z"), 0.5);
    cr_assert(large.decide(true, true, 40, others, Start).readsItself);
}

// The readers are killed, or the store turns them away. A follower that waited for them would send to upstreams that have left, and keep a
// configuration that is no longer in force.
Test(storeturns, withoutAReaderThatIsAnsweredEachReads)
{
    StoreReaderElection election(StoreReaderLimits {}, NodeId("z"), 0.1);
    cr_assert(election.decide(true, true, 40, peers(30, 0.1, 50, false), Start).readsItself);
    cr_assert(election.decide(true, true, 40, {}, Start).readsItself);
    auto leaving = peers(2, 0.1, 50, false);
    leaving[0].isLeaving = true;
    cr_assert(election.decide(true, true, 40, leaving, Start).readsItself);
}

// A reader lives but does not hand over what it read. The follower does not ask it again and again: it reads for a while, then tries.
Test(storeturns, aFailedFetchMakesANodeReadForAWhile)
{
    StoreReaderElection election(StoreReaderLimits {}, NodeId("z"), 0.1);
    const auto others = peers(5, 0.1, 50, true);
    election.onFetchFailed(Start);
    cr_assert(election.decide(true, true, 40, others, Start + Duration(2900)).readsItself);
    cr_assert_not(election.decide(true, true, 40, others, Start + Duration(3000)).readsItself);
}

// The store was away and this node's own call has not been answered since. Only when it is answered itself does the node know that missing
// entries may come back; one that followed others at once would drop upstreams that live.
Test(storeturns, aNodeThatLostTheStoreGoesOnUntilItAnswers)
{
    StoreReaderElection election(StoreReaderLimits {}, NodeId("z"), 0.1);
    cr_assert(election.decide(true, false, 40, peers(5, 0.1, 50, true), Start).readsItself);
}
