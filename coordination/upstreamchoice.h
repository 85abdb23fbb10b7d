#pragma once

#include "coordination/upstreamloadtracker.h"
#include "core/clock.h"
#include "state/upstreamrecord.h"

#include <cstdint>
#include <random>
#include <string_view>
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
    bool isSameZone = false;
    /** Tokens of the prompt that it has probably read before and keeps. */
    double cachedTokens = 0;
};

struct ChoiceParameters
{
    /** Tokens of prompts that an engine reads in a millisecond. */
    double promptTokensPerMs = 38;
    /** What one running request adds to the first token of another, ms. */
    double runningCostMs = 4;
    /** A request in an upstream of another zone costs as much as this part of a place more. */
    double otherZoneCost = 0.3;
};

/**
 * Takes @p sharedTokens of a prompt that begins with @p sharedPrefix as kept by one of @p options, the same one at all nodes.
 *
 * Load pattern: an adapter has copies at several engines, and its requests share long beginnings. Sent to the least loaded copy each time,
 * every engine reads every beginning: with 140 engines 23.7 of 96.8 million tokens were read though another copy kept them. The nodes agree
 * on an engine for each beginning without a message; it is left where its queue costs more than the reading.
 */
void creditSharedPrefix(std::vector<UpstreamOption> &options, std::string_view sharedPrefix, std::uint32_t sharedTokens);

/** How long a prompt of @p promptTokens would wait for its first token at @p option. */
Duration expectedTimeToFirstToken(const UpstreamOption &option, std::uint32_t promptTokens, const ChoiceParameters &parameters);

/** The engine with the earliest first token, by chance among equals; null when there is none. Ejected ones only if all are. */
const UpstreamOption *chooseEngine(
    const std::vector<UpstreamOption> &options, std::uint32_t promptTokens, const ChoiceParameters &parameters, std::mt19937_64 &random);

/** The upstream of a plain service with the most room, by chance among equals; null when there is none. Ejected ones only if all are. */
const UpstreamOption *chooseService(
    const std::vector<UpstreamOption> &options, const ChoiceParameters &parameters, std::mt19937_64 &random);

} // namespace ApricotStep
