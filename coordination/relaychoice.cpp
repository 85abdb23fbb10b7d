#include "coordination/relaychoice.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

// A node that reports no capacity counts as a small one.
constexpr double MinCapacity = 0.05;

double load(const RelayNode &node)
{
    return (node.requestRate + 1) / std::max(node.capacity, MinCapacity);
}

} // namespace

const RelayNode *chooseRelay(const std::vector<RelayNode> &nodes, const std::set<NodeId> &excluded, std::mt19937_64 &random)
{
    std::vector<const RelayNode *> candidates;
    for (const RelayNode &node : nodes) {
        if (!excluded.contains(node.id)) {
            candidates.push_back(&node);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random);
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates.size() > 1 && load(*candidates[1]) < load(*candidates[0]) ? candidates[1] : candidates[0];
}

} // namespace ApricotStep
