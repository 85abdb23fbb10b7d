#include "coordination/storecallscheduler.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr std::int64_t JitterDivisor = 4;
// Upstreams write several times a second and each call is billed; data that is one second old is good enough to choose among upstreams.
constexpr Duration MaxPollDelay { 1000 };

Duration share(Duration span, std::int64_t divisor)
{
    return Duration(span.milliseconds() / divisor);
}

} // namespace

StoreCallLimits StoreCallLimits::within(Duration bound)
{
    StoreCallLimits limits;
    limits.longPollTimeout = share(bound, 4);
    limits.hedgeDelay = share(bound, 8);
    limits.hedgeInterval = share(bound, 4);
    limits.pollDelay = std::min(MaxPollDelay, share(bound, 2));
    limits.unresponsiveAfter = share(bound * 5, 8);
    limits.maxRetryDelay = share(bound, 4);
    return limits;
}

StoreCallScheduler::StoreCallScheduler(StoreCallLimits limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
    , m_retryDelay(limits.initialRetryDelay)
{
}

Duration StoreCallScheduler::jittered(Duration span)
{
    const std::int64_t most = share(span, JitterDivisor).milliseconds();
    return span + Duration(std::uniform_int_distribution<std::int64_t>(-most, most)(m_random));
}

void StoreCallScheduler::ask(Duration holdTime, Time now)
{
    m_isQuerying = true;
    m_openCalls = 0;
    m_isFirstCall = true;
    m_holdTime = holdTime;
    m_nextCallAt = now;
    m_lastProgressAt = now;
}

StoreCallStep StoreCallScheduler::step(Time now)
{
    if (!m_isQuerying) {
        return StoreCallStep {};
    }
    if (now < m_nextCallAt) {
        return StoreCallStep { false, m_nextCallAt };
    }
    ++m_openCalls;
    m_nextCallAt = now + (m_isFirstCall ? m_holdTime + m_limits.hedgeDelay : jittered(m_limits.hedgeInterval));
    m_isFirstCall = false;
    return StoreCallStep { true, m_nextCallAt };
}

void StoreCallScheduler::onProgress(Time now)
{
    m_lastProgressAt = now;
    m_nextCallAt = std::max(m_nextCallAt, now + m_limits.hedgeInterval);
}

void StoreCallScheduler::onFailed(Time now)
{
    m_openCalls -= m_openCalls > 0 ? 1 : 0;
    if (m_openCalls > 0) {
        return;
    }
    m_nextCallAt = std::min(m_nextCallAt, now + jittered(m_retryDelay));
    m_retryDelay = std::min(m_retryDelay * 2, m_limits.maxRetryDelay);
}

void StoreCallScheduler::onAnswered()
{
    m_isQuerying = false;
    m_openCalls = 0;
    m_retryDelay = m_limits.initialRetryDelay;
}

bool StoreCallScheduler::isOverdue(Time now) const
{
    return m_isQuerying && now - m_lastProgressAt >= m_holdTime + m_limits.unresponsiveAfter;
}

} // namespace ApricotStep
