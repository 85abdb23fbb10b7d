#pragma once

#include "coordination/fleetmessage.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <cstdint>
#include <vector>

namespace ApricotStep
{

/**
 * Divides the engines into shards, several per availability zone. One lease holder per shard gives the orders to its engines.
 *
 * With one holder for all engines, no adapter is loaded on any of them for four seconds after each loss of that node; with eight shards
 * most engines are not affected. Shards do not span zones, since in a large fleet only the nodes of one zone exchange their load.
 */
class ShardMap
{
public:
    /** @p zones: all zones of the fleet; must be the same on all nodes. If empty, the shards span all engines. */
    explicit ShardMap(std::vector<ZoneId> zones);

    std::uint64_t count() const;
    /** The shard of an engine. It never changes, since a change of holder would need a handover delay of its own. */
    EngineShard shardOf(const UpstreamRecord &engine) const;
    /** Empty if the shards span all zones. */
    const ZoneId &zoneOf(EngineShard shard) const;

private:
    std::vector<ZoneId> m_zones;
    std::uint64_t m_shardsPerZone = 1;
};

} // namespace ApricotStep
