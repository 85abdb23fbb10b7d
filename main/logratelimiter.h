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
 * Bounds how often lines of one sort are written.
 *
 * Answers the load of a node that refuses most of what arrives, hundreds of requests a second: with one line each, the disk and the lock of
 * the log become what callers wait for, and the line that names the cause is lost among the repeats. Ten lines a second show a person that
 * and what repeats; the count of the lines left out keeps the sums right. Thread-safe.
 */
class LogRateLimiter
{
public:
    static constexpr std::uint64_t LinesPerSecond = 10;

    /** Whether a line of @p category may be written at @p now: the lines of that sort left out since the last one, or nothing. */
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
