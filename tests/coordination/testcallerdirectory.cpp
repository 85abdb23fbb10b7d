#include "coordination/callerdirectory.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

std::vector<DirectoryNode> nodes(int count, const std::string &zone, double capacity, double requestRate)
{
    std::vector<DirectoryNode> result;
    for (int i = 0; i < count; ++i) {
        const std::string name = zone + std::to_string(capacity) + "-" + std::to_string(i);
        result.push_back(DirectoryNode { NodeId(name), name, ZoneId(zone), capacity, requestRate });
    }
    return result;
}

void append(std::vector<DirectoryNode> &all, const std::vector<DirectoryNode> &more)
{
    all.insert(all.end(), more.begin(), more.end());
}

} // namespace

Test(callerdirectory, nodesOfTheCallersZoneAreListed)
{
    auto all = nodes(3, "a", 0.1, 1);
    append(all, nodes(80, "b", 0.1, 100));
    append(all, nodes(1, "c", 0.1, 1));
    cr_assert_eq(chooseAddresses(all, ZoneId("a"), {}).size(), 3);
    cr_assert_eq(chooseAddresses(all, ZoneId("b"), {}).size(), 64);
    cr_assert_eq(chooseAddresses(all, ZoneId("c"), {}).size(), 64);
}

// Guards against callers that are sent to nodes which refuse their keys while other nodes accept them.
Test(callerdirectory, nodesWithOutdatedKeysAreLeftOut)
{
    auto all = nodes(3, "a", 0.1, 1);
    all[1].hasOutdatedKeys = true;
    const auto chosen = chooseAddresses(all, ZoneId("a"), {});
    cr_assert(chosen.size() == 2 && std::find(chosen.begin(), chosen.end(), all[1].address) == chosen.end());
    // A zone that has lost the store sends its callers to another one.
    all[0].hasOutdatedKeys = true;
    all[2].hasOutdatedKeys = true;
    append(all, nodes(1, "b", 0.1, 1));
    cr_assert(chooseAddresses(all, ZoneId("a"), {}) == std::vector<std::string> { all[3].address });
}

// Guards against an empty directory while the store is lost to all nodes: callers of public routes would find none.
Test(callerdirectory, allNodesAreListedIfAllKeysAreOutdated)
{
    auto all = nodes(4, "a", 0.1, 1);
    for (DirectoryNode &node : all) {
        node.hasOutdatedKeys = true;
    }
    cr_assert_eq(chooseAddresses(all, ZoneId("a"), {}).size(), 4);
    cr_assert(chooseAddresses({}, ZoneId("a"), {}).empty());
}

// Guards against callers that are spread over all small nodes of a zone, each of which connects to every upstream.
Test(callerdirectory, theLargestNodesThatCarryTheLoadAreListed)
{
    auto all = nodes(24, "a", 0.084, 0);
    append(all, nodes(2, "a", 0.5, 32));
    const auto calm = chooseAddresses(all, ZoneId("a"), {});
    cr_assert(calm.size() >= 4 && calm.size() <= 8, "%zu", calm.size());
    for (const std::string &address : { all[24].address, all[25].address }) {
        cr_assert(std::find(calm.begin(), calm.end(), address) != calm.end());
    }
    // All answers list the same nodes, in whatever order their states are known.
    std::reverse(all.begin(), all.end());
    cr_assert(chooseAddresses(all, ZoneId("a"), {}) == calm);
}

// Guards against a few listed nodes that are overloaded by a burst while the others are idle.
Test(callerdirectory, moreNodesAreListedUnderMoreLoad)
{
    auto all = nodes(24, "a", 0.084, 0);
    append(all, nodes(2, "a", 0.5, 100));
    cr_assert_eq(chooseAddresses(all, ZoneId("a"), {}).size(), 26);
    // A lost node is replaced by the next one; the others stay.
    auto calm = nodes(10, "a", 0.1, 1);
    const auto before = chooseAddresses(calm, ZoneId("a"), {});
    std::erase_if(calm, [&before](const DirectoryNode &node) { return node.address == before.front(); });
    const auto after = chooseAddresses(calm, ZoneId("a"), {});
    cr_assert(after.size() == before.size() && std::equal(before.begin() + 1, before.end(), after.begin()));
}
