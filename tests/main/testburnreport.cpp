#include "main/burnreport.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

BurnReport report(const std::string &node, int bad, int good)
{
    ServiceLevels levels({ Objective { 0.99, Duration(1000) }, Objective {}, Objective {}, Objective {} });
    const Time now = Time(600'000'000);
    for (int i = 0; i < good; ++i) {
        levels.recordAnswer(ServiceClass::Urgent, Duration(1), now);
    }
    for (int i = 0; i < bad; ++i) {
        levels.recordFailure(ServiceClass::Urgent, ErrorKind::UpstreamFailed, now);
    }
    return burnReportOf(levels, "kumasi", node, now);
}

} // namespace

Test(burnreport, sumOverNodesAddsEventsNotRates)
{
    // Averaging the burn rates of a busy healthy node and a failing node with little traffic would raise a false page.
    BurnReport all = report("n1", 0, 900);
    cr_assert(all.add(report("n2", 50, 50)).isOk());
    cr_assert_float_eq(all.classes[0].burn(5), 5.0, 1e-9);
    cr_assert(alertOf(all.classes[0]) == BurnAlert::None);
    cr_assert(alertOf(report("n2", 50, 50).classes[0]) == BurnAlert::Page);
    cr_assert_float_eq(all.classes[0].budgetLeft(), -4.0, 1e-9);
}

Test(burnreport, jsonRoundTripAndMismatchedDeployment)
{
    const BurnReport one = report("n<1>", 3, 7);
    const auto read = parseBurnJson(burnJson(one));
    cr_assert(read.isOk());
    cr_assert(burnText(read.value()) == burnText(one));
    cr_assert_not(parseBurnJson("{}").isOk());
    BurnReport other = report("n2", 0, 1);
    other.deployment = "elsewhere";
    cr_assert_not(other.add(one).isOk());
    cr_assert(burnHtml(one).find("n&lt;1&gt;") != std::string::npos, "names are escaped");
}
