#include "coordination/reportbudget.h"

#include <algorithm>

namespace ApricotStep
{

ReportBudget::ReportBudget(double bytesPerSecond, double reportBytes)
    : m_bytesPerSecond(bytesPerSecond)
    , m_reportBytes(reportBytes)
    , m_bytes(bytesPerSecond)
{
}

std::size_t ReportBudget::take(std::size_t wanted, std::size_t receivers, Time now)
{
    const double costOfOne = m_reportBytes * static_cast<double>(std::max<std::size_t>(receivers, 1));
    const double earned = m_updatedAt == Time() ? 0 : (now - m_updatedAt).toSeconds() * m_bytesPerSecond;
    // A second's worth, but at least one report, or large fleets would never send one.
    m_bytes = std::min(m_bytes + std::max(earned, 0.0), std::max(m_bytesPerSecond, costOfOne));
    m_updatedAt = now;
    const auto count = std::min(wanted, static_cast<std::size_t>(m_bytes / costOfOne));
    m_bytes -= static_cast<double>(count) * costOfOne;
    return count;
}

} // namespace ApricotStep
