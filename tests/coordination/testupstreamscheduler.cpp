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

Test(upstreamscheduler, oneLoadServesAllWaitingRequests)
{
    UpstreamScheduler scheduler({ 2, 8, Duration(250) });
    cr_assert_eq(count<StartLoad>(scheduler.handle(WorkArrived { work(1, "a") }, Time(1))), 1);
    cr_assert_eq(scheduler.handle(WorkArrived { work(2, "a") }, Time(2)).size(), 0);
    cr_assert_eq(count<Dispatch>(scheduler.handle(LoadFinished { adapter("a"), true }, Time(3))), 2);
}

Test(upstreamscheduler, anAdapterInUseIsNeverEvicted)
{
    // All slots are taken and a request for another adapter arrives. Evicting an adapter that a request runs on would break off its answer.
    UpstreamScheduler scheduler({ 1, 8, Duration(250) });
    scheduler.handle(WorkArrived { work(1, "a") }, Time(1));
    scheduler.handle(LoadFinished { adapter("a"), true }, Time(2));
    cr_assert_eq(scheduler.handle(WorkArrived { work(2, "b") }, Time(3)).size(), 0);
    cr_assert_eq(scheduler.handle(Tick {}, Time(2000)).size(), 0);
    cr_assert_eq(count<StartEvict>(scheduler.handle(WorkFinished { RequestId(1) }, Time(2001))), 1);
    cr_assert_eq(count<StartLoad>(scheduler.handle(EvictFinished { adapter("a"), true }, Time(2002))), 1);
}

Test(upstreamscheduler, aRequestPastItsDeadlineIsRefusedAsNotRun)
{
    UpstreamScheduler scheduler({ 1, 8, Duration(250) });
    cr_assert_eq(count<Refuse>(scheduler.handle(WorkArrived { work(1, "a", Priority::Urgent, Time(400)) }, Time(1))), 0);
    cr_assert_eq(count<Refuse>(scheduler.handle(Tick {}, Time(399))), 0);
    cr_assert_eq(count<Refuse>(scheduler.handle(Tick {}, Time(400))), 1);
    cr_assert_eq(count<Dispatch>(scheduler.handle(LoadFinished { adapter("a"), true }, Time(401))), 0);
    // A load takes 250 ms: a request with less time left cannot be served and is refused on arrival.
    cr_assert_eq(count<Refuse>(scheduler.handle(WorkArrived { work(2, "b", Priority::Urgent, Time(600)) }, Time(500))), 1);
}

Test(upstreamscheduler, aFailedLoadRefusesRequestsThatNoRetryCanServe)
{
    // A load fails. Requests with enough time left are served after the next try; the others are refused at once as not run.
    UpstreamScheduler scheduler({ 1, 8, Duration(250) });
    scheduler.handle(WorkArrived { work(1, "a") }, Time(1));
    scheduler.handle(WorkArrived { work(2, "a", Priority::Urgent, Time(400)) }, Time(1));
    const auto actions = scheduler.handle(LoadFinished { adapter("a"), false }, Time(200));
    cr_assert_eq(count<Refuse>(actions), 1);
    cr_assert_eq(count<StartLoad>(actions), 0);
    cr_assert_eq(count<StartLoad>(scheduler.handle(Tick {}, Time(701))), 1);
    cr_assert_eq(count<Dispatch>(scheduler.handle(LoadFinished { adapter("a"), true }, Time(900))), 1);
}

Test(upstreamscheduler, requestsForAnAdapterThatNeverLoadsAreRefused)
{
    // The weights are broken. A request with a deadline in an hour must not wait for an hour: it is refused after the last try.
    UpstreamScheduler scheduler({ 1, 8, Duration(250) });
    scheduler.handle(WorkArrived { work(1, "a", Priority::Standard, Time(3'600'000)) }, Time(1));
    int refused = 0;
    int loads = 1;
    for (int now = 100; now < 60'000 && refused == 0; now += 100) {
        auto actions = scheduler.handle(Tick {}, Time(now));
        if (loads == 1 || count<StartLoad>(actions) > 0) {
            ++loads;
            refused += count<Refuse>(scheduler.handle(LoadFinished { adapter("a"), false }, Time(now)));
        }
    }
    cr_assert_eq(refused, 1);
    cr_assert_leq(loads, 8);
}

