#include "coordination/eventgapmonitor.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

// Weight of the newest stream in the average. A small node of a large fleet has a few streams a second.
constexpr double NewestWeight = 1.0 / 32;
// Share of late streams from which on long prompts and streams are kept apart as far as possible.
constexpr double FullSeparationShare = 0.05;

} // namespace

void EventGaps::onEvents(Time now)
{
    if (m_lastAt != Time::never()) {
        m_longest = std::max(m_longest, now - m_lastAt);
    }
    m_lastAt = now;
}

void EventGaps::skipGap()
{
    m_lastAt = Time::never();
}

void EventGapMonitor::onStreamEnded(const ServiceName &service, bool hadLateGap)
{
    double &share = m_lateShares[service];
    share += ((hadLateGap ? 1.0 : 0.0) - share) * NewestWeight;
}

double EventGapMonitor::lateShare(const ServiceName &service) const
{
    const auto at = m_lateShares.find(service);
    return at != m_lateShares.end() ? at->second : 0;
}

double EventGapMonitor::separation(const ServiceName &service) const
{
    return std::min(lateShare(service) / FullSeparationShare, 1.0);
}

} // namespace ApricotStep
