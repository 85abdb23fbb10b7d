#include "tests/coordination/weightstoresimulation.h"

#include <cmath>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

// Deployments that differ in everything that no page tells.
const StoreFigures SmallStore { 4, Duration(250), 24, 6, 4, 2 };
const StoreFigures WideStore { 24, Duration(250), 108, 12, 18, 4 };
const StoreFigures FastStore { 10, Duration(80), 60, 10, 10, 4 };
const StoreFigures SlowStore { 30, Duration(1200), 90, 16, 12, 5 };

} // namespace

// A whole fleet starts with nothing loaded and two hundred callers a second ask for thousands of adapters. The store could bear three times
// as many fetches as the nodes dare to order, so callers wait in line for a store that is idle and get their answers late.
Test(adapterloads, aWideStoreIsUsedWhole)
{
    WeightStoreBench bench(WideStore);
    bench.runLoad(Duration::seconds(4), 200, 3000, 1.2);
    const Time warm = bench.now();
    bench.runLoad(Duration::seconds(6), 200, 3000, 1.2);
    cr_assert_geq(bench.mostFetchesAtOnce(), 20);
    cr_assert_leq(bench.waitAt(0.9, warm), 450, "nine of ten begin within %lld ms", static_cast<long long>(bench.waitAt(0.9, warm)));
    cr_assert_eq(bench.crashes(), 0);
}

// A store that bears few fetches gets hundreds of wants at once. Were all ordered together, each would take as long as all of them.
Test(adapterloads, aNarrowStoreIsNotCrowded)
{
    WeightStoreBench bench(SmallStore);
    for (int round = 0; round < 6; ++round) {
        bench.runLoad(Duration::seconds(5), 60, 2000, 0.8);
        if (round > 0) {
            cr_assert_leq(bench.loads().maxConcurrentFetches(), 2 * SmallStore.bearsAtOnce);
        }
    }
}

// Stores differ in how long a fetch takes. A node that asks too early spends orders and its engine's time, one that asks too late leaves
// callers waiting for an adapter that stands there.
Test(adapterloads, theTimeOfAFetchIsFound)
{
    for (const StoreFigures &figures : { SmallStore, WideStore, FastStore, SlowStore }) {
        WeightStoreBench bench(figures);
        bench.runLoad(Duration::seconds(15), 20, 2000, 1.0);
        const auto fetch = static_cast<double>(figures.fetch.milliseconds());
        const auto seen = static_cast<double>(bench.loads().minFetchTime().milliseconds());
        cr_assert_geq(seen, fetch * 0.95);
        cr_assert_leq(seen, fetch * 1.3, "a fetch of %.0f ms is taken for one of %.0f", fetch, seen);
    }
}

// Engines keep many adapters at hand that they had to drop. If the nodes think of fewer, adapters are fetched from the store again that an
// engine could have had in a tenth of the time.
Test(adapterloads, whatIsAtHandIsLoadedFromThere)
{
    WeightStoreBench bench(WideStore);
    bench.runLoad(Duration::seconds(20), 200, 1000, 1.0);
    const int fetches = bench.fetches();
    const int cached = bench.cachedLoads();
    bench.runLoad(Duration::seconds(10), 200, 1000, 1.0);
    const double share = static_cast<double>(bench.cachedLoads() - cached) / (bench.cachedLoads() - cached + bench.fetches() - fetches);
    cr_assert_geq(share, 0.7, "%.2f of the loads were at hand", share);
}

// Engines that keep nothing at hand: a node that believes otherwise sends loads where they are not quick, and asks too early each time.
Test(adapterloads, nothingAtHandIsLearnt)
{
    StoreFigures figures = SmallStore;
    figures.cached = 0;
    WeightStoreBench bench(figures);
    bench.runLoad(Duration::seconds(20), 40, 200, 1.0);
    // The engine dropped a3 and others long ago; whichever it is asked about is not thought to be at hand.
    int believed = 0;
    for (int engine = 0; engine < figures.engines; ++engine) {
        for (int adapter = 0; adapter < 200; ++adapter) {
            const AdapterRef ref { BaseModelId("m"), AdapterId("a" + std::to_string(adapter)) };
            believed += bench.loads().cacheHitProbability(UpstreamId("e" + std::to_string(engine)), ref) > 0.5 ? 1 : 0;
        }
    }
    cr_assert_leq(believed, 60);
}

