#include "coordination/placement.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

AdapterKey adapter(int number)
{
    return { AdapterId("a" + std::to_string(number)), AdapterVersion("1") };
}

UpstreamSpec engine(int number, int slots = 8)
{
    UpstreamSpec spec;
    spec.id = UpstreamId("e" + std::to_string(number));
    spec.address = "127.0.0.1:1";
    spec.zone = ZoneId("z" + std::to_string(number % 3));
    spec.slots = slots;
    return spec;
}

std::shared_ptr<const Catalog> catalog(std::vector<UpstreamSpec> upstreams)
{
    CatalogContent content;
    content.version = ConfigVersion(1);
    content.upstreams = std::move(upstreams);
    return Catalog::create(std::move(content)).value();
}

std::shared_ptr<FleetView> fleet(int nodes)
{
    auto view = std::make_shared<FleetView>();
    for (int i = 0; i < nodes; ++i) {
        view->nodes.push_back({ NodeId("n" + std::to_string(i)), ZoneId("z" + std::to_string(i % 3)), "", "" });
    }
    return view;
}

std::vector<UpstreamSpec> engines(int count)
{
    std::vector<UpstreamSpec> all;
    for (int i = 0; i < count; ++i) {
        all.push_back(engine(i));
    }
    return all;
}

} // namespace

Test(placement, candidatesDoNotDependOnTheOrderOfLists)
{
    // Two nodes read the same upstreams and nodes in a different order. If they disagreed, one adapter would take slots on two engines.
    auto turned = engines(20);
    std::reverse(turned.begin(), turned.end());
    auto otherFleet = fleet(6);
    std::reverse(otherFleet->nodes.begin(), otherFleet->nodes.end());
    const Placement one(catalog(engines(20)), fleet(6));
    const Placement other(catalog(turned), otherFleet);
    for (int i = 0; i < 200; ++i) {
        const auto a = one.candidates(adapter(i));
        const auto b = other.candidates(adapter(i));
        cr_assert_eq(a.size(), Placement::MaxCandidates);
        for (std::size_t k = 0; k < a.size(); ++k) {
            cr_assert(a[k].upstream->id == b[k].upstream->id && a[k].owner->id == b[k].owner->id);
            cr_assert(a[k].owner->zone == a[k].upstream->zone);
        }
    }
}

Test(placement, preferredEnginesFollowCapacity)
{
    auto mixed = engines(4);
    mixed[0].slots = 24;
    const Placement placement(catalog(mixed), fleet(3));
    int large = 0;
    for (int i = 0; i < 6000; ++i) {
        large += placement.candidates(adapter(i)).front().upstream->slots == 24 ? 1 : 0;
    }
    cr_assert_geq(large, 2800); // Half of them: 24 of 48 slots.
    cr_assert_leq(large, 3200);
}

Test(placement, aLeavingEngineMovesOnlyItsOwnAdapters)
{
    // An engine leaves. Adapters that prefer other engines must stay there, since each move costs a load from a slow store.
    const auto all = catalog(engines(9));
    auto without = fleet(3);
    without->leaving.insert(UpstreamId("e4"));
    const Placement before(all, fleet(3));
    const Placement after(all, without);
    for (int i = 0; i < 500; ++i) {
        const auto old = before.candidates(adapter(i));
        const auto now = after.candidates(adapter(i));
        const std::size_t expected = old.front().upstream->id == UpstreamId("e4") ? 1 : 0;
        cr_assert(now.front().upstream->id == old[expected].upstream->id);
    }
}

Test(placement, anAdapterIsPlacedOnEnginesOfItsBaseModelOnly)
{
    // Two base models share the deployment. An adapter on an engine of the other model would fail to load or give meaningless answers.
    CatalogContent content;
    content.version = ConfigVersion(1);
    content.upstreams = engines(6);
    for (std::size_t i = 0; i < content.upstreams.size(); ++i) {
        content.upstreams[i].baseModel = BaseModelId(i % 2 == 0 ? "even" : "odd");
    }
    content.adapters = { { adapter(1), {}, BaseModelId("odd") }, { adapter(2), {}, BaseModelId("none") } };
    const Placement placement(Catalog::create(std::move(content)).value(), fleet(3));
    cr_assert_eq(placement.candidates(adapter(1)).size(), 3);
    for (const Candidate &candidate : placement.candidates(adapter(1))) {
        cr_assert(candidate.upstream->baseModel == BaseModelId("odd"));
    }
    cr_assert(placement.candidates(adapter(2)).empty());
}
