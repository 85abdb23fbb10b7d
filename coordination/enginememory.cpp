#include "coordination/enginememory.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ApricotStep
{

EngineMemory::EngineMemory(EngineMemoryLimits limits)
    : m_limits(limits)
{
}

double EngineMemory::reservation(
    std::uint32_t promptTokens, std::uint32_t sharedTokens, std::uint32_t maxAnswerTokens, double capacity) const
{
    if (capacity <= 0) {
        return 0;
    }
    return std::max(promptTokens, sharedTokens) + std::min<double>(maxAnswerTokens, m_limits.maxAnswerShare * capacity);
}

bool EngineMemory::hasRoom(const UpstreamId &engine, const EngineMemoryUse &use, Time now, std::mt19937_64 &random)
{
    if (use.capacity <= 0) {
        return true;
    }
    const bool isAboveShare = use.reserved + use.tokens > m_limits.uncontendedShare * use.capacity;
    auto known = m_contended.find(engine);
    if (known == m_contended.end()) {
        if (!isAboveShare) {
            return true;
        }
        const Contention all { static_cast<double>(use.nodes), now - m_limits.maxTryInterval };
        known = m_contended.emplace(engine, all).first;
    }
    Contention &contention = known->second;
    const Duration sinceLastTry = now - std::exchange(contention.lastTry, now);
    const double halfLives =
        static_cast<double>(sinceLastTry.milliseconds()) / static_cast<double>(m_limits.contentionHalfLife.milliseconds());
    contention.nodes = std::min<double>(contention.nodes * std::exp2(isAboveShare ? 2 * halfLives : -halfLives), use.nodes);
    if (!isAboveShare && contention.nodes <= 1) {
        remove(engine);
        return true;
    }
    // A request that needs more than the share must run somewhere.
    const double room = use.capacity * (use.reserved > 0 ? m_limits.maxShare : 1) - use.reserved;
    if (use.tokens > room) {
        return false;
    }
    if (use.nodes <= 1) {
        return true;
    }
    const double tokensPerMs = room / std::max(contention.nodes, 1.0) / static_cast<double>(m_limits.fillTime.milliseconds());
    const double allowance = tokensPerMs * static_cast<double>(std::min(sinceLastTry, m_limits.maxTryInterval).milliseconds());
    return std::uniform_real_distribution<double>(0, 1)(random) * use.tokens < allowance;
}

void EngineMemory::remove(const UpstreamId &engine)
{
    m_contended.erase(engine);
}

} // namespace ApricotStep
