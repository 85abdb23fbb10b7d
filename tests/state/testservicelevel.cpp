#include "state/servicelevel.h"

#include <cmath>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Objective Urgent { 0.99, Duration(1000) };

std::array<Objective, ServiceClassCount> objectives()
{
    return { Urgent, Objective { 0.99, Duration(5000) }, Objective { 0.9, Duration() }, Objective { 0.999, Duration(2000) } };
}

bool isNear(double value, double expected)
{
    return std::abs(value - expected) <= expected * 0.01;
}

Time minute(std::int64_t count)
{
    return Time(1'000'000'000) + ServiceLevels::Minute * count;
}

} // namespace

Test(servicelevel, burnRateMatchesTheFailureRate)
{
    // One request per second for an hour; in the last five minutes every tenth request fails.
    ServiceLevels levels(objectives());
    for (int second = 0; second < 3600; ++second) {
        const Time now = minute(0) + Duration::seconds(second);
        const bool isOutage = second >= 3300;
        if (isOutage && second % 10 == 0) {
            levels.recordFailure(ServiceClass::Urgent, ErrorKind::UpstreamFailed, now);
        } else {
            levels.recordAnswer(ServiceClass::Urgent, Duration(100), now);
        }
    }
    const Time end = minute(0) + Duration::seconds(3599);
    cr_assert(isNear(burnRate(levels.window(ServiceClass::Urgent, 5, end), Urgent), 10.0));
    cr_assert(isNear(burnRate(levels.window(ServiceClass::Urgent, 60, end), Urgent), 30.0 / 3600.0 / 0.01));
    cr_assert_eq(levels.window(ServiceClass::Urgent, 360, end).total(), 3600);
}

Test(servicelevel, lateAnswersAreBadAndCallerErrorsDoNotCount)
{
    ServiceLevels levels(objectives());
    levels.recordAnswer(ServiceClass::Urgent, Duration(1000), minute(1));
    levels.recordAnswer(ServiceClass::Urgent, Duration(1001), minute(1));
    levels.recordFailure(ServiceClass::Urgent, ErrorKind::UnknownSelector, minute(1));
    levels.recordFailure(ServiceClass::Urgent, ErrorKind::CallerGone, minute(1));
    levels.recordAnswer(ServiceClass::Patient, Duration::seconds(3000), minute(1));
    const EventCounts urgent = levels.window(ServiceClass::Urgent, 1, minute(1));
    cr_assert_eq(urgent.good, 1);
    cr_assert_eq(urgent.bad, 1);
    cr_assert_eq(levels.window(ServiceClass::Patient, 1, minute(1)).bad, 0);
}

Test(servicelevel, oldMinutesLeaveTheWindow)
{
    ServiceLevels levels(objectives());
    levels.recordFailure(ServiceClass::Service, ErrorKind::UpstreamFailed, minute(0));
    cr_assert_eq(levels.window(ServiceClass::Service, 360, minute(359)).bad, 1);
    cr_assert_eq(levels.window(ServiceClass::Service, 360, minute(360)).bad, 0);
    levels.recordAnswer(ServiceClass::Service, Duration(1), minute(360));
    cr_assert_eq(levels.window(ServiceClass::Service, 1, minute(360)).total(), 1, "the bucket of an expired minute must be reset");
    cr_assert_eq(burnRate({}, Urgent), 0);
}
