#pragma once

#include "core/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <vector>

namespace ApricotStep
{

/** Tasks to run at a given time, such as a retry after its backoff. Thread-safe. */
class DelayedTasks
{
public:
    void add(Time due, std::function<void()> task);
    /** Runs the tasks that are due, without holding the lock. */
    void run(Time now);

private:
    struct Entry
    {
        Time due;
        std::function<void()> task;
    };

    absl::Mutex m_mutex;
    std::vector<Entry> m_entries ABSL_GUARDED_BY(m_mutex);
};

} // namespace ApricotStep
