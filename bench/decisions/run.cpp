#include "bench/decisions/run.h"

#include "bench/decisions/baseline.h"
#include "coordination/hotspread.h"
#include "coordination/loadpermits.h"
#include "coordination/placement.h"
#include "coordination/replicachoice.h"
#include "coordination/upstreamscheduler.h"
#include "core/result.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>

namespace DecisionBench
{

using namespace ApricotStep;

namespace
{

constexpr Micros TickInterval = 50 * Millisecond;
constexpr Micros OrderDelay = 2 * Millisecond;
constexpr Micros MessageDelay = Millisecond;
// Time after the last arrival in which the requests with the longest deadlines can still be answered.
constexpr Micros DrainTime = 2400 * Second;
constexpr double LoadFailureRate = 0.1;
constexpr double Slowdown = 4;
constexpr std::array<Micros, 2> RestartTimes { 300 * Second, 480 * Second };
constexpr int Nodes = 12;
constexpr int Zones = 4;

Time timeAt(Micros at)
{
    return Time(at / Millisecond);
}

AdapterKey keyOf(int adapter)
{
    return { AdapterId(std::to_string(adapter)), AdapterVersion("1") };
}

int adapterNumber(const AdapterKey &key)
{
    return std::stoi(key.id.value());
}

using EngineScheduler = std::variant<UpstreamScheduler, BaselineScheduler>;

SchedulerLimits limitsFor(const Deployment &deployment, const RunOptions &options, int engine)
{
    SchedulerLimits limits;
    limits.slots = deployment.slots;
    limits.batch = deployment.batch;
    limits.needsPermits = options.policy == Policy::Ours;
    limits.stallWeight = deployment.stallWeight;
    limits.batchWeight = deployment.batchWeight;
    limits.urgentSlotsPercent = deployment.urgentSlotsPercent;
    limits.seed = options.seed * 100 + static_cast<std::uint64_t>(engine);
    return limits;
}

LoadBudget budgetFor(StoreModel storeModel)
{
    LoadBudget budget;
    budget.ratePerSecond = storeModel == StoreModel::Rate ? 2.0 : 32.0;
    budget.parallel = storeModel == StoreModel::Rate ? 1 : 8;
    return budget;
}

EngineScheduler makeScheduler(const Deployment &deployment, const RunOptions &options, int engine)
{
    const SchedulerLimits limits = limitsFor(deployment, options, engine);
    if (options.policy == Policy::Ours) {
        return UpstreamScheduler(limits);
    }
    return BaselineScheduler(limits, options.policy == Policy::Fifo);
}

class Simulation
{
public:
    Simulation(const Deployment &deployment, const RunOptions &options);
    RunResult run();

private:
    void buildFleet();
    int route(int adapter);
    const std::vector<int> &candidatesOf(int adapter);
    int chooseEngine(int adapter);
    int loadOf(int engine) const;
    void onRequestEnded(std::uint64_t request);
    void arrive(std::size_t request);
    void handle(int engine, const SchedulerEvent &event);
    void execute(int engine, const RequestPermit &action);
    void execute(int engine, const ReleasePermit &action);
    void execute(int engine, const StartLoad &action);
    void execute(int engine, const StartEvict &action);
    void execute(int engine, const Dispatch &action);
    void execute(int engine, const Refuse &action);
    void sendGrants();
    PermitName permitName(int engine, const AdapterKey &adapter) const;
    void tick();
    void scheduleFaults();

