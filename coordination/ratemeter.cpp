#include "coordination/ratemeter.h"

#include <cmath>

namespace ApricotStep
{

RateMeter::RateMeter(Duration memory)
    : m_memory(memory)
{
}

void RateMeter::onEvent(Time now)
{
    m_sum = rate(now) * m_memory.toSeconds() + 1;
    m_updatedAt = now;
}

double RateMeter::rate(Time now) const
{
    return m_sum * std::exp((m_updatedAt - now).toSeconds() / m_memory.toSeconds()) / m_memory.toSeconds();
}

} // namespace ApricotStep
