#include "main/entry/storecopy.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

// A node that has not followed for so long reads the whole store again.
constexpr Duration DeletionMemory = Duration::seconds(60);

} // namespace

bool StoreCopy::put(const Platform::StoreItem &item, Time now)
{
    const auto known = m_items.find(item.key);
    const auto deleted = m_deletions.find(item.key);
    const bool isOld = (known != m_items.end() && known->second.revision >= item.revision)
        || (deleted != m_deletions.end() && deleted->second.revision >= item.revision);
    if (isOld) {
        return false;
    }
    if (item.isDeleted) {
        m_items.erase(item.key);
        m_deletions[item.key] = Deletion { item.revision, now };
        forgetOldDeletions(now);
    } else {
        m_deletions.erase(item.key);
        m_items[item.key] = item;
    }
    return true;
}

std::vector<Platform::StoreItem> StoreCopy::retainOnly(const std::vector<std::string> &keys, Platform::StoreRevision revision, Time now)
{
    std::vector<Platform::StoreItem> gone;
    for (const auto &[key, item] : m_items) {
        // What was written after the reading began may have come from another node.
        if (item.revision <= revision && std::find(keys.begin(), keys.end(), key) == keys.end()) {
            gone.push_back(Platform::StoreItem { key, "", revision, true });
        }
    }
    for (const Platform::StoreItem &item : gone) {
        m_items.erase(item.key);
        m_deletions[item.key] = Deletion { revision, now };
    }
    return gone;
}

void StoreCopy::forgetOldDeletions(Time now)
{
    for (auto at = m_deletions.begin(); at != m_deletions.end();) {
        const bool isOld = now - at->second.at > DeletionMemory;
        m_forgotten = isOld ? std::max(m_forgotten, at->second.revision) : m_forgotten;
        at = isOld ? m_deletions.erase(at) : std::next(at);
    }
}

bool StoreCopy::reachesBackTo(Platform::StoreRevision revision) const
{
    return revision >= m_forgotten;
}

std::vector<Platform::StoreItem> StoreCopy::since(Platform::StoreRevision revision) const
{
    std::vector<Platform::StoreItem> result;
    for (const auto &[key, item] : m_items) {
        if (item.revision > revision) {
            result.push_back(item);
        }
    }
    for (const auto &[key, deletion] : m_deletions) {
        if (deletion.revision > revision) {
            result.push_back(Platform::StoreItem { key, "", deletion.revision, true });
        }
    }
    const auto isEarlier = [](const Platform::StoreItem &a, const Platform::StoreItem &b) { return a.revision < b.revision; };
    std::sort(result.begin(), result.end(), isEarlier);
    return result;
}

} // namespace ApricotStep
