#include "core/clock.h"

#include <chrono>
#include <ctime>

namespace ApricotStep
{

Time SystemClock::now() const
{
    // CLOCK_BOOTTIME and not CLOCK_MONOTONIC: a suspended VM must wake with its deadlines passed, not stretched.
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
