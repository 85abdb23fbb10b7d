#include "coordination/fleetscope.h"
#include "coordination/shardmap.h"

#include <map>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const ZoneId A("a");
const ZoneId B("b");
const ZoneId C("c");

UpstreamRecord engine(const std::string &id, const ZoneId &zone)
{
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.zone = zone;
    return record;
}

} // namespace

// A fleet grows beyond what one small node can process messages for. Its nodes must then exchange load within their zone only, since
// messages between zones would use processor time that requests need.
Test(fleetscope, largeFleetDividesByZone)
{
    FleetScope scope(FleetScopeLimits {}, A);
    scope.update(20, { A, B });
    cr_assert(scope.covers(B) && scope.isScopePeer(B, ZoneId()));
    scope.update(134, { A, B });
    cr_assert(scope.covers(A) && !scope.covers(B));
    cr_assert(scope.isScopePeer(A, A) && scope.isScopePeer(A, ZoneId()) && scope.isScopePeer(C, A));
    cr_assert(!scope.isScopePeer(B, B) && !scope.isScopePeer(A, B));
}

// All engines of a zone are lost. Its nodes must all use the same next zone, or their requests would be refused while engines of other
// zones are free.
Test(fleetscope, zoneWithoutEnginesUsesAnother)
{
    FleetScope scope(FleetScopeLimits {}, C);
    scope.update(134, { A, B });
    cr_assert(scope.zone() == A);
    scope.update(134, { A, B, C });
    cr_assert(scope.zone() == C);
    scope.update(134, {});
    cr_assert(scope.zone() == C);
}

// Nodes restart one by one around the size at which the fleet divides. If each restart changed which nodes use which engines, adapters
// would be loaded in one place and another alternately.
Test(fleetscope, oneRestartDoesNotChangeTheScope)
{
    FleetScope scope(FleetScopeLimits {}, A);
    scope.update(33, { A, B });
    scope.update(31, { A, B });
    cr_assert(scope.zone() == A);
    scope.update(20, { A, B });
    cr_assert(scope.zone().isEmpty());
    scope.update(32, { A, B });
    cr_assert(scope.zone().isEmpty());
}

// Each engine must have one shard, the same on every node at any time; otherwise two nodes order it. A shard does not span zones, and every
// shard gets engines.
Test(shardmap, shardsDoNotSpanZonesAndAreAllUsed)
{
    const ShardMap map({ C, A, B });
    const ShardMap same({ A, B, C });
    cr_assert_eq(map.count(), 9);
    std::map<std::uint64_t, int> sizes;
    for (int i = 0; i < 300; ++i) {
        const ZoneId &zone = i % 3 == 0 ? A : i % 3 == 1 ? B : C;
        const UpstreamRecord record = engine("i-" + std::to_string(i), zone);
        cr_assert(map.shardOf(record) == same.shardOf(record));
        cr_assert(map.zoneOf(map.shardOf(record)) == zone);
        ++sizes[map.shardOf(record).value()];
    }
    cr_assert_eq(sizes.size(), 9);
}

// The configured zone list lacks the zone of an engine, or is empty. The engine must still have one holder.
Test(shardmap, engineOfAnUnknownZoneHasAShard)
{
    const ShardMap map({ A, B });
    cr_assert_lt(map.shardOf(engine("i-1", ZoneId("elsewhere"))).value(), map.count());
    const ShardMap whole({});
    cr_assert_eq(whole.count(), 8);
    cr_assert(whole.zoneOf(whole.shardOf(engine("i-1", A))).isEmpty());
}

// A holder's renewals to a whole fleet, several times a second, are a sixth of all messages between 195 nodes. Those to other scopes are
// sent less often, but new claims and departures at once.
Test(fleetscope, onlyUrgentMessagesLeaveTheScopeAtOnce)
{
    const FleetScopeLimits limits;
    cr_assert(outOfScopeInterval(limits, MessageUrgency::Immediate, false) == Duration(0));
    cr_assert(outOfScopeInterval(limits, MessageUrgency::Renewal, false) > limits.inScopeInterval);
    cr_assert(outOfScopeInterval(limits, MessageUrgency::Renewal, false) < limits.outOfScopeInterval);
    cr_assert(outOfScopeInterval(limits, MessageUrgency::Heartbeat, false) == limits.outOfScopeInterval);
    cr_assert(outOfScopeInterval(limits, MessageUrgency::Heartbeat, true) == limits.outOfScopeIntervalAtStart);
}
