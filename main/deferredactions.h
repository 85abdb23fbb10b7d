#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <vector>

namespace ApricotStep
{

struct DeferredLoad
{
    AdapterKey adapter;
    Time since;
};

/** Dispatches and loads that wait until this node holds the ownership of the engine. Thread-safe. */
class DeferredActions
{
public:
    void addDispatch(RequestId id);
    /** Does nothing if a load of @p adapter is already deferred. */
    void addLoad(const AdapterKey &adapter, Time since);
    std::vector<RequestId> takeDispatches();
    std::vector<DeferredLoad> takeLoads();

private:
    absl::Mutex m_mutex;
    std::vector<RequestId> m_dispatches ABSL_GUARDED_BY(m_mutex);
    std::vector<DeferredLoad> m_loads ABSL_GUARDED_BY(m_mutex);
};

} // namespace ApricotStep
