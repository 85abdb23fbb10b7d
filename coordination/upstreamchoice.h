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

// Many nodes choose among a few upstreams at the same time, with load data that is up to 250 ms old.
// If a node did not take the load of all nodes into account, the upstream that is fastest at the moment would get the requests of all
// nodes, then the next one, and the time to first token would swing between nothing and seconds. The requests spread if each goes to the
// upstream with the least load from all nodes, with a random choice among equals.
// An engine processes prompts one after the other, so the queued prompt tokens determine the time to first token; each running request adds
// to the time of every step. An upstream of a plain service in another zone costs a millisecond or two and traffic between zones, which is
// less than the cost of one request ahead in its queue.

/** An upstream that could run a request. */
struct UpstreamOption
{
    const UpstreamRecord *record = nullptr;
    FleetLoad load;
    /** The part of its share that outlier detection allows it: 0 if ejected, 1 if healthy. */
    double share = 1;
    /** Whether it is in this node's availability zone. */
    bool isSameZone = false;
    /** Prompt tokens that it has probably processed before and still caches. */
    double cachedTokens = 0;
    /** The time that it takes, relative to other engines under the same load. */
    double slowness = 1;
};

/** What placement takes into account beyond the time to first token at engines of usual speed. */
struct PlacementPolicy
{
    /** Engines get no more requests than their configured KV cache holds (EngineMemory). */
    bool limitsMemory = false;
    /** The time to first token is longer at engines that are slow (EngineSpeed). */
    bool weighsSpeed = false;
    /** Where gaps make streams late, the delays count that prefill causes to streams (EventGapMonitor). */
    bool weighsDelays = false;
};

struct ChoiceParameters
{
    /** Prompt tokens that an engine processes per millisecond. */
    double promptTokensPerMs = 38;
    /** Time in ms that one running request adds to the time to first token of another. */
    double runningCostMs = 4;
    /** Extra cost of an upstream in another zone, as a part of the cost of one request per slot. */
    double otherZoneCost = 0.3;
    /**
     * How much the delays count that prefill causes to streams, 0 to 1 (EventGapMonitor). At 0 only the time to first token and the load
     * count.
     */
    double separation = 0;
    /** Cost of each ms by which other running requests are delayed, in ms of time to first token, at a separation of 1. */
    double delayWeight = 0.5;
    /** The same for each ms by which the prompts of others will delay the answer of this request. */
    double exposureWeight = 2;
};

/** What a request is expected to need of an engine. */
struct RequestCost
{
    std::uint32_t promptTokens = 0;
    /** Time from the first to the last token of the answer, at an engine that does not prefill meanwhile. */
    Duration answerTime;
};

/**
 * Counts @p sharedTokens of a prompt that begins with @p sharedPrefix as cached by one of @p options, the same one on all nodes.
 *
 * An adapter has copies at several engines, and its requests share long prefixes. If each request went to the least loaded copy, every
 * engine would process every prefix: with 140 engines, 23.7 of 96.8 million tokens were processed although another copy had them cached.
 * The nodes agree on an engine for each prefix without messages. A request goes elsewhere if the queue there costs more than processing
 * the prefix again.
 */
void creditSharedPrefix(std::vector<UpstreamOption> &options, std::string_view sharedPrefix, std::uint32_t sharedTokens);

/** The expected time to first token of a prompt of @p promptTokens at @p option. */
Duration expectedTimeToFirstToken(const UpstreamOption &option, std::uint32_t promptTokens, const ChoiceParameters &parameters);

/**
 * The engine with the shortest expected time to first token, a random one among equals; null if there are no options. An ejected engine
 * has a much higher cost, so that it is normally chosen only if all are ejected.
 */
const UpstreamOption *chooseEngine(
    const std::vector<UpstreamOption> &options, const RequestCost &cost, const ChoiceParameters &parameters, std::mt19937_64 &random);

/**
 * The upstream of a plain service with the lowest load per slot, a random one among equals; null if there are no options. Ejected
 * upstreams are treated as in chooseEngine().
 */
const UpstreamOption *chooseService(
    const std::vector<UpstreamOption> &options, const ChoiceParameters &parameters, std::mt19937_64 &random);

} // namespace ApricotStep
