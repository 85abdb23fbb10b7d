#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <utility>

namespace ApricotStep
{

/** An immutable value that one thread replaces and many read; a reader keeps what it got for as long as it likes. */
template<typename T>
class SharedSnapshot
{
public:
    /** The newest value; null before the first set(). */
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
