#pragma once

#include "coordination/membermessage.h"

#include <absl/container/btree_map.h>

#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

/** Queue of updates and rumours, each sent a bounded number of times, the least often sent first. */
class GossipQueue
{
public:
    using Item = std::variant<MemberUpdate, AgedRumour>;

    /** Queues @p item and replaces an older one about the same subject. */
    void add(Item item, Time now);
    /**
     * Adds the next items to @p datagram, up to about @p maxBytes, and counts the transmissions. An item is removed after @p transmitLimit
     * transmissions: enough to reach every node, while the bytes that each node sends per item hardly grow with the fleet.
     */
    void fill(MemberDatagram &datagram, std::size_t maxBytes, int transmitLimit, Time now);
    bool isEmpty() const;

private:
    struct Entry
    {
        Item item;
        Time addedAt;
        int transmissions = 0;
    };
    absl::btree_map<std::string, Entry> m_entries;
};

/** Upper bound of an item's size on the wire. */
std::size_t wireSize(const MemberUpdate &update);
std::size_t wireSize(const AgedRumour &rumour);

} // namespace ApricotStep
