#include "coordination/replicachoice.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace ApricotStep
{

namespace
{

constexpr double OtherZoneCost = 0.5;
constexpr double PrefixGain = 2;

double uniformRandom(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

double bias(const ReplicaView &view)
{
    return (view.isInSameZone ? 0 : OtherZoneCost) - (view.hasPrefix ? PrefixGain : 0);
}

// Returns how much worse @p a is than @p b. Queue depths count only when both are known, since an unknown queue taken for empty would
// attract all requests.
double difference(const ReplicaView &a, const ReplicaView &b)
{
    const int depths = a.depth && b.depth ? *a.depth - *b.depth : 0;
    return depths + bias(a) - bias(b);
}

std::size_t roundedWidth(double width, std::mt19937_64 &random)
{
    const double whole = std::floor(width);
    return static_cast<std::size_t>(whole) + (uniformRandom(random) < width - whole ? 1 : 0);
}

} // namespace

std::optional<std::size_t> chooseReplica(std::span<const ReplicaView> candidates, double width, std::mt19937_64 &random)
{
    const std::size_t count = std::max<std::size_t>(roundedWidth(width, random), 1);
    std::vector<std::size_t> eligible;
    std::optional<std::size_t> skipped;
    for (std::size_t i = 0; i < candidates.size() && eligible.size() < count; ++i) {
        const ReplicaView &view = candidates[i];
        if (view.isTried || view.share <= 0) {
            continue;
        }
        if (view.share < 1 && uniformRandom(random) >= view.share) {
            skipped = skipped.value_or(i);
            continue;
        }
        eligible.push_back(i);
    }
    if (eligible.empty()) {
        return skipped;
    }
    const std::size_t first = std::uniform_int_distribution<std::size_t>(0, eligible.size() - 1)(random);
    if (eligible.size() == 1) {
        return eligible[first];
    }
    const std::size_t other = (first + std::uniform_int_distribution<std::size_t>(1, eligible.size() - 1)(random)) % eligible.size();
    return difference(candidates[eligible[first]], candidates[eligible[other]]) <= 0 ? eligible[first] : eligible[other];
}

} // namespace ApricotStep
