#pragma once

#include "core/clock.h"
#include "platform/store.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace ApricotStep
{

/** Longest answer of the store or of another node with what it holds, in bytes. */
inline constexpr std::size_t MaxStoreCopyBytes = std::size_t(32) << 20U;

/**
 * The items that a node has read from the store, with tombstones for the deletions of the last minute, so that other nodes can follow it.
 *
 * Items come from the store and from other nodes in any order. An item never replaces one of a later revision: otherwise an upstream that
 * has left would reappear, and a removed route would be served again.
 */
class StoreReplica
{
public:
    /** Stores @p item if it is newer than what is known of its key. Returns whether it was. */
    bool put(const Platform::StoreItem &item, Time now);
    /** Deletes all items up to @p revision that a full read at this revision did not list in @p keys. Returns the deletions. */
    std::vector<Platform::StoreItem> retainOnly(const std::vector<std::string> &keys, Platform::StoreRevision revision, Time now);

    /** Whether since() of this revision is complete: no tombstone of a later revision has expired. */
    bool isCompleteSince(Platform::StoreRevision revision) const;
    /** All changes after @p revision, deletions included, in the order of their revisions. */
    std::vector<Platform::StoreItem> since(Platform::StoreRevision revision) const;
    /**
     * The same with large values compressed, each only once. A configuration of a thousand routes has hundreds of kilobytes, and a reader
     * sends it to all nodes of its scope at the same moment.
     */
    std::vector<Platform::StoreItem> compressedSince(Platform::StoreRevision revision);

private:
    struct Tombstone
    {
        Platform::StoreRevision revision = 0;
        Time at;
    };

    void removeExpiredTombstones(Time now);
    /** Adds the deletions after @p revision to @p result and sorts it. */
    void addTombstones(Platform::StoreRevision revision, std::vector<Platform::StoreItem> &result) const;

    std::map<std::string, Platform::StoreItem> m_items;
    std::map<std::string, Tombstone> m_tombstones;
    /** The latest revision whose tombstone has expired. */
    Platform::StoreRevision m_lastExpiredRevision = 0;
};

} // namespace ApricotStep
