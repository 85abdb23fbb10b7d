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

Test(loadqueue, urgentRequestsFirstThenSharedLoads)
{
    LoadQueue queue({}, 1);
    queue.update(adapter("early"), demand(QueueLevel::Standard, 1, Time(0)), Time(1000));
    queue.update(adapter("shared"), demand(QueueLevel::Standard, 5, Time(900)), Time(1000));
    queue.update(adapter("urgent"), demand(QueueLevel::Urgent, 1, Time(1000)), Time(1000));
    const auto first = queue.first(3);
    cr_assert(first == std::vector({ adapter("urgent"), adapter("shared"), adapter("early") }));
}

Test(loadqueue, aFailedLoadIsRetriedWithBackoffAndALimit)
{
    // If an adapter whose load fails were retried in a tight loop, it would delay the loads of other adapters.
    LoadQueue queue({}, 1);
    queue.update(adapter("bad"), demand(QueueLevel::Urgent, 1, Time(0)), Time(0));
    Time now(0);
    int tries = 1;
    for (auto next = queue.onLoadFailed(adapter("bad"), now); next.has_value(); next = queue.onLoadFailed(adapter("bad"), now)) {
        cr_assert_gt(*next, now);
        queue.wake(now);
        cr_assert(queue.isEmpty());
        now = *next;
        queue.wake(now);
        cr_assert_not(queue.isEmpty());
        ++tries;
    }
    cr_assert_eq(tries, LoadQueueLimits {}.maxTries);
}

Test(loadqueue, enginesThatFailTogetherRetryAtDifferentTimes)
{
    LoadQueue one({}, 1);
    LoadQueue other({}, 2);
    cr_assert(one.onLoadFailed(adapter("a"), Time(0)) != other.onLoadFailed(adapter("a"), Time(0)));
}

Test(loadqueue, aLoadForPatientWorkWaitsForSharersForALimitedTime)
{
    LoadQueueLimits limits;
    limits.batchShare = 1.0;
    LoadQueue queue(limits, 1);
    queue.update(adapter("a"), demand(QueueLevel::Patient, 1, Time(0), Duration(100'000)), Time(0));
    cr_assert(queue.isEmpty());
    queue.wake(Time(10'000));
    cr_assert_not(queue.isEmpty(), "the load waits for a tenth of the allowance");
    queue.update(adapter("b"), demand(QueueLevel::Patient, limits.targetSharers, Time(10'000)), Time(10'000));
    cr_assert_eq(queue.first(9).size(), 2, "enough requests share the load");
}
