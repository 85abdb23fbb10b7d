#include "main/enginejobs.h"

namespace ApricotStep
{

void EngineJobs::add(const EngineJobPointer &job)
{
    const absl::MutexLock lock(&m_mutex);
    m_entries.insert_or_assign(job->completion.work.id, Entry { job });
}

EngineJobPointer EngineJobs::find(RequestId id) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_entries.find(id);
    return at == m_entries.end() ? nullptr : at->second.job;
}

EngineJobPointer EngineJobs::take(RequestId id)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_entries.find(id);
    if (at == m_entries.end()) {
        return nullptr;
    }
    EngineJobPointer job = at->second.job;
    m_entries.erase(at);
    return job;
}

EngineJobPointer EngineJobs::claimForDispatch(RequestId id)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_entries.find(id);
    if (at == m_entries.end()) {
        return nullptr;
    }
    at->second.isDispatched = true;
    return at->second.job;
}

bool EngineJobs::takeWaiting(RequestId id)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_entries.find(id);
    if (at == m_entries.end() || at->second.isDispatched) {
        return false;
    }
    m_entries.erase(at);
    return true;
}

std::vector<EngineJobPointer> EngineJobs::waitingFor(const AdapterKey &adapter) const
{
    std::vector<EngineJobPointer> waiting;
    const absl::MutexLock lock(&m_mutex);
    for (const auto &[id, entry] : m_entries) {
        if (!entry.isDispatched && entry.job->completion.work.adapter == adapter) {
            waiting.push_back(entry.job);
        }
    }
    return waiting;
}

} // namespace ApricotStep
