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
    EngineSlots residency(limits);
    for (const char *id : ids) {
        residency.recordRequest(adapter(id), Time(0));
        residency.beginLoad(adapter(id), Time(0));
        residency.endLoad(adapter(id), OrderOutcome::Done, Time(250));
    }
    return residency;
}

constexpr Time Later { 60'000 };

} // namespace

Test(residency, theRarelyAskedForGoesThoughItWasUsedLast)
{
    // A run of requests for rare adapters sweeps over the slots. By last use the popular adapter goes, and its many callers all stall
    // for a load that was never needed.
    EngineSlots residency = withLoaded(2, { "popular", "rare" });
    for (int use = 0; use < 10; ++use) {
        residency.recordRequest(adapter("popular"), Time(1000));
    }
    residency.recordRequest(adapter("rare"), Time(50'000));
    cr_assert(residency.beginEviction(false, Later) == adapter("rare"));
}

Test(residency, whatWaitsOrRunsOrIsUsedElsewhereStays)
{
    // Each reason alone must hold the adapter. Evicting it under a request, ours or another node's, cuts an answer off midway.
    EngineSlots residency = withLoaded(1, { "a" });
    residency.addRunning(adapter("a"));
    cr_assert(!residency.beginEviction(true, Later).has_value());
    residency.addQueued(adapter("a"));
    residency.removeRunning(adapter("a"));
    cr_assert(!residency.beginEviction(true, Later).has_value());
    residency.removeQueued(adapter("a"));
    residency.setEvictionRule(true, { adapter("a") });
    cr_assert(!residency.beginEviction(true, Later).has_value());
    residency.setEvictionRule(false, {});
    cr_assert(!residency.beginEviction(true, Later).has_value());
    residency.setEvictionRule(true, {});
    residency.applyReport(Later, { adapter("a") }, { adapter("a") }, Later);
    cr_assert(!residency.beginEviction(true, Later).has_value());
    residency.applyReport(Later, { adapter("a") }, {}, Later);
    cr_assert(residency.beginEviction(true, Later).has_value());
}

Test(residency, aLoadOfUnknownOutcomeKeepsItsSlot)
{
    // A load times out, but the engine finished it. Were the slot taken for free, the next load would be one too many for the engine
    // and fail, for a request that had nothing to do with it.
    EngineSlots residency = withLoaded(1, {});
    residency.beginLoad(adapter("a"), Time(0));
    residency.endLoad(adapter("a"), OrderOutcome::Unknown, Time(30'000));
    cr_assert_eq(residency.freeSlots(), 0);
    cr_assert_not(residency.isLoaded(adapter("a")));
    cr_assert_eq(residency.applyReport(Time(30'000), {}, {}, Time(30'100)).size(), 0, "a report from before says nothing");
    cr_assert_eq(residency.applyReport(Time(31'000), { adapter("a") }, {}, Time(31'100)).size(), 1);
    cr_assert(residency.isLoaded(adapter("a")));
}

Test(residency, aRequestOfTheOldStartStillHoldsItsAdapter)
{
    // The engine seems to have restarted, but it was only one adapter that it had dropped, and a request still runs on another. The
    // adapter is loaded again; it must not go before that request has ended, and the count must not end below zero.
    EngineSlots residency = withLoaded(1, { "a" });
    residency.addRunning(adapter("a"));
    residency.onRestart();
    cr_assert_eq(residency.freeSlots(), 1);
    residency.beginLoad(adapter("a"), Later);
    residency.endLoad(adapter("a"), OrderOutcome::Done, Later);
    cr_assert(!residency.beginEviction(true, Later + Duration::seconds(9)).has_value());
    residency.removeRunning(adapter("a"));
    residency.removeRunning(adapter("a"));
    cr_assert(residency.beginEviction(true, Later + Duration::seconds(9)).has_value());
}

Test(residency, aRefusedEvictionKeepsTheAdapterAndIsNotRepeatedAtOnce)
{
    EngineSlots residency = withLoaded(1, { "a" });
    cr_assert(residency.beginEviction(true, Later).has_value());
    residency.endEviction(adapter("a"), OrderOutcome::Failed, Later);
    cr_assert(residency.isLoaded(adapter("a")));
    cr_assert(!residency.beginEviction(true, Later + Duration(10)).has_value());
    cr_assert(residency.beginEviction(true, Later + Duration::seconds(2)).has_value());
}

Test(residency, aFreshlyLoadedAdapterStaysAWhile)
{
    // Two adapters that take turns would evict each other at each request, a load apiece.
    EngineSlots residency = withLoaded(1, { "a" });
    cr_assert(!residency.beginEviction(false, Time(300)).has_value());
    cr_assert(residency.beginEviction(true, Time(300)).has_value(), "urgent work does not wait for that");
}
