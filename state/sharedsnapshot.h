#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <utility>

namespace ApricotStep
{

/** Holds an immutable snapshot that one thread replaces and many read. A snapshot stays valid for as long as a reader keeps it. */
template<typename T>
class SharedSnapshot
{
public:
    /** The current snapshot; null before the first set(). */
    std::shared_ptr<const T> get() const
    {
        const absl::ReaderMutexLock lock(&m_mutex);
        return m_value;
    }
    void set(std::shared_ptr<const T> value)
    {
        const absl::MutexLock lock(&m_mutex);
        m_value = std::move(value);
    }

private:
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const T> m_value ABSL_GUARDED_BY(m_mutex);
};

} // namespace ApricotStep