Test(upstreamscheduler, aLoadOfUnknownOutcomeIsRepeatedInItsSlot)
{
    UpstreamScheduler scheduler({ 1, 8, Duration(250) });
    scheduler.handle(WorkArrived { work(1, "a") }, Time(1));
    cr_assert_eq(count<Refuse>(scheduler.handle(LoadFinished { adapter("a"), false, true }, Time(1000))), 0);
    cr_assert_eq(scheduler.residentAdapters().size(), 1);
    const auto actions = scheduler.handle(Tick {}, Time(1501));
    cr_assert_eq(count<StartLoad>(actions), 1);
    cr_assert_eq(count<StartEvict>(actions), 0);
}

Test(upstreamscheduler, aRestartKeepsWaitingRequestsAndPinnedAdapters)
{
    // The engine restarts while one request runs and one waits. The adapter is loaded again for the waiting one; the late end of the other
    // must not unpin the adapter.
    UpstreamScheduler scheduler({ 1, 1, Duration(250) });
    scheduler.handle(WorkArrived { work(1, "a") }, Time(1));
    scheduler.handle(LoadFinished { adapter("a"), true }, Time(2));
    scheduler.handle(WorkArrived { work(2, "a") }, Time(3));
    cr_assert_eq(count<StartLoad>(scheduler.handle(UpstreamRestarted {}, Time(4))), 1);
    cr_assert_eq(count<Dispatch>(scheduler.handle(LoadFinished { adapter("a"), true }, Time(2000))), 1);
    scheduler.handle(WorkFinished { RequestId(1) }, Time(2001));
    cr_assert_eq(scheduler.runningCount(), 1);
    cr_assert_eq(count<StartEvict>(scheduler.handle(WorkArrived { work(3, "b", Priority::Urgent) }, Time(9000))), 0);
    cr_assert_eq(count<StartEvict>(scheduler.handle(WorkFinished { RequestId(2) }, Time(9001))), 1);
}

Test(upstreamscheduler, aCancelledDispatchedRequestPinsItsAdapter)
{
    // The caller disconnects, but the engine is running the request. The adapter must stay loaded until the engine has finished it.
    UpstreamScheduler scheduler({ 1, 8, Duration(250) });
    scheduler.handle(WorkArrived { work(1, "a") }, Time(1));
    scheduler.handle(LoadFinished { adapter("a"), true }, Time(2));
    scheduler.handle(WorkCancelled { RequestId(1) }, Time(3));
    cr_assert_eq(count<StartEvict>(scheduler.handle(WorkArrived { work(2, "b", Priority::Urgent) }, Time(9000))), 0);
    cr_assert_eq(count<StartEvict>(scheduler.handle(WorkFinished { RequestId(1) }, Time(9001))), 1);
}

Test(upstreamscheduler, seatsAreReservedForUrgentRequests)
{
    SchedulerLimits limits { 2, 10, Duration(250) };
    limits.urgentSeatsPercent = 20;
    UpstreamScheduler scheduler(limits);
    for (std::uint64_t id = 1; id <= 12; ++id) {
        scheduler.handle(WorkArrived { work(id, "a") }, Time(1));
    }
    cr_assert_eq(count<Dispatch>(scheduler.handle(LoadFinished { adapter("a"), true }, Time(2))), 8);
    cr_assert_eq(count<Dispatch>(scheduler.handle(WorkArrived { work(20, "a", Priority::Urgent) }, Time(3))), 1);
}

