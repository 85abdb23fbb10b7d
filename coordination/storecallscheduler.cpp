#include "coordination/storecallscheduler.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr std::int64_t SpreadDivisor = 4;
// Upstreams write several times a second, and each call is paid for; what is a second old still serves the choice among them.
constexpr Duration LongestPause { 1000 };

Duration share(Duration span, std::int64_t divisor)
{
    return Duration(span.milliseconds() / divisor);
}

} // namespace

StoreCallLimits StoreCallLimits::within(Duration bound)
{
    StoreCallLimits limits;
    limits.longPollTimeout = share(bound, 4);
    limits.patience = share(bound, 8);
    limits.repeatInterval = share(bound, 4);
    limits.pollDelay = std::min(LongestPause, share(bound, 2));
    limits.lostAfter = share(bound * 5, 8);
    limits.longestRetry = share(bound, 4);
    return limits;
}

StoreCallScheduler::StoreCallScheduler(StoreCallLimits limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
    , m_retryPause(limits.firstRetry)
{
}

Duration StoreCallScheduler::spread(Duration span)
{
    const std::int64_t most = share(span, SpreadDivisor).milliseconds();
    return span + Duration(std::uniform_int_distribution<std::int64_t>(-most, most)(m_random));
}

void StoreCallScheduler::ask(Duration held, Time now)
{
    m_isAsking = true;
    m_open = 0;
    m_isFirst = true;
    m_held = held;
    m_nextCallAt = now;
    m_lastSignAt = now;
}

StoreCallStep StoreCallScheduler::step(Time now)
{
    if (!m_isAsking) {
        return StoreCallStep {};
    }
    if (now < m_nextCallAt) {
        return StoreCallStep { false, m_nextCallAt };
    }
    ++m_open;
    m_nextCallAt = now + (m_isFirst ? m_held + m_limits.patience : spread(m_limits.repeatInterval));
    m_isFirst = false;
    return StoreCallStep { true, m_nextCallAt };
}

void StoreCallScheduler::onProgress(Time now)
{
    m_lastSignAt = now;
    m_nextCallAt = std::max(m_nextCallAt, now + m_limits.repeatInterval);
}

void StoreCallScheduler::onFailed(Time now)
{
    m_open -= m_open > 0 ? 1 : 0;
    if (m_open > 0) {
        return;
    }
    m_nextCallAt = std::min(m_nextCallAt, now + spread(m_retryPause));
    m_retryPause = std::min(m_retryPause * 2, m_limits.longestRetry);
}

void StoreCallScheduler::onAnswered()
{
    m_isAsking = false;
    m_open = 0;
    m_retryPause = m_limits.firstRetry;
}

bool StoreCallScheduler::isOverdue(Time now) const
{
    return m_isAsking && now - m_lastSignAt >= m_held + m_limits.lostAfter;
}

} // namespace ApricotStep
