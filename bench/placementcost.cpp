// What one placement decision costs, and what it costs to take in a new catalog or fleet view, over upstreams and adapters.

#include "coordination/placement.h"

#include <benchmark/benchmark.h>

#include <random>

using namespace ApricotStep;

namespace
{

constexpr int ZoneCount = 16;
constexpr int UpstreamsPerNode = 30;
constexpr int AdapterCount = 130'000;

std::shared_ptr<const Catalog> catalogOf(int upstreams)
{
    CatalogContent content;
    content.version = ConfigVersion(1);
    for (int i = 0; i < upstreams; ++i) {
        UpstreamSpec spec;
        spec.id = UpstreamId("engine-" + std::to_string(i));
        spec.address = "10.0.0.1:8000";
        spec.zone = ZoneId("zone-" + std::to_string(i % ZoneCount));
        content.upstreams.push_back(std::move(spec));
    }
    for (int i = 0; i < AdapterCount; ++i) {
        content.adapters.push_back({ { AdapterId("adapter-" + std::to_string(i)), AdapterVersion("1") }, {} });
    }
    return Catalog::create(std::move(content)).value();
}

std::shared_ptr<const FleetView> fleetOf(int upstreams)
{
    auto fleet = std::make_shared<FleetView>();
    for (int i = 0; i < std::max(upstreams / UpstreamsPerNode, 1); ++i) {
        fleet->nodes.push_back({ NodeId("node-" + std::to_string(i)), ZoneId("zone-" + std::to_string(i % ZoneCount)), "", "" });
    }
    return fleet;
}

void decide(benchmark::State &state)
{
    const auto upstreams = static_cast<int>(state.range(0));
    const auto catalog = catalogOf(upstreams);
    const Placement placement(catalog, fleetOf(upstreams));
    std::mt19937_64 random(1);
    std::uniform_int_distribution<std::size_t> pick(0, AdapterCount - 1);
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(placement.candidates(catalog->adapters()[pick(random)].key));
    }
    state.SetComplexityN(state.range(0));
}

void takeIn(benchmark::State &state)
{
    const auto upstreams = static_cast<int>(state.range(0));
    const auto catalog = catalogOf(upstreams);
    const auto fleet = fleetOf(upstreams);
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(std::make_unique<Placement>(catalog, fleet));
    }
    state.SetComplexityN(state.range(0));
}

} // namespace

// 1,714 is one of seven base models at 12,000 upstreams.
BENCHMARK(decide)->Arg(30)->Arg(1000)->Arg(1714)->Arg(12'000)->Complexity(benchmark::oN)->Unit(benchmark::kMicrosecond);
BENCHMARK(takeIn)->Arg(30)->Arg(1000)->Arg(1714)->Arg(12'000)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
