#pragma once

#include "coordination/fleetmessage.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <vector>

namespace ApricotStep
{

/** What the whole fleet has at one upstream, as this node knows it. */
struct FleetLoad
{
    double running = 0;
    double pendingTokens = 0;
};

/**
 * Counts what this node and the others have sent to each upstream. Not thread-safe.
 *
 * A node that counts only its own requests sees a twelfth of an engine's load and sends more to the one that all others chose as well.
 * Sums are kept as messages come: adding up all nodes at each look took a holder of orders more time than it had, with 134 nodes.
 */
class UpstreamLoadTracker
{
public:
    /** A node not heard of for this long has nothing running any more, or nobody knows: six messages missed. */
    static constexpr Duration PeerTimeout { 1500 };

    void onSent(const UpstreamId &upstream, std::uint32_t promptTokens);
    /** The prompt has been read. */
    void onFirstToken(const UpstreamId &upstream, std::uint32_t promptTokens);
    /** @p unreadTokens: the prompt's tokens if it had not been read yet, else 0. */
    void onEnded(const UpstreamId &upstream, std::uint32_t unreadTokens);
    void onPeerLoads(const NodeId &peer, const std::vector<UpstreamLoad> &loads, Time now);

    FleetLoad load(const UpstreamId &upstream, Time now);
    /** This node's own part, for the others. */
    std::vector<UpstreamLoad> own() const;

private:
    struct Peer
    {
        Time receivedAt;
        std::vector<UpstreamLoad> loads;
    };

    void add(const std::vector<UpstreamLoad> &loads);
    void subtract(const std::vector<UpstreamLoad> &loads);
    /** Takes out peers that fell silent. */
    void removeStalePeers(Time now);

    absl::btree_map<UpstreamId, UpstreamLoad> m_own;
    absl::flat_hash_map<NodeId, Peer> m_peers;
    /** What all peers together have at each upstream. */
    absl::flat_hash_map<UpstreamId, FleetLoad> m_peerTotals;
    Time m_sweptAt;
};

} // namespace ApricotStep
