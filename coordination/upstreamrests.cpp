#include "coordination/upstreamrests.h"

#include <algorithm>

namespace ApricotStep
{

Time UpstreamRests::end(const Ends &ends, const UpstreamRecord &upstream)
{
    const auto at = ends.empty() ? ends.end() : ends.find(std::pair(upstream.id, upstream.startedAt));
    return at != ends.end() ? at->second : Time();
}

void UpstreamRests::removeOver(Ends &ends, Time now)
{
    absl::erase_if(ends, [now](const auto &entry) { return entry.second <= now; });
}

bool UpstreamRests::onRefusal(const UpstreamRecord &upstream, Time until, Time now)
{
    removeOver(m_own, now);
    const auto [at, isNew] = m_own.try_emplace(std::pair(upstream.id, upstream.startedAt), until);
    at->second = std::max(at->second, until);
    return isNew;
}

void UpstreamRests::onPeerRests(const std::vector<UpstreamRest> &rests, Time now)
{
    removeOver(m_peers, now);
    for (const UpstreamRest &rest : rests) {
        Time &until = m_peers[std::pair(rest.upstream, rest.startedAt)];
        until = std::max(until, now + rest.remaining);
    }
}

std::vector<UpstreamRest> UpstreamRests::own(Time now) const
{
    std::vector<UpstreamRest> result;
    for (const auto &[key, until] : m_own) {
        if (now < until) {
            result.push_back(UpstreamRest { key.first, key.second, until - now });
        }
    }
    return result;
}

} // namespace ApricotStep
