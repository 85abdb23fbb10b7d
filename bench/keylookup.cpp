// Measures what it costs to find the team of a request's key, for a configuration of few and of many keys.

#include "core/keydigest.h"
#include "state/routetable.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace ApricotStep;

namespace
{

constexpr int KeysPerTeam = 2;

std::string keyText(std::int64_t number)
{
    return "asnmgkcuyj8pjbvk9m" + std::to_string(number);
}

std::shared_ptr<const RouteTable> tableWithKeys(std::int64_t count)
{
    RouteTableSource source;
    source.version = ConfigVersion(1);
    for (std::int64_t i = 0; i < count; i += KeysPerTeam) {
        Team team;
        team.name = TeamName("t" + std::to_string(i));
        for (std::int64_t key = i; key < i + KeysPerTeam; ++key) {
            team.keys.push_back(KeyDigest::of(keyText(key)));
        }
        source.teams.push_back(team);
    }
    return RouteTable::make(source).value();
}

void findTeam(benchmark::State &state, bool isKnown)
{
    const auto table = tableWithKeys(state.range(0));
    const std::string key = isKnown ? keyText(state.range(0) / 2) : "unknown-key-of-a-caller";
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(table->teamOf(KeyDigest::of(key)));
    }
}

} // namespace

BENCHMARK_CAPTURE(findTeam, known, true)->Arg(16)->Arg(1000)->Arg(100'000);
BENCHMARK_CAPTURE(findTeam, unknown, false)->Arg(16)->Arg(1000)->Arg(100'000);

BENCHMARK_MAIN();
