#include "coordination/upstreamrests.h"

#include <algorithm>

namespace ApricotStep
{

bool UpstreamRests::onRefusal(const UpstreamRecord &upstream, Time until, Time now)
{
    absl::erase_if(m_rests, [now](const auto &entry) { return entry.second <= now; });
    const auto [at, isNew] = m_rests.try_emplace(std::pair(upstream.id, upstream.startedAt), until);
    at->second = std::max(at->second, until);
    return isNew;
}

Time UpstreamRests::restsUntil(const UpstreamRecord &upstream) const
{
    const auto at = m_rests.empty() ? m_rests.end() : m_rests.find(std::pair(upstream.id, upstream.startedAt));
    return at != m_rests.end() ? at->second : Time();
}

} // namespace ApricotStep
