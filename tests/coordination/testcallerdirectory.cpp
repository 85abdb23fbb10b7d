#include "coordination/callerdirectory.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

std::vector<DirectoryNode> nodes(int count, const std::string &zone, bool hasOutdatedKeys)
{
    std::vector<DirectoryNode> result;
    for (int i = 0; i < count; ++i) {
        result.push_back(DirectoryNode { zone + std::to_string(i), ZoneId(zone), hasOutdatedKeys });
    }
    return result;
}

bool contains(const std::vector<std::string> &addresses, const std::string &address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

} // namespace

Test(callerdirectory, nodesOfTheCallersZoneAreListed)
{
    std::mt19937_64 random(1);
    auto all = nodes(3, "a", false);
    const auto others = nodes(80, "b", false);
    all.insert(all.end(), others.begin(), others.end());
    cr_assert_eq(chooseAddresses(all, ZoneId("a"), {}, random).size(), 3);
    cr_assert_eq(chooseAddresses(all, ZoneId("b"), {}, random).size(), 64);
    cr_assert_eq(chooseAddresses(all, ZoneId("c"), {}, random).size(), 64);
}

// Guards against callers that are sent to nodes which refuse their keys while other nodes accept them.
Test(callerdirectory, nodesWithOutdatedKeysAreLeftOut)
{
    std::mt19937_64 random(1);
    auto all = nodes(3, "a", false);
    all[1].hasOutdatedKeys = true;
    const auto chosen = chooseAddresses(all, ZoneId("a"), {}, random);
    cr_assert(chosen.size() == 2 && !contains(chosen, "a1"));
    // A zone that has lost the store sends its callers to another one.
    all = nodes(3, "a", true);
    all.push_back(DirectoryNode { "b0", ZoneId("b"), false });
    cr_assert(chooseAddresses(all, ZoneId("a"), {}, random) == std::vector<std::string> { "b0" });
}

// Guards against an empty directory while the store is lost to all nodes: callers of public routes would find none.
Test(callerdirectory, allNodesAreListedIfAllKeysAreOutdated)
{
    std::mt19937_64 random(1);
    cr_assert_eq(chooseAddresses(nodes(4, "a", true), ZoneId("a"), {}, random).size(), 4);
    cr_assert(chooseAddresses({}, ZoneId("a"), {}, random).empty());
}
