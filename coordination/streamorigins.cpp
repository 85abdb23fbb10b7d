#include "coordination/streamorigins.h"

#include "core/hash.h"

#include <algorithm>

namespace ApricotStep
{

StreamId streamIdOf(std::string_view requestId)
{
    return requestId.empty() ? StreamId() : StreamId(stableHash(requestId));
}

StreamOrigins::StreamOrigins(StreamOriginLimits limits)
    : m_limits(limits)
{
}

std::uint32_t StreamOrigins::indexOf(const StreamOrigin &origin)
{
    const auto at = std::find(m_origins.begin(), m_origins.end(), origin);
    if (at == m_origins.end()) {
        m_origins.push_back(origin);
        return static_cast<std::uint32_t>(m_origins.size() - 1);
    }
    return static_cast<std::uint32_t>(at - m_origins.begin());
}

void StreamOrigins::put(const BegunStream &begun, Time now)
{
    while (!m_order.empty()) {
        const auto oldest = m_streams.find(m_order.front());
        if (oldest->second.expiresAt > now && m_streams.size() < m_limits.maxStreams) {
            break;
        }
        m_streams.erase(oldest);
        m_order.pop_front();
    }
    if (m_streams.empty()) {
        m_origins.clear();
    }
    const std::uint32_t origin = indexOf(begun.origin);
    const auto [at, isNew] = m_streams.try_emplace(begun.stream, Entry { origin, now + begun.lifetime });
    at->second.origin = origin; // The node that has begun a stream may find out later where.
    if (isNew) {
        m_order.push_back(begun.stream);
    }
}

void StreamOrigins::onBegun(const BegunStream &begun, Time now)
{
    put(begun, now);
    m_own.push_back(OwnStream { begun.stream });
    while (!m_own.empty() && !find(m_own.front().stream, now)) {
        m_own.pop_front();
    }
}

void StreamOrigins::onAnnounced(const BegunStream &begun, Time now)
{
    put(begun, now);
}

std::optional<StreamOrigin> StreamOrigins::find(StreamId stream, Time now) const
{
    const auto at = m_streams.find(stream);
    return at != m_streams.end() && now < at->second.expiresAt ? std::optional(m_origins[at->second.origin]) : std::nullopt;
}

std::vector<BegunStream> StreamOrigins::takeAnnouncements(const std::function<bool(const ServiceName &)> &isNeeded, Time now)
{
    std::vector<BegunStream> result;
    for (auto own = m_own.rbegin(); own != m_own.rend() && result.size() < m_limits.maxAnnounced; ++own) {
        const auto at = m_streams.find(own->stream);
        if (own->isAnnounced || at == m_streams.end() || now >= at->second.expiresAt) {
            continue;
        }
        const StreamOrigin &origin = m_origins[at->second.origin];
        if (isNeeded(origin.service)) {
            own->isAnnounced = true;
            result.push_back(BegunStream { own->stream, origin, at->second.expiresAt - now });
        }
    }
    return result;
}

} // namespace ApricotStep
