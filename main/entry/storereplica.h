#pragma once

#include "core/clock.h"
#include "platform/store.h"

#include <map>
#include <string>
#include <vector>

namespace ApricotStep
{

/**
 * What a node has read of the store, key by key, with the deletions of the last minute, so that others can follow it.
 *
 * Facts come from the store and from other nodes in any order. One of an earlier revision never replaces a later one: an upstream that has
 * left would come back, a dropped route would be served again.
 */
class StoreReplica
{
public:
    /** Whether @p item was news; then it is kept. */
    bool put(const Platform::StoreItem &item, Time now);
    /** A whole reading at @p revision listed only @p keys: the others were deleted while nobody looked. Returns those. */
    std::vector<Platform::StoreItem> retainOnly(const std::vector<std::string> &keys, Platform::StoreRevision revision, Time now);

    /** Whether since() of this revision is complete: no deletion after it has been forgotten. */
    bool isCompleteSince(Platform::StoreRevision revision) const;
    /** All that changed after @p revision, deletions included, in the order of revisions. */
    std::vector<Platform::StoreItem> since(Platform::StoreRevision revision) const;

private:
    struct Tombstone
    {
        Platform::StoreRevision revision = 0;
        Time at;
    };

    void removeExpiredTombstones(Time now);

    std::map<std::string, Platform::StoreItem> m_items;
    std::map<std::string, Tombstone> m_tombstones;
    /** The latest deletion that was forgotten. */
    Platform::StoreRevision m_lastExpiredRevision = 0;
};

} // namespace ApricotStep
