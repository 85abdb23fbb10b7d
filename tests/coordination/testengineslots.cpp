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

Test(engineSlots, theRarelyAskedForGoesThoughItWasUsedLast)
{
    // A run of requests for rare adapters sweeps over the slots. By last use the popular adapter goes, and its many callers all stall
    // for a load that was never needed.
    EngineSlots engineSlots = withLoaded(2, { "popular", "rare" });
    for (int use = 0; use < 10; ++use) {
        engineSlots.recordRequest(adapter("popular"), Time(1000));
    }
    engineSlots.recordRequest(adapter("rare"), Time(50'000));
    cr_assert(engineSlots.beginEviction(false, Later) == adapter("rare"));
}

Test(engineSlots, whatWaitsOrRunsOrIsUsedElsewhereStays)
{
    // Each reason alone must hold the adapter. Evicting it under a request, ours or another node's, cuts an answer off midway.
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
    // A load times out, but the engine finished it. Were the slot taken for free, the next load would be one too many for the engine
    // and fail, for a request that had nothing to do with it.
    EngineSlots engineSlots = withLoaded(1, {});
    engineSlots.beginLoad(adapter("a"), Time(0));
    engineSlots.endLoad(adapter("a"), OrderOutcome::Unknown, Time(30'000));
    cr_assert_eq(engineSlots.freeSlots(), 0);
    cr_assert_not(engineSlots.isLoaded(adapter("a")));
    cr_assert_eq(engineSlots.applyReport(Time(30'000), {}, {}, Time(30'100)).size(), 0, "a report from before says nothing");
    cr_assert_eq(engineSlots.applyReport(Time(31'000), { adapter("a") }, {}, Time(31'100)).size(), 1);
    cr_assert(engineSlots.isLoaded(adapter("a")));
}

Test(engineSlots, aRequestOfTheOldStartStillHoldsItsAdapter)
{
    // The engine seems to have restarted, but it was only one adapter that it had dropped, and a request still runs on another. The
    // adapter is loaded again; it must not go before that request has ended, and the count must not end below zero.
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

Test(engineSlots, aRefusedEvictionKeepsTheAdapterAndIsNotRepeatedAtOnce)
{
    EngineSlots engineSlots = withLoaded(1, { "a" });
    cr_assert(engineSlots.beginEviction(true, Later).has_value());
    engineSlots.endEviction(adapter("a"), OrderOutcome::Failed, Later);
    cr_assert(engineSlots.isLoaded(adapter("a")));
    cr_assert(!engineSlots.beginEviction(true, Later + Duration(10)).has_value());
    cr_assert(engineSlots.beginEviction(true, Later + Duration::seconds(2)).has_value());
}

Test(engineSlots, aFreshlyLoadedAdapterStaysAWhile)
{
    // Two adapters that take turns would evict each other at each request, a load apiece.
    EngineSlots engineSlots = withLoaded(1, { "a" });
    cr_assert(!engineSlots.beginEviction(false, Time(300)).has_value());
    cr_assert(engineSlots.beginEviction(true, Time(300)).has_value(), "urgent work does not wait for that");
}
