#include "main/loglimit.h"

#include <utility>

namespace ApricotStep
{

std::optional<std::uint64_t> LogLimit::take(const std::string &sort, Time now)
{
    const absl::MutexLock lock(&m_mutex);
    Sort &state = m_sorts[sort];
    if (now - state.windowStart >= Duration::seconds(1)) {
        state.windowStart = now;
        state.written = 0;
    }
    if (state.written >= LinesPerSecond) {
        ++state.leftOut;
        return std::nullopt;
    }
    ++state.written;
    return std::exchange(state.leftOut, 0);
}

} // namespace ApricotStep
