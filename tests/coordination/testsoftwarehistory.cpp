#include "coordination/softwarehistory.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const ServiceName Service("svc");
const SoftwareVersion First("v1");
const SoftwareVersion Second("v2");
constexpr Duration LongestStream = Duration::seconds(15);
constexpr Duration Step { 500 };

/** A node that sees its upstreams each half second of virtual time. */
struct Replay
{
    SoftwareHistory history { SoftwareHistoryLimits {} };
    Time now = Time(1'000'000);

    Replay()
    {
        history.onStreamTime(LongestStream);
    }
    void run(Duration time, const std::vector<SoftwareVersion> &listed, bool isStoreReached = true)
    {
        for (const Time end = now + time; now < end; now = now + Step) {
            if (isStoreReached) {
                for (const SoftwareVersion &software : listed) {
                    history.onListed(Service, software, now);
                }
                history.onViewConfirmed(now);
            }
        }
    }
    std::optional<SoftwareVersion> sole() const
    {
        return history.soleVersion(Service, now);
    }
};

} // namespace

// Guards against a node that has just started and takes the versions that it sees for all that can have begun a stream.
Test(softwarehistory, nodeThatHasJustStartedKnowsNoSoleVersion)
{
    Replay replay;
    replay.run(Duration::seconds(10), { First });
    cr_assert_not(replay.sole().has_value());
    replay.run(Duration::seconds(10), { First });
    cr_assert(replay.sole() == First);
}

// Guards against a node out of step that takes the old version for the only one while others begin streams on the new one.
Test(softwarehistory, newVersionBeginsNoStreamsWhileAnotherNodeMayNotKnowIt)
{
    for (Duration outOfStepBefore; outOfStepBefore <= Duration::seconds(4); outOfStepBefore = outOfStepBefore + Step) {
        Replay outOfStep;
        Replay inStep;
        outOfStep.run(Duration::seconds(30) - outOfStepBefore, { First });
        outOfStep.run(outOfStepBefore, {}, false);
        inStep.run(Duration::seconds(30), { First });
        int begunSteps = 0;
        for (int step = 0; step < 20; ++step) {
            outOfStep.run(Step, {}, false);
            inStep.run(Step, { First, Second });
            const bool mayBegin = inStep.history.mayBeginStreams(Service, Second, inStep.now);
            begunSteps += mayBegin ? 1 : 0;
            cr_assert_not(mayBegin && outOfStep.sole() == First, "step %d", step);
            cr_assert(inStep.history.mayBeginStreams(Service, First, inStep.now));
        }
        cr_assert_gt(begunSteps, 0);
    }
}

// Guards against a fleet that begins no streams for seconds after all its nodes have started again.
Test(softwarehistory, nodeThatHasJustStartedBeginsStreamsOnVersionsThatHaveServed)
{
    Replay started;
    started.history.onListed(Service, First, started.now, Duration::seconds(60));
    started.history.onListed(Service, Second, started.now, Duration(500));
    started.history.onViewConfirmed(started.now);
    cr_assert(started.history.mayBeginStreams(Service, First, started.now));
    cr_assert_not(started.history.mayBeginStreams(Service, Second, started.now));
    started.history.onListed(Service, Second, started.now + Step, Duration::seconds(60));
    cr_assert_not(started.history.mayBeginStreams(Service, Second, started.now + Step));
}

// Guards against streams that go on at the new version because all upstreams of the one that began them have just left.
Test(softwarehistory, versionThatHasLeftCountsForAsLongAsItsStreamsLast)
{
    Replay replay;
    replay.run(Duration::seconds(30), { First });
    replay.run(Duration::seconds(4), { First, Second });
    cr_assert_not(replay.sole().has_value());
    replay.run(Duration::seconds(14), { Second });
    cr_assert_not(replay.sole().has_value());
    replay.run(Duration::seconds(6), { Second });
    cr_assert(replay.sole() == Second);
}

// Guards against a node that is cut off from the store and does not learn that another version has begun streams.
Test(softwarehistory, outdatedViewShowsNoSoleVersion)
{
    Replay replay;
    replay.run(Duration::seconds(30), { First });
    replay.run(Duration::seconds(5), {}, false);
    cr_assert_not(replay.sole().has_value());
    replay.run(Duration::seconds(10), { First });
    cr_assert_not(replay.sole().has_value());
    replay.run(Duration::seconds(10), { First });
    cr_assert(replay.sole() == First);
}

Test(softwarehistory, servicesDoNotShareTheirVersions)
{
    Replay replay;
    replay.history.onListed(ServiceName("other"), Second, replay.now);
    replay.run(Duration::seconds(30), { First });
    cr_assert(replay.sole() == First);
    cr_assert_not(replay.history.soleVersion(ServiceName("unseen"), replay.now).has_value());
}
