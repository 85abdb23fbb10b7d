#include "main/entry/storereplica.h"

#include "core/compression.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

// A node that has not followed for longer than this reads the whole store again.
constexpr Duration TombstoneLifetime = Duration::seconds(60);
// Compression saves nothing on smaller values.
constexpr std::size_t MinCompressedBytes = 4096;

} // namespace

bool StoreReplica::put(const Platform::StoreItem &item, Time now)
{
    const auto knownItem = m_items.find(item.key);
    const auto knownTombstone = m_tombstones.find(item.key);
    const bool isStale = (knownItem != m_items.end() && knownItem->second.revision >= item.revision)
        || (knownTombstone != m_tombstones.end() && knownTombstone->second.revision >= item.revision);
    if (isStale) {
        return false;
    }
    if (item.isDeleted) {
        m_items.erase(item.key);
        m_tombstones[item.key] = Tombstone { item.revision, now };
        removeExpiredTombstones(now);
    } else {
        m_tombstones.erase(item.key);
        m_items[item.key] = item;
    }
    return true;
}

std::vector<Platform::StoreItem> StoreReplica::retainOnly(const std::vector<std::string> &keys, Platform::StoreRevision revision, Time now)
{
    std::vector<Platform::StoreItem> missing;
    for (const auto &[key, item] : m_items) {
        // An item that was written after the read began may have come from another node.
        if (item.revision <= revision && std::find(keys.begin(), keys.end(), key) == keys.end()) {
            missing.push_back(Platform::StoreItem { key, "", revision, true });
        }
    }
    for (const Platform::StoreItem &item : missing) {
        m_items.erase(item.key);
        m_tombstones[item.key] = Tombstone { revision, now };
    }
    return missing;
}

void StoreReplica::removeExpiredTombstones(Time now)
{
    for (auto at = m_tombstones.begin(); at != m_tombstones.end();) {
        const bool isStale = now - at->second.at > TombstoneLifetime;
        m_lastExpiredRevision = isStale ? std::max(m_lastExpiredRevision, at->second.revision) : m_lastExpiredRevision;
        at = isStale ? m_tombstones.erase(at) : std::next(at);
    }
}

bool StoreReplica::isCompleteSince(Platform::StoreRevision revision) const
{
    return revision >= m_lastExpiredRevision;
}

std::vector<Platform::StoreItem> StoreReplica::compressedSince(Platform::StoreRevision revision)
{
    std::vector<Platform::StoreItem> result;
    for (auto &[key, item] : m_items) {
        if (item.revision <= revision) {
            continue;
        }
        if (item.compressedValue.empty() && item.value.size() >= MinCompressedBytes) {
            item.compressedValue = compress(item.value);
        }
        const bool isCompressed = !item.compressedValue.empty();
        result.push_back(
            Platform::StoreItem { item.key, isCompressed ? std::string() : item.value, item.revision, false, item.compressedValue });
    }
    addTombstones(revision, result);
    return result;
}

std::vector<Platform::StoreItem> StoreReplica::since(Platform::StoreRevision revision) const
{
    std::vector<Platform::StoreItem> result;
    for (const auto &[key, item] : m_items) {
        if (item.revision > revision) {
            result.push_back(Platform::StoreItem { item.key, item.value, item.revision, false });
        }
    }
    addTombstones(revision, result);
    return result;
}

void StoreReplica::addTombstones(Platform::StoreRevision revision, std::vector<Platform::StoreItem> &result) const
{
    for (const auto &[key, tombstone] : m_tombstones) {
        if (tombstone.revision > revision) {
            result.push_back(Platform::StoreItem { key, "", tombstone.revision, true });
        }
    }
    const auto isEarlier = [](const Platform::StoreItem &a, const Platform::StoreItem &b) { return a.revision < b.revision; };
    std::sort(result.begin(), result.end(), isEarlier);
}

} // namespace ApricotStep
