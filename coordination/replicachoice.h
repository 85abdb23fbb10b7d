#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace ApricotStep
{

// Load pattern: a hot adapter on several upstreams whose queues are known late and in part.
// Without two choices: always the shortest known queue sends everything to one upstream until the next news of it (herding); a random one
// leaves queues uneven. Two choices even out as well as full knowledge nearly does and cannot herd.
// Grounds for the figures: a far zone costs about a millisecond each way, far less than one request ahead in a queue takes, so it only
// breaks ties. A cached prefix saves about one prompt's work, so it may outweigh two requests ahead and no more.

/** What is known of one candidate at the moment of the choice. */
struct ReplicaView
{
    /** Requests waiting or running there, as last known; empty when unknown. */
    std::optional<int> depth;
    /** Share that it should get: 0 ejected, below 1 while it returns slowly. */
    double share = 1;
    bool isInSameZone = true;
    /** The upstream is believed to hold the prompt's prefix. */
    bool hasPrefix = false;
    /** Already tried for this request. */
    bool isTried = false;
};

/**
 * Position of the candidate to use, among the first @p width ones (see HotSpread) that are not ejected or tried; falls back along the list.
 * Empty when every candidate was tried or is ejected.
 */
std::optional<std::size_t> chooseReplica(std::span<const ReplicaView> candidates, double width, std::mt19937_64 &random);

} // namespace ApricotStep
