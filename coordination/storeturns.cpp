#include "coordination/storeturns.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

StoreTurns::StoreTurns(StoreTurnLimits limits, NodeId self, double capacity)
    : m_limits(limits)
    , m_self(std::move(self))
    , m_capacity(capacity)
{
}

bool StoreTurns::isOneOfTheFirst(const std::vector<StoreNeighbour> &neighbours) const
{
    const auto isBefore = [this](const StoreNeighbour &other) {
        return !other.isLeaving && (other.capacity > m_capacity || (other.capacity == m_capacity && other.id < m_self));
    };
    return static_cast<std::size_t>(std::count_if(neighbours.begin(), neighbours.end(), isBefore)) < m_limits.readers;
}

StoreTurn StoreTurns::decide(
    bool isDivided, bool isCurrent, std::uint64_t revision, const std::vector<StoreNeighbour> &neighbours, Time now)
{
    // A node whose own last call failed goes on until the store answers it: only so does it know that the store was away.
    if (!isDivided || !isCurrent || now < m_distrustUntil || isOneOfTheFirst(neighbours)) {
        return StoreTurn { true, NodeId() };
    }
    const StoreNeighbour *furthest = nullptr;
    for (const StoreNeighbour &neighbour : neighbours) {
        if (neighbour.isReading && (furthest == nullptr || neighbour.revision > furthest->revision)) {
            furthest = &neighbour;
        }
    }
    if (furthest == nullptr) {
        return StoreTurn { true, NodeId() };
    }
    const bool isDue = furthest->revision > revision && now - m_fetchedAt >= m_limits.fetchInterval;
    return StoreTurn { false, isDue ? furthest->id : NodeId() };
}

void StoreTurns::onFetchFailed(Time now)
{
    m_distrustUntil = now + m_limits.distrust;
}

void StoreTurns::onFetched(Time now)
{
    m_fetchedAt = now;
}

} // namespace ApricotStep
