#include "coordination/callerdirectory.h"

#include <algorithm>

namespace ApricotStep
{

std::vector<std::string> chooseAddresses(
    const std::vector<DirectoryNode> &nodes, const ZoneId &callerZone, const CallerDirectoryLimits &limits, std::mt19937_64 &random)
{
    std::vector<const DirectoryNode *> usable;
    for (const DirectoryNode &node : nodes) {
        if (!node.hasOutdatedKeys) {
            usable.push_back(&node);
        }
    }
    // If the store is lost to all nodes, callers still find those that serve public routes, and all of them when it returns.
    if (usable.empty()) {
        for (const DirectoryNode &node : nodes) {
            usable.push_back(&node);
        }
    }
    const auto isSameZone = [&callerZone](const DirectoryNode *node) { return node->zone == callerZone; };
    if (static_cast<std::size_t>(std::count_if(usable.begin(), usable.end(), isSameZone)) >= limits.minSameZoneNodes) {
        std::erase_if(usable, [&isSameZone](const DirectoryNode *node) { return !isSameZone(node); });
    }
    std::shuffle(usable.begin(), usable.end(), random);
    usable.resize(std::min(usable.size(), limits.maxAddresses));
    std::vector<std::string> addresses;
    for (const DirectoryNode *node : usable) {
        addresses.push_back(node->address);
    }
    return addresses;
}

} // namespace ApricotStep
