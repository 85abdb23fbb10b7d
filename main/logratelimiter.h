#pragma once

#include "core/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <optional>
#include <string>

namespace ApricotStep
{

/**
 * Limits how many lines of one category are logged per second.
 *
 * A node can refuse hundreds of requests a second. With one line for each, callers would wait for the disk and the lock of the log, and the
 * line that names the cause would be lost among the repeats. Ten lines a second are enough for a person to see what repeats, and the count
 * of suppressed lines keeps the totals correct. Thread-safe.
 */
class LogRateLimiter
{
public:
    static constexpr std::uint64_t LinesPerSecond = 10;

    /** Returns the number of lines of @p category suppressed since the last one written, or nothing if no line may be written at @p now. */
    std::optional<std::uint64_t> admit(const std::string &category, Time now);

private:
    struct Category
    {
        Time windowStart;
        std::uint64_t written = 0;
        std::uint64_t suppressedCount = 0;
    };
    absl::Mutex m_mutex;
    absl::flat_hash_map<std::string, Category> m_categories ABSL_GUARDED_BY(m_mutex);
};

} // namespace ApricotStep
