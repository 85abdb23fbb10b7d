#include "coordination/ratemeter.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

Test(ratemeter, followsTheRateOfEvents)
{
    RateMeter meter(Duration::seconds(2));
    Time now(100'000);
    cr_assert_eq(meter.rate(now), 0);
    for (int i = 0; i < 200; ++i) {
        now = now + Duration(50);
        meter.onEvent(now);
    }
    cr_assert(meter.rate(now) > 18 && meter.rate(now) < 22);
    cr_assert_lt(meter.rate(now + Duration::seconds(10)), 0.2);
}
