// Measures the time of one placement decision, and of building the placement for a new catalog or fleet view, with 30 to 12,000 upstreams
// and 130,000 adapters.

#include "coordination/placement.h"

#include <benchmark/benchmark.h>

#include <random>

using namespace ApricotStep;

namespace
{

constexpr int ZoneCount = 16;
constexpr int UpstreamsPerNode = 30;
constexpr int AdapterCount = 130'000;

AdapterKey adapterKey(std::size_t number)
{
    return { AdapterId("adapter-" + std::to_string(number)), AdapterVersion("1") };
}

std::shared_ptr<const Catalog> catalogOf(int upstreams, int models)
{
    CatalogContent content;
    content.version = ConfigVersion(1);
    for (int i = 0; i < upstreams; ++i) {
        UpstreamSpec spec;
        spec.id = UpstreamId("engine-" + std::to_string(i));
        spec.address = "10.0.0.1:8000";
        spec.zone = ZoneId("zone-" + std::to_string(i % ZoneCount));
        spec.baseModel = BaseModelId("model-" + std::to_string(i % models));
        content.upstreams.push_back(std::move(spec));
    }
    for (int i = 0; i < AdapterCount; ++i) {
        content.adapters.push_back({ adapterKey(static_cast<std::size_t>(i)), {}, BaseModelId("model-" + std::to_string(i % models)) });
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
    const auto catalog = catalogOf(upstreams, static_cast<int>(state.range(1)));
    const Placement placement(catalog, fleetOf(upstreams));
    std::vector<AdapterKey> keys;
    for (std::size_t i = 0; i < AdapterCount; ++i) {
        keys.push_back(adapterKey(i));
    }
    std::mt19937_64 random(1);
    std::uniform_int_distribution<std::size_t> pick(0, AdapterCount - 1);
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(placement.candidates(keys[pick(random)]));
    }
}

void takeIn(benchmark::State &state)
{
    const auto upstreams = static_cast<int>(state.range(0));
    const auto catalog = catalogOf(upstreams, static_cast<int>(state.range(1)));
    const auto fleet = fleetOf(upstreams);
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(std::make_unique<Placement>(catalog, fleet));
    }
}

} // namespace

// Arguments: number of upstreams, number of base models.
BENCHMARK(decide)->Args({ 30, 1 })->Args({ 1000, 1 })->Args({ 12'000, 1 })->Args({ 12'000, 7 })->Unit(benchmark::kMicrosecond);
BENCHMARK(takeIn)->Args({ 30, 1 })->Args({ 1000, 1 })->Args({ 12'000, 7 })->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
