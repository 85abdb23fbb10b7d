#pragma once

#include "coordination/teamcredit.h"
#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace ApricotStep
{

// An upstream in need states in its answers how many requests a second it accepts from all nodes together. Nodes share that limit out like
// the limit of a team: a lease holder issues it as credit for one request each. What one node learns from an answer it repeats to the
// others: the issuer must know the limit, and nodes that are refused credit get no answers that would tell them that the limit is gone.

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

/** How closely the fleet keeps the limits of upstreams. */
TeamCreditLimits upstreamCreditLimits();
/** The limit on credit that keeps @p requestsPerSecond. */
TeamLimit upstreamCreditLimit(double requestsPerSecond);

/** The request rates that upstreams accept from all nodes together. Not thread-safe. */
class UpstreamLimits
{
public:
    /**
     * An answer of @p upstream to a request that was sent at @p sentAt states @p requestsPerSecond, or no limit. Returns whether that
     * changes the known limit.
     */
    bool onAnswer(const UpstreamRecord &upstream, std::optional<double> requestsPerSecond, Time sentAt, Time now);
    /** A peer repeats what an upstream stated in an answer to it. Returns whether that changes the known limit. */
    bool onPeerStatement(const UpstreamLimitStatement &statement, Time now);
    /** What upstreams lately stated in answers to this node, to be repeated to the peers. */
    std::vector<UpstreamLimitStatement> statements(Time now) const;
    /** This node was refused credit for a request to @p upstream; more is likely at @p until. */
    void onRefused(const UpstreamRecord &upstream, Time until);

    /** In requests per second; unset if the upstream states none. */
    std::optional<double> limit(const UpstreamRecord &upstream) const
    {
        return limit(upstream.id, upstream.startedAt);
    }
    std::optional<double> limit(const UpstreamId &upstream, std::int64_t startedAt) const;
    /** When to ask for credit for a request to @p upstream again; @p now if this node was not refused lately, or needs none. */
    Time nextSendAt(const UpstreamRecord &upstream, Time now) const;

private:
    struct Entry
    {
        std::optional<double> requestsPerSecond;
        /** An answer that states no limit is as old as its request: the upstream may have composed it before it stated the limit. */
        Time statedAt;
        /** When an answer to this node last stated it. */
        std::optional<Time> heardAt;
        Time refusedUntil;
    };
    /** An upstream and its start. */
    using Key = std::pair<UpstreamId, std::int64_t>;

    const Entry *find(const Key &key) const;
    bool put(const Key &key, std::optional<double> requestsPerSecond, Time statedAt);
    void removeOld(Time now);

    absl::flat_hash_map<Key, Entry> m_entries;
};

} // namespace ApricotStep
