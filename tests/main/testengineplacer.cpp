#include "main/engineplacer.h"

#include "main/metrics.h"

#include <map>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const AdapterKey Lesson { AdapterId("lesson"), AdapterVersion("1") };

// Three engines, one per zone, and a node in each of the first @p nodes zones. Engines in zones without a node are owned by the other
// nodes.
struct PlacerFixture
{
    explicit PlacerFixture(int nodes)
        : placer(NodeId("n0"), ZoneId("z0"), clock, health, 1)
    {
        CatalogContent content;
        content.version = ConfigVersion(1);
        for (int i = 0; i < 3; ++i) {
            UpstreamSpec spec;
            spec.id = UpstreamId("e" + std::to_string(i));
            spec.address = "127.0.0.1:1";
            spec.zone = ZoneId("z" + std::to_string(i));
            content.upstreams.push_back(spec);
        }
        auto view = std::make_shared<FleetView>();
        for (int i = 0; i < nodes; ++i) {
            view->nodes.push_back({ NodeId("n" + std::to_string(i)), ZoneId("z" + std::to_string(i)), "", "", {} });
        }
        placement = placer.placement(Catalog::create(std::move(content)).value(), view);
    }
    std::optional<Candidate> choose(const PlacementRequest &request)
    {
        return placer.choose(request, *placement, [this](const UpstreamId &id) { return depths[id.value()]; });
    }
    void failPreferred()
    {
        for (int i = 0; i < OutlierLimits {}.failuresToEject; ++i) {
            health.onFailure(placement->candidates(Lesson).front().upstream->id);
        }
    }

    ManualClock clock;
    Metrics metrics;
    UpstreamHealth health { clock, metrics, 1 };
    EnginePlacer placer;
    std::shared_ptr<const Placement> placement;
    std::map<std::string, int> depths;
};

} // namespace

Test(engineplacer, ejectedPreferredEngineIsSkippedUntilItRecovers)
{
    // The preferred engine of an adapter fails repeatedly. Requests must go to the next engine until the preferred one has recovered.
    PlacerFixture placer(1);
    const auto candidates = placer.placement->candidates(Lesson);
    cr_assert(placer.choose({ Lesson })->upstream == candidates[0].upstream);
    placer.failPreferred();
    cr_assert(placer.choose({ Lesson })->upstream == candidates[1].upstream);
    cr_assert(placer.choose({ Lesson, { candidates[1].upstream->id } })->upstream == candidates[2].upstream);
    placer.clock.advance(OutlierLimits {}.baseEjectionTime + OutlierLimits {}.slowStartTime);
    cr_assert(placer.choose({ Lesson })->upstream == candidates[0].upstream);
}

Test(engineplacer, forwardedRequestStaysOnThisNode)
{
    // Two nodes have different views of the fleet. A request that was forwarded to this node must run here or be refused; forwarding it
    // again could send it in a loop.
    PlacerFixture placer(3);
    int foreign = 0;
    for (int i = 0; i < 50; ++i) {
        const AdapterKey adapter { AdapterId("a" + std::to_string(i)), AdapterVersion("1") };
        const auto preferred = placer.placement->candidates(adapter).front();
        cr_assert(placer.choose({ adapter })->upstream == preferred.upstream);
        foreign += preferred.owner->id == NodeId("n0") ? 0 : 1;
        cr_assert(placer.choose({ adapter, {}, true })->owner->id == NodeId("n0"));
    }
    cr_assert_geq(foreign, 20);
}

Test(engineplacer, retryMayUseEngineOfAnotherNode)
{
    // Each of three nodes owns one engine, and the preferred engine of an adapter is gone. The node that owns it must forward the request
    // to the owner of the next engine.
    PlacerFixture placer(3);
    int own = 0;
    for (int i = 0; i < 50; ++i) {
        const AdapterKey adapter { AdapterId("a" + std::to_string(i)), AdapterVersion("1") };
        const auto candidates = placer.placement->candidates(adapter);
        if (candidates.front().owner->id != NodeId("n0")) {
            continue;
        }
        ++own;
        cr_assert_not(placer.choose({ adapter, { candidates[0].upstream->id } }).has_value());
        const auto next = placer.choose({ adapter, { candidates[0].upstream->id }, false, true });
        cr_assert(next->upstream == candidates[1].upstream);
    }
    cr_assert_geq(own, 5);
}

Test(engineplacer, hotAdapterSpreadsAndContracts)
{
    // Forty callers use the same adapter at once. On the preferred engine alone they would queue while two engines are idle.
    PlacerFixture placer(1);
    std::vector<std::shared_ptr<void>> inProgress;
    for (int i = 0; i < 40; ++i) {
        inProgress.push_back(placer.placer.begin(Lesson));
    }
    const auto spread = [&] {
        std::map<std::string, int> counts;
        for (int i = 0; i < 300; ++i) {
            ++counts[placer.choose({ Lesson })->upstream->id.value()];
        }
        return counts.size();
    };
    cr_assert_eq(spread(), 1);
    for (int second = 0; second < 30; ++second) {
        placer.clock.advance(Duration::seconds(1));
        spread();
    }
    cr_assert_eq(spread(), 3);
    inProgress.clear();
    for (int second = 0; second < 120; ++second) {
        placer.clock.advance(Duration::seconds(1));
        placer.choose({ Lesson });
    }
    cr_assert_eq(spread(), 1);
}
