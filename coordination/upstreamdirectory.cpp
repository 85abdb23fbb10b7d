#include "coordination/upstreamdirectory.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

namespace
{

// Leaving upstreams end within minutes.
constexpr Duration LeavingMemory = Duration::seconds(1200);
// How long a node repeats to its peers that an upstream leaves.
constexpr Duration RepeatTime = Duration::seconds(5);

} // namespace

UpstreamDirectory::UpstreamDirectory(UpstreamDirectoryLimits limits)
    : m_limits(limits)
{
}

bool UpstreamDirectory::isUsable(const Entry &entry) const
{
    return !entry.record.isLeaving;
}

void UpstreamDirectory::setRecord(Entry &entry, const UpstreamRecord &record)
{
    countSoftware(entry.record, -1);
    entry.record = record;
    countSoftware(entry.record, 1);
}

void UpstreamDirectory::countSoftware(const UpstreamRecord &record, int change)
{
    const auto at = m_listedSoftware.try_emplace(SoftwareOfService { record.service, record.softwareVersion }, 0).first;
    at->second += change;
    if (at->second == 0) {
        m_listedSoftware.erase(at);
    }
}

void UpstreamDirectory::rememberLeaving(const UpstreamStart &start, Time now)
{
    absl::erase_if(m_leaving, [now](const auto &entry) { return now - entry.second.since > LeavingMemory; });
    m_leaving.try_emplace(start, Leaving { now });
}

std::vector<UpstreamChange> UpstreamDirectory::markLeaving(const UpstreamStart &start, bool isHeard, Time now)
{
    rememberLeaving(start, now);
    if (isHeard) {
        m_leaving[start].heardAt = now;
    }
    const auto at = m_entries.find(start.upstream);
    if (at == m_entries.end() || at->second.record.startedAt != start.startedAt || at->second.record.isLeaving) {
        return {};
    }
    at->second.record.isLeaving = true;
    return { UpstreamLeft { start.upstream, "it stated in an answer that it is leaving" } };
}

std::vector<UpstreamStart> UpstreamDirectory::heardLeaving(Time now) const
{
    std::vector<UpstreamStart> result;
    for (const auto &[start, leaving] : m_leaving) {
        if (leaving.heardAt && now - *leaving.heardAt <= RepeatTime) {
            result.push_back(start);
        }
    }
    return result;
}

std::vector<UpstreamChange> UpstreamDirectory::put(const UpstreamRecord &listed, Time now)
{
    UpstreamRecord record = listed;
    const UpstreamStart start { record.id, record.startedAt };
    if (record.isLeaving) {
        rememberLeaving(start, now);
    }
    record.isLeaving = m_leaving.contains(start);
    const auto at = m_entries.find(record.id);
    if (at == m_entries.end()) {
        m_entries.emplace(record.id, Entry { record });
        countSoftware(record, 1);
        return { UpstreamStarted { record } };
    }
    Entry &entry = at->second;
    if (std::exchange(entry.removeAt, Time::never()) != Time::never()) {
        updateNextRemovalTime();
    }
    if (entry.record == record) {
        return {};
    }
    const bool isNewStart = entry.record.startedAt != record.startedAt;
    // Leaving is final until the upstream restarts.
    record.isLeaving = record.isLeaving || (entry.record.isLeaving && !isNewStart);
    const bool hasLeft = !entry.record.isLeaving && record.isLeaving;
    setRecord(entry, record);
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
        m_nextRemovalTime = std::min(m_nextRemovalTime, at->second.removeAt);
        return {};
    }
    const UpstreamRecord record = at->second.record;
    const bool wasMissing = at->second.removeAt != Time::never();
    countSoftware(record, -1);
    m_entries.erase(at);
    if (wasMissing) {
        updateNextRemovalTime();
    }
    return { UpstreamLeft { id, reason, record.isLeaving ? std::nullopt : std::optional(record) } };
}

void UpstreamDirectory::onStoreRegained(Time now)
{
    m_graceUntil = now + m_limits.graceAfterOutage;
}

std::vector<UpstreamChange> UpstreamDirectory::endGracePeriods(Time knownUntil)
{
    std::vector<UpstreamChange> changes;
    if (knownUntil < m_nextRemovalTime) {
        return changes;
    }
    for (auto at = m_entries.begin(); at != m_entries.end();) {
        if (knownUntil < at->second.removeAt) {
            ++at;
            continue;
        }
        changes.emplace_back(UpstreamLeft { at->first, "its entry did not come back after the outage of the store" });
        countSoftware(at->second.record, -1);
        at = m_entries.erase(at);
    }
    updateNextRemovalTime();
    return changes;
}

void UpstreamDirectory::updateNextRemovalTime()
{
    m_nextRemovalTime = Time::never();
    for (const auto &[id, entry] : m_entries) {
        m_nextRemovalTime = std::min(m_nextRemovalTime, entry.removeAt);
    }
}

std::optional<Time> UpstreamDirectory::removalTime(const UpstreamId &id) const
{
    const auto at = m_entries.find(id);
    return at == m_entries.end() || at->second.removeAt == Time::never() ? std::nullopt : std::optional(at->second.removeAt);
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
