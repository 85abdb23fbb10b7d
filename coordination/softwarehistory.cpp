#include "coordination/softwarehistory.h"

#include <algorithm>

namespace ApricotStep
{

SoftwareHistory::SoftwareHistory(SoftwareHistoryLimits limits)
    : m_limits(limits)
{
}

void SoftwareHistory::setMaxViewAge(Duration age)
{
    m_limits.maxViewAge = age;
}

void SoftwareHistory::onListed(const ServiceName &service, const SoftwareVersion &software, Time now, Duration upstreamAge)
{
    auto &versions = m_listings[service];
    Listing &listing = versions.try_emplace(software, Listing { now, now }).first->second;
    if (!m_viewedSince) {
        listing.firstAt = std::min(listing.firstAt, now - upstreamAge);
    }
    listing.lastAt = std::max(listing.lastAt, now);
    if (versions.size() > 1) {
        absl::erase_if(versions, [this, now](const auto &entry) { return now - entry.second.lastAt > streamLifetime(); });
    }
}

void SoftwareHistory::onViewConfirmed(Time time)
{
    if (!m_viewedSince || time - m_viewedAt > m_limits.maxViewAge) {
        m_viewedSince = time;
    }
    m_viewedAt = std::max(m_viewedAt, time);
}

void SoftwareHistory::onStreamTime(Duration longest)
{
    m_longestStream = std::max(m_longestStream, longest);
}

Duration SoftwareHistory::streamLifetime() const
{
    return m_longestStream + m_limits.margin;
}

std::optional<SoftwareVersion> SoftwareHistory::soleVersion(const ServiceName &service, Time now) const
{
    const bool isViewComplete = m_viewedSince && now - m_viewedAt <= m_limits.maxViewAge && now - *m_viewedSince >= streamLifetime();
    const auto versions = m_listings.find(service);
    if (!isViewComplete || versions == m_listings.end()) {
        return std::nullopt;
    }
    std::optional<SoftwareVersion> sole;
    for (const auto &[software, listing] : versions->second) {
        if (now - listing.lastAt > streamLifetime()) {
            continue;
        }
        if (sole) {
            return std::nullopt;
        }
        sole = software;
    }
    return sole;
}

bool SoftwareHistory::mayBeginStreams(const ServiceName &service, const SoftwareVersion &software, Time now) const
{
    const auto versions = m_listings.find(service);
    if (versions == m_listings.end()) {
        return true;
    }
    const auto listing = versions->second.find(software);
    return listing == versions->second.end() || now - listing->second.firstAt > m_limits.maxViewAge;
}

} // namespace ApricotStep
