#include "coordination/retrybudget.h"

#include <algorithm>

namespace ApricotStep
{

RetryBudget::RetryBudget(RetryBudgetLimits limits, Time now)
    : m_limits(limits)
    , m_tokens(limits.reserve)
    , m_refilledAt(now)
{
}

void RetryBudget::refill(Time now)
{
    if (now <= m_refilledAt) {
        return;
    }
    m_tokens = std::min(m_limits.reserve, m_tokens + (now - m_refilledAt).toSeconds() * m_limits.minRetriesPerSecond);
    m_refilledAt = now;
}

void RetryBudget::setLimits(RetryBudgetLimits limits, Time now)
{
    refill(now);
    m_limits = limits;
    m_tokens = std::min(m_tokens, m_limits.reserve);
}

void RetryBudget::onSuccess(Time now)
{
    refill(now);
    m_tokens = std::min(m_limits.reserve, m_tokens + m_limits.share);
}

bool RetryBudget::take(Time now)
{
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

double RetryBudget::available(Time now)
{
    refill(now);
    return m_tokens;
}

} // namespace ApricotStep
