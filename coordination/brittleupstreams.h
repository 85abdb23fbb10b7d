#pragma once

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

// An upstream may state how many requests a second it can turn away for want of room before it fails. What counts is the sum over all
// nodes, which send to it at the same time and know each other's load of a fifth of a second ago. So a node sends none while the known load
// fills the upstream, and the first refusal is told to all nodes at once: for a moment none of them sends, and then, for a while, they
// share out less than the upstream can turn away as if it had stated that limit on its requests. Whatever it then refuses stays below its
// bound.

struct BrittleUpstreamLimits
{
    /** After a refusal no node sends for this long: more than the second in which refusals count together. */
    Duration pause { 1200 };
    /** After a refusal requests are limited for this long. */
    Duration caution = Duration::seconds(4);
    /** How long a node repeats to its peers what it heard. */
    Duration repeatTime = Duration::seconds(3);
    /** Starts of upstreams end without notice; what one of them stated this long ago is forgotten. */
    Duration lifetime = Duration::seconds(600);
};

/** What a node knows of an upstream that may be brittle, as it tells its peers. */
struct BrittleStatement
{
    UpstreamId upstream;
    /** The start of the upstream that this refers to. */
    std::int64_t startedAt = 0;
    /** Refusals a second that it bears; unset if it states none any more. */
    std::optional<double> refusalsPerSecond;
    /** Since it stated that. */
    Duration age;
    /** Since it last refused a request; unset if that is long ago. */
    std::optional<Duration> sinceRefusal;

    bool operator==(const BrittleStatement &) const = default;
};

/** The upstreams that fail if they turn too many requests away, and how carefully they are used. Not thread-safe. */
class BrittleUpstreams
{
public:
    explicit BrittleUpstreams(BrittleUpstreamLimits limits);

    /**
     * An answer of @p upstream to a request that was sent at @p sentAt states that it bears @p refusalsPerSecond, or no such bound. Returns
     * whether that changes what is known.
     */
    bool onAnswer(const UpstreamRecord &upstream, std::optional<double> refusalsPerSecond, Time sentAt, Time now);
    /** The upstream turned a request of this node away for want of room. Returns whether peers must know at once. */
    bool onRefusal(const UpstreamRecord &upstream, Time now);
    /** Returns whether the statement changes whether the upstream is brittle. */
    bool onPeerStatement(const BrittleStatement &statement, Time now);
    /** What this node heard lately, to be repeated to the peers. */
    std::vector<BrittleStatement> statements(Time now) const;

    bool isBrittle(const UpstreamRecord &upstream) const;
    /** Until when no node sends to @p upstream; a time in the past if they may. */
    Time pausedUntil(const UpstreamRecord &upstream) const;
    /** The requests a second that all nodes together may send now; unset if they are not limited. */
    std::optional<double> limit(const UpstreamRecord &upstream, Time now) const;
    /** The same for the issuer of the credit, which may have heard of the last refusal later than others. */
    std::optional<double> issuedLimit(const UpstreamId &upstream, std::int64_t startedAt) const;

private:
    struct Entry
    {
        std::optional<double> refusalsPerSecond;
        Time statedAt;
        /** When an answer to this node last stated it, or refused a request. */
        std::optional<Time> heardAt;
        std::optional<Time> refusedAt;
    };
    /** An upstream and its start. */
    using Key = std::pair<UpstreamId, std::int64_t>;

    const Entry *findBrittle(const Key &key) const;
    bool put(const Key &key, std::optional<double> refusalsPerSecond, Time statedAt);

    BrittleUpstreamLimits m_limits;
    absl::flat_hash_map<Key, Entry> m_entries;
};

} // namespace ApricotStep
