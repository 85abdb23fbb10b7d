#pragma once

#include "core/clock.h"

namespace ApricotStep
{

/** The recent rate of events, with exponential decay. Not thread-safe. */
class RateMeter
{
public:
    /** Events of longer ago than @p memory count little. */
    explicit RateMeter(Duration memory);

    void onEvent(Time now);
    /** Events per second. */
    double rate(Time now) const;

private:
    Duration m_memory;
    double m_sum = 0;
    Time m_updatedAt;
};

} // namespace ApricotStep
