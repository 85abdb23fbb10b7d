#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <memory>

namespace ApricotStep
{

// Decides over how many upstreams the requests of a popular adapter spread.
//
// Any one of thousands of adapters may become popular without warning, and unpopular again. Without a spread, the first upstream for the
// adapter queues requests while the others idle. With an undamped spread, a popularity that alternates around the threshold loads and
// evicts copies without end, at the cost of one load each from a store that serves a few a second; and load that moves at once starts on
// upstreams without a loaded copy.
//
// Demand is the number of requests in progress, waiting ones included (arrival rate times time in system), so no estimate of the length of
// answers is needed. One replica takes half of a batch before another one is worth a load. Demand is averaged over five seconds, the time
// of about ten loads, so that a short burst is not followed. The spread narrows only when demand fits half of it; between the two
// thresholds nothing changes. At most a fifth of an adapter's load moves within a second, so a second replica takes four seconds to get its
// full half.

struct SpreadLimits
{
    /** Requests in progress of one adapter that one upstream takes before another one is added; above 0. */
    double demandPerReplica = 8;
    /** Time over which demand is averaged. */
    Duration averagingWindow = Duration::seconds(5);
    /** The spread narrows when demand falls below this fraction of it, 0 to 1. */
    double narrowBelow = 0.5;
    /** Maximum fraction of an adapter's load that moves within a second, above 0. */
    double maxMovePerSecond = 0.2;
    /** Maximum width of a spread in upstreams. */
    double maxWidth = 8;
    /** Maximum number of adapters tracked; further ones are not spread. */
    std::size_t capacity = 20'000;
};

/** Computes how far the requests of each adapter spread along its candidates, from the demand at the adapter's owner. Not thread-safe. */
class HotSpread
{
public:
    explicit HotSpread(SpreadLimits limits);
    ~HotSpread();
    HotSpread(HotSpread &&) noexcept;
    HotSpread &operator=(HotSpread &&) noexcept;

    /** A request for @p adapter arrived or ended; each onArrival() needs one onEnd(). */
    void onArrival(const AdapterKey &adapter, Time now);
    void onEnd(const AdapterKey &adapter, Time now);
    /**
     * Width of the spread in upstreams, from 1 to the maximum. 2.3 means the first two candidates, and the third one for three requests in
     * ten.
     */
    double width(const AdapterKey &adapter, Time now);
    std::size_t trackedCount() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
