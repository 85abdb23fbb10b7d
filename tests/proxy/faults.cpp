#include "tests/proxy/faults.h"

namespace FaultProxy
{

void Faults::clear()
{
    delayMs = 0;
    cutAnswerAfter = -1;
    cutRequestAfter = -1;
    isBlackHole = false;
    isHalfOpen = false;
    isReset = false;
    maxBytesPerSecond = 0;
    lossPercent = 0;
    duplicatePercent = 0;
    reorderPercent = 0;
}

void Partition::block(const std::string &from, const std::string &to)
{
    const std::lock_guard lock(m_mutex);
    m_blocked.emplace(from, to);
}

void Partition::clear()
{
    const std::lock_guard lock(m_mutex);
    m_blocked.clear();
}

bool Partition::isBlocked(const std::string &from, const std::string &to) const
{
    const std::lock_guard lock(m_mutex);
    return m_blocked.contains({ from, to });
}

} // namespace FaultProxy
