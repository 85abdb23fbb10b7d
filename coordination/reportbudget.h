#pragma once

#include "core/clock.h"

#include <cstddef>

namespace ApricotStep
{

/**
 * Limits the bytes that a node spends on one kind of report in its heartbeats. Not thread-safe.
 *
 * A report goes to each node that uses the same engines, several times a second: with 25 nodes in a zone, 16 reports in each heartbeat
 * would take 50 KB/s. What is not sent now is left out, not queued, since the next heartbeat has newer reports.
 */
class ReportBudget
{
public:
    /** @p reportBytes: the encoded size of a report. */
    ReportBudget(double bytesPerSecond, double reportBytes);

    /** Takes as many of @p wanted reports as may go to @p receivers now, and returns their number. */
    std::size_t take(std::size_t wanted, std::size_t receivers, Time now);

private:
    double m_bytesPerSecond;
    double m_reportBytes;
    double m_bytes;
    Time m_updatedAt;
};

} // namespace ApricotStep
