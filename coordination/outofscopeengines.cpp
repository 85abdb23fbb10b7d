#include "coordination/outofscopeengines.h"

#include <algorithm>

namespace ApricotStep
{

OutOfScopeEngines::OutOfScopeEngines(OutOfScopeLimits limits)
    : m_limits(limits)
{
}

void OutOfScopeEngines::put(const UpstreamRecord &record)
{
    const auto known = m_records.find(record.id);
    if (known != m_records.end() && known->second.models == record.models) {
        known->second = record;
        return;
    }
    // A load that was reported for an earlier start says nothing about this one.
    const bool isSameStart = known != m_records.end() && known->second.startedAt == record.startedAt;
    const auto load = m_loads.find(record.id);
    const std::optional<KnownLoad> kept = isSameStart && load != m_loads.end() ? std::optional(load->second) : std::nullopt;
    remove(record.id);
    if (record.models.empty()) {
        return;
    }
    m_records[record.id] = record;
    for (const LoadedModel &model : record.models) {
        for (const AdapterKey &key : model.adapters) {
            m_enginesByAdapter[AdapterRef { model.id, key.id }].push_back(record.id);
        }
    }
    if (kept) {
        m_loads[record.id] = *kept;
    }
}

void OutOfScopeEngines::remove(const UpstreamId &engine)
{
    m_loads.erase(engine);
    const auto at = m_records.find(engine);
    if (at == m_records.end()) {
        return;
    }
    for (const LoadedModel &model : at->second.models) {
        for (const AdapterKey &key : model.adapters) {
            markMissing(engine, AdapterRef { model.id, key.id });
        }
    }
    m_records.erase(at);
}

void OutOfScopeEngines::markMissing(const UpstreamId &engine, const AdapterRef &adapter)
{
    const auto at = m_enginesByAdapter.find(adapter);
    if (at == m_enginesByAdapter.end()) {
        return;
    }
    std::erase(at->second, engine);
    if (at->second.empty()) {
        m_enginesByAdapter.erase(at);
    }
}

void OutOfScopeEngines::onLoads(const std::vector<UpstreamLoad> &loads, Time now)
{
    for (const UpstreamLoad &load : loads) {
        m_loads[load.upstream] = KnownLoad { FleetLoad { static_cast<double>(load.running), static_cast<double>(load.pendingTokens),
                                                 static_cast<double>(std::max(load.reservedTokens, load.pendingTokens)) },
            now };
    }
}

std::vector<UpstreamId> OutOfScopeEngines::enginesWith(const AdapterRef &adapter) const
{
    const auto at = m_enginesByAdapter.find(adapter);
    return at != m_enginesByAdapter.end() ? at->second : std::vector<UpstreamId>();
}

std::optional<AdapterVersion> OutOfScopeEngines::version(const UpstreamId &engine, const AdapterRef &adapter) const
{
    const auto at = m_records.find(engine);
    if (at == m_records.end()) {
        return std::nullopt;
    }
    for (const LoadedModel &model : at->second.models) {
        for (const AdapterKey &key : model.adapters) {
            if (model.id == adapter.model && key.id == adapter.adapter) {
                return key.version;
            }
        }
    }
    return std::nullopt;
}

std::optional<FleetLoad> OutOfScopeEngines::load(const UpstreamId &engine, Time now) const
{
    const auto at = m_loads.find(engine);
    if (at == m_loads.end() || now - at->second.at > m_limits.maxLoadAge) {
        return std::nullopt;
    }
    return at->second.load;
}

bool shouldLeaveScope(std::optional<Duration> inScope, Duration outOfScope, Duration acceptableWait, const OutOfScopeLimits &limits)
{
    if (!inScope) {
        return outOfScope <= acceptableWait;
    }
    const auto inScopeMs = static_cast<double>(inScope->milliseconds());
    return *inScope > acceptableWait && static_cast<double>(outOfScope.milliseconds()) * limits.requiredGain <= inScopeMs;
}

} // namespace ApricotStep
