// Measures the time of one scheduling decision: an event of one of the engines of a node (3 to 30), with adapters drawn from the whole
// catalog.

#include "coordination/upstreamscheduler.h"

#include <benchmark/benchmark.h>

#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace ApricotStep;

// Simulates the events of a node over all its engines: arrivals, finished loads and evictions, and finished requests. Each step handles one
// event; the actions that it returns queue the events that report their completion.
class Node
{
public:
    Node(int engines, int adapters, int waiting)
        : m_maxWaiting(waiting)
    {
        SchedulerLimits limits;
        limits.slots = 8;
        limits.batch = 32;
        limits.batchWeight = 0;
        for (int engine = 0; engine < engines; ++engine) {
            limits.seed = static_cast<std::uint64_t>(engine);
            m_engines.emplace_back(limits);
        }
        m_pending.resize(m_engines.size());
        for (int adapter = 0; adapter < adapters; ++adapter) {
            m_adapters.push_back({ AdapterId("adapter-" + std::to_string(adapter)), AdapterVersion("1") });
        }
        for (int caller = 0; caller < Callers; ++caller) {
            m_callers.emplace_back("caller-" + std::to_string(caller));
        }
    }

    /** Handles one event. */
    void step()
    {
        const std::size_t engine = m_random() % m_engines.size();
        auto &pending = m_pending[engine];
        m_now = m_now + Duration(static_cast<std::int64_t>(m_random() % 2));
        const bool isFull = m_engines[engine].queuedCount() >= m_maxWaiting;
        if (!pending.empty() && (isFull || m_random() % 2 == 0)) {
            const SchedulerEvent event = pending.back();
            pending.pop_back();
            handle(engine, event);
        } else if (!isFull) {
            handle(engine, WorkArrived { makeItem() });
        } else {
            handle(engine, Tick {});
        }
    }
    int waiting() const
    {
        int total = 0;
        for (const auto &engine : m_engines) {
            total += engine.queuedCount();
        }
        return total;
    }

private:
    static constexpr int Callers = 200;

    WorkItem makeItem()
    {
        // Zipf distribution with exponent 1, by inverting its continuous approximation.
        const double unit = std::uniform_real_distribution<double>(0, 1)(m_random);
        const auto rank = static_cast<std::size_t>(std::exp(unit * std::log(static_cast<double>(m_adapters.size())))) - 1;
        WorkItem work;
        work.id = RequestId(++m_count);
        work.adapter = m_adapters[std::min(rank, m_adapters.size() - 1)];
        work.priority = static_cast<Priority>(m_random() % PriorityCount);
        work.caller = m_callers[m_random() % Callers];
        work.arrival = m_now;
        work.deadline = m_now + Duration::seconds(100'000);
        work.tokens = 100;
        return work;
    }
    void handle(std::size_t engine, const SchedulerEvent &event)
    {
        for (const SchedulerAction &action : m_engines[engine].handle(event, m_now)) {
            if (const auto *load = std::get_if<StartLoad>(&action)) {
                m_pending[engine].emplace_back(LoadFinished { load->adapter, true });
            } else if (const auto *evict = std::get_if<StartEvict>(&action)) {
                m_pending[engine].emplace_back(EvictFinished { evict->adapter, true });
            } else if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
                m_pending[engine].emplace_back(WorkFinished { dispatch->id });
            }
        }
    }

    int m_maxWaiting;
    std::vector<UpstreamScheduler> m_engines;
    std::vector<std::vector<SchedulerEvent>> m_pending;
    std::vector<AdapterKey> m_adapters;
    std::vector<CallerId> m_callers;
    std::mt19937_64 m_random { 42 };
    std::uint64_t m_count = 0;
    Time m_now { 1 };
};

void decision(benchmark::State &state)
{
    Node node(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), static_cast<int>(state.range(2)));
    constexpr int WarmUpSteps = 200'000;
    for (int step = 0; step < WarmUpSteps; ++step) {
        node.step();
    }
    while (state.KeepRunning()) {
        node.step();
    }
    state.counters["waiting"] = node.waiting();
}
// Engines, adapters, maximum of waiting requests per engine.
BENCHMARK(decision)
    ->ArgNames({ "engines", "adapters", "waiting" })
    ->Args({ 30, 130'000, 100 })
    ->Args({ 30, 130'000, 1000 })
    ->Args({ 30, 130'000, 10'000 })
    ->Args({ 30, 3000, 100 })
    ->Args({ 30, 30'000, 100 })
    ->Args({ 3, 130'000, 100 })
    ->Args({ 10, 130'000, 100 });

} // namespace

BENCHMARK_MAIN();
