#include "coordination/enginespeed.h"
#include "coordination/upstreamchoice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <random>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr int Running = 8;
constexpr Duration HeartbeatInterval { 250 };

UpstreamRecord engine(int number, std::int64_t startedAt = 1)
{
    UpstreamRecord record;
    record.id = UpstreamId("engine-" + std::to_string(number));
    record.service = ServiceName("s");
    record.startedAt = startedAt;
    return record;
}

/** Nodes that see streams of the same engines, each at its own times, and exchange what they have observed. */
struct Replay
{
    int engines = 100;
    std::vector<EngineSpeed> nodes = std::vector<EngineSpeed>(36);
    /** The mean time between two gaps that a node sees at one engine. */
    Duration observationInterval { 270 };
    std::function<double(int engine, Time now)> factor = [](int, Time) { return 1.0; };
    std::mt19937_64 random { 5 };
    Time now { 1000 };

    void run(
        Duration span, const std::function<void()> &everyTenMs = [] {})
    {
        constexpr Duration Step { 10 };
        const double probability = static_cast<double>(Step.milliseconds()) / static_cast<double>(observationInterval.milliseconds());
        for (const Time end = now + span; now < end; now = now + Step) {
            for (std::size_t node = 0; node < nodes.size(); ++node) {
                for (int number = 0; number < engines; ++number) {
                    if (std::bernoulli_distribution(probability)(random)) {
                        const double noise = std::lognormal_distribution<double>(0, 0.15)(random);
                        const auto gap = std::lround(50 * factor(number, now) * noise);
                        nodes[node].onGap(engine(number), Running, 0, Duration(gap), 1, now);
                    }
                }
                const auto phase = static_cast<std::int64_t>(node) * Step.milliseconds();
                if ((now.milliseconds() + phase) % HeartbeatInterval.milliseconds() == 0) {
                    report(node);
                }
            }
            everyTenMs();
        }
    }
    void report(std::size_t sender)
    {
        const auto reports = nodes[sender].takeReports(now);
        cr_assert_leq(reports.size(), EngineSpeed::MaxReports);
        for (std::size_t receiver = 0; receiver < nodes.size(); ++receiver) {
            if (receiver != sender) {
                nodes[receiver].onPeerSpeeds(NodeId(std::to_string(sender)), reports, now);
            }
        }
    }
    double slowness(int number, std::size_t node = 0) const
    {
        return nodes[node].slowness(engine(number), now);
    }
};

// In each turn of 600 ms, another 15 of 100 engines are 2.5 times slower.
double slowInTurns(int number, Time now)
{
    const auto turn = now.milliseconds() / 600;
    return (number + turn * 15) % 100 < 15 ? 2.5 : 1;
}

} // namespace

// Guards against a node that notices a slow engine after its turn is over, or takes many others for slow.
Test(enginespeed, followsEnginesThatAreSlowInTurns)
{
    Replay replay;
    replay.factor = slowInTurns;
    replay.run(Duration::seconds(3));
    int slow = 0;
    int foundSlow = 0;
    int usual = 0;
    int falselySlow = 0;
    replay.run(Duration::seconds(6), [&] {
        for (int number = 0; number < replay.engines; ++number) {
            const bool isSlow = slowInTurns(number, replay.now) > 1;
            const bool isFound = replay.slowness(number) > 1.6;
            ++(isSlow ? slow : usual);
            foundSlow += isSlow && isFound ? 1 : 0;
            falselySlow += !isSlow && isFound ? 1 : 0;
        }
    });
    cr_log_info("found %d of %d, falsely %d of %d", foundSlow, slow, falselySlow, usual);
    cr_assert_gt(foundSlow, slow * 6 / 10);
    cr_assert_lt(falselySlow, usual / 12);
}

// Guards against a lasting difference that is lost in the noise of single gaps or between rare ones.
Test(enginespeed, learnsLastingDifferences)
{
    Replay replay;
    replay.nodes.resize(4);
    replay.engines = 30;
    replay.observationInterval = Duration(500);
    replay.factor = [](int number, Time) { return number % 3 == 0 ? 1.3 : 1.0; };
    replay.run(Duration::seconds(20));
    std::array<double, 2> sums {};
    replay.run(Duration::seconds(2), [&] {
        for (int number = 0; number < replay.engines; ++number) {
            sums[number % 3 == 0 ? 1 : 0] += replay.slowness(number) / (number % 3 == 0 ? 10 : 20) / 200;
        }
    });
    // A third of the engines is slow, so the median lies a little above the gaps of the others.
    cr_assert(sums[0] > 0.88 && sums[0] < 1.02, "%f", sums[0]);
    cr_assert_float_eq(sums[1] / sums[0], 1.3, 0.06, "%f and %f", sums[0], sums[1]);
}

// Guards against a loaded engine that is taken for a slow one: by the number of its requests or while it reads prompts.
Test(enginespeed, loadedEngineIsNotSlow)
{
    Replay replay;
    replay.nodes.resize(1);
    replay.engines = 20;
    replay.run(Duration::seconds(10), [&] {
        if (replay.now.milliseconds() % 50 == 0) {
            replay.nodes[0].onGap(engine(98), 60, 0, Duration(160), 1, replay.now);
            replay.nodes[0].onGap(engine(99), Running, 2000, Duration(350), 1, replay.now);
        }
        cr_assert_leq(replay.slowness(98), EngineSpeed::SlowBound, "%f at %d", replay.slowness(98), int(replay.now.milliseconds()));
        cr_assert_eq(replay.slowness(99), 1);
    });
}

