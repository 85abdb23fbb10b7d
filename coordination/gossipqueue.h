#pragma once

#include "coordination/membermessage.h"

#include <absl/container/btree_map.h>

#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

/** News that waits to be told, each a bounded number of times, the least told first. */
class GossipQueue
{
public:
    using Item = std::variant<MemberUpdate, AgedRumour>;

    /** Queues @p item in place of an older one about the same thing. */
    void add(Item item, Time now);
    /**
     * Adds the next items to @p datagram, up to about @p maxBytes, and counts them as told. An item leaves when it was told
     * @p transmitLimit times: enough for everyone to have heard it, so that the bytes per item do not grow with the fleet.
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

/** Upper bound of the bytes that an item takes on the wire. */
std::size_t wireSize(const MemberUpdate &update);
std::size_t wireSize(const AgedRumour &rumour);

} // namespace ApricotStep
