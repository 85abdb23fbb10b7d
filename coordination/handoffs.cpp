#include "coordination/handoffs.h"

#include <algorithm>

namespace ApricotStep
{

HandOffs::HandOffs(Duration lifetime)
    : m_lifetime(lifetime)
{
}

void HandOffs::learn(const HandOffFact &fact, Time now)
{
    Entry &entry = m_entries[{ fact.node, fact.incarnation }];
    entry.learnedAt = now;
    if (std::find(entry.successors.begin(), entry.successors.end(), fact.successor) == entry.successors.end()) {
        entry.successors.insert(entry.successors.begin(), fact.successor);
    }
}

std::vector<NodeId> HandOffs::successors(const NodeId &node, Incarnation incarnation) const
{
    const auto at = m_entries.find(std::pair(node, incarnation));
    return at == m_entries.end() ? std::vector<NodeId>() : at->second.successors;
}

void HandOffs::expire(Time now)
{
    absl::erase_if(m_entries, [&](const auto &entry) { return entry.second.learnedAt + m_lifetime <= now; });
}

} // namespace ApricotStep