Test(upstreamscheduler, aRequestThatCannotBeServedInTimeIsRefusedOnArrival)
{
    // The engine has work for minutes, and a request with a deadline of five seconds arrives. If it were queued, it would fail later.
    UpstreamScheduler scheduler({ 1, 2, Duration(250) });
    scheduler.handle(WorkArrived { work(1, "a") }, Time(0));
    scheduler.handle(LoadFinished { adapter("a"), true }, Time(0));
    scheduler.handle(WorkFinished { RequestId(1) }, Time(10'000));
    for (std::uint64_t id = 2; id <= 12; ++id) {
        scheduler.handle(WorkArrived { work(id, "a", Priority::Standard, Time(1'000'000)) }, Time(10'000));
    }
    const auto actions = scheduler.handle(WorkArrived { work(20, "a", Priority::Standard, Time(15'000)) }, Time(10'000));
    cr_assert_eq(count<Refuse>(actions), 1);
    const auto *refusal = std::get_if<Refuse>(&actions.front());
    cr_assert(refusal != nullptr && refusal->kind == ErrorKind::Overloaded);
    cr_assert_gt(refusal->retryAfter, Duration::seconds(4), "an immediate retry would be refused again");
}

Test(upstreamscheduler, patientRequestsWaitForAFullerBatch)
{
    SchedulerLimits limits { 1, 4, Duration(250) };
    limits.stallWeight = 0;
    limits.batchWeight = 100;
    limits.urgentSeatsPercent = 0;
    UpstreamScheduler scheduler(limits);
    scheduler.handle(WorkArrived { work(1, "a") }, Time(0));
    scheduler.handle(LoadFinished { adapter("a"), true }, Time(250));
    scheduler.handle(WorkFinished { RequestId(1) }, Time(500));
    int dispatched = 0;
    for (std::uint64_t id = 2; id <= 4; ++id) {
        dispatched += count<Dispatch>(scheduler.handle(WorkArrived { work(id, "a", Priority::Patient) }, Time(1000)));
    }
    cr_assert_eq(dispatched, 0);
    cr_assert_eq(count<Dispatch>(scheduler.handle(WorkArrived { work(5, "a", Priority::Patient) }, Time(1000))), 4);
    // A single request is dispatched after a tenth of its allowance even if no others share the batch.
    for (std::uint64_t id = 2; id <= 5; ++id) {
        scheduler.handle(WorkFinished { RequestId(id) }, Time(2000));
    }
    cr_assert_eq(count<Dispatch>(scheduler.handle(WorkArrived { work(6, "a", Priority::Patient) }, Time(9'000))), 0);
    cr_assert_eq(count<Dispatch>(scheduler.handle(Tick {}, Time(10'000))), 1);
}

Test(upstreamscheduler, aLoadWaitsForItsPermitAndReleasesIt)
{
    SchedulerLimits limits { 1, 4, Duration(250) };
    limits.needsPermits = true;
    UpstreamScheduler scheduler(limits);
    auto actions = scheduler.handle(WorkArrived { work(1, "a") }, Time(0));
    cr_assert_eq(count<RequestPermit>(actions), 1);
    cr_assert_eq(count<StartLoad>(actions), 0);
    actions = scheduler.handle(PermitGranted { adapter("a"), Time(2000) }, Time(100));
    cr_assert_eq(count<StartLoad>(actions), 1);
    cr_assert_eq(count<ReleasePermit>(scheduler.handle(LoadFinished { adapter("a"), true }, Time(350))), 1);
}

Test(upstreamscheduler, anUnneededPermitIsReleasedAtOnce)
{
    SchedulerLimits limits { 1, 4, Duration(250) };
    limits.needsPermits = true;
    UpstreamScheduler scheduler(limits);
    scheduler.handle(WorkArrived { work(1, "a") }, Time(0));
    cr_assert_eq(count<ReleasePermit>(scheduler.handle(WorkCancelled { RequestId(1) }, Time(50))), 1);
    cr_assert_eq(count<ReleasePermit>(scheduler.handle(PermitGranted { adapter("a"), Time(2000) }, Time(100))), 1);
}

Test(upstreamscheduler, aSlowEngineGetsFewerRequestsUntilItRecovers)
{
    // An engine is slow. Requests sent at the old rate would wait inside it, where urgent ones cannot overtake the others.
    UpstreamScheduler scheduler({ 2, 8, Duration(250) });
    scheduler.handle(BatchLimited { 2 }, Time(1));
    for (std::uint64_t id = 1; id <= 5; ++id) {
        scheduler.handle(WorkArrived { work(id, "a") }, Time(2));
    }
    cr_assert_eq(count<Dispatch>(scheduler.handle(LoadFinished { adapter("a"), true }, Time(3))), 2);
    cr_assert_eq(count<Dispatch>(scheduler.handle(WorkFinished { RequestId(1) }, Time(4))), 1);
    cr_assert_eq(count<Dispatch>(scheduler.handle(BatchLimited { 100 }, Time(5))), 2);
    cr_assert_eq(scheduler.runningCount(), 4);
}

Test(upstreamscheduler, anUrgentRequestIsRefusedWhenPermitsTakeTooLong)
{
    // A burst has filled the fleet's queue of loads. An urgent request would wait for nearly its whole allowance and delay those after it;
    // refused at once, its caller knows when to retry. A request whose adapter is loaded is not affected.
    SchedulerLimits limits { 2, 4, Duration(250) };
    limits.needsPermits = true;
    limits.stallWeight = 100;
    limits.batchWeight = 0;
    UpstreamScheduler scheduler(limits);
    scheduler.handle(WorkArrived { work(1, "warm") }, Time(0));
    scheduler.handle(PermitGranted { adapter("warm"), Time(2000) }, Time(1));
    scheduler.handle(LoadFinished { adapter("warm"), true }, Time(300));
    scheduler.handle(PermitWaitEstimated { Priority::Urgent, Duration(6000) }, Time(1000));
    const auto cold = scheduler.handle(WorkArrived { work(2, "cold", Priority::Urgent, Time(11'000)) }, Time(1000));
    const auto warm = scheduler.handle(WorkArrived { work(3, "warm", Priority::Urgent, Time(11'000)) }, Time(1000));
    cr_assert_eq(count<Refuse>(cold), 1);
    cr_assert_eq(count<Dispatch>(warm), 1);
    // The estimate of the permit issuer expires soon, since the burst may be over.
    cr_assert_eq(count<Refuse>(scheduler.handle(WorkArrived { work(4, "cold", Priority::Urgent, Time(14'000)) }, Time(4000))), 0);
}

Test(upstreamscheduler, longRequestsLeaveASlotForUrgentOnes)
{
    // Long requests for rare adapters would pin all slots for a minute each. Without a reserved slot an urgent request for another adapter
    // would wait for one of them to end even if its load could start at once.
    SchedulerLimits limits { 4, 16, Duration(250) };
    limits.urgentSlotsPercent = 25;
    UpstreamScheduler scheduler(limits);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        const std::string name = "long-" + std::to_string(id);
        for (const auto &action : scheduler.handle(WorkArrived { work(id, name.c_str()) }, Time(0))) {
            if (const auto *load = std::get_if<StartLoad>(&action)) {
                scheduler.handle(LoadFinished { load->adapter, true }, Time(1));
            }
        }
    }
    scheduler.handle(Tick {}, Time(5000));
    cr_assert_eq(scheduler.residentAdapters().size(), 3);
    cr_assert_eq(count<StartLoad>(scheduler.handle(WorkArrived { work(9, "urgent", Priority::Urgent) }, Time(5000))), 1);
}

// Guards against an endless loop that releases a permit for a prefetch and requests it again while no adapter may be evicted.
Test(upstreamscheduler, aPrefetchWithoutRoomIsNotRequestedAgain)
{
    SchedulerLimits limits { 1, 8, Duration(250) };
    limits.needsPermits = true;
    UpstreamScheduler scheduler(limits);
    scheduler.handle(EvictionRule { false, {} }, Time(0));
    scheduler.handle(WorkArrived { work(1, "b") }, Time(1));
    scheduler.handle(PermitGranted { adapter("b"), Time(9000) }, Time(2));
    scheduler.handle(LoadFinished { adapter("b"), true }, Time(300));
    scheduler.handle(WorkFinished { RequestId(1) }, Time(400));
    for (std::uint64_t id = 10; id < 20; ++id) {
        scheduler.handle(WorkArrived { work(id, "a") }, Time(500));
        scheduler.handle(WorkCancelled { RequestId(id) }, Time(500));
    }
    const auto actions = scheduler.handle(PermitGranted { adapter("a"), Time(9000) }, Time(3000));
    cr_assert_eq(count<ReleasePermit>(actions), 1);
    cr_assert_eq(count<RequestPermit>(actions), 0);
    // Once evictions are allowed, the prefetch gets a slot.
    cr_assert_eq(count<RequestPermit>(scheduler.handle(EvictionRule { true, {} }, Time(4000))), 1);
    cr_assert_eq(count<StartEvict>(scheduler.handle(PermitGranted { adapter("a"), Time(9000) }, Time(4001))), 1);
}
