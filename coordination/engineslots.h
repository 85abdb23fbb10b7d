#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <limits>
#include <memory>
#include <optional>
#include <vector>

// Which adapters an engine holds, and which one goes when another must come.
//
// Load pattern: thousands of adapters of skewed popularity over a few slots, with a weight store that gives some two loads a second
// for the whole fleet. Without this module the adapter that was used longest ago goes: at Zipf 1.0 and 72 slots that costs a load for
// 58 of 100 requests, against 44 for keeping the most popular and 38 for clairvoyance.
// Grounds for the figures: the half-life of five minutes sees some dozens of requests of a popular adapter and forgets a popularity
// that shifted within a quarter of an hour; the minimum residence of four load times (one second) stops two adapters from
// evicting each other in turn, since a load that serves one request costs as much as one that serves ten.

namespace ApricotStep
{

/** What is known of an adapter on the engine. */
enum class SlotState {
    Loading,
    Loaded,
    Evicting,
    /** An order was sent and its outcome was not learned: it takes a slot, but no request may rely on it. */
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
    /** Adapters that fit at once; at least 1. */
    int slots = 8;
    /** Expected time of one load. */
    Duration loadTime { 250 };
    /** An adapter stays at least this long after its load, unless an urgent request needs the slot. */
    Duration minimumResidence { 1000 };
    /** After this long a use counts half. */
    Duration halfLife { 300'000 };
    /** Popularity is remembered of this many adapters that are not loaded. */
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
    /** Requests that wait or run pin their adapter. The counts stand apart from the slots, so that a restart cannot upset them. */
    void addQueued(const AdapterKey &adapter);
    void removeQueued(const AdapterKey &adapter);
    void addRunning(const AdapterKey &adapter);
    void removeRunning(const AdapterKey &adapter);

    /** Empty when the adapter takes no slot. */
    std::optional<SlotState> state(const AdapterKey &adapter) const;
    bool isLoaded(const AdapterKey &adapter) const;
    int freeSlots() const;
    int evictingCount() const;
    /** Slots that no request of this node needs: free, or held by an adapter that nothing waits for or runs on. */
    int unpinnedSlots() const;
    /** Slots that are free or could be made free now, at most. */
    int obtainableSlots() const;

    /** Takes a free slot, or the slot that the adapter has already when its state is Unknown. */
    void beginLoad(const AdapterKey &adapter, Time now);
    void endLoad(const AdapterKey &adapter, OrderOutcome outcome, Time now);
    /**
     * The adapter that is worth least; empty when none may go. Never one that a request runs on or waits for, here or elsewhere as far as
     * it is known. @p isUrgent overrides the minimum residence. Only adapters with a score below @p belowScore are taken.
     */
    std::optional<AdapterKey> evictionVictim(bool isUrgent, Time now, double belowScore) const;
    /** Marks the evictionVictim() as Evicting and returns it. */
    std::optional<AdapterKey> beginEviction(bool isUrgent, Time now, double belowScore = -NoScore);
    void endEviction(const AdapterKey &adapter, OrderOutcome outcome, Time now);

    /** The engine restarted: it holds nothing. The counts of running requests stay until each has ended. */
    void onRestart();
    /** Takes over what the engine says of itself; returns the adapters whose state changed. */
    std::vector<AdapterKey> applyReport(
        Time takenAt, const std::vector<AdapterKey> &loaded, const std::vector<AdapterKey> &inUse, Time now);
    void setEvictionRule(bool mayEvict, const std::vector<AdapterKey> &inUseElsewhere);

    /** The logarithm of the decayed frequency; comparable at any time, NoScore for an adapter never asked for. */
    double score(const AdapterKey &adapter) const;
    /** The score of an adapter that was asked for once, at @p now. */
    double singleUseScore(Time now) const;
    /** The most popular adapter that takes no slot. */
    std::optional<AdapterKey> mostPopularAbsent() const;
    /** Adapters that take a slot, sorted. */
    std::vector<AdapterKey> residents() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
