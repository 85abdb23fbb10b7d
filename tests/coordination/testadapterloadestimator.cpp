#include "tests/coordination/weightstoresimulation.h"

#include <cmath>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

// Deployments that differ in everything that no page tells.
const StoreParameters SmallStore { 4, Duration(250), 24, 6, 4, 2 };
const StoreParameters WideStore { 24, Duration(250), 108, 12, 18, 4 };
const StoreParameters FastStore { 10, Duration(80), 60, 10, 10, 4 };
const StoreParameters SlowStore { 30, Duration(1200), 90, 16, 12, 5 };

} // namespace

// A whole fleet starts with nothing loaded and two hundred callers a second ask for thousands of adapters. The store could bear three times
// as many fetches as the nodes dare to order, so callers wait in line for a store that is idle and get their answers late.
Test(adapterloadestimator, aWideStoreIsUsedWhole)
{
    WeightStoreSimulation simulation(WideStore);
    simulation.runLoad(Duration::seconds(4), 200, 3000, 1.2);
    const Time warm = simulation.now();
    simulation.runLoad(Duration::seconds(6), 200, 3000, 1.2);
    cr_assert_geq(simulation.maxFetchesInFlight(), 20);
    cr_assert_leq(simulation.waitPercentile(0.9, warm), 450, "nine of ten begin within %lld ms",
        static_cast<long long>(simulation.waitPercentile(0.9, warm)));
    cr_assert_eq(simulation.crashes(), 0);
}

// A store that bears few fetches gets hundreds of wants at once. Were all ordered together, each would take as long as all of them.
Test(adapterloadestimator, aNarrowStoreIsNotCrowded)
{
    WeightStoreSimulation simulation(SmallStore);
    for (int round = 0; round < 6; ++round) {
        simulation.runLoad(Duration::seconds(5), 60, 2000, 0.8);
        if (round > 0) {
            cr_assert_leq(simulation.loads().maxConcurrentFetches(), 2 * SmallStore.fullSpeedFetches);
        }
    }
}

// Stores differ in how long a fetch takes. A node that asks too early spends orders and its engine's time, one that asks too late leaves
// callers waiting for an adapter that stands there.
Test(adapterloadestimator, theTimeOfAFetchIsFound)
{
    for (const StoreParameters &parameters : { SmallStore, WideStore, FastStore, SlowStore }) {
        WeightStoreSimulation simulation(parameters);
        simulation.runLoad(Duration::seconds(15), 20, 2000, 1.0);
        const auto fetch = static_cast<double>(parameters.fetch.milliseconds());
        const auto seen = static_cast<double>(simulation.loads().minFetchTime().milliseconds());
        cr_assert_geq(seen, fetch * 0.95);
        cr_assert_leq(seen, fetch * 1.3, "a fetch of %.0f ms is taken for one of %.0f", fetch, seen);
    }
}

// Engines keep many adapters at hand that they had to drop. If the nodes think of fewer, adapters are fetched from the store again that an
// engine could have had in a tenth of the time.
Test(adapterloadestimator, whatIsAtHandIsLoadedFromThere)
{
    WeightStoreSimulation simulation(WideStore);
    simulation.runLoad(Duration::seconds(20), 200, 1000, 1.0);
    const int fetches = simulation.fetches();
    const int cached = simulation.cachedLoads();
    simulation.runLoad(Duration::seconds(10), 200, 1000, 1.0);
    const double share =
        static_cast<double>(simulation.cachedLoads() - cached) / (simulation.cachedLoads() - cached + simulation.fetches() - fetches);
    cr_assert_geq(share, 0.7, "%.2f of the loads were at hand", share);
}