// All nodes are restarted while the engines go on. The first loads that the new nodes see are of adapters at hand, ten times as fast as a
// fetch; taken for fetches, they would make each real one look slowed down, and the nodes would order two at once from then on.
Test(adapterloads, restartedNodesAreNotMisledByLoadsAtHand)
{
    WeightStoreBench bench(WideStore);
    bench.runLoad(Duration::seconds(15), 150, 600, 1.0);
    bench.restartNodes();
    bench.runLoad(Duration::seconds(3), 150, 600, 1.0);
    const Time settled = bench.now();
    bench.runLoad(Duration::seconds(8), 150, 3000, 1.0);
    cr_assert_geq(bench.loads().maxConcurrentFetches(), WideStore.bearsAtOnce / 2);
    cr_assert_leq(bench.waitAt(0.9, settled), 600);
}

// All nodes are restarted while the engines go on with a thousand adapters at hand. No new node knows which engine has which; if each
// adapter were sent to any engine, nearly all would be fetched from the store again, and callers would wait in line for it for ten seconds.
Test(adapterloads, restartedNodesFindWhatIsAtHand)
{
    WeightStoreBench bench(WideStore);
    bench.runLoad(Duration::seconds(25), 200, 800, 0.9);
    bench.restartNodes();
    bench.runLoad(Duration::seconds(1), 10, 800, 0.9);
    const int fetches = bench.fetches();
    const int cached = bench.cachedLoads();
    bench.runLoad(Duration::seconds(5), 200, 800, 0.9);
    const double share = static_cast<double>(bench.cachedLoads() - cached) / (bench.cachedLoads() - cached + bench.fetches() - fetches);
    cr_assert_geq(share, 0.5, "%.2f of the loads were at hand", share);
}

// The same again and again, on nodes that are slow to see that a load is done: none may go on with the time of a load at hand for a
// fetch's.
Test(adapterloads, noRestartLeavesAWrongTimeBehind)
{
    StoreFigures figures = WideStore;
    figures.lateness = Duration(35);
    WeightStoreBench bench(figures);
    bench.runLoad(Duration::seconds(15), 150, 600, 1.0);
    for (int restart = 0; restart < 5; ++restart) {
        bench.restartNodes();
        bench.runLoad(Duration::seconds(2), 150, 600, 1.0);
        const Time settled = bench.now();
        bench.runLoad(Duration::seconds(4), 150, 3000, 1.0);
        for (std::size_t node = 0; node < static_cast<std::size_t>(figures.plans); ++node) {
            const auto shortest = static_cast<long long>(bench.loads(node).minFetchTime().milliseconds());
            cr_assert_geq(shortest, 200, "node %zu takes %lld ms for a fetch", node, shortest);
        }
        cr_assert_leq(bench.waitAt(0.9, settled), 600);
    }
}

// Nodes are restarted in turn while the others fetch as much as the store bears. A new one that knows nothing of the store finds more under
// way than it would dare to order, and its engines get nothing for as long as the others are busy.
Test(adapterloads, aNodeThatJoinsABusyFleetOrdersAtOnce)
{
    WeightStoreBench bench(WideStore);
    bench.runLoad(Duration::seconds(6), 250, 3000, 0.8);
    const int before = bench.loads(1).maxConcurrentFetches();
    bench.replaceNode(1);
    bench.runLoad(Duration(100), 250, 3000, 0.8);
    cr_assert_geq(bench.loads(1).maxConcurrentFetches() * 2, before);
}
