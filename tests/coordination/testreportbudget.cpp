#include "coordination/reportbudget.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr double BytesPerSecond = 500;
constexpr double ReportBytes = 32;

/** The bytes a second of a node that has 16 reports for each of five heartbeats a second. */
double bytesPerSecond(std::size_t receivers)
{
    ReportBudget budget(BytesPerSecond, ReportBytes);
    constexpr int Seconds = 600;
    std::size_t sent = 0;
    for (int heartbeat = 0; heartbeat < 5 * Seconds; ++heartbeat) {
        sent += budget.take(16, receivers, Time(1000) + Duration(200) * heartbeat) * receivers;
    }
    return static_cast<double>(sent) * ReportBytes / Seconds;
}

} // namespace

// Load: all engines of a zone are slow or fast, and each heartbeat of each node would name sixteen of them to all other nodes.
Test(reportbudget, reportsStayWithinTheBytesOfANodeAtAnySize)
{
    for (const std::size_t receivers : { 1U, 11U, 24U, 134U, 399U }) {
        const double bytes = bytesPerSecond(receivers);
        cr_expect_leq(
            bytes, 1.05 * BytesPerSecond + ReportBytes * static_cast<double>(receivers) / 600, "%zu receivers: %.0f B/s", receivers, bytes);
        cr_expect_geq(bytes, 0.9 * BytesPerSecond, "%zu receivers: %.0f B/s", receivers, bytes);
    }
}

// A node that had nothing to tell must not save up for a burst.
Test(reportbudget, unusedBytesAreNotSavedForLong)
{
    ReportBudget budget(BytesPerSecond, ReportBytes);
    budget.take(0, 10, Time(1000));
    cr_assert_eq(budget.take(16, 10, Time(100'000)), 1);
    cr_assert_eq(budget.take(16, 10, Time(100'010)), 0);
}

// Few nodes, as in a test or a small deployment: all reports go out.
Test(reportbudget, fewReceiversGetAllReports)
{
    ReportBudget budget(BytesPerSecond, ReportBytes);
    cr_assert_eq(budget.take(3, 1, Time(1000)), 3);
    cr_assert_eq(budget.take(3, 1, Time(1200)), 3);
}
