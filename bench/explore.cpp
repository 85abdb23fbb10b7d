#include "tests/fakes/exploration.h"

#include <CLI/CLI.hpp>

#include <cstdio>

// Explores seeded histories of a small fleet under faults and counts violations of the eight invariants. Then disables one safeguard at a
// time and prints the first seed whose history violates an invariant without it.

using namespace Fakes;

namespace
{

constexpr int MinNodes = 3;
constexpr int MaxNodes = 5;

int nodeCount(std::uint64_t seed, int requested)
{
    return requested != 0 ? requested : MinNodes + static_cast<int>(seed % (MaxNodes - MinNodes + 1));
}

void add(HistoryResult &sum, const HistoryResult &result)
{
    for (std::size_t i = 0; i < InvariantCount; ++i) {
        sum.violations[i] += result.violations[i];
    }
    sum.served += result.served;
    sum.refused += result.refused;
    sum.unknown += result.unknown;
    sum.evictions += result.evictions;
    sum.payments += result.payments;
    sum.takeovers += result.takeovers;
    sum.fenced += result.fenced;
}

// Returns whether no invariant was violated.
bool explore(std::uint64_t firstSeed, std::uint64_t count, int nodes)
{
    HistoryResult sum;
    int shown = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        const HistoryResult result = exploreHistory(seed, nodeCount(seed, nodes), Safeguard::None);
        add(sum, result);
        if (result.total() > 0 && shown < 10) {
            ++shown;
            std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), result.first.c_str());
        }
    }
    std::printf("histories=%llu first_seed=%llu", static_cast<unsigned long long>(count), static_cast<unsigned long long>(firstSeed));
    for (std::size_t i = 0; i < InvariantCount; ++i) {
        std::printf(" %s=%llu", InvariantNames[i].data(), static_cast<unsigned long long>(sum.violations[i]));
    }
    std::printf("\nexercised: served=%llu refused=%llu unknown=%llu evictions=%llu payments=%llu takeovers=%llu fenced=%llu\n",
        static_cast<unsigned long long>(sum.served), static_cast<unsigned long long>(sum.refused),
        static_cast<unsigned long long>(sum.unknown), static_cast<unsigned long long>(sum.evictions),
        static_cast<unsigned long long>(sum.payments), static_cast<unsigned long long>(sum.takeovers),
        static_cast<unsigned long long>(sum.fenced));
    return sum.total() == 0;
}

// Returns whether a history without the safeguard violates an invariant.
bool findViolationWithout(Safeguard guard, std::uint64_t firstSeed, std::uint64_t count, int nodes)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        const HistoryResult result = exploreHistory(seed, nodeCount(seed, nodes), guard);
        const std::uint64_t tried = seed - firstSeed + 1;
        if (result.total() > 0) {
            std::printf("without %s: seed %llu after %llu histories: %s\n", safeguardName(guard).data(),
                static_cast<unsigned long long>(seed), static_cast<unsigned long long>(tried), result.first.c_str());
            return true;
        }
    }
    std::printf("without %s: not caught in %llu histories\n", safeguardName(guard).data(), static_cast<unsigned long long>(count));
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app { "Explores seeded histories of several nodes under faults." };
    std::uint64_t seeds = 1000;
    std::uint64_t firstSeed = 1;
    int nodes = 0;
    bool withoutGuards = true;
    app.add_option("--seeds", seeds, "Number of histories to explore.");
    app.add_option("--seed", firstSeed, "First seed.");
    app.add_option("--nodes", nodes, "Number of nodes, 3 to 5; 0 varies it with the seed.")->check(CLI::IsMember({ 0, 3, 4, 5 }));
    app.add_option("--guards", withoutGuards, "Whether to also run without each safeguard.");
    CLI11_PARSE(app, argc, argv);

    bool isPassed = explore(firstSeed, seeds, nodes);
    for (const Safeguard guard : AllSafeguards) {
        isPassed = (!withoutGuards || findViolationWithout(guard, firstSeed, seeds, nodes)) && isPassed;
    }
    return isPassed ? 0 : 1;
}
