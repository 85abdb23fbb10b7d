#pragma once

#include "coordination/adapterplan.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace ApricotStep
{

/** The report of an engine that holds the adapters @a held and is loading those in @a coming. */
template<typename Engine>
EngineReport reportOfEngine(const Engine &engine)
{
    EngineReport report;
    LoadedModel held { BaseModelId("m"), {} };
    for (const std::string &name : engine.held) {
        held.adapters.push_back(AdapterKey { AdapterId(name), AdapterVersion("1") });
    }
    for (const auto &load : engine.loading) {
        report.loading.push_back(AdapterKey { AdapterId(load.adapter), AdapterVersion("1") });
    }
    report.models.push_back(held);
    return report;
}

/** Parameters of the weight store and the engines of a deployment. */
struct StoreParameters
{
    /** Number of concurrent fetches that do not slow each other down. */
    int fullSpeedFetches = 8;
    Duration fetch { 250 };
    /** Number of adapters that an engine caches, including those in its slots. */
    std::size_t cached = 48;
    int engines = 9;
    int slots = 8;
    /** Number of nodes that each give orders to a part of the engines. */
    int plans = 3;
    /** Delay that a slow node and its link add before a load is observed to be done. */
    Duration observationDelay { 0 };
    /** The engines and plans are divided evenly into scopes; each request is for the engines of one of them. */
    int scopes = 1;
    /** Memory of an engine for adapters, in adapters; 0 if it is not limited. */
    int adaptersInMemory = 0;
};

/**
 * Simulates engines that fetch adapters from one store, a few nodes that plan their loads, and requests that wait for adapters. All of it
 * runs on one simulated clock; residencies and answers arrive at once.
 */
class WeightStoreSimulation
{
public:
    explicit WeightStoreSimulation(const StoreParameters &parameters, std::uint64_t seed = 1)
        : m_parameters(parameters)
        , m_random(seed)
    {
        m_spec.adapterSlots = parameters.slots;
        m_spec.models.push_back(BaseModelSpec { BaseModelId("m"), 1, 1, Duration(1900) });
        m_spec.weightsMb = parameters.adaptersInMemory > 0 ? 1 + parameters.adaptersInMemory : 0;
        m_records.resize(static_cast<std::size_t>(parameters.engines));
        m_engines.resize(m_records.size());
        for (std::size_t i = 0; i < m_records.size(); ++i) {
            m_records[i].id = UpstreamId("e" + std::to_string(i));
            m_records[i].startedAt = 1;
            m_records[i].models = { LoadedModel { BaseModelId("m"), {} } };
        }
        for (int i = 0; i < parameters.plans; ++i) {
            m_nodes.push_back(std::make_unique<Node>());
            m_nodes.back()->plan =
                std::make_unique<AdapterPlan>(AdapterPlanLimits {}, FencingToken(static_cast<std::uint64_t>(i) + 1), m_nodes.back()->loads);
        }
    }

    /** A request for @p adapter arrives now and runs for @p work once a copy is loaded. */
    void ask(const std::string &adapter, Duration work = Duration(200))
    {
        const int scope = m_parameters.scopes > 1 ? std::uniform_int_distribution<int>(0, m_parameters.scopes - 1)(m_random) : 0;
        m_requests.push_back(Request { adapter, m_now, Time(), work, -1, false, false, scope });
    }
    /** Simulates @p perSecond requests for @p adapters adapters of Zipf popularity with exponent @p skew. */
    void runLoad(Duration span, double perSecond, int adapters, double skew)
    {
        std::vector<double> weights;
        for (int i = 1; i <= adapters; ++i) {
            weights.push_back(std::pow(i, -skew));
        }
        std::discrete_distribution<int> popularity(weights.begin(), weights.end());
        std::exponential_distribution<double> pause(perSecond / 1000);
        double next = pause(m_random);
        for (std::int64_t ms = 0; ms < span.milliseconds(); ms += Step.milliseconds()) {
            for (; next < static_cast<double>(ms); next += pause(m_random)) {
                ask("a" + std::to_string(popularity(m_random)));
            }
            step();
        }
    }
    void run(Duration span)
    {
        for (std::int64_t ms = 0; ms < span.milliseconds(); ms += Step.milliseconds()) {
            step();
        }
    }
    /** The engine stops answering; its record and its copies stay listed. */
    void crash(int engine)
    {
        m_engines[static_cast<std::size_t>(engine)].isDown = true;
    }
    /** The node of this plan stops, and no other node gives orders to its engines yet. */
    void stopPlan(std::size_t plan)
    {
        m_nodes[plan]->isStopped = true;
    }
    /** The adapters that are loaded on an engine. */
    const std::vector<std::string> &held(int engine) const
    {
        return m_engines[static_cast<std::size_t>(engine)].held;
    }
    /** Replaces the node of this plan by one that knows only the residencies and what the other nodes send it. */
    void replaceNode(std::size_t index)
    {
        auto node = std::make_unique<Node>();
        node->residencies = m_nodes[index]->residencies;
        node->plan = std::make_unique<AdapterPlan>(AdapterPlanLimits {}, FencingToken(500 + index), node->loads);
        m_nodes[index] = std::move(node);
    }
    /** Restarts all nodes without any knowledge; engines keep their adapters. */
    void restartNodes()
    {
        std::uint64_t fence = 1000;
        for (auto &node : m_nodes) {
            node = std::make_unique<Node>();
            node->plan = std::make_unique<AdapterPlan>(AdapterPlanLimits {}, FencingToken(++fence), node->loads);
        }
    }

    /** Sorted waits of the requests that arrived since @p since; those of requests that still wait count until now. */
    std::vector<std::int64_t> waits(Time since = Time()) const
    {
        std::vector<std::int64_t> result;
        for (const Request &request : m_requests) {
            if (request.arrivedAt >= since) {
                result.push_back(((request.isPlaced ? request.placedAt : m_now) - request.arrivedAt).milliseconds());
            }
        }
        std::sort(result.begin(), result.end());
        return result;
    }
    std::int64_t waitPercentile(double share, Time since = Time()) const
    {
        const auto sorted = waits(since);
        return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
    }
    /** Fraction of the requests that arrived since @p since and began within their objective. */
    double shareInTime(Time since = Time()) const
    {
        const auto sorted = waits(since);
        const auto late = std::upper_bound(sorted.begin(), sorted.end(), Objective.milliseconds());
        return static_cast<double>(late - sorted.begin()) / static_cast<double>(std::max<std::size_t>(sorted.size(), 1));
    }
    /** Number of fetches ordered from the store since the start. */
    int fetches() const
    {
        return m_fetches;
    }
    int cachedLoads() const
    {
        return m_cachedLoads;
    }
    int maxFetchesInFlight() const
    {
        return m_maxFetchesInFlight;
    }
    int crashes() const
    {
        return m_crashes;
    }
    const AdapterLoadEstimator &loads(std::size_t node = 0) const
    {
        return m_nodes[node]->loads;
    }
    Time now() const
    {
        return m_now;
    }

private:
    static constexpr Duration Step { 5 };
    /** The latency objective of all requests. */
    static constexpr Duration Objective { 500 };

    struct Request
    {
        std::string adapter;
        Time arrivedAt;
        Time placedAt;
        Duration work;
        int engine;
        bool isPlaced;
        bool isCounted = false;
        int scope = 0;
    };
    struct Load
    {
        std::string adapter;
        double leftMs = 0;
        bool isFetch = false;
    };
    struct Engine
    {
        std::vector<std::string> held;
        std::vector<Load> loading;
        /** The most recently loaded adapter is last. */
        std::deque<std::string> cached;
        bool isDown = false;
    };
    struct Node
    {
        AdapterLoadEstimator loads;
        ResidencyTable residencies;
        std::unique_ptr<AdapterPlan> plan;
        bool isStopped = false;
    };

    void step()
    {
        m_now = m_now + Step;
        advanceLoads();
        advanceRequests();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            decide(i);
        }
    }
    void advanceLoads()
    {
        int fetching = 0;
        for (const Engine &engine : m_engines) {
            fetching += static_cast<int>(
                std::count_if(engine.loading.begin(), engine.loading.end(), [](const Load &load) { return load.isFetch; }));
        }
        m_maxFetchesInFlight = std::max(m_maxFetchesInFlight, fetching);
        const double speed = std::min(1.0, static_cast<double>(m_parameters.fullSpeedFetches) / std::max(fetching, 1));
        for (Engine &engine : m_engines) {
            for (Load &load : engine.loading) {
                load.leftMs -= static_cast<double>(Step.milliseconds()) * (load.isFetch ? speed : 1);
            }
            for (auto at = engine.loading.begin(); at != engine.loading.end();) {
                if (at->leftMs > 0) {
                    ++at;
                    continue;
                }
                engine.held.push_back(at->adapter);
                addToCache(engine, at->adapter);
                at = engine.loading.erase(at);
            }
        }
    }
    void addToCache(Engine &engine, const std::string &adapter) const
    {
        std::erase(engine.cached, adapter);
        engine.cached.push_back(adapter);
        if (engine.cached.size() > m_parameters.cached) {
            engine.cached.pop_front();
        }
    }
    void advanceRequests()
    {
        for (Request &request : m_requests) {
            if (request.isPlaced) {
                continue;
            }
            const auto scope = static_cast<std::size_t>(request.scope);
            for (std::size_t i = scope; i < m_engines.size() && !request.isPlaced; i += scopeCount()) {
                const auto copy =
                    m_nodes[scope]->residencies.copy(m_records[i], AdapterRef { BaseModelId("m"), AdapterId(request.adapter) });
                if (copy && copy->isReady && !m_engines[i].isDown) {
                    request.isPlaced = true;
                    request.engine = static_cast<int>(i);
                    request.placedAt = m_now;
                }
            }
        }
    }
    std::size_t scopeCount() const
    {
        return static_cast<std::size_t>(m_parameters.scopes);
    }
    std::vector<AdapterUse> uses(std::size_t scope)
    {
        std::vector<AdapterUse> result;
        for (Request &request : m_requests) {
            if (static_cast<std::size_t>(request.scope) != scope) {
                continue;
            }
            const bool isRunning = request.isPlaced && m_now < request.placedAt + request.work;
            if (request.isPlaced && !isRunning) {
                continue;
            }
            AdapterUse use { BaseModelId("m"), AdapterId(request.adapter) };
            use.count = std::exchange(request.isCounted, true) ? 0 : 1;
            if (isRunning) {
                use.engine = m_records[static_cast<std::size_t>(request.engine)].id;
            } else {
                use.waiting = 1;
                use.latencySlack = request.arrivedAt + Objective - m_now;
            }
            addUse(result, use);
        }
        return result;
    }
    void decide(std::size_t index)
    {
        const std::size_t scope = index % scopeCount();
        if (index == scope) {
            m_uses[scope] = uses(scope);
        }
        Node &node = *m_nodes[index];
        if (node.isStopped) {
            return;
        }
        exchangeViews(index);
        std::vector<PlannedEngine> planned;
        for (std::size_t i = scope; i < m_records.size(); i += scopeCount()) {
            const std::size_t owner = i % m_nodes.size();
            planned.push_back(
                PlannedEngine { &m_records[i], &m_spec, 0, 0, 1, owner == index, !m_nodes[owner]->isStopped, !m_engines[i].isDown });
        }
        node.plan->setEngines(planned, node.residencies, m_now);
        node.plan->setRotation(PlanRotation { index / scopeCount(), m_nodes.size() / scopeCount() });
        node.plan->onUses(NodeId("n"), m_uses[scope], m_now);
        for (const PlanAction &action : node.plan->decide(m_now)) {
            if (const auto *give = std::get_if<SendOrder>(&action)) {
                node.plan->onOrderAnswer(give->order, carryOut(give->order), m_now);
            } else if (const auto *ask = std::get_if<RequestEngineReport>(&action)) {
                if (!m_engines[indexOf(ask->engine)].isDown) {
                    node.plan->onReport(ask->engine, reportOfEngine(m_engines[indexOf(ask->engine)]), m_now);
                }
            } else if (const auto *announce = std::get_if<AnnounceResidency>(&action)) {
                for (std::size_t other = scope; other < m_nodes.size(); other += scopeCount()) {
                    const auto &each = m_nodes[other];
                    if (each->residencies.put(announce->residency)) {
                        each->loads.onResidency(announce->residency, m_now);
                    }
                }
            }
        }
    }
    // Nodes of one scope hear each other at once, those of other scopes with the renewals of leases.
    void exchangeViews(std::size_t index)
    {
        constexpr Duration RenewalInterval { 600 };
        Node &node = *m_nodes[index];
        const bool isRenewalDue = m_now.milliseconds() % RenewalInterval.milliseconds() < Step.milliseconds();
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            const auto view = m_nodes[other]->loads.view();
            const bool isSameScope = other % scopeCount() == index % scopeCount();
            if (!view || other == index || (!isSameScope && !isRenewalDue)) {
                continue;
            }
            node.loads.adopt(*view, m_now);
            if (!isSameScope) {
                node.loads.onOtherScope(ZoneId("z" + std::to_string(other % scopeCount())), *view, m_now);
            }
        }
    }
    static std::size_t indexOf(const UpstreamId &id)
    {
        return std::stoul(id.value().substr(1));
    }
    OrderAnswer carryOut(const EngineOrder &order)
    {
        Engine &engine = m_engines[indexOf(order.engine)];
        if (engine.isDown) {
            return OrderAnswer::Unknown;
        }
        const std::string &name = order.adapter.value();
        const auto held = std::find(engine.held.begin(), engine.held.end(), name);
        if (order.kind == EngineOrder::Kind::Unload) {
            if (held != engine.held.end()) {
                engine.held.erase(held);
            }
            return OrderAnswer::Done;
        }
        if (held != engine.held.end()) {
            return OrderAnswer::Done;
        }
        const bool isComing =
            std::any_of(engine.loading.begin(), engine.loading.end(), [&name](const Load &load) { return load.adapter == name; });
        if (isComing) {
            return OrderAnswer::Accepted;
        }
        const bool isCached = std::find(engine.cached.begin(), engine.cached.end(), name) != engine.cached.end();
        const auto delayMs = static_cast<double>(m_parameters.observationDelay.milliseconds());
        const auto fetchMs = static_cast<double>(m_parameters.fetch.milliseconds());
        engine.loading.push_back(Load { name, (isCached ? fetchMs / 10 : fetchMs) + delayMs, !isCached });
        m_fetches += isCached ? 0 : 1;
        m_cachedLoads += isCached ? 1 : 0;
        const int count = static_cast<int>(engine.held.size() + engine.loading.size());
        const bool isMemoryExceeded = m_parameters.adaptersInMemory > 0 && count > m_parameters.adaptersInMemory;
        m_crashes += count > m_parameters.slots || isMemoryExceeded ? 1 : 0;
        return OrderAnswer::Accepted;
    }

    StoreParameters m_parameters;
    std::mt19937_64 m_random;
    Time m_now { 100'000 };
    EngineSpec m_spec;
    std::vector<UpstreamRecord> m_records;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Request> m_requests;
    std::map<std::size_t, std::vector<AdapterUse>> m_uses;
    int m_fetches = 0;
    int m_cachedLoads = 0;
    int m_maxFetchesInFlight = 0;
    int m_crashes = 0;
};

} // namespace ApricotStep
