#pragma once

#include "core/strongid.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace ApricotStep
{

// Callers ask for the addresses of nodes, keep the answer for some seconds and pick one address for each connection. A node that refuses
// callers' keys, because it cannot learn which ones were withdrawn, would refuse a share of all requests for as long as it is listed.

struct CallerDirectoryLimits
{
    /** Maximum number of addresses in one answer. */
    std::size_t maxAddresses = 64;
    /** With fewer nodes than this in the caller's zone, the nodes of all zones are listed. */
    std::size_t minSameZoneNodes = 2;
};

/** A ready node that callers may use. */
struct DirectoryNode
{
    std::string address;
    ZoneId zone;
    /** It may soon refuse callers with keys. */
    bool hasOutdatedKeys = false;
};

/** Returns the addresses for a caller in @p callerZone, in random order; empty if there is no node. */
std::vector<std::string> chooseAddresses(
    const std::vector<DirectoryNode> &nodes, const ZoneId &callerZone, const CallerDirectoryLimits &limits, std::mt19937_64 &random);

} // namespace ApricotStep
