#include "coordination/hotspread.h"
#include "coordination/prefixhints.h"
#include "coordination/replicachoice.h"

#include <algorithm>
#include <array>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

AdapterKey adapter(int number)
{
    return { AdapterId("a" + std::to_string(number)), AdapterVersion("1") };
}

} // namespace

Test(hotspread, aPopularAdapterSpreadsSlowlyAndNarrowsAgain)
{
    // An adapter gets forty requests at once for a while. On one engine its requests would queue; a spread that widened at once would need
    // loads of four copies at the same time.
    HotSpread spread({});
    const AdapterKey hot = adapter(1);
    cr_assert_eq(spread.width(hot, Time(0)), 1);
    for (int i = 0; i < 40; ++i) {
        spread.onArrival(hot, Time(0));
    }
    double last = 1;
    for (int second = 1; second <= 60; ++second) {
        const double width = spread.width(hot, Time(second * 1000));
        cr_assert_leq(width, last * 1.21);
        last = width;
    }
    cr_assert_float_eq(last, 5, 0.1);
    for (int i = 0; i < 40; ++i) {
        spread.onEnd(hot, Time(60'000));
    }
    cr_assert_geq(spread.width(hot, Time(61'000)), 3.9);
    cr_assert_eq(spread.width(hot, Time(200'000)), 1);
}

Test(hotspread, demandThatVariesAroundTheThresholdDoesNotOscillate)
{
    // Demand varies by a third around what one engine takes. If each change loaded and evicted a copy, it would cost two loads from the
    // store.
    HotSpread spread({});
    const AdapterKey hot = adapter(1);
    int inProgress = 0;
    int turns = 0;
    double last = 1;
    bool wasGrowing = true;
    for (int second = 0; second < 600; ++second) {
        const int wanted = (second / 20) % 2 == 0 ? 18 : 12;
        for (; inProgress < wanted; ++inProgress) {
            spread.onArrival(hot, Time(second * 1000));
        }
        for (; inProgress > wanted; --inProgress) {
            spread.onEnd(hot, Time(second * 1000));
        }
        const double width = spread.width(hot, Time(second * 1000 + 500));
        turns += width != last && (width > last) != wasGrowing ? 1 : 0;
        wasGrowing = width == last ? wasGrowing : width > last;
        last = width;
    }
    cr_assert_eq(turns, 0);
}

Test(hotspread, unpopularAdaptersAreRemovedFromTheTable)
{
    SpreadLimits limits;
    limits.capacity = 100;
    HotSpread spread(limits);
    for (int i = 0; i < 1000; ++i) {
        spread.onArrival(adapter(i), Time(i * 1000));
        spread.onEnd(adapter(i), Time(i * 1000 + 100));
    }
    cr_assert_leq(spread.trackedCount(), 100);
}

Test(replicachoice, avoidsLongQueuesAndBalancesLoad)
{
    std::mt19937_64 random(3);
    std::array<ReplicaView, 4> views;
    std::array<int, 4> counts {};
    for (int i = 0; i < 4000; ++i) {
        for (std::size_t k = 0; k < views.size(); ++k) {
            views[k].depth = counts[k];
        }
        ++counts[*chooseReplica(views, 4, random)];
    }
    cr_assert_leq(*std::max_element(counts.begin(), counts.end()) - *std::min_element(counts.begin(), counts.end()), 10);
    cr_assert_eq(*chooseReplica(views, 1, random), 0);
}

Test(replicachoice, skipsEjectedAndTriedCandidatesAndLimitsThoseInSlowStart)
{
    // The preferred engine of an adapter is ejected: its requests go to the next candidate and do not fail.
    std::mt19937_64 random(3);
    std::array<ReplicaView, 3> views;
    views[0].share = 0;
    views[1].isTried = true;
    cr_assert_eq(*chooseReplica(views, 1, random), 2);
    views[0].share = 0.1;
    int home = 0;
    for (int i = 0; i < 2000; ++i) {
        home += *chooseReplica(views, 1, random) == 0 ? 1 : 0;
    }
    cr_assert_geq(home, 140);
    cr_assert_leq(home, 260);
    views[2].share = 0;
    cr_assert_eq(*chooseReplica(views, 1, random), 0);
    views[0].share = 0;
    cr_assert_not(chooseReplica(views, 1, random).has_value());
}

Test(replicachoice, aPrefixHintDecidesOnlyBetweenNearlyEqualQueues)
{
    std::mt19937_64 random(3);
    std::array<ReplicaView, 2> views;
    views[0].depth = 1;
    views[1].depth = 2;
    views[1].hasPrefix = true;
    cr_assert_eq(*chooseReplica(views, 2, random), 1);
    views[1].depth = 8;
    cr_assert_eq(*chooseReplica(views, 2, random), 0);
}

Test(prefixhints, aGapInvalidatesTheHintsOfThatEngine)
{
    // Events of an engine got lost, possibly the removal of a prefix. Requests would be sent to an engine that no longer holds it.
    const UpstreamId one("e1");
    const UpstreamId two("e2");
    PrefixHints hints({});
    hints.handle(PrefixStored { one, 1, 77 }, Time(0));
    hints.handle(PrefixStored { two, 1, 77 }, Time(0));
    cr_assert(hints.holds(one, 77, Time(1)));
    hints.handle(PrefixStored { one, 5, 78 }, Time(2));
    cr_assert_not(hints.holds(one, 77, Time(3)));
    cr_assert(hints.holds(one, 78, Time(3)));
    cr_assert(hints.holds(two, 77, Time(3)));
    cr_assert_not(hints.holds(two, 77, Time(0) + PrefixHintLimits {}.maxAge));
}

Test(prefixhints, lateEventsAddNoHintsAndRestartsClearThem)
{
    const UpstreamId one("e1");
    PrefixHints hints({});
    hints.handle(PrefixStored { one, 1000, 1 }, Time(0));
    hints.handle(PrefixRemoved { one, 1001, 2 }, Time(0));
    hints.handle(PrefixStored { one, 999, 2 }, Time(1));
    cr_assert_not(hints.holds(one, 2, Time(2)));
    hints.handle(PrefixStored { one, 1, 3 }, Time(3));
    cr_assert_not(hints.holds(one, 1, Time(4)));
    cr_assert(hints.holds(one, 3, Time(4)));
    hints.handle(PrefixesLost { one }, Time(5));
    cr_assert_not(hints.holds(one, 3, Time(6)));
}

Test(prefixhints, theNumberOfHintsIsBounded)
{
    PrefixHints hints({ 100, Duration::seconds(120) });
    for (std::uint64_t i = 1; i <= 10'000; ++i) {
        hints.handle(PrefixStored { UpstreamId("e1"), i, i % 300 }, Time(0));
    }
    cr_assert_leq(hints.size(), 100);
}
