#include "coordination/storereaderelection.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

StoreReaderElection::StoreReaderElection(StoreReaderLimits limits, NodeId self, double capacity)
    : m_limits(limits)
    , m_self(std::move(self))
    , m_capacity(capacity)
{
}

bool StoreReaderElection::isOneOfTheFirst(const std::vector<StorePeer> &neighbours) const
{
    const auto isBefore = [this](const StorePeer &other) {
        return !other.isLeaving && (other.capacity > m_capacity || (other.capacity == m_capacity && other.id < m_self));
    };
    return static_cast<std::size_t>(std::count_if(neighbours.begin(), neighbours.end(), isBefore)) < m_limits.readers;
}

StoreReaderDecision StoreReaderElection::decide(
    bool isDivided, bool isCurrent, std::uint64_t revision, const std::vector<StorePeer> &neighbours, Time now)
{
    // A node whose own last call failed goes on until the store answers it: only so does it know that the store was away.
    if (!isDivided || !isCurrent || now < m_distrustUntil || isOneOfTheFirst(neighbours)) {
        return StoreReaderDecision { true, NodeId() };
    }
    const StorePeer *furthest = nullptr;
    for (const StorePeer &neighbour : neighbours) {
        if (neighbour.isReading && (furthest == nullptr || neighbour.revision > furthest->revision)) {
            furthest = &neighbour;
        }
    }
    if (furthest == nullptr) {
        return StoreReaderDecision { true, NodeId() };
    }
    const bool isDue = furthest->revision > revision && now - m_fetchedAt >= m_limits.fetchInterval;
    return StoreReaderDecision { false, isDue ? furthest->id : NodeId() };
}

void StoreReaderElection::onFetchFailed(Time now)
{
    m_distrustUntil = now + m_limits.distrust;
}

void StoreReaderElection::onFetched(Time now)
{
    m_fetchedAt = now;
}

} // namespace ApricotStep
