#include "coordination/upstreamscheduler.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

AdapterKey adapter(const char *id)
{
    return { AdapterId(id), AdapterVersion("1") };
}

WorkItem work(std::uint64_t id, const char *adapterId, Priority priority = Priority::Standard, Time deadline = Time(100'000))
{
    return { RequestId(id), adapter(adapterId), priority, CallerId("c"), Time(0), deadline, 10 };
}

template<typename T>
int count(const std::vector<SchedulerAction> &actions)
{
    return static_cast<int>(
        std::count_if(actions.begin(), actions.end(), [](const auto &action) { return std::holds_alternative<T>(action); }));
}

} // namespace

Test(upstreamscheduler, oneLoadServesAllThatWaitForIt)
{
    UpstreamScheduler scheduler({ 2, 8, Duration(250) });
    cr_assert_eq(count<StartLoad>(scheduler.handle(WorkArrived { work(1, "a") }, Time(1))), 1);
    cr_assert_eq(scheduler.handle(WorkArrived { work(2, "a") }, Time(2)).size(), 0);
    cr_assert_eq(count<Dispatch>(scheduler.handle(LoadFinished { adapter("a"), true }, Time(3))), 2);
}

Test(upstreamscheduler, anAdapterInUseIsNeverEvicted)
{
    // All slots are taken and a request for another adapter arrives. Evicting what a request runs on would break its answer midway.
    UpstreamScheduler scheduler({ 1, 8, Duration(250) });
    scheduler.handle(WorkArrived { work(1, "a") }, Time(1));
    scheduler.handle(LoadFinished { adapter("a"), true }, Time(2));
    cr_assert_eq(scheduler.handle(WorkArrived { work(2, "b") }, Time(3)).size(), 0);
    cr_assert_eq(count<StartEvict>(scheduler.handle(WorkFinished { RequestId(1) }, Time(4))), 1);
    cr_assert_eq(count<StartLoad>(scheduler.handle(EvictFinished { adapter("a"), true }, Time(5))), 1);
}

Test(upstreamscheduler, aRequestPastItsDeadlineIsRefusedAsNotRun)
{
    UpstreamScheduler scheduler({ 1, 8, Duration(250) });
    scheduler.handle(WorkArrived { work(1, "a", Priority::Urgent, Time(10)) }, Time(1));
    const auto actions = scheduler.handle(Tick {}, Time(11));
    cr_assert_eq(count<Refuse>(actions), 1);
    cr_assert_eq(count<Dispatch>(scheduler.handle(LoadFinished { adapter("a"), true }, Time(12))), 0);
}

Test(upstreamscheduler, aFailedLoadRefusesWhatWaitedForIt)
{
    UpstreamScheduler scheduler({ 1, 8, Duration(250) });
    scheduler.handle(WorkArrived { work(1, "a") }, Time(1));
    cr_assert_eq(count<Refuse>(scheduler.handle(LoadFinished { adapter("a"), false }, Time(2))), 1);
}
