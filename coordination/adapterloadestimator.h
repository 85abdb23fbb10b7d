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

// Load pattern: half of the requests ask for an adapter that stands nowhere, and all engines fetch from one weight store. It keeps its full
// speed up to some number of fetches and slows all of them down beyond; an engine loads what it held lately ten times as fast. Nothing
// publishes how many fetches the store bears, how long one takes or how much an engine keeps at hand.
// With a fixed figure that is too low, requests wait in line for a store that is idle, and callers get late answers; with one that is too
// high, an urgent load shares the store with dozens of others. So the figures are read off the loads themselves: each is seen to begin and
// to end in the rows that holders of orders tell. A fetch that takes longer than the shortest one shows that the store is shared.

struct AdapterLoadEstimatorLimits
{
    /**
     * Fetches at once before any has been seen to end; doubles with each load time while they are not slowed down. Were the first ones to
     * slow each other down, nobody would know the time of a fetch that is not.
     */
    double initialWindow = 4;
    /** Never fewer than this, or a store that turned slow for a moment would not be found fast again. */
    double minWindow = 2;
    /** A fetch that takes this many times the shortest one was slowed down by others; below it the questions' own grid blurs the time. */
    double contentionRatio = 1.4;
    /** How far the window moves towards what the store seems to bear, with each slowed fetch. */
    double windowDecrease = 0.125;
    /** By how many fetches the window grows with each that was not slowed down, once one was. */
    double windowIncrease = 0.25;
    /** Loads at hand are ten times as fast as fetches; one thought to be at hand was, if it took less than this part of the shortest fetch.
     */
    double cachedMaxRatio = 0.6;
    /** The same for loads that nobody thought to be at hand, as those of engines that have run for longer than this node. */
    double unexpectedCachedMaxRatio = 0.35;
    /** Between the times of loads at hand and of fetches lies a gap of this factor at least, and more than two fetches differ by. */
    double minGapRatio = 2.5;
    /** The shortest time is forgotten by this part a second: a store may become slower for good. */
    double minFetchTimeDecay = 0.001;
    /** Times beyond this many of the shortest one are of lost datagrams or dead holders, and say nothing of the store. */
    double maxCredibleRatio = 8;
    /** Taken for a fetch's time before any has been seen; only weighs where the first loads go. */
    Duration initialFetchTime { 250 };
};

/** A load that is done at an engine which this node orders. */
struct CompletedLoad
{
    UpstreamId engine;
    /** From the order to the answer that it is done. */
    Duration duration;
    /** How often the engine had said that it is not. */
    int unfinishedPolls = 0;
    bool wasExpectedCached = false;
};

/** Observes how long loads of adapters take, how many the weight store bears, and what engines keep at hand. Not thread-safe. */
class AdapterLoadEstimator
{
public:
    explicit AdapterLoadEstimator(AdapterLoadEstimatorLimits limits = {});

    /** @p residency is news; rows of one engine come in their order. */
    void onResidency(const EngineResidency &residency, Time now);
    /** Rows of other holders may be lost and then tell a time that is far off, so only loads that this node ordered set the times. */
    void onLoadCompleted(const CompletedLoad &load, Time now);
    /** What another node has seen; taken only while this one has seen nothing itself. */
    void adopt(const StoreView &view, Time now);
    /** For the others; empty while no fetch has been seen. */
    std::optional<StoreView> view() const;
    /** The engine is gone. */
    void remove(const UpstreamId &engine);

    /** How many fetches may be under way from the store, over all engines. */
    int maxConcurrentFetches() const;
    /** Loads under way that are thought to come from the store. */
    int fetchesInFlight() const;
    /** What a fetch takes that is not slowed down by others. */
    Duration minFetchTime() const;
    /** How long after its order to ask whether a load is done. @p isCached: the engine is thought to have it at hand. */
    Duration firstPollDelay(bool isCached) const;
    /** How long after an answer that it is not to ask again: the @p unfinishedPolls -th, @p elapsed after the order. */
    Duration nextPollDelay(Duration elapsed, int unfinishedPolls, bool isCached) const;
    /** How likely @p engine still has @p adapter, which it does not hold now, at hand: 0 to 1. */
    double cacheHitProbability(const UpstreamId &engine, const AdapterRef &adapter) const;
    /** Whether a load of @p adapter at @p engine is expected not to burden the store. */
    bool isExpectedCached(const UpstreamId &engine, const AdapterRef &adapter) const;

private:
    struct Load
    {
        std::uint64_t adapter = 0;
        Time beganAt;
        FencingToken fence;
        double fetchesAtBegin = 0;
        /** Adapters dropped by the engine since it last held this one; 0 when it never did. */
        std::uint32_t age = 0;
        bool isExpectedCached = false;
    };
    struct Engine
    {
        std::int64_t startedAt = 0;
        /** It was empty when it was first seen; else it may have at hand what this node never saw there. */
        bool wasSeenEmpty = false;
        std::vector<std::uint64_t> ready;
        std::vector<Load> loads;
        /** The number of the drop after which each adapter was no longer held. */
        absl::flat_hash_map<std::uint64_t, std::uint32_t> dropNumbers;
        std::uint32_t dropCount = 0;
    };

    void updateCopy(Engine &engine, std::uint64_t adapter, bool isReady, bool wasReady, FencingToken fence, Time now);
    void abandonLoads(const Engine &engine);
    void begin(Engine &engine, std::uint64_t adapter, FencingToken fence, Time now);
    void end(const Load &load, FencingToken fence, Time now);
    static void drop(Engine &engine, std::uint64_t adapter);
    void recordLoadTime(double loadMs);
    void correctMinFetchTime();
    void adjustWindow(double fetches, double slowdown);
    double hitRate(std::uint32_t age) const;
    static std::uint32_t ageOf(const Engine &engine, std::uint64_t adapter);

    static constexpr std::size_t MaxLoadTimes = 32;
    /** One for each doubling of the age. */
    static constexpr std::size_t AgeClassCount = 12;
    /** The age of adapters that an engine may have held before this node saw it; in a class of its own. */
    static constexpr std::uint32_t UnknownAge = 1U << (AgeClassCount - 2);

    AdapterLoadEstimatorLimits m_limits;
    absl::flat_hash_map<UpstreamId, Engine> m_engines;
    /** Loads under way that are thought to come from the store. */
    int m_fetchesInFlight = 0;
    /** 0 before any fetch was seen. */
    double m_minFetchMs = 0;
    /** When it was last seen or forgotten a little. */
    Time m_minFetchAt;
    int m_completedFetches = 0;
    /** Times of the last loads that this node ordered, ms; those whose time is known to be no shorter. */
    std::vector<double> m_loadTimesMs;
    std::size_t m_nextLoadTime = 0;
    /** After this time most fetches and most loads at hand are done, ms; 0 while none has been seen. */
    double m_typicalFetchMs = 0;
    double m_typicalCachedMs = 0;
    double m_window;
    bool m_hasSeenContention = false;
    std::array<double, AgeClassCount> m_hitRates;
};

} // namespace ApricotStep
