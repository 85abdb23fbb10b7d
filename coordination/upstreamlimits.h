#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <utility>

namespace ApricotStep
{

/** The request rates that upstreams accept from all nodes together, as they state them in their answers. Not thread-safe. */
class UpstreamLimits
{
public:
    /**
     * An answer of @p upstream to a request that was sent at @p sentAt states @p requestsPerSecond, or no limit. Returns whether that
     * changes the known limit.
     */
    bool onAnswer(const UpstreamRecord &upstream, std::optional<double> requestsPerSecond, Time sentAt, Time now);
    /** In requests per second; unset if the upstream states none. */
    std::optional<double> limit(const UpstreamRecord &upstream) const;

private:
    struct Entry
    {
        std::optional<double> requestsPerSecond;
        /** An answer that states no limit is as old as its request: the upstream may have composed it before it stated the limit. */
        Time statedAt;
    };

    /** By upstream and its start. */
    absl::flat_hash_map<std::pair<UpstreamId, std::int64_t>, Entry> m_entries;
};

} // namespace ApricotStep
