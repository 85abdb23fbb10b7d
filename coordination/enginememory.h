#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <random>

namespace ApricotStep
{

/** Shares are parts of an engine's capacity, the tokens that its KV cache holds. */
struct EngineMemoryLimits
{
    /** Up to this share, requests are sent at once, unless the engine was filled beyond it lately. */
    double uncontendedShare = 0.5;
    /**
     * At an engine that was filled beyond the uncontended share, all nodes are taken to contend. Their number is halved in this time as
     * long as the engine is below that share, and doubled in half of it otherwise. Longer than the interval between messages.
     */
    Duration contentionHalfLife { 500 };
    /** No request is sent beyond this share, unless nothing is reserved. The rest is for requests that peers have not reported yet. */
    double maxShare = 0.85;
    /** The longest answer that is expected, whatever maximum its caller states. */
    double maxAnswerShare = 0.1;
    /** Time in which the contending nodes together may use the room of a contended engine; four intervals between messages. */
    Duration fillTime { 1000 };
    /** A try may use what the node is allowed for this time at most; longer than the time between two tries of a waiting request. */
    Duration maxTryInterval { 100 };
};

/** What a request and its engine are known to need and hold, in tokens. */
struct EngineMemoryUse
{
    /** The request's reservation. */
    double tokens = 0;
    /** 0 if the configuration states none. */
    double capacity = 0;
    /** The reservations of all nodes at the engine. */
    double reserved = 0;
    /** Nodes that may send to the engine, this one included. */
    int nodes = 1;
};

/**
 * Decides whether an engine has room for a request, in tokens. Not thread-safe.
 *
 * Many nodes send long prompts to the few engines that hold an adapter; an engine crashes if its requests need more than its KV cache
 * holds. Nodes learn of each other's requests up to 250 ms late. Without the limit engines are filled to several times their capacity; with
 * a limit alone, all nodes with waiting requests would use the same room as soon as a message tells of it. To an engine that is or lately
 * was filled beyond a share of its capacity, a node therefore sends at random, so that the contending nodes together are expected to use
 * the room in several message intervals.
 */
class EngineMemory
{
public:
    explicit EngineMemory(EngineMemoryLimits limits);

    /**
     * The tokens to reserve for a request: the whole prompt and the expected answer; 0 if @p capacity is 0. Shared parts of the prompt
     * count for each request, since nodes do not know which parts the requests of other nodes share.
     */
    double reservation(std::uint32_t promptTokens, std::uint32_t sharedTokens, std::uint32_t maxAnswerTokens, double capacity) const;
    /** Whether this node may send the request to @p engine now. True for engines without a stated capacity. */
    bool hasRoom(const UpstreamId &engine, const EngineMemoryUse &use, Time now, std::mt19937_64 &random);
    void remove(const UpstreamId &engine);

private:
    struct Contention
    {
        /** The number of nodes that are taken to contend. */
        double nodes = 1;
        /** When this node last tried to send to the engine. */
        Time lastTry;
    };

    EngineMemoryLimits m_limits;
    absl::flat_hash_map<UpstreamId, Contention> m_contended;
};

} // namespace ApricotStep
