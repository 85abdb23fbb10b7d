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

// A fleet grows beyond what one small node can listen to. Its nodes then share what they run within their zone only; nodes of other zones
// that went on telling everything would take the processor that callers wait for.
Test(fleetscope, aLargeFleetDividesByZone)
{
    FleetScope scope(FleetScopeLimits {}, A);
    scope.update(20, { A, B });
    cr_assert(scope.covers(B) && scope.isScopePeer(B, ZoneId()));
    scope.update(134, { A, B });
    cr_assert(scope.covers(A) && !scope.covers(B));
    cr_assert(scope.isScopePeer(A, A) && scope.isScopePeer(A, ZoneId()) && scope.isScopePeer(C, A));
    cr_assert(!scope.isScopePeer(B, B) && !scope.isScopePeer(A, B));
}

// All engines of a zone are lost. Requests that come to its nodes would be refused for as long as that lasts, while other zones' engines
// are free; so its nodes join the next zone, all the same one.
Test(fleetscope, aZoneWithoutEnginesJoinsAnother)
{
    FleetScope scope(FleetScopeLimits {}, C);
    scope.update(134, { A, B });
    cr_assert(scope.zone() == A);
    scope.update(134, { A, B, C });
    cr_assert(scope.zone() == C);
    scope.update(134, {});
    cr_assert(scope.zone() == C);
}

// Nodes restart in turn around the size at which the fleet divides. Were each restart to change who uses which engines, adapters would be
// loaded here and there by turns.
Test(fleetscope, oneRestartDoesNotChangeIt)
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

// Each engine must have one shard, the same at every node and at any moment, or two nodes order it. Shards keep to a zone, and all of them
// get engines.
Test(shardmap, shardsKeepToAZoneAndAreAllUsed)
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

// An operator's zone list lacks a zone in which an engine registers, or is empty. The engine still has one holder.
Test(shardmap, engineOfAnUnknownZoneHasAShard)
{
    const ShardMap map({ A, B });
    cr_assert_lt(map.shardOf(engine("i-1", ZoneId("elsewhere"))).value(), map.count());
    const ShardMap whole({});
    cr_assert_eq(whole.count(), 8);
    cr_assert(whole.zoneOf(whole.shardOf(engine("i-1", A))).isEmpty());
}
