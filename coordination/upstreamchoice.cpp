#include "coordination/upstreamchoice.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <limits>

namespace ApricotStep
{

namespace
{

// Lower bound of the share, so that an ejected upstream has a finite cost and can be chosen if all are ejected.
constexpr double MinShare = 0.01;

template<typename CostOf>
const UpstreamOption *cheapest(const std::vector<UpstreamOption> &options, std::mt19937_64 &random, const CostOf &costOf)
{
    const UpstreamOption *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    int ties = 0;
    for (const UpstreamOption &option : options) {
        const double cost = costOf(option) / std::max(option.share, MinShare);
        if (cost > bestCost) {
            continue;
        }
        ties = cost < bestCost ? 1 : ties + 1;
        // Reservoir sampling: each of the options with equal cost is chosen with the same probability.
        if (ties == 1 || std::uniform_int_distribution<int>(1, ties)(random) == 1) {
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
    std::max_element(options.begin(), options.end(), isLess)->cachedTokens = sharedTokens;
}

Duration expectedTimeToFirstToken(const UpstreamOption &option, std::uint32_t promptTokens, const ChoiceParameters &parameters)
{
    const double unreadTokens = std::max(promptTokens - option.cachedTokens, 0.0);
    const double readingTime = (option.load.pendingTokens + unreadTokens) / parameters.promptTokensPerMs;
    return Duration(static_cast<std::int64_t>((readingTime + option.load.running * parameters.runningCostMs) * option.slowness));
}

const UpstreamOption *chooseEngine(
    const std::vector<UpstreamOption> &options, const RequestCost &cost, const ChoiceParameters &parameters, std::mt19937_64 &random)
{
    return cheapest(options, random, [&cost, &parameters](const UpstreamOption &option) {
        const double own = static_cast<double>(expectedTimeToFirstToken(option, cost.promptTokens, parameters).milliseconds()) + 1;
        const double prefillTime = std::max(cost.promptTokens - option.cachedTokens, 0.0) / parameters.promptTokensPerMs;
        const double delayOfOthers = prefillTime * option.load.running;
        const double exposure = option.load.prefillShare * static_cast<double>(cost.answerTime.milliseconds());
        return own + parameters.separation * (parameters.delayWeight * delayOfOthers + parameters.exposureWeight * exposure);
    });
}

const UpstreamOption *chooseService(const std::vector<UpstreamOption> &options, const ChoiceParameters &parameters, std::mt19937_64 &random)
{
    return cheapest(options, random, [&parameters](const UpstreamOption &option) {
        return (option.load.running + 1) / std::max(option.record->slots, 1) + (option.isSameZone ? 0 : parameters.otherZoneCost);
    });
}

} // namespace ApricotStep
