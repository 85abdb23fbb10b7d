#include "coordination/pendingadapterorder.h"
#include "tests/coordination/weightstoresimulation.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Time Now { 10'000 };
constexpr Duration Load { 250 };

PendingAdapter pending(const std::string &name, Duration age, std::uint32_t waiting, Duration latencySlack)
{
    return PendingAdapter { AdapterRef { BaseModelId("m"), AdapterId(name) }, {}, false, Now - age, waiting, Now + latencySlack };
}

std::string order(std::vector<PendingAdapter> pendingAdapters)
{
    sortPendingAdapters(pendingAdapters, {}, Load, Now);
    std::string names;
    for (const PendingAdapter &sorted : pendingAdapters) {
        names += sorted.adapter.adapter.value();
    }
    return names;
}

} // namespace

// Two requests ask for rarely used adapters, and one of them has waited so long that its answer will be late in any case. In the order of
// arrival both would be late.
Test(pendingadapterorder, adaptersThatCanStillBeInTimeComeFirst)
{
    cr_assert(order({ pending("a", Duration(600), 1, Duration(-100)), pending("b", Duration(20), 1, Duration(480)) }) == "ba");
}

// Twenty requests wait for one adapter and one for another. If the other were loaded first, twenty would wait longer for the sake of one.
Test(pendingadapterorder, adaptersWithMoreWaitingRequestsComeFirst)
{
    cr_assert(order({ pending("a", Duration(90), 1, Duration(410)), pending("b", Duration(20), 20, Duration(480)) }) == "ba");
    cr_assert(order({ pending("a", Duration(90), 1, Duration(410)), pending("b", Duration(2000), 20, Duration(-100)) }) == "ba");
}

Test(pendingadapterorder, amongEqualsTheOldestComesFirst)
{
    cr_assert(order({ pending("a", Duration(10), 1, Duration(490)), pending("b", Duration(90), 1, Duration(410)) }) == "ba");
    cr_assert(order({ pending("a", Duration(700), 1, Duration(-200)), pending("b", Duration(900), 1, Duration(-400)) }) == "ba");
}

// A deployment starts with nothing loaded, under twice the load that its store sustains. In the order of arrival nearly every waiting
// request would be slightly late; the store could serve half of all requests in time and the rest late.
Test(pendingadapterorder, aStartWithNothingLoadedServesHalfOfTheRequestsInTime)
{
    WeightStoreSimulation simulation(StoreParameters { 24, Duration(250), 108, 12, 18, 4 });
    simulation.runLoad(Duration::seconds(6), 320, 3000, 0.9);
    cr_assert_geq(simulation.shareInTime(), 0.5, "%.2f of the requests are served in time", simulation.shareInTime());
    cr_assert_eq(simulation.crashes(), 0);
}
