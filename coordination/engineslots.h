#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <limits>
#include <memory>
#include <optional>
#include <vector>

// Decides which adapters an engine holds and which one is evicted when another must be loaded.
//
// Thousands of adapters of skewed popularity share a few slots, and the weight store serves some two loads a second for all nodes. Evicting
// the least recently used adapter costs, at Zipf 1.0 and 72 slots, a load for 58 of 100 requests, against 44 for keeping the most popular
// ones and 38 for an optimal policy that knows the future.
//
// The half-life of five minutes covers some dozens of requests of a popular adapter, and a popularity that has shifted loses its weight
// within a quarter of an hour. The minimum residence of four load times (one second) stops two adapters from evicting each other in turn,
// since a load that serves one request costs as much as one that serves ten.

namespace ApricotStep
{

/** What is known of an adapter on the engine. */
enum class SlotState {
    Loading,
    Loaded,
    Evicting,
    /** An order was sent and its outcome is unknown: the adapter occupies a slot, but no request may rely on it. */
    Unknown,
};

/** How an order to load or evict ended. */
enum class OrderOutcome {
    Done,
    Failed,
    Unknown,
};

struct EngineSlotsLimits
{
    /** Number of adapters that fit at once; at least 1. */
    int slots = 8;
    /** Expected time of one load. */
    Duration loadTime { 250 };
    /** Minimum time that an adapter stays after its load, unless an urgent request needs the slot. */
    Duration minimumResidence { 1000 };
    /** Time after which a request counts half. */
    Duration halfLife { 300'000 };
    /** Number of adapters without a slot whose popularity is tracked. */
    int maxTrackedAbsent = 4096;
};

/** The slots of one engine. Not thread-safe. */
class EngineSlots
{
public:
    static constexpr double NoScore = -std::numeric_limits<double>::infinity();

    explicit EngineSlots(EngineSlotsLimits limits);
    ~EngineSlots();
    EngineSlots(EngineSlots &&) noexcept;
    EngineSlots &operator=(EngineSlots &&) noexcept;

    /** A request for @p adapter arrived. */
    void recordRequest(const AdapterKey &adapter, Time now);
    /** Waiting and running requests pin their adapter. The counts are kept apart from the slots, so that a restart does not affect them. */
    void addQueued(const AdapterKey &adapter);
    void removeQueued(const AdapterKey &adapter);
    void addRunning(const AdapterKey &adapter);
    void removeRunning(const AdapterKey &adapter);

    /** Empty when the adapter occupies no slot. */
    std::optional<SlotState> state(const AdapterKey &adapter) const;
    bool isLoaded(const AdapterKey &adapter) const;
    int freeSlots() const;
    int evictingCount() const;
    /** Slots that no request of this node needs: free, or holding an adapter that no request waits for or runs on. */
    int unpinnedSlots() const;
    /** Maximum number of slots that are free or could be freed now. */
    int obtainableSlots() const;

    /** Takes a free slot, or the slot that the adapter already occupies if its state is Unknown. */
    void beginLoad(const AdapterKey &adapter, Time now);
    void endLoad(const AdapterKey &adapter, OrderOutcome outcome, Time now);
    /**
     * Returns the adapter of least value; empty when none may be evicted. Never one that a request runs on or waits for, here or, as far as
     * known, on another node. @p isUrgent overrides the minimum residence. Only adapters with a score below @p belowScore are considered.
     */
    std::optional<AdapterKey> evictionVictim(bool isUrgent, Time now, double belowScore) const;
    /** Marks the evictionVictim() as Evicting and returns it. */
    std::optional<AdapterKey> beginEviction(bool isUrgent, Time now, double belowScore = -NoScore);
    void endEviction(const AdapterKey &adapter, OrderOutcome outcome, Time now);

    /** The engine restarted and holds no adapter. The counts of running requests stay until each request has ended. */
    void onRestart();
    /** Applies a report of the engine; returns the adapters whose state changed. */
    std::vector<AdapterKey> applyReport(
        Time takenAt, const std::vector<AdapterKey> &loaded, const std::vector<AdapterKey> &inUse, Time now);
    void setEvictionRule(bool mayEvict, const std::vector<AdapterKey> &inUseElsewhere);

    /**
     * The logarithm of the decayed request count, so that scores of any time are comparable. NoScore for an adapter that was never
     * requested.
     */
    double score(const AdapterKey &adapter) const;
    /** The score of an adapter that was requested once, at @p now. */
    double singleUseScore(Time now) const;
    /** The most popular adapter that occupies no slot. */
    std::optional<AdapterKey> mostPopularAbsent() const;
    /** Adapters that occupy a slot, sorted. */
    std::vector<AdapterKey> residents() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
