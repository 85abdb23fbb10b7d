#pragma once

#include "coordination/fleetmessage.h"
#include "coordination/residencytable.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace ApricotStep
{

// Estimates the state of the weight store from the loads themselves.
//
// Half of the requests may ask for an adapter that is loaded on no engine, and all engines fetch from one weight store. The store keeps its
// full speed up to some number of concurrent fetches and slows all of them down beyond it; an engine loads an adapter that it held recently
// ten times as fast, from its host memory. Neither the store nor the engines publish how many fetches the store sustains, how long one
// takes or how many adapters an engine caches.
//
// In a large fleet several scopes order loads from the one store, and each sees only the residencies of its own engines. If each estimated
// the store by itself, a scope that starts while others fetch would take the time under contention for that of an idle store and never
// stop growing, while a scope that knows better would give way to it down to its minimum: after a restart of 195 nodes, four of six zones
// were left with two fetches at a time, and a fetch took 1.3 s instead of 0.25 s for as long as the fleet ran. Therefore lease holders tell
// the other scopes their fetch time, their fetches in flight and their demand; each scope takes the share of the store that its demand is
// of the whole.
//
// With a fixed concurrency limit that is too low, requests queue for an idle store and callers get late answers; with one that is too high,
// an urgent load shares the store with dozens of others. The parameters are therefore derived from observed loads, whose begin and end
// appear in the residencies that lease holders send. A fetch that takes longer than the shortest one shows contention at the store.

struct AdapterLoadEstimatorLimits
{
    /**
     * Concurrent fetches allowed before the first one has ended; doubles with each load time while no contention is seen. It is small
     * because fetches that slow each other down from the start would hide the uncontended fetch time.
     */
    double initialWindow = 4;
    /** Lower bound of the window, so that a store that was slow for a moment is found to be fast again. */
    double minWindow = 2;
    /**
     * A fetch that takes at least this many times the shortest one was slowed down by others. Smaller differences are lost in the
     * granularity of polling.
     */
    double contentionRatio = 1.4;
    /** Fraction of the distance to the sustainable number of fetches by which each slowed fetch shrinks the window. */
    double windowDecrease = 0.125;
    /** Number of fetches by which each fetch that was not slowed down grows the window, once contention has been seen. */
    double windowIncrease = 0.25;
    /**
     * A load that was expected to be cached counts as cached if it took less than this fraction of the shortest fetch. Cached loads are ten
     * times as fast as fetches.
     */
    double cachedMaxRatio = 0.6;
    /** The same for loads that were not expected to be cached, such as on engines that have run for longer than this node. */
    double unexpectedCachedMaxRatio = 0.35;
    /** Cached loads and fetches differ in time by at least this factor; two fetches differ by less. */
    double minGapRatio = 2.5;
    /** Fraction by which the shortest fetch time grows each second, since a store may become slower for good. */
    double minFetchTimeDecay = 0.001;
    /** Times of more than this many shortest fetches come from lost datagrams or crashed lease holders and say nothing about the store. */
    double maxCredibleRatio = 8;
    /** What another scope reported is forgotten after this time: several messages of its lease holders were lost, or they are gone. */
    Duration scopeTimeout { 2500 };
    /** Assumed fetch time before any fetch has been observed; only affects where the first loads are placed. */
    Duration initialFetchTime { 250 };
};

/** A load that has completed on an engine which this node gives orders to. */
struct CompletedLoad
{
    UpstreamId engine;
    /** From the order to the answer that the load is done. */
    Duration duration;
    /** Number of polls that found the load unfinished. */
    int unfinishedPolls = 0;
    bool wasExpectedCached = false;
};

/**
 * Estimates how long loads of adapters take, how many concurrent fetches the weight store sustains, and what engines have cached. Not
 * thread-safe.
 */
class AdapterLoadEstimator
{
public:
    explicit AdapterLoadEstimator(AdapterLoadEstimatorLimits limits = {});

    /** Handles an accepted residency update; updates of one engine must come in their order. */
    void onResidency(const EngineResidency &residency, Time now);
    /**
     * Updates the load times. Only loads that this node ordered count: updates of other lease holders may be lost, which makes the observed
     * times wrong.
     */
    void onLoadCompleted(const CompletedLoad &load, Time now);
    /** Takes over the observations of another node, unless this node has observed a fetch itself. */
    void adopt(const StoreView &view, Time now);
    /** Handles the observations of a lease holder of another scope. */
    void onOtherScope(const ZoneId &scope, const StoreView &view, Time now);
    /** Sets how many adapters wait for a fetch that this node's plan has not ordered. */
    void setPendingFetches(int count, Time now);
    /** This node orders no fetches any more. */
    void clearPendingFetches();
    /** The observations to send to other nodes; empty before any fetch has been observed. */
    std::optional<StoreView> view() const;
    void remove(const UpstreamId &engine);

    /** Limit of concurrent fetches from the store, over all engines in scope. */
    int maxConcurrentFetches() const;
    /** Loads in flight that are expected to come from the store. */
    int fetchesInFlight() const;
    /** Time of a fetch without contention. */
    Duration minFetchTime() const;
    /**
     * Delay between the order to load and the first poll for its completion. @p isCached: the engine is expected to have the adapter
     * cached.
     */
    Duration firstPollDelay(bool isCached) const;
    /** Delay until the next poll, after @p unfinishedPolls polls that found the load unfinished and @p elapsed since the order. */
    Duration nextPollDelay(Duration elapsed, int unfinishedPolls, bool isCached) const;
    /** Probability, 0 to 1, that @p engine has @p adapter cached, which is not loaded there now. */
    double cacheHitProbability(const UpstreamId &engine, const AdapterRef &adapter) const;
    /** Whether a load of @p adapter on @p engine is expected to need no fetch from the store. */
    bool isExpectedCached(const UpstreamId &engine, const AdapterRef &adapter) const;

private:
    struct Load
    {
        std::uint64_t adapter = 0;
        Time beganAt;
        FencingToken fence;
        double fetchesAtBegin = 0;
        /** Number of adapters that the engine has dropped since it held this one, this one included; 0 if it never held it. */
        std::uint32_t age = 0;
        bool isExpectedCached = false;
    };
    struct Engine
    {
        std::int64_t startedAt = 0;
        /**
         * No adapter was loaded on the engine when this node first saw it. Otherwise it may have cached adapters that this node does not
         * know of.
         */
        bool wasSeenEmpty = false;
        std::vector<std::uint64_t> ready;
        std::vector<Load> loads;
        /** For each adapter that was dropped, the value of dropCount at that drop. */
        absl::flat_hash_map<std::uint64_t, std::uint32_t> dropNumbers;
        std::uint32_t dropCount = 0;
    };

    void updateCopy(Engine &engine, std::uint64_t adapter, bool isReady, bool wasReady, FencingToken fence, Time now);
    void abandonLoads(const Engine &engine);
    void begin(Engine &engine, std::uint64_t adapter, FencingToken fence, Time now);
    void end(const Load &load, FencingToken fence, Time now);
    static void drop(Engine &engine, std::uint64_t adapter);
    void recordLoadTime(double loadMs);
    void correctMinFetchTime(Time now);
    void adjustWindow(double fetches, double slowdown);
    void adoptMinFetchTime(const StoreView &view, Time now);
    /** Fetches in flight in all scopes. */
    double allFetches() const;
    double scopeCount() const;
    void removeSilentScopes(Time now);
    double hitRate(std::uint32_t age) const;
    static std::uint32_t ageOf(const Engine &engine, std::uint64_t adapter);

    static constexpr std::size_t MaxLoadTimes = 32;
    /** One class for each doubling of the age. */
    static constexpr std::size_t AgeClassCount = 12;
    /** Age of adapters that an engine may have held before this node first saw it; has a class of its own. */
    static constexpr std::uint32_t UnknownAge = 1U << (AgeClassCount - 2);

    AdapterLoadEstimatorLimits m_limits;
    absl::flat_hash_map<UpstreamId, Engine> m_engines;
    /** Loads in flight that are expected to come from the store. */
    int m_fetchesInFlight = 0;
    /** 0 before any fetch has been observed. */
    double m_minFetchMs = 0;
    /** When m_minFetchMs was last observed or decayed. */
    Time m_minFetchAt;
    /** When another scope last reported about the same time, or a shorter one that was adopted. */
    Time m_confirmedAt;
    int m_completedFetches = 0;
    /** Ring buffer of the latest times of loads that this node ordered, in ms; only times with a known lower bound. */
    std::vector<double> m_loadTimesMs;
    std::size_t m_nextLoadTime = 0;
    /** Most fetches and most cached loads are done after these times, in ms; 0 before any has been observed. */
    double m_typicalFetchMs = 0;
    double m_typicalCachedMs = 0;
    /** The window of all scopes together, divided by their number. */
    double m_window;
    bool m_hasSeenContention = false;
    std::array<double, AgeClassCount> m_hitRates;
    struct OtherScope
    {
        double fetches = 0;
        double demand = 0;
        Time at;
    };
    absl::flat_hash_map<ZoneId, OtherScope> m_otherScopes;
    int m_pendingFetches = 0;
    Time m_pendingFetchesAt;
};

} // namespace ApricotStep
