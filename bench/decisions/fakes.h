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

/** Runs what is due in the order of virtual time. */
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

/** How the brief's sentence on the weight store is read. */
enum class StoreModel {
    /** Two loads a second overall, in the order of arrival; each takes a quarter second once it is its turn. */
    Rate,
    /** A quarter second while no more than 8 are in flight, proportionally longer beyond. */
    Parallel,
};

/** The weight store, which all engines load from. */
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

/** An engine that batches continuously: each step gives every running request one token. */
class FakeEngine
{
public:
    struct Callbacks
    {
        std::function<void(std::uint64_t request)> onFirstToken;
        /** @p isComplete is false when a restart cut the request off. */
        std::function<void(std::uint64_t request, bool isComplete)> onDone;
        std::function<void(int adapter, bool isLoaded)> onLoaded;
    };

    FakeEngine(EventLoop &loop, WeightStore &store, const Deployment &deployment, Callbacks callbacks);

    /** False when the adapter is not loaded: then it did not run. */
    bool submit(std::uint64_t request, int adapter, int tokens);
    void load(int adapter, bool willFail);
    /** False when it holds no such adapter or a request runs on it, which must not be asked for. */
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
    /** When the adapter was loaded; only valid when it is held. */
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
    /** Steps are counted from here on. */
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
