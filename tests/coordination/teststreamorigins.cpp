#include "coordination/streamorigins.h"

#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const StreamOrigin First { ServiceName("svc"), SoftwareVersion("v1") };
const StreamOrigin Second { ServiceName("svc"), SoftwareVersion("v2") };
constexpr Time Now(1'000'000);
constexpr Duration Lifetime = Duration::seconds(17);

StreamId stream(int number)
{
    return streamIdOf("r-" + std::to_string(number));
}

bool always(const ServiceName &)
{
    return true;
}

} // namespace

Test(streamorigins, streamsAreKnownForTheirLifetime)
{
    StreamOrigins origins(StreamOriginLimits {});
    origins.onBegun({ stream(1), First, Lifetime }, Now);
    origins.onAnnounced({ stream(2), Second, Lifetime }, Now);
    cr_assert(origins.find(stream(1), Now + Duration::seconds(16)) == First);
    cr_assert(origins.find(stream(2), Now + Duration::seconds(16)) == Second);
    cr_assert_not(origins.find(stream(2), Now + Lifetime).has_value());
    cr_assert_not(origins.find(stream(3), Now).has_value());
    cr_assert_not(origins.find(streamIdOf(""), Now).has_value());
    origins.onBegun({ stream(4), Second, Lifetime }, Now + Lifetime);
    cr_assert_eq(origins.size(), 1);
    cr_assert(origins.find(stream(4), Now + Lifetime) == Second);
}

// Guards against streams of other nodes that are announced again, and against announcements that never end.
Test(streamorigins, ownStreamsAreAnnouncedOnce)
{
    StreamOrigins origins(StreamOriginLimits {});
    origins.onBegun({ stream(1), First, Lifetime }, Now);
    origins.onAnnounced({ stream(2), First, Lifetime }, Now);
    for (const std::size_t expected : { 1, 0 }) {
        const auto announced = origins.takeAnnouncements(always, Now + Duration(200));
        cr_assert_eq(announced.size(), expected);
        cr_assert(announced.empty() || (announced[0].stream == stream(1) && announced[0].lifetime == Lifetime - Duration(200)));
    }
}

// Guards against streams that other nodes do not learn of because only one version served when they began.
Test(streamorigins, runningStreamsAreAnnouncedOnceVersionsDiffer)
{
    StreamOriginLimits limits;
    limits.maxAnnounced = 2;
    StreamOrigins origins(limits);
    for (int i = 0; i < 3; ++i) {
        origins.onBegun({ stream(i), First, Lifetime }, Now);
    }
    cr_assert(origins.takeAnnouncements([](const ServiceName &) { return false; }, Now).empty());
    for (const std::size_t expected : { 2, 1 }) {
        cr_assert_eq(origins.takeAnnouncements(always, Now).size(), expected);
    }
    cr_assert(origins.takeAnnouncements(always, Now).empty());
}

// Guards against memory that grows with the requests of callers.
Test(streamorigins, numberOfStreamsIsBounded)
{
    StreamOriginLimits limits;
    limits.maxStreams = 100;
    StreamOrigins origins(limits);
    for (int i = 0; i < 1000; ++i) {
        origins.onBegun({ stream(i), First, Lifetime }, Now);
        origins.onAnnounced({ stream(1000 + i), Second, Lifetime }, Now);
    }
    cr_assert_leq(origins.size(), 100);
    cr_assert(origins.find(stream(999), Now) == First);
}
