#include "coordination/upstreamdirectory.h"

#include <algorithm>

namespace ApricotStep
{

UpstreamDirectory::UpstreamDirectory(UpstreamDirectoryLimits limits)
    : m_limits(limits)
{
}

bool UpstreamDirectory::isUsable(const Entry &entry) const
{
    return !entry.record.isLeaving;
}

std::vector<UpstreamChange> UpstreamDirectory::put(const UpstreamRecord &record, Time)
{
    const auto at = m_entries.find(record.id);
    if (at == m_entries.end()) {
        m_entries.emplace(record.id, Entry { record });
        return { UpstreamStarted { record } };
    }
    Entry &entry = at->second;
    entry.removeAt = Time::never();
    if (entry.record == record) {
        return {};
    }
    const bool isNewStart = entry.record.startedAt != record.startedAt;
    const bool hasLeft = !entry.record.isLeaving && record.isLeaving;
    // Leaving is final until the upstream restarts: an older record of the same start must not undo it.
    const bool wasLeaving = entry.record.isLeaving && !isNewStart;
    entry.record = record;
    entry.record.isLeaving = record.isLeaving || wasLeaving;
    if (isNewStart) {
        return { UpstreamStarted { entry.record } };
    }
    if (hasLeft) {
        return { UpstreamLeft { record.id, "it announced that it is leaving" } };
    }
    return { UpstreamUpdated { entry.record } };
}

std::vector<UpstreamChange> UpstreamDirectory::remove(const UpstreamId &id, const std::string &reason, Time now)
{
    const auto at = m_entries.find(id);
    if (at == m_entries.end()) {
        return {};
    }
    if (now < m_graceUntil && !at->second.record.isLeaving) {
        at->second.removeAt = std::min(at->second.removeAt, m_graceUntil);
        return {};
    }
    m_entries.erase(at);
    return { UpstreamLeft { id, reason } };
}

void UpstreamDirectory::onStoreRegained(Time now)
{
    m_graceUntil = now + m_limits.graceAfterOutage;
}

std::vector<UpstreamChange> UpstreamDirectory::endGracePeriods(Time knownUntil)
{
    std::vector<UpstreamChange> changes;
    for (auto at = m_entries.begin(); at != m_entries.end();) {
        if (knownUntil < at->second.removeAt) {
            ++at;
            continue;
        }
        changes.emplace_back(UpstreamLeft { at->first, "its entry did not come back after the outage of the store" });
        at = m_entries.erase(at);
    }
    return changes;
}

std::vector<const UpstreamRecord *> UpstreamDirectory::usable(const ServiceName &service) const
{
    std::vector<const UpstreamRecord *> result;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.service == service && isUsable(entry)) {
            result.push_back(&entry.record);
        }
    }
    return result;
}

const UpstreamRecord *UpstreamDirectory::usable(const UpstreamId &id) const
{
    const auto at = m_entries.find(id);
    return at != m_entries.end() && isUsable(at->second) ? &at->second.record : nullptr;
}

} // namespace ApricotStep
