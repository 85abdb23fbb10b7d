#include "coordination/loadqueue.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

AdapterKey adapter(const char *id)
{
    return { AdapterId(id), AdapterVersion("1") };
}

AdapterDemand demand(QueueLevel level, int waiting, Time oldest, Duration allowance = Duration(1'000'000))
{
    return { waiting, level, Priority::Standard, oldest, allowance };
}

} // namespace

Test(loadorder, urgentWaitersFirstThenWhatALoadServes)
{
    LoadQueue order({}, 1);
    order.update(adapter("early"), demand(QueueLevel::Standard, 1, Time(0)), Time(1000));
    order.update(adapter("shared"), demand(QueueLevel::Standard, 5, Time(900)), Time(1000));
    order.update(adapter("urgent"), demand(QueueLevel::Urgent, 1, Time(1000)), Time(1000));
    const auto first = order.first(3);
    cr_assert(first == std::vector({ adapter("urgent"), adapter("shared"), adapter("early") }));
}

Test(loadorder, aFailedLoadIsTriedAgainLaterAndNotForEver)
{
    // The store fails for one adapter. Asked for again at once and again, it would take the loads that others wait for.
    LoadQueue order({}, 1);
    order.update(adapter("bad"), demand(QueueLevel::Urgent, 1, Time(0)), Time(0));
    Time now(0);
    int tries = 1;
    for (auto next = order.onLoadFailed(adapter("bad"), now); next.has_value(); next = order.onLoadFailed(adapter("bad"), now)) {
        cr_assert_gt(*next, now);
        order.wake(now);
        cr_assert(order.isEmpty());
        now = *next;
        order.wake(now);
        cr_assert_not(order.isEmpty());
        ++tries;
    }
    cr_assert_eq(tries, LoadQueueLimits {}.maxTries);
}

Test(loadorder, enginesThatFailTogetherComeBackApart)
{
    LoadQueue one({}, 1);
    LoadQueue other({}, 2);
    cr_assert(one.onLoadFailed(adapter("a"), Time(0)) != other.onLoadFailed(adapter("a"), Time(0)));
}

Test(loadorder, aLoadForPatientWorkWaitsForSharersButNotLong)
{
    LoadQueueLimits limits;
    limits.batchShare = 1.0;
    LoadQueue order(limits, 1);
    order.update(adapter("a"), demand(QueueLevel::Patient, 1, Time(0), Duration(100'000)), Time(0));
    cr_assert(order.isEmpty());
    order.wake(Time(10'000));
    cr_assert_not(order.isEmpty(), "a tenth of its allowance is over");
    order.update(adapter("b"), demand(QueueLevel::Patient, limits.targetSharers, Time(10'000)), Time(10'000));
    cr_assert_eq(order.first(9).size(), 2, "enough share the load");
}
