#include "tests/coordination/configworld.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Duration Settled = Duration::seconds(10);

} // namespace

Test(configsync, aChangeIsInForceOnAllNodesWithinSecondsAndFewWatch)
{
    ConfigWorld world(40);
    world.run(Settled);
    cr_assert(world.allAt(ConfigVersion(1)));
    const auto watchers = std::count_if(world.nodes.begin(), world.nodes.end(), [](const auto &node) { return node->sync->isWatcher(); });
    cr_assert_eq(watchers, 8);
    const ConfigVersion version = world.publish();
    world.run(Duration::seconds(5));
    cr_assert(world.allAt(version));
}

// The service's replica went back to a copy of last week, and nodes restart behind it. If a node believed it, an adapter that an operator
// withdrew would serve callers again.
Test(configsync, aRestartedNodeDoesNotTakeTheOldVersionOfAStaleService)
{
    ConfigWorld world(6);
    world.run(Settled);
    const ConfigHead old = world.head;
    const ConfigVersion accepted = world.publish();
    world.run(Settled);
    world.headFor = [old](const auto &) { return old; };
    world.peerTime = Duration(40); // The service is the first to answer.
    for (int i = 0; i < 3; ++i) {
        world.nodes[static_cast<std::size_t>(i)]->inForceAt.clear();
        world.restart(*world.nodes[static_cast<std::size_t>(i)]);
    }
    world.run(Duration::seconds(90)); // Long enough for the watches of the others to end with the old head.
    cr_assert(world.allAt(accepted));
    for (const auto &node : world.nodes) {
        cr_assert_not(node->inForceAt.contains(ConfigVersion(1)) && node->inForceAt.size() == 1);
    }
    cr_assert(world.nodes.front()->inForceAt.begin()->first == accepted);
    cr_assert(world.nodes.back()->sync->catalog()->contains({ AdapterId("a2"), AdapterVersion("1") }));
}

// Every node but one loses its way to the service. Callers should not notice: the change still reaches all.
Test(configsync, aChangeSpreadsFromTheOneNodeThatReachesTheService)
{
    ConfigWorld world(40);
    world.run(Settled);
    const auto watcher = std::find_if(world.nodes.begin(), world.nodes.end(), [](const auto &node) { return !node->sync->isWatcher(); });
    const NodeId lucky = (*watcher)->id;
    world.headFor = [&, lucky](const auto &node) -> Result<ConfigHead> {
        return node.id == lucky ? Result<ConfigHead>(world.head) : Error { ErrorKind::UpstreamUnreachable, {} };
    };
    world.valueFor = [&, lucky](const auto &node, const std::string &hash) -> Result<ConfigValue> {
        return node.id == lucky ? world.stored(hash) : Error { ErrorKind::UpstreamUnreachable, {} };
    };
    const ConfigVersion first = world.publish();
    world.run(Duration::seconds(15));
    cr_assert(world.allAt(first));
    // By now the lucky node watches in the others' place.
    const ConfigVersion second = world.publish();
    world.run(Duration::seconds(5));
    cr_assert(world.allAt(second));
}

// Nobody answers a starting node: its peers are unreachable. It must not wait for ever, since a whole fleet may start like this.
Test(configsync, aNodeThatNoPeerAnswersStartsAfterABoundedWait)
{
    ConfigWorld world(3);
    world.reaches = [](const auto &, const auto &) { return false; };
    world.run(Duration::seconds(2));
    cr_assert(world.allAt(ConfigVersion()));
    world.run(Duration::seconds(6));
    cr_assert(world.allAt(ConfigVersion(1)));
}

// Two operators publish at once, both from version 1. Half of the fleet would resolve selectors by one and half by the other.
Test(configsync, aSecondHeadOfTheSameVersionIsRefusedAndReported)
{
    ConfigWorld world(4);
    world.run(Settled);
    const ConfigHead before = world.head;
    const ConfigVersion version = world.publish("mine");
    world.run(Settled);
    world.head = before;
    world.publish("other");
    world.run(Duration::seconds(60));
    for (const auto &node : world.nodes) {
        cr_assert(node->sync->catalog()->contains({ AdapterId("a2mine"), AdapterVersion("1") }));
        cr_assert_not(node->sync->catalog()->contains({ AdapterId("a2other"), AdapterVersion("1") }));
    }
    cr_assert(world.nodes[0]->hasTrouble(ConfigProblem::Conflict));
    // The next version comes from the other side: all take it, whole, and say that the histories parted.
    const ConfigVersion next = world.publish();
    world.run(Settled);
    cr_assert(world.allAt(next));
    cr_assert(world.nodes[0]->sync->catalog()->contains({ AdapterId("a2other"), AdapterVersion("1") }));
    cr_assert_not(world.nodes[0]->sync->catalog()->contains({ AdapterId("a2mine"), AdapterVersion("1") }));
    cr_assert(world.nodes[0]->hasTrouble(ConfigProblem::Forked));
    cr_assert(version < next);
}

