#include "main/logratelimiter.h"

#include <utility>

namespace ApricotStep
{

std::optional<std::uint64_t> LogRateLimiter::admit(const std::string &category, Time now)
{
    const absl::MutexLock lock(&m_mutex);
    Category &state = m_categories[category];
    if (now - state.windowStart >= Duration::seconds(1)) {
        state.windowStart = now;
        state.written = 0;
    }
    if (state.written >= LinesPerSecond) {
        ++state.suppressedCount;
        return std::nullopt;
    }
    ++state.written;
    return std::exchange(state.suppressedCount, 0);
}

} // namespace ApricotStep
