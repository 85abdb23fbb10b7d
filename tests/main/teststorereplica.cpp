#include "main/entry/storereplica.h"

#include <criterion/criterion.h>

using namespace ApricotStep;
using Platform::StoreItem;

namespace
{

constexpr Time Start { 10'000 };

StoreItem item(const std::string &key, Platform::StoreRevision revision)
{
    return StoreItem { key, "v" + std::to_string(revision), revision, false };
}

StoreItem deletion(const std::string &key, Platform::StoreRevision revision)
{
    return StoreItem { key, "", revision, true };
}

} // namespace

// A node gets the same items from the store and from its peers, in any order. If an older revision replaced a newer one, an upstream that
// has left would reappear and get requests that are never answered.
Test(storereplica, olderRevisionNeverReplacesNewer)
{
    StoreReplica replica;
    cr_assert(replica.put(item("servers/a", 5), Start));
    cr_assert_not(replica.put(item("servers/a", 4), Start));
    cr_assert(replica.put(deletion("servers/a", 7), Start));
    cr_assert_not(replica.put(item("servers/a", 6), Start));
    cr_assert_not(replica.put(deletion("servers/a", 7), Start));
    cr_assert(replica.put(item("servers/a", 8), Start));
}

// A follower must get deletions as well as writes, otherwise it sends requests to upstreams that are gone.
Test(storereplica, sinceListsWritesAndDeletions)
{
    StoreReplica replica;
    replica.put(item("servers/a", 2), Start);
    replica.put(item("servers/b", 3), Start);
    replica.put(deletion("servers/a", 9), Start);
    const auto changes = replica.since(2);
    cr_assert_eq(changes.size(), 2);
    cr_assert(changes[0].key == "servers/b" && !changes[0].isDeleted);
    cr_assert(changes[1].key == "servers/a" && changes[1].isDeleted);
    cr_assert(replica.since(9).empty());
}

// A reader sends a configuration of many routes to all nodes of its scope at once. Uncompressed, that takes its link for seconds, and its
// own messages wait behind it.
Test(storereplica, largeValuesAreCompressedForPeers)
{
    StoreReplica replica;
    const std::string routes(300'000, 'r');
    replica.put(StoreItem { "op/config", routes, 2, false }, Start);
    replica.put(StoreItem { "servers/a", "small", 3, false }, Start);
    replica.put(deletion("servers/b", 4), Start);
    const auto changes = replica.compressedSince(1);
    cr_assert_eq(changes.size(), 3);
    cr_assert(changes[0].value.empty() && changes[0].compressedValue.size() < 10'000);
    cr_assert(changes[1].value == "small" && changes[1].compressedValue.empty());
    cr_assert(changes[2].isDeleted);
    cr_assert(replica.since(1)[0].value == routes && replica.since(1)[0].compressedValue.empty(), "for nodes of an earlier version");
}

// The store dropped its history, so this node read all of it again and got no deletions for the keys that are missing now. Followers that
// got only the remaining items would keep the missing ones for good.
Test(storereplica, keysMissingFromFullReadAreDeleted)
{
    StoreReplica replica;
    replica.put(item("servers/a", 2), Start);
    replica.put(item("servers/b", 3), Start);
    replica.put(item("servers/new", 40), Start);
    cr_assert_eq(replica.retainOnly({ "servers/b" }, 30, Start).size(), 1);
    const auto changes = replica.since(3);
    cr_assert_eq(changes.size(), 2);
    cr_assert(changes[0].key == "servers/a" && changes[0].isDeleted && changes[1].key == "servers/new");
}

// A follower was cut off for minutes, and the tombstones of that time have expired. With only the remaining changes it would keep deleted
// items, so it must be sent to read the store itself.
Test(storereplica, isIncompleteAfterTombstonesExpire)
{
    StoreReplica replica;
    replica.put(deletion("servers/a", 4), Start);
    cr_assert(replica.isCompleteSince(3));
    replica.put(deletion("servers/b", 8), Start + Duration::seconds(61));
    cr_assert_not(replica.isCompleteSince(3));
    cr_assert(replica.isCompleteSince(4));
}
