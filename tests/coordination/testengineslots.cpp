#include "coordination/engineslots.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

AdapterKey adapter(const char *id)
{
    return { AdapterId(id), AdapterVersion("1") };
}

EngineSlots withLoaded(int slots, std::initializer_list<const char *> ids)
{
    EngineSlotsLimits limits;
    limits.slots = slots;
    EngineSlots engineSlots(limits);
    for (const char *id : ids) {
        engineSlots.recordRequest(adapter(id), Time(0));
        engineSlots.beginLoad(adapter(id), Time(0));
        engineSlots.endLoad(adapter(id), OrderOutcome::Done, Time(250));
    }
    return engineSlots;
}

constexpr Time Later { 60'000 };

} // namespace

Test(engineSlots, evictsTheLeastPopularAdapterEvenIfItWasUsedLast)
{
    // Requests for many rarely used adapters pass through the slots. With eviction of the least recently used adapter, the popular one is
    // evicted, and its many callers wait for an unnecessary load.
    EngineSlots engineSlots = withLoaded(2, { "popular", "rare" });
    for (int use = 0; use < 10; ++use) {
        engineSlots.recordRequest(adapter("popular"), Time(1000));
    }
    engineSlots.recordRequest(adapter("rare"), Time(50'000));
    cr_assert(engineSlots.beginEviction(false, Later) == adapter("rare"));
}

Test(engineSlots, keepsAdaptersThatAreQueuedRunningOrUsedElsewhere)
{
    // Each reason alone must keep the adapter. Evicting it during a request of this or another node would break off the answer.
    EngineSlots engineSlots = withLoaded(1, { "a" });
    engineSlots.addRunning(adapter("a"));
    cr_assert(!engineSlots.beginEviction(true, Later).has_value());
    engineSlots.addQueued(adapter("a"));
    engineSlots.removeRunning(adapter("a"));
    cr_assert(!engineSlots.beginEviction(true, Later).has_value());
    engineSlots.removeQueued(adapter("a"));
    engineSlots.setEvictionRule(true, { adapter("a") });
    cr_assert(!engineSlots.beginEviction(true, Later).has_value());
    engineSlots.setEvictionRule(false, {});
    cr_assert(!engineSlots.beginEviction(true, Later).has_value());
    engineSlots.setEvictionRule(true, {});
    engineSlots.applyReport(Later, { adapter("a") }, { adapter("a") }, Later);
    cr_assert(!engineSlots.beginEviction(true, Later).has_value());
    engineSlots.applyReport(Later, { adapter("a") }, {}, Later);
    cr_assert(engineSlots.beginEviction(true, Later).has_value());
}

Test(engineSlots, aLoadOfUnknownOutcomeKeepsItsSlot)
{
    // A load times out although the engine finishes it. If the slot counted as free, the next load would exceed the engine's slots and
    // fail, for an unrelated request.
    EngineSlots engineSlots = withLoaded(1, {});
    engineSlots.beginLoad(adapter("a"), Time(0));
    engineSlots.endLoad(adapter("a"), OrderOutcome::Unknown, Time(30'000));
    cr_assert_eq(engineSlots.freeSlots(), 0);
    cr_assert_not(engineSlots.isLoaded(adapter("a")));
    cr_assert_eq(engineSlots.applyReport(Time(30'000), {}, {}, Time(30'100)).size(), 0, "an older report is ignored");
    cr_assert_eq(engineSlots.applyReport(Time(31'000), { adapter("a") }, {}, Time(31'100)).size(), 1);
    cr_assert(engineSlots.isLoaded(adapter("a")));
}

Test(engineSlots, aRequestFromBeforeARestartStillPinsItsAdapter)
{
    // The engine seems to have restarted, but it only unloaded one adapter, and a request still runs on another. That adapter is loaded
    // again; it must not be evicted before the request has ended, and the count must not drop below zero.
    EngineSlots engineSlots = withLoaded(1, { "a" });
    engineSlots.addRunning(adapter("a"));
    engineSlots.onRestart();
    cr_assert_eq(engineSlots.freeSlots(), 1);
    engineSlots.beginLoad(adapter("a"), Later);
    engineSlots.endLoad(adapter("a"), OrderOutcome::Done, Later);
    cr_assert(!engineSlots.beginEviction(true, Later + Duration::seconds(9)).has_value());
    engineSlots.removeRunning(adapter("a"));
    engineSlots.removeRunning(adapter("a"));
    cr_assert(engineSlots.beginEviction(true, Later + Duration::seconds(9)).has_value());
}

Test(engineSlots, aRefusedEvictionKeepsTheAdapterAndIsRetriedLater)
{
    EngineSlots engineSlots = withLoaded(1, { "a" });
    cr_assert(engineSlots.beginEviction(true, Later).has_value());
    engineSlots.endEviction(adapter("a"), OrderOutcome::Failed, Later);
    cr_assert(engineSlots.isLoaded(adapter("a")));
    cr_assert(!engineSlots.beginEviction(true, Later + Duration(10)).has_value());
    cr_assert(engineSlots.beginEviction(true, Later + Duration::seconds(2)).has_value());
}

Test(engineSlots, aNewlyLoadedAdapterStaysForTheMinimumResidence)
{
    // Two adapters that are requested in turn would evict each other at each request, at the cost of a load each time.
    EngineSlots engineSlots = withLoaded(1, { "a" });
    cr_assert(!engineSlots.beginEviction(false, Time(300)).has_value());
    cr_assert(engineSlots.beginEviction(true, Time(300)).has_value(), "urgent requests override the minimum residence");
}
