#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace ApricotStep
{

// An upstream in need states in its answers how many requests a second it accepts from all nodes together. Shared out evenly, a limit of
// one request a second allows each of twenty nodes one in twenty seconds. A node cannot save up less than one request, so twenty nodes that
// have all been idle could still send twenty at once. Therefore only a few nodes send to an upstream with a limit: those that rendezvous
// hashing ranks first among those that callers use, so that all nodes agree on them without asking each other. Their number grows with the
// limit, and each keeps an even share of it. A node whose turn has just come saves up its first request, since its predecessor may have
// used the share until then. What one node learns from an answer it tells the others: the nodes that do not send would otherwise never
// learn that the limit is gone.

/** What an upstream stated about the requests that it accepts. */
struct UpstreamLimitStatement
{
    UpstreamId upstream;
    /** The start of the upstream that this refers to. */
    std::int64_t startedAt = 0;
    /** Unset if it stated no limit. */
    std::optional<double> requestsPerSecond;
    /** Since it was stated. */
    Duration age;

    bool operator==(const UpstreamLimitStatement &) const = default;
};

/** The request rates that upstreams accept from all nodes together, and this node's share of them. Not thread-safe. */
class UpstreamLimits
{
public:
    /** A node that may send requests. */
    struct Node
    {
        NodeId id;
        /** The availability zone whose engines it uses; empty if it uses all. */
        ZoneId scope;
        /** Requests per second that it receives from callers. */
        double requestRate = 0;
    };

    /** @p seed: nodes with different seeds send their first requests at different times. */
    explicit UpstreamLimits(std::uint64_t seed);

    /**
     * Sets the nodes that share the limits, to be called several times a second. Without @p self among them, this node sends nothing to
     * upstreams with a limit.
     */
    void setNodes(const NodeId &self, const std::vector<Node> &nodes, Time now);
    /**
     * An answer of @p upstream to a request that was sent at @p sentAt states @p requestsPerSecond, or no limit. Returns whether that
     * changes the known limit.
     */
    bool onAnswer(const UpstreamRecord &upstream, std::optional<double> requestsPerSecond, Time sentAt, Time now);
    /** A peer repeats what an upstream stated in an answer to it. Returns whether that changes the known limit. */
    bool onPeerStatement(const UpstreamLimitStatement &statement, Time now);
    /** What upstreams lately stated in answers to this node, to be repeated to the peers. */
    std::vector<UpstreamLimitStatement> statements(Time now) const;

    /** In requests per second; unset if the upstream states none. */
    std::optional<double> limit(const UpstreamRecord &upstream) const;
    /** When this node may send a request to @p upstream; Time::never() if that is up to other nodes. */
    Time nextSendAt(const UpstreamRecord &upstream, Time now);
    /** Uses up this node's share for one request. Returns false if it may not send one. */
    bool take(const UpstreamRecord &upstream, Time now);

private:
    struct Entry
    {
        std::optional<double> requestsPerSecond;
        /** An answer that states no limit is as old as its request: the upstream may have composed it before it stated the limit. */
        Time statedAt;
        /** When an answer to this node last stated it. */
        std::optional<Time> heardAt;

        /** This node's share, in requests per second; 0 if it does not send. */
        double share = 0;
        /** Requests that may be saved up; at least 1. */
        double capacity = 1;
        double saved = 0;
        Time savedAt;
        /** The value of m_nodesVersion for which the share was computed; 0 if it has not been. */
        std::uint64_t nodesVersion = 0;
        bool hasBeenShared = false;
    };
    /** A node of the last call of setNodes(). */
    struct KnownNode
    {
        ZoneId scope;
        /** Smoothed, since callers' requests come irregularly. */
        double requestRate = 0;
        bool isUsedByCallers = false;
    };
    using Key = std::pair<UpstreamId, std::int64_t>;

    bool put(const Key &key, std::optional<double> requestsPerSecond, Time statedAt, Time now);
    std::vector<NodeId> senders(const UpstreamRecord &upstream, std::size_t count) const;
    Entry *find(const UpstreamRecord &upstream);
    void update(Entry &entry, const UpstreamRecord &upstream, Time now);

    std::mt19937_64 m_random;
    NodeId m_self;
    absl::btree_map<NodeId, KnownNode> m_nodes;
    Time m_nodesSetAt;
    /** Changes with the nodes that may send. */
    std::uint64_t m_nodesVersion = 1;
    absl::flat_hash_map<Key, Entry> m_entries;
};

} // namespace ApricotStep
