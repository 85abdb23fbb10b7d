#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace ApricotStep
{

// Chooses among the upstreams that hold a popular adapter.
//
// Their queues are only known late and incompletely. If the shortest known queue were always chosen, all requests would go to one upstream
// until its next report (herding); a random choice leaves the queues uneven. The better of two random choices balances nearly as well as
// full knowledge does and cannot herd.
//
// Another zone is about a millisecond away in each direction, far less than one request ahead in a queue takes, so the zone only breaks
// ties. A cached prefix saves about the work of one prompt, so it may outweigh at most two requests ahead.

/** What is known of one candidate at the time of the choice. */
struct ReplicaView
{
    /** Requests waiting or running there, as last reported; empty when unknown. */
    std::optional<int> depth;
    /** Share of its requests that it should get: 0 when ejected, below 1 during its slow start. */
    double share = 1;
    bool isInSameZone = true;
    /** The upstream probably holds the prompt's prefix. */
    bool hasPrefix = false;
    /** Already tried for this request. */
    bool isTried = false;
};

/**
 * Returns the position of the candidate to use, among the first @p width ones (see HotSpread) that are neither ejected nor tried; later
 * ones replace those. Empty when every candidate has been tried or is ejected.
 */
std::optional<std::size_t> chooseReplica(std::span<const ReplicaView> candidates, double width, std::mt19937_64 &random);

} // namespace ApricotStep
