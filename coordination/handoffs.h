#pragma once

#include "coordination/rumour.h"
#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

#include <utility>
#include <vector>

namespace ApricotStep
{

/** Which nodes answer for the one-time requests of starts that have left. Not thread-safe. */
class HandOffs
{
public:
    /** @p lifetime: of keys; afterwards nobody asks about them with a use. */
    explicit HandOffs(Duration lifetime);

    void learn(const HandOffFact &fact, Time now);
    /** The nodes that took that start's ledger, the last learnt first; more than one when a successor has left too. */
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
