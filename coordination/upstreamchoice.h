#pragma once

#include "coordination/upstreambook.h"
#include "core/clock.h"
#include "state/upstreamrecord.h"

#include <cstdint>
#include <random>
#include <vector>

namespace ApricotStep
{

// Load pattern: many nodes choose at once among a few upstreams, each on figures up to a quarter second old.
// Without weighing what all nodes have sent: the fastest upstream of one look gets the requests of all nodes, then the next one does; first
// tokens swing between nothing and seconds. With the upstream that is least loaded for the fleet, and chance among equals, they spread.
// Grounds for the figures: an engine's prompts are read one after the other, so what waits to be read decides the first token; each running
// request adds its part to every step. A plain service's upstream in another zone costs a millisecond or two and bytes between zones, less
// than one request ahead in its queue does.

/** An upstream that could take a request. */
struct UpstreamOption
{
    const UpstreamRecord *record = nullptr;
    FleetLoad load;
    /** What outliers leave it of its share: 0 ejected, 1 well. */
    double share = 1;
    /** In this node's availability zone. */
    bool isNear = false;
};

struct ChoiceFigures
{
    /** Tokens of prompts that an engine reads in a millisecond. */
    double promptTokensPerMs = 38;
    /** What one running request adds to the first token of another, ms. */
    double runningCostMs = 4;
    /** A request in an upstream of another zone costs as much as this part of a place more. */
    double farCost = 0.3;
};

/** How long a prompt of @p promptTokens would wait for its first token at @p option. */
Duration expectedFirstToken(const UpstreamOption &option, std::uint32_t promptTokens, const ChoiceFigures &figures);

/** The engine with the earliest first token, by chance among equals; null when there is none. Ejected ones only if all are. */
const UpstreamOption *chooseEngine(
    const std::vector<UpstreamOption> &options, std::uint32_t promptTokens, const ChoiceFigures &figures, std::mt19937_64 &random);

/** The upstream of a plain service with the most room, by chance among equals; null when there is none. Ejected ones only if all are. */
const UpstreamOption *chooseService(const std::vector<UpstreamOption> &options, const ChoiceFigures &figures, std::mt19937_64 &random);

} // namespace ApricotStep
