// Compares ways to hold back content under which upstreams end, on the same requests: how many upstreams end, how many requests reach
// upstreams once enough have ended to tell, and what sound requests get.

#include "coordination/fleetmessage.h"
#include "protocol/fleetcodec.h"
#include "tests/fakes/crashreplay.h"

#include <cstdio>
#include <vector>

using namespace ApricotStep;
using namespace Fakes;

namespace
{

constexpr unsigned Seeds = 20;
constexpr Duration RunTime = Duration::seconds(30);
constexpr double SoundRate = 30;
constexpr double DeadlyRate = 2.5;
constexpr int CrashesToTellRequest = 3;
// Upstreams send the first part of an answer after 60 ms.
constexpr Duration TimeToCrashMidAnswer { 200 };
// Between two upstreams that end whatever they work on.
constexpr Duration EndInterval { 500 };

struct Fleet
{
    int nodes = 0;
    int upstreams = 0;
};

std::size_t messageSize(const QuarantineStatements &statements)
{
    FleetMessage message;
    message.sender = NodeId("n");
    const std::size_t empty = encodeFleetMessage(message).size();
    message.quarantine = statements;
    return encodeFleetMessage(message).size() - empty;
}

enum class Trouble { Request, Part, EndsOfTheirOwn };

const char *nameOf(Trouble trouble)
{
    return trouble == Trouble::Request ? "request" : trouble == Trouble::Part ? "part" : "no content";
}

void play(CrashReplay &replay, Trouble trouble)
{
    const CrashReplay::Traffic sound = soundPrompts(replay, SoundRate);
    replay.run(WarmUp, { sound });
    switch (trouble) {
    case Trouble::Request:
        replay.run(RunTime, { sound, repeatedRequest(7, DeadlyRate) });
        return;
    case Trouble::Part:
        replay.run(RunTime, { sound, deadlyPrompts(replay, DeadlyPart, DeadlyRate) });
        return;
    case Trouble::EndsOfTheirOwn:
        for (Duration passed; passed < RunTime; passed = passed + EndInterval) {
            replay.endUpstreams(replay.random()(), 1);
            replay.run(EndInterval, { sound });
        }
        return;
    }
}

void report(const char *name, const Fleet &fleet, const CrashReplayWays &ways, Trouble trouble)
{
    CrashReplay::Counts sum;
    int broken = 0;
    for (unsigned seed = 0; seed < Seeds; ++seed) {
        CrashReplay replay(fleet.nodes, fleet.upstreams, seed, trouble == Trouble::Part ? CrashesToTellPart : CrashesToTellRequest, ways);
        play(replay, trouble);
        const CrashReplay::Counts &counts = replay.counts();
        broken += counts.lateArrivals > ToleratedAfterwards ? 1 : 0;
        sum.crashes += counts.crashes;
        sum.lateArrivals += counts.lateArrivals;
        sum.soundServed += counts.soundServed;
        sum.soundRefused += counts.soundRefused;
        sum.soundBroken += counts.soundBroken;
        sum.bytes += counts.bytes;
    }
    const double seconds = (WarmUp + RunTime).toSeconds();
    std::printf(
        "%-20s %3d nodes %3d upstreams %-10s ends %5.1f, late arrivals %5.1f (too many in %2d of %u), sound served %6.1f, lost %5.1f, "
        "refused %5.1f, %4.0f B/s a node\n",
        name, fleet.nodes, fleet.upstreams, nameOf(trouble), 1.0 * sum.crashes / Seeds, 1.0 * sum.lateArrivals / Seeds, broken, Seeds,
        1.0 * sum.soundServed / Seeds, 1.0 * sum.soundBroken / Seeds, 1.0 * sum.soundRefused / Seeds,
        static_cast<double>(sum.bytes) / Seeds / seconds / fleet.nodes);
}

} // namespace

int main()
{
    CrashReplayWays off;
    off.limits.crashesToHold = 1'000'000;
    off.limits.crashesToHoldOnAdapter = 1'000'000;
    off.limits.crashesToHoldBegunRequest = 1'000'000;
    off.limits.crashesToHoldAnswered = 1'000'000;
    off.limits.crashesToHoldBegunPart = 1'000'000;
    off.limits.crashesToHoldBegunOnAdapter = 1'000'000;
    off.tellPeers = false;
    off.retryAccused = true;
    CrashReplayWays alone;
    alone.tellPeers = false;
    CrashReplayWays withoutObjections;
    withoutObjections.object = false;
    CrashReplayWays withRetries;
    withRetries.retryAccused = true;
    CrashReplayWays kept;
    CrashReplayWays keptMidAnswer;
    keptMidAnswer.timeToCrash = TimeToCrashMidAnswer;
    CrashReplayWays trustingMidAnswer = keptMidAnswer;
    trustingMidAnswer.trustBeginnings = true;
    for (CrashReplayWays *ways : { &alone, &withoutObjections, &withRetries, &kept, &keptMidAnswer, &trustingMidAnswer }) {
        ways->sizeOf = messageSize;
    }
    for (const Fleet &fleet : { Fleet { 20, 9 }, Fleet { 20, 30 }, Fleet { 140, 60 } }) {
        for (const Trouble trouble : { Trouble::Request, Trouble::Part, Trouble::EndsOfTheirOwn }) {
            report("none", fleet, off, trouble);
            report("each node by itself", fleet, alone, trouble);
            report("without objections", fleet, withoutObjections, trouble);
            report("retries go on", fleet, withRetries, trouble);
            report("kept", fleet, kept, trouble);
            report("mid-answer, trusting", fleet, trustingMidAnswer, trouble);
            report("mid-answer, kept", fleet, keptMidAnswer, trouble);
        }
    }
    return 0;
}
