#pragma once

#include "coordination/fleetmessage.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <cstdint>
#include <vector>

namespace ApricotStep
{

/**
 * Parts of the engines whose orders have a holder each: some for each availability zone.
 *
 * With one holder for all, no adapter is loaded anywhere for four seconds after each loss of that node; with eight, most of the engines go
 * on. Within a zone, since in a large fleet only the nodes of a zone tell each other what they run.
 */
class ShardMap
{
public:
    /** @p zones: all that the fleet has; all nodes must give the same ones. None: the shards span all engines. */
    explicit ShardMap(std::vector<ZoneId> zones);

    std::uint64_t count() const;
    /** The shard of an engine; never changes, since a change of holder would need a silence of its own. */
    EngineShard shardOf(const UpstreamRecord &engine) const;
    /** Empty when the shards span all zones. */
    const ZoneId &zoneOf(EngineShard shard) const;

private:
    std::vector<ZoneId> m_zones;
    std::uint64_t m_shardsPerZone = 1;
};

} // namespace ApricotStep
