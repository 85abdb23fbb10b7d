#include "coordination/shardmap.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

namespace
{

// The loss of one holder stops at most an eighth of the adapter loads.
constexpr std::uint64_t MinShards = 8;

} // namespace

ShardMap::ShardMap(std::vector<ZoneId> zones)
    : m_zones(std::move(zones))
{
    if (m_zones.empty()) {
        m_zones.emplace_back();
    }
    std::sort(m_zones.begin(), m_zones.end());
    m_shardsPerZone = (MinShards + m_zones.size() - 1) / m_zones.size();
}

std::uint64_t ShardMap::count() const
{
    return m_shardsPerZone * m_zones.size();
}

EngineShard ShardMap::shardOf(const UpstreamRecord &engine) const
{
    const std::uint64_t hash = stableHash(engine.id.value());
    const auto at = std::lower_bound(m_zones.begin(), m_zones.end(), engine.zone);
    const bool isKnown = at != m_zones.end() && *at == engine.zone;
    // An engine in an unknown zone has a single holder as well.
    const std::uint64_t zone = isKnown ? static_cast<std::uint64_t>(at - m_zones.begin()) : hash / m_shardsPerZone % m_zones.size();
    return EngineShard(zone * m_shardsPerZone + hash % m_shardsPerZone);
}

const ZoneId &ShardMap::zoneOf(EngineShard shard) const
{
    return m_zones[shard.value() / m_shardsPerZone];
}

} // namespace ApricotStep
