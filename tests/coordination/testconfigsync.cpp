#include "tests/coordination/configtestcluster.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Duration StartupTime = Duration::seconds(10);

} // namespace

Test(configsync, changeBecomesActiveOnAllNodesWithinSecondsWithFewWatchers)
{
    ConfigTestCluster cluster(40);
    cluster.run(StartupTime);
    cr_assert(cluster.allAt(ConfigVersion(1)));
    const auto watchers =
        std::count_if(cluster.nodes.begin(), cluster.nodes.end(), [](const auto &node) { return node->sync->isWatcher(); });
    cr_assert_eq(watchers, 8);
    const ConfigVersion version = cluster.publish();
    cluster.run(Duration::seconds(5));
    cr_assert(cluster.allAt(version));
}

// A replica of the service reverts to an old copy while nodes restart. If a node accepted the old version, an adapter that an operator
// withdrew would serve callers again.
Test(configsync, restartedNodeRejectsOldVersionOfStaleService)
{
    ConfigTestCluster cluster(6);
    cluster.run(StartupTime);
    const ConfigHead old = cluster.head;
    const ConfigVersion accepted = cluster.publish();
    cluster.run(StartupTime);
    cluster.headFor = [old](const auto &) { return old; };
    cluster.peerTime = Duration(40); // The service responds before the peers do.
    for (int i = 0; i < 3; ++i) {
        cluster.nodes[static_cast<std::size_t>(i)]->activeAt.clear();
        cluster.restart(*cluster.nodes[static_cast<std::size_t>(i)]);
    }
    cluster.run(Duration::seconds(90)); // Long enough for the watches of the other nodes to end with the old head.
    cr_assert(cluster.allAt(accepted));
    for (const auto &node : cluster.nodes) {
        cr_assert_not(node->activeAt.contains(ConfigVersion(1)) && node->activeAt.size() == 1);
    }
    cr_assert(cluster.nodes.front()->activeAt.begin()->first == accepted);
    cr_assert(cluster.nodes.back()->sync->catalog()->contains({ AdapterId("a2"), AdapterVersion("1") }));
}

// All nodes but one lose their connection to the service. A change must still reach all nodes.
Test(configsync, changeSpreadsFromTheOnlyNodeThatReachesTheService)
{
    ConfigTestCluster cluster(40);
    cluster.run(StartupTime);
    const auto watcher =
        std::find_if(cluster.nodes.begin(), cluster.nodes.end(), [](const auto &node) { return !node->sync->isWatcher(); });
    const NodeId reachable = (*watcher)->id;
    cluster.headFor = [&, reachable](const auto &node) -> Result<ConfigHead> {
        return node.id == reachable ? Result<ConfigHead>(cluster.head) : Error { ErrorKind::UpstreamUnreachable, {} };
    };
    cluster.valueFor = [&, reachable](const auto &node, const std::string &hash) -> Result<ConfigValue> {
        return node.id == reachable ? cluster.stored(hash) : Error { ErrorKind::UpstreamUnreachable, {} };
    };
    const ConfigVersion first = cluster.publish();
    cluster.run(Duration::seconds(15));
    cr_assert(cluster.allAt(first));
    // By now the reachable node watches in place of the others.
    const ConfigVersion second = cluster.publish();
    cluster.run(Duration::seconds(5));
    cr_assert(cluster.allAt(second));
}

// No peer responds to a starting node. It must not wait for ever, since a whole fleet may start like this.
Test(configsync, nodeWithoutPeerResponsesStartsAfterABoundedWait)
{
    ConfigTestCluster cluster(3);
    cluster.reaches = [](const auto &, const auto &) { return false; };
    cluster.run(Duration::seconds(2));
    cr_assert(cluster.allAt(ConfigVersion()));
    cluster.run(Duration::seconds(6));
    cr_assert(cluster.allAt(ConfigVersion(1)));
}

// Two operators publish at the same time, both based on version 1. If both heads were accepted, half of the fleet would resolve selectors
// by one and half by the other.
Test(configsync, secondHeadOfTheSameVersionIsRefusedAndReported)
{
    ConfigTestCluster cluster(4);
    cluster.run(StartupTime);
    const ConfigHead before = cluster.head;
    const ConfigVersion version = cluster.publish("mine");
    cluster.run(StartupTime);
    cluster.head = before;
    cluster.publish("other");
    cluster.run(Duration::seconds(60));
    for (const auto &node : cluster.nodes) {
        cr_assert(node->sync->catalog()->contains({ AdapterId("a2mine"), AdapterVersion("1") }));
        cr_assert_not(node->sync->catalog()->contains({ AdapterId("a2other"), AdapterVersion("1") }));
    }
    cr_assert(cluster.nodes[0]->hasTrouble(ConfigProblem::Conflict));
    // The next version descends from the other head: all nodes take it whole and report the fork.
    const ConfigVersion next = cluster.publish();
    cluster.run(StartupTime);
    cr_assert(cluster.allAt(next));
    cr_assert(cluster.nodes[0]->sync->catalog()->contains({ AdapterId("a2other"), AdapterVersion("1") }));
    cr_assert_not(cluster.nodes[0]->sync->catalog()->contains({ AdapterId("a2mine"), AdapterVersion("1") }));
    cr_assert(cluster.nodes[0]->hasTrouble(ConfigProblem::Forked));
    cr_assert(version < next);
}

