#include "coordination/fleetdemand.h"

#include <algorithm>
#include <cmath>

namespace ApricotStep
{

namespace
{

// Interval of the search for unresponsive nodes and unpopular adapters; small against UseTimeout.
constexpr Duration SweepInterval { 250 };
// An adapter with less popularity has had no request for five half-lives. Tracking ten thousand adapters takes a megabyte.
constexpr double MinPopularity = 0.03;

} // namespace

FleetDemand::FleetDemand(Duration popularityHalfLife)
    : m_popularityHalfLife(popularityHalfLife)
{
}

void FleetDemand::onUses(const NodeId &node, const std::vector<AdapterUse> &uses, Time now)
{
    m_nodes[node] = NodeUses { uses, now };
    m_isChanged = true;
    for (const AdapterUse &use : uses) {
        if (use.count > 0) {
            const AdapterRef adapter { use.model, use.adapter };
            m_popularity[adapter] = Popularity { popularity(adapter, now) + use.count, now };
        }
    }
}

void FleetDemand::onPendingAdapters(const NodeId &node, const std::vector<AdapterUse> &pendingAdapters, Time now)
{
    NodeUses &known = m_nodes[node];
    std::erase_if(known.uses, [](const AdapterUse &use) { return use.engine.isEmpty() && !use.hasOverloadedCopies; });
    known.uses.insert(known.uses.end(), pendingAdapters.begin(), pendingAdapters.end());
    known.lastReceivedAt = now;
    m_isChanged = true;
}

void FleetDemand::refresh(Time now)
{
    if (now - m_lastSweepAt >= SweepInterval) {
        m_lastSweepAt = now;
        removeUnresponsive(now);
        removeUnpopular(now);
    }
    if (m_isChanged) {
        m_isChanged = false;
        aggregate(now);
    }
}

void FleetDemand::removeUnresponsive(Time now)
{
    const auto isUnresponsive = [now](const auto &entry) { return now - entry.second.lastReceivedAt > UseTimeout; };
    m_isChanged = absl::erase_if(m_nodes, isUnresponsive) > 0 || m_isChanged;
}

void FleetDemand::removeUnpopular(Time now)
{
    absl::erase_if(m_popularity, [this, now](const auto &entry) { return popularity(entry.first, now) < MinPopularity; });
}

void FleetDemand::aggregate(Time now)
{
    using PendingKey = std::pair<AdapterRef, SoftwareVersion>;
    absl::flat_hash_map<PendingKey, Time> pendingSince;
    for (const PendingAdapter &pending : m_pendingAdapters) {
        pendingSince.emplace(PendingKey(pending.adapter, pending.software), pending.since);
    }
    m_used.clear();
    absl::flat_hash_map<PendingKey, PendingAdapter> pendingByKey;
    for (const auto &[node, known] : m_nodes) {
        for (const AdapterUse &use : known.uses) {
            AdapterRef adapter { use.model, use.adapter };
            if (!use.engine.isEmpty()) {
                m_used.emplace(use.engine, std::move(adapter));
                continue;
            }
            // A node that finds no copy at all outweighs others that find the copies overloaded.
            const auto [at, isNew] = pendingByKey.try_emplace(
                PendingKey(adapter, use.software), PendingAdapter { adapter, use.software, use.hasOverloadedCopies, now, 0, Time() });
            PendingAdapter &pending = at->second;
            pending.hasOverloadedCopies = pending.hasOverloadedCopies && use.hasOverloadedCopies;
            pending.waiting += use.waiting;
            if (use.waiting > 0) {
                pending.objectiveDeadline = std::max(pending.objectiveDeadline, known.lastReceivedAt + use.latencySlack);
            }
        }
    }
    m_pendingAdapters.clear();
    for (auto &[key, pending] : pendingByKey) {
        const auto since = pendingSince.find(key);
        pending.since = since != pendingSince.end() ? since->second : now;
        m_pendingAdapters.push_back(std::move(pending));
    }
}

bool FleetDemand::isUsed(const UpstreamId &engine, const AdapterRef &adapter) const
{
    return m_used.contains(std::pair(engine, adapter));
}

const std::vector<PendingAdapter> &FleetDemand::pendingAdapters() const
{
    return m_pendingAdapters;
}

double FleetDemand::popularity(const AdapterRef &adapter, Time now) const
{
    const auto at = m_popularity.find(adapter);
    if (at == m_popularity.end()) {
        return 0;
    }
    return at->second.value * std::exp2(-(now - at->second.at).toSeconds() / m_popularityHalfLife.toSeconds());
}

} // namespace ApricotStep
