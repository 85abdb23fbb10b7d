#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <utility>

namespace ApricotStep
{

/** Until when upstreams want no requests from this node, as they stated in their refusals. Not thread-safe. */
class UpstreamRests
{
public:
    /** @p upstream refused a request and wants no more until @p until. Returns whether it was not at rest before. */
    bool onRefusal(const UpstreamRecord &upstream, Time until, Time now);
    /** Time() if the upstream asked for no rest. */
    Time restsUntil(const UpstreamRecord &upstream) const;

private:
    /** By upstream and its start. */
    absl::flat_hash_map<std::pair<UpstreamId, std::int64_t>, Time> m_rests;
};

} // namespace ApricotStep
