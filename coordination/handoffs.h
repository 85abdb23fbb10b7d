#pragma once

#include "coordination/rumour.h"
#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

#include <utility>
#include <vector>

namespace ApricotStep
{

/** Tracks which nodes took over the ledgers of one-time requests from nodes that have left. Not thread-safe. */
class HandOffs
{
public:
    /** @p lifetime: the lifetime of keys; an entry that was not refreshed for this long expires, since all keys it covers have expired. */
    explicit HandOffs(Duration lifetime);

    void learn(const HandOffFact &fact, Time now);
    /** The nodes that took the ledger of this incarnation, the last learned first; more than one if a successor has left too. */
    std::vector<NodeId> successors(const NodeId &node, Incarnation incarnation) const;
    void expire(Time now);

private:
    struct Entry
    {
        Time learnedAt;
        std::vector<NodeId> successors;
    };

    Duration m_lifetime;
    absl::flat_hash_map<std::pair<NodeId, Incarnation>, Entry> m_entries;
};

} // namespace ApricotStep