// A replica hands out cut pages. A node that took one would not know half of its adapters.
Test(configsync, aCorruptedValueIsFetchedFromAnotherSource)
{
    ConfigWorld world(3);
    world.run(Settled);
    world.valueFor = [](const auto &, const std::string &) { return Error { ErrorKind::StaleConfig, "other content" }; };
    world.restart(*world.nodes[0]);
    world.headFor = [&](const auto &) { return world.head; };
    world.run(Duration::seconds(20));
    cr_assert(world.allAt(ConfigVersion(1)));
    const ConfigVersion version = world.publish();
    world.run(Duration::seconds(5));
    cr_assert(world.allAt(ConfigVersion(1)));
    const auto isReported = [](const auto &node) { return node->hasTrouble(ConfigProblem::Corrupted); };
    cr_assert(std::any_of(world.nodes.begin(), world.nodes.end(), isReported));
    world.valueFor = [&](const auto &, const std::string &hash) { return world.stored(hash); };
    world.run(Duration::seconds(30));
    cr_assert(world.allAt(version));
}

// Both watchers of a zone die. Nobody would tell that zone of changes until the membership names new ones.
Test(configsync, aWatcherThatDiesIsReplaced)
{
    ConfigWorld world(12, 1);
    world.run(Settled);
    for (const auto &node : world.nodes) {
        if (node->sync->isWatcher()) {
            world.kill(*node);
        }
    }
    world.run(Settled);
    const auto watchers =
        std::count_if(world.nodes.begin(), world.nodes.end(), [](const auto &node) { return node->isAlive && node->sync->isWatcher(); });
    cr_assert_eq(watchers, 2);
    const ConfigVersion version = world.publish();
    world.run(Duration::seconds(5));
    cr_assert(world.allAt(version));
}

// Guards against nodes that stay deaf after a silent service has returned, until calls that they began before it run out.
Test(configsync, aChangeIsInForceInTimeAfterTheServiceWasSilent)
{
    for (int silence = 1; silence <= 40; silence += 3) {
        ConfigWorld world(8, 4);
        world.run(Settled);
        world.fallSilent();
        world.run(Duration::seconds(silence));
        world.answerAgain();
        const ConfigVersion version = world.publish();
        world.run(Duration::seconds(5));
        cr_assert(world.allAt(version), "after %d s of silence", silence);
    }
}

// The service lost a change in the middle of the chain. Nodes that have it go on; one that starts gets as far as the base, says so, and
// comes up with the rest at the next base.
Test(configsync, aGapInTheChangesFallsBackToTheBase)
{
    ConfigWorld world(1);
    world.publish();
    world.publish();
    world.values.erase("delta2");
    world.run(Duration::seconds(120));
    cr_assert(world.nodes[0]->hasTrouble(ConfigProblem::Gap));
    cr_assert(world.allAt(ConfigVersion(1)));
    world.publishBase(ConfigVersion(4));
    world.published(ConfigVersion(4));
    world.run(Duration::seconds(30));
    cr_assert(world.allAt(ConfigVersion(4)));
}

// A node was away for longer than the changes since the newest base: it takes the base and goes on from there.
Test(configsync, aNodeFarBehindStartsFromTheNewerBase)
{
    ConfigWorld world(2);
    world.run(Settled);
    world.publishBase(ConfigVersion(50));
    const ConfigVersion version = world.publish();
    world.run(Settled);
    cr_assert(world.allAt(version));
}

// An operator publishes a change that breaks a reference. Taking half of it would serve requests on what no one published.
Test(configsync, anInvalidVersionIsRefusedWholeAndTheLastGoodOneStays)
{
    ConfigWorld world(5);
    world.run(Settled);
    const auto calls = world.serviceCalls();
    world.publish(
        "bad", { { { AdapterId("good"), AdapterVersion("1") }, {} }, { { AdapterId("no words here"), AdapterVersion("1") }, {} } });
    world.run(Duration::seconds(20));
    cr_assert(world.allAt(ConfigVersion(1)));
    cr_assert(world.nodes[0]->hasTrouble(ConfigProblem::Refused));
    cr_assert_not(world.nodes[0]->sync->catalog()->contains({ AdapterId("good"), AdapterVersion("1") }));
    // A refused head is not fetched over and over: five nodes make a few calls a second at most.
    cr_assert_lt(world.serviceCalls() - calls, 200);
    // The next version mends it: its base holds no trace of the bad one.
    world.publishBase(ConfigVersion(3));
    world.published(ConfigVersion(3));
    world.run(Settled);
    cr_assert(world.allAt(ConfigVersion(3)));
}