    const Deployment &m_deployment;
    RunOptions m_options;
    EventLoop m_loop;
    WeightStore m_store;
    PermitIssuer m_permitIssuer;
    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::vector<EngineScheduler> m_schedulers;
    std::unique_ptr<Placement> m_placement;
    HotSpread m_spread { SpreadLimits {} };
    std::vector<std::vector<int>> m_candidates;
    std::mt19937_64 m_random;
    int m_loadsAtWarmUp = 0;
    RunResult m_result;
};

Simulation::Simulation(const Deployment &deployment, const RunOptions &options)
    : m_deployment(deployment)
    , m_options(options)
    , m_store(m_loop, options.storeModel)
    , m_permitIssuer(budgetFor(options.storeModel))
    , m_candidates(static_cast<std::size_t>(deployment.adapters))
    , m_random(options.seed * 7919)
{
    m_result.arrivals = makeArrivals(deployment, options.scenario, options.seed);
    m_result.outcomes.resize(m_result.arrivals.size());
    for (int engine = 0; engine < deployment.engines; ++engine) {
        FakeEngine::Callbacks callbacks;
        callbacks.onFirstToken = [this](std::uint64_t request) { m_result.outcomes[request].firstTokenAt = m_loop.now(); };
        callbacks.onDone = [this, engine](std::uint64_t request, bool isComplete) {
            m_result.outcomes[request].isComplete = isComplete;
            m_result.outcomes[request].isInterrupted = !isComplete;
            onRequestEnded(request);
            handle(engine, WorkFinished { RequestId(request) });
        };
        callbacks.onLoaded = [this, engine](int adapter, bool isLoaded) { handle(engine, LoadFinished { keyOf(adapter), isLoaded }); };
        m_engines.push_back(std::make_unique<FakeEngine>(m_loop, m_store, deployment, std::move(callbacks)));
        m_schedulers.push_back(makeScheduler(deployment, options, engine));
    }
    buildFleet();
}

void Simulation::buildFleet()
{
    CatalogContent content;
    content.version = ConfigVersion(1);
    for (int engine = 0; engine < m_deployment.engines; ++engine) {
        UpstreamSpec spec;
        spec.id = UpstreamId("engine-" + std::to_string(engine));
        spec.address = "127.0.0.1:" + std::to_string(1 + engine);
        spec.zone = ZoneId("zone-" + std::to_string(engine % Zones));
        spec.slots = m_deployment.slots;
        spec.batch = m_deployment.batch;
        content.upstreams.push_back(spec);
    }
    const auto fleet = std::make_shared<FleetView>();
    for (int node = 0; node < Nodes; ++node) {
        fleet->nodes.push_back({ NodeId("node-" + std::to_string(node)), ZoneId("zone-" + std::to_string(node % Zones)), "", "" });
    }
    m_placement = std::make_unique<Placement>(Catalog::create(std::move(content)).value(), fleet);
}

const std::vector<int> &Simulation::candidatesOf(int adapter)
{
    std::vector<int> &engines = m_candidates[static_cast<std::size_t>(adapter)];
    if (engines.empty()) {
        for (const Candidate &candidate : m_placement->candidates(keyOf(adapter))) {
            engines.push_back(std::stoi(candidate.upstream->id.value().substr(std::string_view("engine-").size())));
        }
    }
    return engines;
}

int Simulation::loadOf(int engine) const
{
    return std::visit(Overloaded { [](const UpstreamScheduler &scheduler) { return scheduler.queuedCount() + scheduler.runningCount(); },
                          [](const BaselineScheduler &scheduler) { return scheduler.load(); } },
        m_schedulers[static_cast<std::size_t>(engine)]);
}

int Simulation::chooseEngine(int adapter)
{
    const std::vector<int> &engines = candidatesOf(adapter);
    std::vector<ReplicaView> views;
    views.reserve(engines.size());
    for (const int engine : engines) {
        views.push_back({ loadOf(engine) });
    }
    const auto choice = chooseReplica(views, m_spread.width(keyOf(adapter), timeAt(m_loop.now())), m_random);
    return engines[choice.value_or(0)];
}

int Simulation::route(int adapter)
{
    if (m_options.policy == Policy::RandomLru) {
        return std::uniform_int_distribution<int>(0, m_deployment.engines - 1)(m_random);
    }
    if (m_options.policy == Policy::LeastLoadedLru) {
        int leastLoaded = 0;
        for (int engine = 1; engine < m_deployment.engines; ++engine) {
            leastLoaded = loadOf(engine) < loadOf(leastLoaded) ? engine : leastLoaded;
        }
        return leastLoaded;
    }
    if (m_options.policy != Policy::Ours) {
        return candidatesOf(adapter).front();
    }
    m_spread.onArrival(keyOf(adapter), timeAt(m_loop.now()));
    return chooseEngine(adapter);
}

void Simulation::onRequestEnded(std::uint64_t request)
{
    if (m_options.policy == Policy::Ours) {
        m_spread.onEnd(keyOf(m_result.arrivals[request].adapter), timeAt(m_loop.now()));
    }
}

void Simulation::arrive(std::size_t request)
{
    const Arrival &arrival = m_result.arrivals[request];
    WorkItem item;
    item.id = RequestId(request);
    item.adapter = keyOf(arrival.adapter);
    item.priority = arrival.priority;
    item.caller = CallerId(std::to_string(arrival.caller));
    item.arrival = timeAt(arrival.at);
    item.deadline = timeAt(arrival.deadline);
    item.tokens = arrival.tokens;
    handle(route(arrival.adapter), WorkArrived { item });
    if (request + 1 < m_result.arrivals.size()) {
        m_loop.at(m_result.arrivals[request + 1].at, [this, request] { arrive(request + 1); });
    }
}

void Simulation::handle(int engine, const SchedulerEvent &event)
{
    const auto actions = std::visit(
        [&](auto &scheduler) { return scheduler.handle(event, timeAt(m_loop.now())); }, m_schedulers[static_cast<std::size_t>(engine)]);
    for (const SchedulerAction &action : actions) {
        std::visit([&](const auto &concreteAction) { execute(engine, concreteAction); }, action);
    }
}

PermitName Simulation::permitName(int engine, const AdapterKey &adapter) const
{
    return { NodeId("node"), UpstreamId(std::to_string(engine)), adapter };
}

void Simulation::execute(int engine, const RequestPermit &action)
{
    m_loop.after(MessageDelay, [this, engine, action] {
        m_permitIssuer.request({ permitName(engine, action.adapter), action.urgency, action.waiting, action.waited }, timeAt(m_loop.now()));
        sendGrants();
        if (action.urgency.has_value()) {
            const PermitWaitEstimated expected { *action.urgency, m_permitIssuer.expectedWait(action.urgency) };
            m_loop.after(MessageDelay, [this, engine, expected] { handle(engine, expected); });
        }
    });
}

void Simulation::execute(int engine, const ReleasePermit &action)
{
    m_loop.after(MessageDelay, [this, engine, action] {
        m_permitIssuer.release({ permitName(engine, action.adapter), action.end }, timeAt(m_loop.now()));
        sendGrants();
    });
}

void Simulation::sendGrants()
{
    for (const PermitGrant &grant : m_permitIssuer.grant(timeAt(m_loop.now()))) {
        m_loop.after(MessageDelay, [this, grant] {
            handle(std::stoi(grant.name.upstream.value()), PermitGranted { grant.name.adapter, timeAt(m_loop.now()) + grant.lifetime });
        });
    }
}

void Simulation::execute(int engine, const StartLoad &action)
{
    const bool willFail =
        m_options.scenario == Scenario::LoadFailures && std::uniform_real_distribution<double>(0, 1)(m_random) < LoadFailureRate;
    m_loop.after(OrderDelay, [this, engine, adapter = adapterNumber(action.adapter), willFail] {
        m_engines[static_cast<std::size_t>(engine)]->load(adapter, willFail);
    });
}

void Simulation::execute(int engine, const StartEvict &action)
{
    m_loop.after(OrderDelay, [this, engine, adapter = action.adapter] {
        m_engines[static_cast<std::size_t>(engine)]->unload(adapterNumber(adapter));
        handle(engine, EvictFinished { adapter, true });
    });
}

void Simulation::execute(int engine, const Dispatch &action)
{
    const std::uint64_t request = action.id.value();
    const Arrival &arrival = m_result.arrivals[request];
    FakeEngine &target = *m_engines[static_cast<std::size_t>(engine)];
    Outcome &outcome = m_result.outcomes[request];
    if (!target.submit(request, arrival.adapter, arrival.tokens)) {
        ++m_result.sentToUnloaded;
        m_loop.after(MessageDelay, [this, engine, request] {
            m_result.outcomes[request].isRefused = true;
            onRequestEnded(request);
            handle(engine, WorkFinished { RequestId(request) });
        });
        return;
    }
    outcome.isDispatched = true;
    outcome.stall = std::max<Micros>(0, target.loadedAt(arrival.adapter) - arrival.at);
}

void Simulation::execute(int, const Refuse &action)
{
    Outcome &outcome = m_result.outcomes[action.id.value()];
    m_result.refusedButDispatched += outcome.isDispatched ? 1 : 0;
    outcome.isRefused = true;
    onRequestEnded(action.id.value());
}

void Simulation::tick()
{
    for (int engine = 0; engine < m_deployment.engines; ++engine) {
        handle(engine, Tick {});
    }
    sendGrants();
    m_loop.after(TickInterval, [this] { tick(); });
}

void Simulation::scheduleFaults()
{
    if (m_options.scenario == Scenario::SlowUpstream) {
        m_engines.front()->setSlowdown(Slowdown);
    }
    if (m_options.scenario != Scenario::EngineRestart) {
        return;
    }
    for (std::size_t index = 0; index < RestartTimes.size(); ++index) {
        m_loop.at(RestartTimes[index], [this, engine = static_cast<int>(index)] {
            m_engines[static_cast<std::size_t>(engine)]->restart();
            handle(engine, UpstreamRestarted {});
        });
    }
}

RunResult Simulation::run()
{
    m_loop.at(m_result.arrivals.front().at, [this] { arrive(0); });
    m_loop.at(0, [this] { tick(); });
    scheduleFaults();
    m_loop.runUntil(WarmUp);
    for (const auto &engine : m_engines) {
        engine->resetSteps();
    }
    m_loadsAtWarmUp = m_store.fetchCount();
    m_loop.runUntil(ArrivalsEnd);
    for (const auto &engine : m_engines) {
        m_result.steps += engine->steps();
        m_result.stepTokens += engine->stepTokens();
    }
    m_result.loads = m_store.fetchCount() - m_loadsAtWarmUp;
    m_loop.runUntil(ArrivalsEnd + DrainTime);
    for (const auto &engine : m_engines) {
        m_result.evictedInUse += engine->evictedInUse();
    }
    return std::move(m_result);
}

} // namespace

std::string_view policyName(Policy policy)
{
    static constexpr std::array<std::string_view, PolicyCount> Names { "ours", "random-lru", "least-loaded-lru", "hash-lru", "fifo" };
    return Names[static_cast<std::size_t>(policy)];
}

RunResult runSimulation(const Deployment &deployment, const RunOptions &options)
{
    return Simulation(deployment, options).run();
}

} // namespace DecisionBench