// Engines that keep nothing at hand: a node that believes otherwise sends loads where they are not quick, and asks too early each time.
Test(adapterloadestimator, nothingAtHandIsLearnt)
{
    StoreParameters parameters = SmallStore;
    parameters.cached = 0;
    WeightStoreSimulation simulation(parameters);
    simulation.runLoad(Duration::seconds(20), 40, 200, 1.0);
    // The engine dropped a3 and others long ago; whichever it is asked about is not thought to be at hand.
    int believed = 0;
    for (int engine = 0; engine < parameters.engines; ++engine) {
        for (int adapter = 0; adapter < 200; ++adapter) {
            const AdapterRef ref { BaseModelId("m"), AdapterId("a" + std::to_string(adapter)) };
            believed += simulation.loads().cacheHitProbability(UpstreamId("e" + std::to_string(engine)), ref) > 0.5 ? 1 : 0;
        }
    }
    cr_assert_leq(believed, 60);
}

// All nodes are restarted while the engines go on. The first loads that the new nodes see are of adapters at hand, ten times as fast as a
// fetch; taken for fetches, they would make each real one look slowed down, and the nodes would order two at once from then on.
Test(adapterloadestimator, restartedNodesAreNotMisledByLoadsAtHand)
{
    WeightStoreSimulation simulation(WideStore);
    simulation.runLoad(Duration::seconds(15), 150, 600, 1.0);
    simulation.restartNodes();
    simulation.runLoad(Duration::seconds(3), 150, 600, 1.0);
    const Time settled = simulation.now();
    simulation.runLoad(Duration::seconds(8), 150, 3000, 1.0);
    cr_assert_geq(simulation.loads().maxConcurrentFetches(), WideStore.fullSpeedFetches / 2);
    cr_assert_leq(simulation.waitPercentile(0.9, settled), 600);
}

// All nodes are restarted while the engines go on with a thousand adapters at hand. No new node knows which engine has which; if each
// adapter were sent to any engine, nearly all would be fetched from the store again, and callers would wait in line for it for ten seconds.
Test(adapterloadestimator, restartedNodesFindWhatIsAtHand)
{
    WeightStoreSimulation simulation(WideStore);
    simulation.runLoad(Duration::seconds(25), 200, 800, 0.9);
    simulation.restartNodes();
    simulation.runLoad(Duration::seconds(1), 10, 800, 0.9);
    const int fetches = simulation.fetches();
    const int cached = simulation.cachedLoads();
    simulation.runLoad(Duration::seconds(5), 200, 800, 0.9);
    const double share =
        static_cast<double>(simulation.cachedLoads() - cached) / (simulation.cachedLoads() - cached + simulation.fetches() - fetches);
    cr_assert_geq(share, 0.5, "%.2f of the loads were at hand", share);
}

// The same again and again, on nodes that are slow to see that a load is done: none may go on with the time of a load at hand for a
// fetch's.
Test(adapterloadestimator, noRestartLeavesAWrongTimeBehind)
{
    StoreParameters parameters = WideStore;
    parameters.observationDelay = Duration(35);
    WeightStoreSimulation simulation(parameters);
    simulation.runLoad(Duration::seconds(15), 150, 600, 1.0);
    for (int restart = 0; restart < 5; ++restart) {
        simulation.restartNodes();
        simulation.runLoad(Duration::seconds(2), 150, 600, 1.0);
        const Time settled = simulation.now();
        simulation.runLoad(Duration::seconds(4), 150, 3000, 1.0);
        for (std::size_t node = 0; node < static_cast<std::size_t>(parameters.plans); ++node) {
            const auto shortest = static_cast<long long>(simulation.loads(node).minFetchTime().milliseconds());
            cr_assert_geq(shortest, 200, "node %zu takes %lld ms for a fetch", node, shortest);
        }
        cr_assert_leq(simulation.waitPercentile(0.9, settled), 600);
    }
}

// Nodes are restarted in turn while the others fetch as much as the store bears. A new one that knows nothing of the store finds more under
// way than it would dare to order, and its engines get nothing for as long as the others are busy.
Test(adapterloadestimator, aNodeThatJoinsABusyFleetOrdersAtOnce)
{
    WeightStoreSimulation simulation(WideStore);
    simulation.runLoad(Duration::seconds(6), 250, 3000, 0.8);
    const int before = simulation.loads(1).maxConcurrentFetches();
    simulation.replaceNode(1);
    simulation.runLoad(Duration(100), 250, 3000, 0.8);
    cr_assert_geq(simulation.loads(1).maxConcurrentFetches() * 2, before);
}
