#include "main/delayedtasks.h"

#include <algorithm>
#include <iterator>

namespace ApricotStep
{

void DelayedTasks::add(Time due, std::function<void()> task)
{
    const absl::MutexLock lock(&m_mutex);
    m_entries.push_back({ due, std::move(task) });
}

void DelayedTasks::run(Time now)
{
    std::vector<Entry> due;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto firstDue = std::partition(m_entries.begin(), m_entries.end(), [now](const Entry &entry) { return entry.due > now; });
        due.assign(std::make_move_iterator(firstDue), std::make_move_iterator(m_entries.end()));
        m_entries.erase(firstDue, m_entries.end());
    }
    for (const Entry &entry : due) {
        entry.task();
    }
}

} // namespace ApricotStep
