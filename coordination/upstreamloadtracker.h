#pragma once

#include "coordination/fleetmessage.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <vector>

namespace ApricotStep
{

/** The load of all nodes together at one upstream, as known by this node. */
struct FleetLoad
{
    double running = 0;
    double pendingTokens = 0;
    /** At least pendingTokens. */
    double reservedTokens = 0;
    /** Fraction of the recent time in which it had long prompts to process, 0 to 1. */
    double prefillShare = 0;
};

/**
 * Tracks the load that this node and its peers have sent to each upstream. Not thread-safe.
 *
 * With twelve nodes, a node that counted only its own requests would see a twelfth of an engine's load and choose the engine that all
 * other nodes choose as well. Sums are updated with each message: with 134 nodes, adding up the loads of all nodes for each decision took
 * more time than the lease holder had.
 */
class UpstreamLoadTracker
{
public:
    /** The load of a peer is removed after this time without a message from it: six missed messages. */
    static constexpr Duration PeerTimeout { 1500 };

    /** Averages from now on how much each upstream has to prefill; without it, FleetLoad::prefillShare is 0. */
    void trackPrefill();
    void onSent(const UpstreamId &upstream, std::uint32_t promptTokens, Time now);
    /** The prompt has been processed. */
    void onFirstToken(const UpstreamId &upstream, std::uint32_t promptTokens, Time now);
    /** @p unreadTokens: the prompt's tokens if it was not processed yet, otherwise 0. */
    void onEnded(const UpstreamId &upstream, std::uint32_t unreadTokens, Time now);
    /** A request to @p upstream reserves @p tokens of its memory; to be called after onSent(). */
    void reserve(const UpstreamId &upstream, std::uint32_t tokens);
    /** The request has ended; to be called before onEnded(). */
    void release(const UpstreamId &upstream, std::uint32_t tokens);
    /** Replaces the load that @p peer reported before. */
    void onPeerLoads(const NodeId &peer, const std::vector<UpstreamLoad> &loads, Time now);

    FleetLoad load(const UpstreamId &upstream, Time now);
    /** The load that this node has sent, for the messages to its peers. */
    std::vector<UpstreamLoad> own() const;

private:
    struct Peer
    {
        Time receivedAt;
        std::vector<UpstreamLoad> loads;
    };

    /** Averages how much an upstream has to prefill. */
    struct PrefillAverage
    {
        Time updatedAt;
        /** The share since the last update, and the decaying average until then. */
        double current = 0;
        double average = 0;
    };

    void add(const std::vector<UpstreamLoad> &loads, Time now);
    void subtract(const std::vector<UpstreamLoad> &loads);
    void updatePrefill(const UpstreamId &upstream, Time now);
    static double averageAt(const PrefillAverage &prefill, Time now);
    double pendingTokens(const UpstreamId &upstream) const;
    /** Removes the load of peers that have sent no message for PeerTimeout. */
    void removeStalePeers(Time now);

    absl::btree_map<UpstreamId, UpstreamLoad> m_own;
    absl::flat_hash_map<NodeId, Peer> m_peers;
    /** The load of all peers together at each upstream. */
    absl::flat_hash_map<UpstreamId, FleetLoad> m_peerTotals;
    absl::flat_hash_map<UpstreamId, PrefillAverage> m_prefill;
    bool m_isTrackingPrefill = false;
    Time m_sweptAt;
};

} // namespace ApricotStep