// Guards against a fault of the network or of this node that makes all engines count as slow.
Test(enginespeed, slownessOfAllIsNone)
{
    Replay replay;
    replay.nodes.resize(2);
    replay.run(Duration::seconds(5));
    replay.factor = [](int, Time) { return 2.5; };
    replay.run(Duration::seconds(1));
    int slow = 0;
    replay.run(Duration::seconds(5), [&] { slow = std::max(slow, replay.nodes[0].slowCount(replay.now)); });
    cr_assert_leq(slow, replay.engines * 15 / 100, "%d", slow);
    cr_assert_lt(replay.slowness(0), 1.5);
}

// Guards against a single late event that makes an engine slow for long, and against evidence that is never forgotten.
Test(enginespeed, evidenceDecays)
{
    Replay replay;
    replay.nodes.resize(1);
    replay.run(Duration::seconds(5));
    EngineSpeed &node = replay.nodes[0];
    node.onGap(engine(200), Running, 0, Duration(125), 1, replay.now);
    const double atOnce = node.slowness(engine(200), replay.now);
    cr_assert(atOnce > 1.5 && atOnce < 2.3, "%f", atOnce);
    cr_assert_lt(node.slowness(engine(200), replay.now + Duration(1200)), EngineSpeed::SlowBound);
    cr_assert_eq(node.slowness(engine(200), replay.now + EngineSpeed::Lifetime), 1);
}

// Guards against a new start of an engine that inherits the slowness of the former one, also if a peer still reports that.
Test(enginespeed, restartedEngineIsAsUsual)
{
    Replay replay;
    replay.nodes.resize(2);
    replay.factor = [](int number, Time) { return number == 3 ? 2.5 : 1.0; };
    replay.run(Duration::seconds(5));
    cr_assert_gt(replay.slowness(3), 2);
    cr_assert_eq(replay.nodes[0].slowness(engine(3, 2), replay.now), 1);
    replay.report(1);
    cr_assert_eq(replay.nodes[0].slowness(engine(3, 2), replay.now), 1);
}

// Guards against a node that sends requests to slow engines until it has observed them itself, and against one that passes on what it
// was told as its own observation, which would then never be forgotten.
Test(enginespeed, newNodeLearnsFromPeers)
{
    Replay replay;
    replay.nodes.resize(3);
    replay.factor = [](int number, Time) { return number == 3 ? 2.5 : 1.0; };
    replay.run(Duration::seconds(5));
    EngineSpeed started;
    for (std::size_t peer = 0; peer < replay.nodes.size(); ++peer) {
        started.onPeerSpeeds(NodeId(std::to_string(peer)), replay.nodes[peer].takeReports(replay.now), replay.now);
    }
    cr_assert_gt(started.slowness(engine(3), replay.now), 1.8);
    cr_assert(started.takeReports(replay.now).empty());
}

// Guards against an engine that stays slow for other nodes after its peers have seen it recover.
Test(enginespeed, reportOfRecoveryContradictsEarlierOnes)
{
    Replay replay;
    replay.nodes.resize(1);
    replay.factor = [](int number, Time) { return number == 3 ? 2.5 : 1.0; };
    replay.run(Duration::seconds(5));
    EngineSpeed other;
    other.onPeerSpeeds(NodeId("p"), { EngineSpeedReport { UpstreamId("engine-3"), 1, 250, Duration(0) } }, replay.now);
    cr_assert_gt(other.slowness(engine(3), replay.now), 1.6);
    other.onPeerSpeeds(NodeId("p"), { EngineSpeedReport { UpstreamId("engine-3"), 1, 100, Duration(0) } }, replay.now);
    cr_assert_eq(other.slowness(engine(3), replay.now), 1);
    replay.factor = [](int, Time) { return 1.0; };
    bool isRecoveryReported = false;
    for (int round = 0; round < 20 && !isRecoveryReported; ++round) {
        replay.run(HeartbeatInterval);
        const auto reports = replay.nodes[0].takeReports(replay.now);
        isRecoveryReported = std::any_of(reports.begin(), reports.end(),
            [](const EngineSpeedReport &report) { return report.upstream == UpstreamId("engine-3") && report.slownessPercent <= 125; });
    }
    cr_assert(isRecoveryReported);
}

// Guards against a slow engine that is chosen because it has slightly less to do.
Test(enginespeed, slowEngineTakesLongerToFirstToken)
{
    const UpstreamRecord slow = engine(1);
    const UpstreamRecord usual = engine(2);
    const std::vector<UpstreamOption> options { { &slow, { 4, 0 }, 1, false, 0, 2.5 }, { &usual, { 6, 0 } } };
    std::mt19937_64 random(1);
    cr_assert_eq(chooseEngine(options, { 2000, {} }, ChoiceParameters {}, random)->record, &usual);
}

// Guards against state that grows with the engines that were ever seen or that forged reports name.
Test(enginespeed, stateIsBounded)
{
    EngineSpeed speed;
    const Time now(1000);
    for (int number = 0; number < 20'000; ++number) {
        speed.onPeerSpeeds(NodeId("p"), { EngineSpeedReport { engine(number).id, 1, 250, Duration(0) } }, now);
    }
    cr_assert_eq(speed.size(), EngineSpeed::MaxEngines);
    speed.onPeerSpeeds(NodeId("p"), { EngineSpeedReport { engine(1).id, 1, 250, Duration(0) } }, now + Duration::seconds(11));
    cr_assert_eq(speed.size(), 1);
}
