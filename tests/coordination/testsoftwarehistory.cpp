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
