#include "coordination/upstreamchoice.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <limits>

namespace ApricotStep
{

namespace
{

// A share below this counts as this one, so that an ejected upstream still has a finite cost when all are ejected.
constexpr double LeastShare = 0.01;

template<typename CostOf>
const UpstreamOption *cheapest(const std::vector<UpstreamOption> &options, std::mt19937_64 &random, const CostOf &costOf)
{
    const UpstreamOption *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    int equals = 0;
    for (const UpstreamOption &option : options) {
        const double cost = costOf(option) / std::max(option.share, LeastShare);
        if (cost > bestCost) {
            continue;
        }
        equals = cost < bestCost ? 1 : equals + 1;
        // Each of the equals is kept with the same chance.
        if (equals == 1 || std::uniform_int_distribution<int>(1, equals)(random) == 1) {
            best = &option;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace

void creditSharedPrefix(std::vector<UpstreamOption> &options, std::string_view sharedPrefix, std::uint32_t sharedTokens)
{
    if (sharedPrefix.empty() || options.empty()) {
        return;
    }
    const auto score = [sharedPrefix](const UpstreamOption &option) { return rendezvousScore(sharedPrefix, option.record->id.value(), 1); };
    const auto isLess = [&score](const UpstreamOption &a, const UpstreamOption &b) { return score(a) < score(b); };
    std::max_element(options.begin(), options.end(), isLess)->keptTokens = sharedTokens;
}

Duration expectedTimeToFirstToken(const UpstreamOption &option, std::uint32_t promptTokens, const ChoiceParameters &figures)
{
    const double unread = std::max(promptTokens - option.keptTokens, 0.0);
    const double reading = (option.load.pendingTokens + unread) / figures.promptTokensPerMs;
    return Duration(static_cast<std::int64_t>(reading + option.load.running * figures.runningCostMs));
}

const UpstreamOption *chooseEngine(
    const std::vector<UpstreamOption> &options, std::uint32_t promptTokens, const ChoiceParameters &figures, std::mt19937_64 &random)
{
    return cheapest(options, random, [promptTokens, &figures](const UpstreamOption &option) {
        return static_cast<double>(expectedTimeToFirstToken(option, promptTokens, figures).milliseconds()) + 1;
    });
}

const UpstreamOption *chooseService(const std::vector<UpstreamOption> &options, const ChoiceParameters &figures, std::mt19937_64 &random)
{
    return cheapest(options, random, [&figures](const UpstreamOption &option) {
        return (option.load.running + 1) / std::max(option.record->slots, 1) + (option.isNear ? 0 : figures.farCost);
    });
}

} // namespace ApricotStep
