#include "coordination/relaychoice.h"
#include "coordination/servicereachability.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const ServiceName Service("svc");
constexpr Duration ProbeTime { 400 };
constexpr Duration Step { 50 };

std::vector<UpstreamId> upstreamIds(int count)
{
    std::vector<UpstreamId> result;
    for (int i = 0; i < count; ++i) {
        result.emplace_back("u" + std::to_string(i));
    }
    return result;
}

/** Replays connection attempts in virtual time: probes of reachable upstreams succeed at once, others fail after ProbeTime. */
struct Replay
{
    explicit Replay(int upstreamCount, unsigned seed = 1)
        : upstreams(upstreamIds(upstreamCount))
        , random(seed)
    {
    }

    void decide()
    {
        const auto decision = reachability.decide(Service, upstreams, now, random);
        changes += decision.isChanged ? 1 : 0;
        for (const UpstreamId &id : decision.probes) {
            ++probes;
            ends.emplace(now + (unreachable.contains(id) ? ProbeTime : Step), id);
        }
        isPending = decision.isPending;
    }
    /** A request cannot connect to @p id. */
    void fail(const UpstreamId &id)
    {
        reachability.onUnreachable(Service, id, now);
        decide();
    }
    void run(Duration span)
    {
        const Time end = now + span;
        while (now < end) {
            now = now + Step;
            while (!ends.empty() && ends.begin()->first <= now) {
                const UpstreamId id = ends.begin()->second;
                ends.erase(ends.begin());
                if (unreachable.contains(id)) {
                    reachability.onUnreachable(Service, id, now);
                } else {
                    reachability.onConnected(Service, id, now);
                }
                decide();
            }
            decide();
        }
    }
    bool isReachable() const
    {
        return reachability.isReachable(Service);
    }

    ServiceReachability reachability { ReachabilityLimits {} };
    std::vector<UpstreamId> upstreams;
    std::set<UpstreamId> unreachable;
    std::mt19937_64 random;
    Time now { 10'000 };
    std::multimap<Time, UpstreamId> ends;
    int probes = 0;
    int changes = 0;
    bool isPending = false;
};

} // namespace

// Guards against a node that takes seconds to find out that it reaches no upstream, while its requests fail one after the other.
Test(servicereachability, cutIsFoundSoonAfterOneFailure)
{
    for (const int count : { 1, 2, 3, 9, 140 }) {
        Replay replay(count);
        replay.unreachable = { replay.upstreams.begin(), replay.upstreams.end() };
        replay.fail(replay.upstreams[0]);
        replay.run(ProbeTime + Step);
        cr_assert_not(replay.isReachable(), "%d upstreams", count);
        replay.run(Duration::seconds(20));
        cr_assert_not(replay.isReachable(), "%d upstreams", count);
        cr_assert_eq(replay.changes, 1, "%d upstreams", count);
        cr_assert_leq(replay.probes, 2 + 4 * 21);
    }
}

// Guards against sending requests through other nodes long after the links are back.
Test(servicereachability, endOfCutIsFoundWithinAnIntervalAndAProbe)
{
    Replay replay(9);
    replay.unreachable = { replay.upstreams.begin(), replay.upstreams.end() };
    replay.fail(replay.upstreams[0]);
    replay.run(Duration::seconds(5));
    replay.unreachable.clear();
    replay.run(ReachabilityLimits {}.probeInterval + Step * 2);
    cr_assert(replay.isReachable());
    replay.run(Duration::seconds(5));
    cr_assert(replay.isReachable());
    cr_assert_not(replay.isPending);
}

// Guards against a node that reaches one of nine upstreams sending all its requests there, and changing its mind with each probe.
Test(servicereachability, oneReachableUpstreamOfManyIsNoReturn)
{
    Replay replay(9);
    replay.unreachable = { replay.upstreams.begin() + 1, replay.upstreams.end() };
    // The first probes may hit the one that is reachable.
    for (int i = 0; i < 20 && replay.isReachable(); ++i) {
        replay.fail(replay.upstreams[1]);
        replay.run(Duration::seconds(1));
    }
    cr_assert_not(replay.isReachable());
    replay.changes = 0;
    replay.run(Duration::seconds(20));
    cr_assert_eq(replay.changes, 0);
    replay.unreachable.clear();
    replay.run(ReachabilityLimits {}.probeInterval * 2 + Step * 2);
    cr_assert(replay.isReachable());
}

// Guards against taking the crash of one upstream, whose requests keep failing, for a cut of the node.
Test(servicereachability, oneFailingUpstreamIsNoCut)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        Replay replay(4, seed);
        replay.unreachable = { replay.upstreams[0] };
        for (int i = 0; i < 50; ++i) {
            replay.fail(replay.upstreams[0]);
            replay.run(Duration(100));
            cr_assert(replay.isReachable(), "seed %u", seed);
        }
        // At most two probes for each pause after a success.
        cr_assert_leq(replay.probes, 2 * 11, "seed %u: %d probes", seed, replay.probes);
    }
}

// Guards against taking upstreams that fall silent for a second, without refusing connections, for a cut of the node.
Test(servicereachability, silentUpstreamsThatAcceptConnectionsAreNoCut)
{
    Replay replay(3);
    for (int i = 0; i < 20; ++i) {
        replay.reachability.suspect(Service, replay.now);
        replay.decide();
        replay.run(Duration(200));
        cr_assert(replay.isReachable());
    }
}

// A service whose upstreams have all left has nothing to probe.
Test(servicereachability, serviceWithoutUpstreamsIsNotUnreachable)
{
    Replay replay(2);
    replay.unreachable = { replay.upstreams.begin(), replay.upstreams.end() };
    replay.fail(replay.upstreams[0]);
    replay.run(Duration::seconds(1));
    cr_assert_not(replay.isReachable());
    replay.upstreams.clear();
    replay.run(Duration::seconds(1));
    cr_assert(replay.isReachable());
    cr_assert_not(replay.isPending);
}

// Guards against many nodes that are cut off together sending all their requests through the same node.
Test(relaychoice, requestsSpreadByLoadAndCapacity)
{
    std::vector<RelayNode> nodes { { NodeId("idle"), "", 0.2, 0 }, { NodeId("busy"), "", 0.2, 30 }, { NodeId("large"), "", 0.4, 0 } };
    std::mt19937_64 random(1);
    std::map<NodeId, int> counts;
    for (int i = 0; i < 900; ++i) {
        ++counts[chooseRelay(nodes, {}, random)->id];
    }
    cr_assert_eq(counts[NodeId("busy")], 0);
    cr_assert_geq(counts[NodeId("idle")], 200);
    cr_assert_geq(counts[NodeId("large")], 500);
    cr_assert(chooseRelay(nodes, { NodeId("idle"), NodeId("large") }, random)->id == NodeId("busy"));
    cr_assert_null(chooseRelay(nodes, { NodeId("idle"), NodeId("large"), NodeId("busy") }, random));
}
