#include "main/deferredactions.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

void DeferredActions::addDispatch(RequestId id)
{
    const absl::MutexLock lock(&m_mutex);
    m_dispatches.push_back(id);
}

void DeferredActions::addLoad(const AdapterKey &adapter, Time since)
{
    const absl::MutexLock lock(&m_mutex);
    if (std::none_of(m_loads.begin(), m_loads.end(), [&](const DeferredLoad &load) { return load.adapter == adapter; })) {
        m_loads.push_back({ adapter, since });
    }
}

std::vector<RequestId> DeferredActions::takeDispatches()
{
    const absl::MutexLock lock(&m_mutex);
    return std::exchange(m_dispatches, {});
}

std::vector<DeferredLoad> DeferredActions::takeLoads()
{
    const absl::MutexLock lock(&m_mutex);
    return std::exchange(m_loads, {});
}

} // namespace ApricotStep
