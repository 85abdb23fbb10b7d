#pragma once

#include "bench/decisions/workload.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace DecisionBench
{

/** Runs callbacks in order of virtual time; callbacks due at the same time run in the order in which they were added. */
class EventLoop
{
public:
    void at(Micros when, std::function<void()> callback)
    {
        m_events.push({ when, m_count++, std::move(callback) });
    }
    void after(Micros delay, std::function<void()> callback)
    {
        at(m_now + delay, std::move(callback));
    }
    Micros now() const
    {
        return m_now;
    }
    void runUntil(Micros end);

private:
    struct Event
    {
        Micros when;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    std::priority_queue<Event> m_events;
    Micros m_now = 0;
    std::uint64_t m_count = 0;
};

/** How the capacity limit of the weight store is modelled. */
enum class StoreModel {
    /** Starts two fetches per second for all engines together, in order of arrival; each then takes 250 ms. */
    Rate,
    /** A fetch takes 250 ms while at most 8 are in flight, and proportionally longer with more. */
    Parallel,
};

/** The weight store from which all engines fetch adapters. */
class WeightStore
{
public:
    WeightStore(EventLoop &loop, StoreModel storeModel)
        : m_loop(loop)
        , m_storeModel(storeModel)
    {
    }
    void fetch(std::function<void()> done);
    int fetchCount() const
    {
        return m_fetches;
    }

private:
    void fetchAtRate(std::function<void()> done);
    void advanceTransfers();

    struct Transfer
    {
        double remaining;
        std::function<void()> done;
    };
    EventLoop &m_loop;
    StoreModel m_storeModel;
    Micros m_nextStartTime = 0;
    int m_fetches = 0;
    std::vector<Transfer> m_transfers;
    Micros m_advancedAt = 0;
    std::uint64_t m_generation = 0;
};

/** An engine with continuous batching: each step generates one token for every request in the batch. */
class FakeEngine
{
public:
    struct Callbacks
    {
        std::function<void(std::uint64_t request)> onFirstToken;
        /** @p isComplete is false if a restart interrupted the request. */
        std::function<void(std::uint64_t request, bool isComplete)> onDone;
        std::function<void(int adapter, bool isLoaded)> onLoaded;
    };

    FakeEngine(EventLoop &loop, WeightStore &store, const Deployment &deployment, Callbacks callbacks);

    /** Returns false without running the request if the adapter is not loaded. */
    bool submit(std::uint64_t request, int adapter, int tokens);
    void load(int adapter, bool willFail);
    /** Returns whether the adapter was loaded. Unloading an adapter that requests run on is a scheduler error, counted in evictedInUse().
     */
    bool unload(int adapter);
    void restart();
    void setSlowdown(double factor)
    {
        m_slowdown = factor;
    }
    bool hasAdapter(int adapter) const
    {
        return m_loadedAt.contains(adapter);
    }
    /** Returns when the load of the adapter finished. The adapter must be loaded. */
    Micros loadedAt(int adapter) const
    {
        return m_loadedAt.at(adapter);
    }
    int evictedInUse() const
    {
        return m_evictedInUse;
    }
    std::int64_t steps() const
    {
        return m_steps;
    }
    std::int64_t stepTokens() const
    {
        return m_stepTokens;
    }
    /** Resets the step counters, to exclude the warm-up. */
    void resetSteps()
    {
        m_steps = 0;
        m_stepTokens = 0;
    }

private:
    struct Running
    {
        std::uint64_t request;
        int adapter;
        int remaining;
        bool isInBatch;
        bool hasFirstToken;
    };
    void scheduleStep();
    void step();

    EventLoop &m_loop;
    WeightStore &m_store;
    const Deployment &m_deployment;
    Callbacks m_callbacks;
    std::vector<Running> m_running;
    std::unordered_map<int, Micros> m_loadedAt;
    std::unordered_set<int> m_loading;
    double m_slowdown = 1;
    bool m_isStepping = false;
    std::uint64_t m_restartCount = 0;
    int m_evictedInUse = 0;
    std::int64_t m_steps = 0;
    std::int64_t m_stepTokens = 0;
};

} // namespace DecisionBench
