#include "coordination/upstreamlimits.h"

namespace ApricotStep
{

bool UpstreamLimits::onAnswer(const UpstreamRecord &upstream, std::optional<double> requestsPerSecond, Time sentAt, Time now)
{
    const std::pair key(upstream.id, upstream.startedAt);
    if (requestsPerSecond) {
        const auto previous = std::exchange(m_entries[key], Entry { requestsPerSecond, now });
        return previous.requestsPerSecond != requestsPerSecond;
    }
    const auto at = m_entries.find(key);
    if (at == m_entries.end() || !at->second.requestsPerSecond || sentAt <= at->second.statedAt) {
        return false;
    }
    at->second = Entry { std::nullopt, sentAt };
    return true;
}

std::optional<double> UpstreamLimits::limit(const UpstreamRecord &upstream) const
{
    const auto at = m_entries.find(std::pair(upstream.id, upstream.startedAt));
    return at != m_entries.end() ? at->second.requestsPerSecond : std::nullopt;
}

} // namespace ApricotStep
