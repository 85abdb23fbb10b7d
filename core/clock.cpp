#include "core/clock.h"

#include <chrono>
#include <ctime>

namespace ApricotStep
{

Time SystemClock::now() const
{
    // CLOCK_BOOTTIME instead of CLOCK_MONOTONIC, since it includes the time for which the VM was suspended: deadlines must expire during
    // a suspension, not be extended by it.
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return Time(static_cast<std::int64_t>(value.tv_sec) * 1000 + value.tv_nsec / 1'000'000);
}

Time SystemClock::wallTime() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Time(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace ApricotStep
