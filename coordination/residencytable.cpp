#include "coordination/residencytable.h"

#include <tuple>
#include <utility>

namespace ApricotStep
{

namespace
{

// Fencing tokens are only comparable within one start of the engine: when it restarts in another shard, its new holder may have a lower
// token.
auto versionOf(const EngineResidency &residency)
{
    return std::tuple(residency.startedAt, residency.fence, residency.sequence);
}

} // namespace

bool ResidencyTable::put(const EngineResidency &residency)
{
    const auto at = m_residencies.find(residency.engine);
    if (at != m_residencies.end() && versionOf(at->second) >= versionOf(residency)) {
        return false;
    }
    m_residencies[residency.engine] = residency;
    absl::erase_if(m_missing, [&residency](const auto &entry) { return entry.first.first == residency.engine; });
    return true;
}

void ResidencyTable::markMissing(const UpstreamId &engine, const AdapterRef &adapter)
{
    m_missing[std::pair(engine, adapter)] = true;
}

void ResidencyTable::remove(const UpstreamId &engine)
{
    m_residencies.erase(engine);
    absl::erase_if(m_missing, [&engine](const auto &entry) { return entry.first.first == engine; });
}

const EngineResidency *ResidencyTable::residency(const UpstreamRecord &record) const
{
    const auto at = m_residencies.find(record.id);
    return at != m_residencies.end() && at->second.startedAt == record.startedAt ? &at->second : nullptr;
}

std::optional<AdapterCopy> ResidencyTable::copy(const UpstreamRecord &record, const AdapterRef &adapter) const
{
    if (m_missing.contains(std::pair(record.id, adapter))) {
        return std::nullopt;
    }
    if (const EngineResidency *known = residency(record)) {
        for (const AdapterCopy &copy : known->copies) {
            if (copy.model == adapter.model && copy.adapter == adapter.adapter) {
                return copy;
            }
        }
        return std::nullopt;
    }
    for (const LoadedModel &held : record.models) {
        for (const AdapterKey &key : held.adapters) {
            if (held.id == adapter.model && key.id == adapter.adapter) {
                return AdapterCopy { adapter.model, adapter.adapter, key.version, true };
            }
        }
    }
    return std::nullopt;
}

} // namespace ApricotStep