// A replica returns truncated pages. A node that accepted one would lack half of its adapters.
Test(configsync, corruptedValueIsFetchedFromAnotherSource)
{
    ConfigTestCluster cluster(3);
    cluster.run(StartupTime);
    cluster.valueFor = [](const auto &, const std::string &) { return Error { ErrorKind::StaleConfig, "other content" }; };
    cluster.restart(*cluster.nodes[0]);
    cluster.headFor = [&](const auto &) { return cluster.head; };
    cluster.run(Duration::seconds(20));
    cr_assert(cluster.allAt(ConfigVersion(1)));
    const ConfigVersion version = cluster.publish();
    cluster.run(Duration::seconds(5));
    cr_assert(cluster.allAt(ConfigVersion(1)));
    const auto isReported = [](const auto &node) { return node->hasTrouble(ConfigProblem::Corrupted); };
    cr_assert(std::any_of(cluster.nodes.begin(), cluster.nodes.end(), isReported));
    cluster.valueFor = [&](const auto &, const std::string &hash) { return cluster.stored(hash); };
    cluster.run(Duration::seconds(30));
    cr_assert(cluster.allAt(version));
}

// Both watchers of a zone die. Without new ones that zone would not learn of changes.
Test(configsync, deadWatcherIsReplaced)
{
    ConfigTestCluster cluster(12, 1);
    cluster.run(StartupTime);
    for (const auto &node : cluster.nodes) {
        if (node->sync->isWatcher()) {
            cluster.kill(*node);
        }
    }
    cluster.run(StartupTime);
    const auto watchers = std::count_if(
        cluster.nodes.begin(), cluster.nodes.end(), [](const auto &node) { return node->isAlive && node->sync->isWatcher(); });
    cr_assert_eq(watchers, 2);
    const ConfigVersion version = cluster.publish();
    cluster.run(Duration::seconds(5));
    cr_assert(cluster.allAt(version));
}

// Guards against nodes that miss changes after an unresponsive service has recovered, until the calls that they started before it time out.
Test(configsync, changeBecomesActiveInTimeAfterServiceOutage)
{
    for (int silence = 1; silence <= 40; silence += 3) {
        ConfigTestCluster cluster(8, 4);
        cluster.run(StartupTime);
        cluster.stopResponding();
        cluster.run(Duration::seconds(silence));
        cluster.resumeResponding();
        const ConfigVersion version = cluster.publish();
        cluster.run(Duration::seconds(5));
        cr_assert(cluster.allAt(version), "after %d s of silence", silence);
    }
}

// The service lost a change in the middle of the chain. Nodes that have it go on; a starting one must get as far as the base, report the
// gap, and take the rest with the next base.
Test(configsync, gapInTheChangesFallsBackToTheBase)
{
    ConfigTestCluster cluster(1);
    cluster.publish();
    cluster.publish();
    cluster.values.erase("delta2");
    cluster.run(Duration::seconds(120));
    cr_assert(cluster.nodes[0]->hasTrouble(ConfigProblem::Gap));
    cr_assert(cluster.allAt(ConfigVersion(1)));
    cluster.publishBase(ConfigVersion(4));
    cluster.published(ConfigVersion(4));
    cluster.run(Duration::seconds(30));
    cr_assert(cluster.allAt(ConfigVersion(4)));
}

// A node is further behind than the changes since the newest base. It must take the base and go on from there.
Test(configsync, nodeFarBehindStartsFromTheNewerBase)
{
    ConfigTestCluster cluster(2);
    cluster.run(StartupTime);
    cluster.publishBase(ConfigVersion(50));
    const ConfigVersion version = cluster.publish();
    cluster.run(StartupTime);
    cr_assert(cluster.allAt(version));
}

// An operator publishes an invalid change. If half of it were applied, requests would be served by an unpublished configuration.
Test(configsync, invalidVersionIsRefusedAsAWholeAndThePreviousOneStays)
{
    ConfigTestCluster cluster(5);
    cluster.run(StartupTime);
    const auto calls = cluster.serviceCalls();
    cluster.publish(
        "bad", { { { AdapterId("good"), AdapterVersion("1") }, {} }, { { AdapterId("no words here"), AdapterVersion("1") }, {} } });
    cluster.run(Duration::seconds(20));
    cr_assert(cluster.allAt(ConfigVersion(1)));
    cr_assert(cluster.nodes[0]->hasTrouble(ConfigProblem::Refused));
    cr_assert_not(cluster.nodes[0]->sync->catalog()->contains({ AdapterId("good"), AdapterVersion("1") }));
    // A refused head is not fetched repeatedly: five nodes make a few calls a second at most.
    cr_assert_lt(cluster.serviceCalls() - calls, 200);
    // The next version is valid: its base contains nothing of the refused one.
    cluster.publishBase(ConfigVersion(3));
    cluster.published(ConfigVersion(3));
    cluster.run(StartupTime);
    cr_assert(cluster.allAt(ConfigVersion(3)));
}
