#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace ApricotStep
{

// An upstream that is full refuses a request and names a time in which it wants none from the node that sent it. A node that remembers this
// for the refused request only sends the next one there, and the same one again after a wait: an upstream with many nodes before it gets
// several times its load while it can run nothing.
// The rest binds the node that was asked. Its peers are told all the same, since the holder of the lease must not count on the upstream's
// adapters.

/** A rest that an upstream asked a node for. */
struct UpstreamRest
{
    UpstreamId upstream;
    /** The start of the upstream that this refers to. */
    std::int64_t startedAt = 0;
    Duration remaining;

    bool operator==(const UpstreamRest &) const = default;
};

/** Until when upstreams want no requests from this node, as they stated in their refusals. Not thread-safe. */
class UpstreamRests
{
public:
    /** @p upstream refused a request and wants no more until @p until. Returns whether it was not at rest before. */
    bool onRefusal(const UpstreamRecord &upstream, Time until, Time now);
    /** The rests that a peer was asked for. */
    void onPeerRests(const std::vector<UpstreamRest> &rests, Time now);
    /** The rests that this node was asked for, for the messages to its peers. */
    std::vector<UpstreamRest> own(Time now) const;

    /** When this node may send to @p upstream again; a time in the past if it may. */
    Time restsUntil(const UpstreamRecord &upstream) const
    {
        return end(m_own, upstream);
    }
    /** Whether the upstream has asked this node or a peer for a rest that is not over. */
    bool isStrained(const UpstreamRecord &upstream, Time now) const
    {
        return now < std::max(end(m_own, upstream), end(m_peers, upstream));
    }

private:
    /** The ends of rests by upstream and its start. */
    using Ends = absl::flat_hash_map<std::pair<UpstreamId, std::int64_t>, Time>;

    static Time end(const Ends &ends, const UpstreamRecord &upstream);
    static void removeOver(Ends &ends, Time now);

    Ends m_own;
    Ends m_peers;
};

} // namespace ApricotStep
