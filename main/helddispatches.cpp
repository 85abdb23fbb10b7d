#include "main/helddispatches.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

void HeldDispatches::addDispatch(RequestId id)
{
    const absl::MutexLock lock(&m_mutex);
    m_dispatches.push_back(id);
}

void HeldDispatches::addLoad(const AdapterKey &adapter, Time since)
{
    const absl::MutexLock lock(&m_mutex);
    if (std::none_of(m_loads.begin(), m_loads.end(), [&](const HeldLoad &load) { return load.adapter == adapter; })) {
        m_loads.push_back({ adapter, since });
    }
}

std::vector<RequestId> HeldDispatches::takeDispatches()
{
    const absl::MutexLock lock(&m_mutex);
    return std::exchange(m_dispatches, {});
}

std::vector<HeldLoad> HeldDispatches::takeLoads()
{
    const absl::MutexLock lock(&m_mutex);
    return std::exchange(m_loads, {});
}

} // namespace ApricotStep
