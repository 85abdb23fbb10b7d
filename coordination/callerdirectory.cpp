#include "coordination/callerdirectory.h"

#include "core/hash.h"

#include <algorithm>
#include <numeric>

namespace ApricotStep
{

namespace
{

// The number of nodes at the beginning of @p ordered that carry the load of all of them.
std::size_t neededNodes(const std::vector<const DirectoryNode *> &ordered, const CallerDirectoryLimits &limits)
{
    const double rate =
        std::accumulate(ordered.begin(), ordered.end(), 0.0, [](double sum, const DirectoryNode *node) { return sum + node->requestRate; });
    const double needed = rate * limits.processorTimePerRequest / limits.targetUtilization;
    std::size_t count = 0;
    for (double capacity = 0; count < ordered.size() && (capacity < needed || count < limits.minNodes); ++count) {
        capacity += ordered[count]->capacity;
    }
    return count;
}

} // namespace

std::vector<std::string> chooseAddresses(
    const std::vector<DirectoryNode> &nodes, const ZoneId &callerZone, const CallerDirectoryLimits &limits)
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
    // The same order for all callers of a zone, another one for each zone.
    std::sort(usable.begin(), usable.end(), [&callerZone](const DirectoryNode *a, const DirectoryNode *b) {
        return a->capacity != b->capacity ? a->capacity > b->capacity
                                          : stableHash(callerZone.value(), a->id.value()) > stableHash(callerZone.value(), b->id.value());
    });
    usable.resize(std::min(neededNodes(usable, limits), limits.maxAddresses));
    std::vector<std::string> addresses;
    addresses.reserve(usable.size());
    for (const DirectoryNode *node : usable) {
        addresses.push_back(node->address);
    }
    return addresses;
}

} // namespace ApricotStep
