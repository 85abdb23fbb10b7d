#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <memory>

namespace ApricotStep
{

// Load pattern: one adapter of thousands becomes popular without warning, and cools again.
// Without a spread: its home upstream queues while the others idle. With an undamped one: each copy costs a load from a store that gives a
// few a second, so a popularity that flickers at the threshold loads and evicts without end, and load that moves at once starts cold.
// Grounds for the figures: demand is requests in progress, waiting ones included (arrivals times their time here), so it needs no guess at
// how long answers are. One replica bears half of a batch before another is worth a load. Demand is averaged over five seconds, the time of
// about ten loads, so a flash is not followed. The spread narrows only when demand fits half of it: between the two thresholds nothing
// moves. At most a fifth of an adapter's load moves within a second, so a second replica takes four seconds to get its full half.

struct SpreadLimits
{
    /** Requests in progress of one adapter that one upstream bears before the next helps; above 0. */
    double demandPerReplica = 8;
    /** Time over which demand is averaged. */
    Duration averagingWindow = Duration::seconds(5);
    /** The spread narrows when demand falls below this share of it, 0 to 1. */
    double narrowBelow = 0.5;
    /** Share of an adapter's load that moves within a second at most, above 0. */
    double maxMovePerSecond = 0.2;
    /** Widest spread in upstreams. */
    double maxWidth = 8;
    /** Adapters watched at once; beyond them new ones are treated as cold. */
    std::size_t capacity = 20'000;
};

/** How far each adapter's requests spread along its candidates, from its demand at its owner. Not thread-safe. */
class HotSpread
{
public:
    explicit HotSpread(SpreadLimits limits);
    ~HotSpread();
    HotSpread(HotSpread &&) noexcept;
    HotSpread &operator=(HotSpread &&) noexcept;

    /** A request for @p adapter came in, or ended; one onEnd() for each onArrival(). */
    void onArrival(const AdapterKey &adapter, Time now);
    void onEnd(const AdapterKey &adapter, Time now);
    /**
     * Width of the spread in upstreams, 1 to the widest. 2.3 means the first two candidates, and the third for three requests in ten.
     */
    double width(const AdapterKey &adapter, Time now);
    std::size_t trackedCount() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
