#include "coordination/adapterplan.h"

#include "tests/coordination/weightstoresimulation.h"

#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr int Slots = 3;
constexpr double ModelMb = 65500;

/** One plan over a few engines that carry out orders after a load time and crash when they are overfull, as the users' engines do. */
class PlanSimulation
{
public:
    explicit PlanSimulation(int engines)
    {
        m_spec.adapterSlots = Slots;
        m_spec.models.push_back(BaseModelSpec { BaseModelId("m"), ModelMb, 1, Duration(1900) });
        for (int i = 0; i < engines; ++i) {
            UpstreamRecord record;
            record.id = UpstreamId("e" + std::to_string(i));
            record.startedAt = 1;
            record.models = { LoadedModel { BaseModelId("m"), {} } };
            m_records.push_back(record);
        }
        m_engines.resize(static_cast<std::size_t>(engines));
    }

    /** The configuration gives engines memory for @p room MB of adapters beside the model, and adapters this size. */
    void setMemory(double room, double adapterMb, int slots = Slots)
    {
        m_spec.weightsMb = ModelMb + room;
        m_spec.models.front().adapterMb = adapterMb;
        m_spec.adapterSlots = slots;
    }
    /** The most adapters that an engine has held or loaded at once. */
    std::size_t mostHeld() const
    {
        return m_mostHeld;
    }
    std::size_t held(int engine) const
    {
        return m_engines[static_cast<std::size_t>(engine)].held.size();
    }
    void use(const std::string &adapter, const std::string &engine, std::uint32_t count = 1)
    {
        m_uses.push_back(AdapterUse { BaseModelId("m"), AdapterId(adapter), UpstreamId(engine), count, false });
    }
    void addPending(const std::string &adapter, bool hasOverloadedCopies = false)
    {
        m_uses.push_back(AdapterUse { BaseModelId("m"), AdapterId(adapter), UpstreamId(), 1, hasOverloadedCopies });
    }
    /** Requests wait for a copy on an engine with this software version. */
    void addPendingAt(const std::string &adapter, const std::string &software)
    {
        addPending(adapter);
        m_uses.back().software = SoftwareVersion(software);
    }
    void setSoftware(int engine, const std::string &software)
    {
        m_records[static_cast<std::size_t>(engine)].softwareVersion = SoftwareVersion(software);
    }
    void clearUses()
    {
        m_uses.clear();
    }
    void setLoad(int engine, double pendingTokens)
    {
        m_engines[static_cast<std::size_t>(engine)].pendingTokens = pendingTokens;
    }
    void setUnloadWaits(bool isWaiting)
    {
        m_isUnloadWaiting = isWaiting;
    }
    void setDown(int engine, bool isDown)
    {
        m_engines[static_cast<std::size_t>(engine)].isDown = isDown;
    }
    /** The engine keeps running, but the plan is not told about it. */
    void setListed(int engine, bool isListed)
    {
        m_engines[static_cast<std::size_t>(engine)].isListed = isListed;
    }
    /** The answers to orders arrive this much later; the engine carries them out at once. */
    void setAnswerDelay(Duration delay)
    {
        m_answerDelay = delay;
    }
    void setVersion(const std::string &adapter, const std::string &version)
    {
        m_plan.setVersion(AdapterRef { BaseModelId("m"), AdapterId(adapter) }, AdapterVersion(version));
    }
    void run(Duration span)
    {
        const Time end = m_now + span;
        while (m_now < end) {
            m_now = m_now + Duration(10);
            step();
        }
    }

    bool holds(int engine, const std::string &adapter) const
    {
        const auto &held = m_engines[static_cast<std::size_t>(engine)].held;
        return std::find(held.begin(), held.end(), adapter) != held.end();
    }
    int copies(const std::string &adapter) const
    {
        int sum = 0;
        for (int i = 0; i < static_cast<int>(m_engines.size()); ++i) {
            sum += holds(i, adapter) ? 1 : 0;
        }
        return sum;
    }
    int crashes() const
    {
        return m_crashes;
    }
    /** The engine restarts under the same id, with its base model and no adapter. */
    void restart(int engine)
    {
        m_engines[static_cast<std::size_t>(engine)] = EngineState {};
        ++m_records[static_cast<std::size_t>(engine)].startedAt;
        std::erase_if(m_history, [engine](const Snapshot &snapshot) { return snapshot.engine == static_cast<std::size_t>(engine); });
    }
    /** Whether a node that receives all residencies would send requests there. */
    bool isAnnouncedAsLoaded(int engine, const std::string &adapter) const
    {
        const auto copy =
            m_announced.copy(m_records[static_cast<std::size_t>(engine)], AdapterRef { BaseModelId("m"), AdapterId(adapter) });
        return copy && copy->isReady;
    }
    int loads() const
    {
        return m_loads;
    }

private:
    struct Load
    {
        std::string adapter;
        Time doneAt;
    };
    struct EngineState
    {
        std::vector<std::string> held;
        std::vector<Load> loading;
        double pendingTokens = 0;
        bool isDown = false;
        bool isListed = true;
    };
    struct LateAnswer
    {
        Time arrivesAt;
        EngineOrder order;
        OrderAnswer answer;
    };
    struct Snapshot
    {
        Time at;
        std::size_t engine = 0;
        EngineReport report;
    };

    void step()
    {
        std::vector<PlannedEngine> planned;
        for (std::size_t i = 0; i < m_records.size(); ++i) {
            finishLoads(m_engines[i]);
            if (m_engines[i].isListed) {
                planned.push_back(PlannedEngine { &m_records[i], &m_spec, 0, m_engines[i].pendingTokens, 1, true, true });
            }
            m_history.push_back(Snapshot { m_now, i, reportOfEngine(m_engines[i]) });
        }
        m_plan.setEngines(planned, m_rows, m_now);
        deliverLateAnswers();
        m_plan.onUses(NodeId("n"), m_uses, m_now);
        for (AdapterUse &use : m_uses) {
            use.count = 0;
        }
        for (const PlanAction &action : m_plan.decide(m_now)) {
            if (const auto *give = std::get_if<SendOrder>(&action)) {
                m_lateAnswers.push_back(LateAnswer { m_now + m_answerDelay, give->order, carryOut(give->order) });
                deliverLateAnswers();
            } else if (const auto *ask = std::get_if<RequestEngineReport>(&action)) {
                answerReport(ask->engine);
            } else if (const auto *announce = std::get_if<AnnounceResidency>(&action)) {
                if (m_announced.put(announce->residency)) {
                    m_loadTimes.onResidency(announce->residency, m_now);
                }
            }
        }
    }
    void deliverLateAnswers()
    {
        while (!m_lateAnswers.empty() && m_lateAnswers.front().arrivesAt <= m_now) {
            const LateAnswer late = m_lateAnswers.front();
            m_lateAnswers.erase(m_lateAnswers.begin());
            m_plan.onOrderAnswer(late.order, late.answer, m_now);
        }
    }
    std::size_t indexOf(const UpstreamId &id) const
    {
        return std::stoul(id.value().substr(1));
    }
    void finishLoads(EngineState &engine) const
    {
        for (auto at = engine.loading.begin(); at != engine.loading.end();) {
            if (m_now < at->doneAt) {
                ++at;
                continue;
            }
            engine.held.push_back(at->adapter);
            at = engine.loading.erase(at);
        }
    }
    // Reports are 200 ms old.
    void answerReport(const UpstreamId &id)
    {
        const std::size_t index = indexOf(id);
        if (m_engines[index].isDown) {
            return;
        }
        const Snapshot *found = nullptr;
        for (const Snapshot &snapshot : m_history) {
            if (snapshot.engine == index && (found == nullptr || snapshot.at + Duration(200) <= m_now)) {
                found = &snapshot;
            }
        }
        m_plan.onReport(id, found->report, m_now);
    }
    OrderAnswer carryOut(const EngineOrder &order)
    {
        EngineState &engine = m_engines[indexOf(order.engine)];
        if (engine.isDown) {
            return OrderAnswer::Unknown;
        }
        const std::string &name = order.adapter.value();
        const auto held = std::find(engine.held.begin(), engine.held.end(), name);
        if (order.kind == EngineOrder::Kind::Unload) {
            if (held == engine.held.end()) {
                return OrderAnswer::Done;
            }
            if (m_isUnloadWaiting) {
                return OrderAnswer::Accepted;
            }
            engine.held.erase(held);
            return OrderAnswer::Done;
        }
        const auto loading =
            std::find_if(engine.loading.begin(), engine.loading.end(), [&name](const Load &load) { return load.adapter == name; });
        if (held != engine.held.end()) {
            return OrderAnswer::Done;
        }
        if (loading != engine.loading.end()) {
            return OrderAnswer::Accepted;
        }
        ++m_loads;
        engine.loading.push_back(Load { name, m_now + Duration(250) });
        const std::size_t count = engine.held.size() + engine.loading.size();
        m_mostHeld = std::max(m_mostHeld, count);
        const double usedMb = ModelMb + static_cast<double>(count) * m_spec.models.front().adapterMb;
        const bool isMemoryExceeded = m_spec.weightsMb > 0 && usedMb > m_spec.weightsMb;
        m_crashes += count > static_cast<std::size_t>(m_spec.adapterSlots) || isMemoryExceeded ? 1 : 0;
        return OrderAnswer::Accepted;
    }

    Time m_now { 100'000 };
    EngineSpec m_spec;
    std::vector<UpstreamRecord> m_records;
    std::vector<EngineState> m_engines;
    std::vector<Snapshot> m_history;
    std::vector<AdapterUse> m_uses;
    ResidencyTable m_rows;
    ResidencyTable m_announced;
    AdapterLoadEstimator m_loadTimes;
    AdapterPlan m_plan { AdapterPlanLimits {}, FencingToken(7), m_loadTimes };
    std::vector<LateAnswer> m_lateAnswers;
    Duration m_answerDelay;
    bool m_isUnloadWaiting = false;
    int m_crashes = 0;
    int m_loads = 0;
    std::size_t m_mostHeld = 0;
};

/** Each of @p busy adapters is asked for some seconds, then the demand moves on by one. */
void runMovingDemand(PlanSimulation &simulation, int busy)
{
    for (int round = 0; round < 40; ++round) {
        simulation.clearUses();
        for (int i = 0; i < busy; ++i) {
            simulation.addPending("a" + std::to_string((round + i) % 23));
        }
        simulation.run(Duration(700));
    }
}

/** Restarts an engine with so many slots and so much memory while an order is on its way, and returns how many more are ordered. */
int ordersAfterRestart(int slots, double weightsMb)
{
    EngineSpec spec;
    spec.adapterSlots = slots;
    spec.weightsMb = weightsMb;
    spec.models.push_back(BaseModelSpec { BaseModelId("m"), 1, 1, Duration(1900) });
    UpstreamRecord record;
    record.id = UpstreamId("e0");
    record.startedAt = 1;
    record.models = { LoadedModel { BaseModelId("m"), {} } };
    EngineReport report;
    report.models = record.models;
    const ResidencyTable residencies;
    AdapterLoadEstimator loads;
    AdapterPlan plan(AdapterPlanLimits {}, FencingToken(7), loads);
    Time now { 100'000 };
    const auto ordersFor = [&](const std::vector<std::string> &pending) {
        now = now + Duration(10);
        std::vector<AdapterUse> uses;
        for (const std::string &adapter : pending) {
            uses.push_back(AdapterUse { BaseModelId("m"), AdapterId(adapter), UpstreamId(), 1, false });
        }
        plan.setEngines({ PlannedEngine { &record, &spec } }, residencies, now);
        plan.onReport(record.id, report, now);
        plan.onUses(NodeId("n"), uses, now);
        int orders = 0;
        for (const PlanAction &action : plan.decide(now)) {
            orders += std::holds_alternative<SendOrder>(action) ? 1 : 0;
        }
        return orders;
    };
    cr_assert_eq(ordersFor({ "a" }), 1);
    record.startedAt = 2;
    return ordersFor({ "b", "c", "d" });
}

} // namespace

// A request waits for an adapter that is loaded on no engine. The adapter is loaded once, although it is reported as pending many times.
Test(adapterplan, aPendingAdapterIsLoadedOnce)
{
    PlanSimulation simulation(3);
    simulation.addPending("a");
    simulation.run(Duration(400));
    cr_assert_eq(simulation.copies("a"), 1);
    cr_assert_eq(simulation.loads(), 1);
}

// Guards against streams that cannot go on because their adapter is loaded only at engines of another software version.
Test(adapterplan, aStreamsAdapterIsLoadedAtItsSoftwareVersion)
{
    PlanSimulation simulation(3);
    for (int engine = 0; engine < 3; ++engine) {
        simulation.setSoftware(engine, engine == 2 ? "v2" : "v1");
    }
    simulation.setLoad(2, 100'000);
    simulation.addPending("a");
    simulation.run(Duration(400));
    cr_assert_eq(simulation.copies("a"), 1);
    cr_assert_not(simulation.holds(2, "a"));
    simulation.clearUses();
    simulation.addPendingAt("a", "v2");
    simulation.run(Duration(600));
    cr_assert(simulation.holds(2, "a"));
    cr_assert_eq(simulation.loads(), 2);
}

// Guards against a second load for requests that wait for the same adapter, some at one software version and some at any.
Test(adapterplan, oneLoadServesRequestsWithAndWithoutASoftwareVersion)
{
    PlanSimulation simulation(3);
    for (int engine = 0; engine < 3; ++engine) {
        simulation.setSoftware(engine, "v1");
    }
    simulation.addPending("a");
    simulation.addPendingAt("a", "v1");
    simulation.run(Duration(400));
    cr_assert_eq(simulation.loads(), 1);
}

// Each second requests ask for other adapters than the engines hold, while late reports still list unloaded ones. An engine that is ordered
// beyond its slots crashes, and all its requests fail.
Test(adapterplan, changingDemandNeverOverfillsAnEngine)
{
    PlanSimulation simulation(2);
    for (int round = 0; round < 60; ++round) {
        simulation.clearUses();
        for (int i = 0; i < 4; ++i) {
            simulation.addPending("a" + std::to_string((round * 3 + i) % 23));
        }
        simulation.run(Duration(330));
    }
    cr_assert_eq(simulation.crashes(), 0);
    cr_assert_gt(simulation.loads(), 60);
}

// Guards against an engine that is ordered beyond its memory, since adapters are large and slots are left.
Test(adapterplan, largeAdaptersNeverOverfillAnEngine)
{
    struct Case
    {
        double adapterMb;
        int slots;
        std::size_t fitting;
        int busy;
    };
    for (const Case &item :
        { Case { 1600, 8, 1, 1 }, Case { 400, 8, 4, 3 }, Case { 266, 8, 6, 5 }, Case { 213, 8, 7, 6 }, Case { 400, 8, 4, 9 } }) {
        PlanSimulation simulation(2);
        simulation.setMemory(1600, item.adapterMb, item.slots);
        runMovingDemand(simulation, item.busy);
        cr_assert_eq(simulation.crashes(), 0, "%g MB", item.adapterMb);
        cr_assert_eq(simulation.mostHeld(), item.fitting, "%g MB", item.adapterMb);
        cr_assert_geq(simulation.loads(), 23, "%g MB", item.adapterMb);
    }
}

// Guards against a new lease holder that knows less of an engine's memory than the former one.
Test(adapterplan, newHoldersDoNotOverfillTheMemoryOfAnEngine)
{
    StoreParameters parameters;
    parameters.engines = 4;
    parameters.adaptersInMemory = 3;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        WeightStoreSimulation simulation(parameters, seed);
        simulation.runLoad(Duration::seconds(6), 10, 100, 1.0);
        for (std::size_t node = 0; node < 3; ++node) {
            simulation.replaceNode(node);
            simulation.runLoad(Duration::seconds(2), 10, 100, 1.0);
        }
        simulation.restartNodes();
        simulation.runLoad(Duration::seconds(6), 10, 100, 1.0);
        cr_assert_eq(simulation.crashes(), 0, "seed %d", static_cast<int>(seed));
        cr_assert_gt(simulation.fetches(), 20, "seed %d", static_cast<int>(seed));
    }
}

// Guards against an order to load an adapter that is larger than the room beside the model.
Test(adapterplan, adapterThatFitsNowhereIsNotLoaded)
{
    PlanSimulation simulation(2);
    simulation.setMemory(1600, 1700, 8);
    runMovingDemand(simulation, 3);
    cr_assert_eq(simulation.loads(), 0);
}

// Guards against fewer loads than slots allow where there is memory to spare.
Test(adapterplan, memoryToSpareChangesNothing)
{
    PlanSimulation unlimited(2);
    runMovingDemand(unlimited, 4);
    PlanSimulation wide(2);
    wide.setMemory(1600, 40);
    runMovingDemand(wide, 4);
    cr_assert_eq(wide.loads(), unlimited.loads());
    cr_assert_eq(wide.mostHeld(), Slots);
    cr_assert_eq(wide.crashes(), 0);
}

// Guards against an engine that is ordered beyond its memory after a configuration has made adapters larger, and against the end of answers
// that run on one of them.
Test(adapterplan, copiesThatNoLongerFitAreUnloadedUnlessInUse)
{
    PlanSimulation simulation(1);
    simulation.setMemory(1600, 400, 8);
    for (const char *name : { "a", "b", "c", "d" }) {
        simulation.addPending(name);
    }
    simulation.run(Duration(3000));
    cr_assert_eq(simulation.held(0), 4);
    simulation.setMemory(1600, 800, 8);
    simulation.clearUses();
    simulation.use("a", "e0");
    simulation.use("b", "e0", 0);
    simulation.use("c", "e0", 0);
    simulation.run(Duration(4000));
    cr_assert_eq(simulation.held(0), 3, "three are in use");
    simulation.clearUses();
    simulation.use("a", "e0");
    simulation.run(Duration(4000));
    cr_assert_eq(simulation.held(0), 2);
    cr_assert(simulation.holds(0, "a"));
    simulation.addPending("e");
    simulation.run(Duration(2000));
    cr_assert(simulation.holds(0, "a") && simulation.holds(0, "e"));
    cr_assert_eq(simulation.crashes(), 0);
}

// After an outage of the store an engine's entry is missing for a moment. When it is listed again, its report is older than the last
// orders, and an engine whose room is counted from that report alone is ordered beyond its slots and crashes.
Test(adapterplan, anEngineListedAgainIsNotOverfilled)
{
    for (const int answerDelay : { 0, 50 }) {
        PlanSimulation simulation(1);
        simulation.setAnswerDelay(Duration(answerDelay));
        simulation.addPending("a");
        simulation.addPending("b");
        simulation.run(Duration(2000));
        cr_assert(simulation.holds(0, "a") && simulation.holds(0, "b"));
        simulation.clearUses();
        simulation.addPending("c");
        simulation.run(Duration(30));
        simulation.setListed(0, false);
        simulation.run(Duration(30));
        simulation.setListed(0, true);
        simulation.clearUses();
        simulation.addPending("d");
        simulation.run(Duration(2000));
        cr_assert_eq(simulation.crashes(), 0, "answers after %d ms", answerDelay);
        cr_assert(simulation.holds(0, "d"), "answers after %d ms", answerDelay);
    }
}

// An engine restarts while an order is on its way, and carries it out after the restart. Its first report does not list that adapter yet,
// and an engine whose room is counted without it is ordered beyond its slots and crashes.
Test(adapterplan, anOrderOnItsWayCountsAfterARestart)
{
    cr_assert_eq(ordersAfterRestart(Slots, 0), Slots - 1, "the order for a is still on its way");
    cr_assert_eq(ordersAfterRestart(8, 1 + 2), 1, "the model and two adapters fit");
}

// An engine accepts an order to unload an adapter but waits for a request that runs on it. The slot is not free before that request has
// ended.
Test(adapterplan, aSlotIsNotFreeWhileRequestsRunOnTheAdapter)
{
    PlanSimulation simulation(1);
    for (const char *name : { "a", "b", "c" }) {
        simulation.addPending(name);
    }
    simulation.run(Duration(2000));
    simulation.setUnloadWaits(true);
    simulation.clearUses();
    simulation.addPending("d");
    simulation.run(Duration(2000));
    cr_assert_eq(simulation.crashes(), 0);
    cr_assert_not(simulation.holds(0, "d"));
    simulation.setUnloadWaits(false);
    simulation.run(Duration(1000));
    cr_assert(simulation.holds(0, "d"));
    cr_assert_eq(simulation.crashes(), 0);
}

// An adapter that requests run on is never unloaded, however unpopular it is; its callers' answers would break off.
Test(adapterplan, anAdapterInUseIsNeverUnloaded)
{
    PlanSimulation simulation(1);
    for (const char *name : { "a", "b", "c" }) {
        simulation.addPending(name);
    }
    simulation.run(Duration(2000));
    for (int round = 0; round < 20; ++round) {
        simulation.clearUses();
        simulation.use("a", "e0", 0);
        simulation.addPending("x" + std::to_string(round));
        simulation.run(Duration(700));
        cr_assert(simulation.holds(0, "a"), "round %d", round);
    }
    cr_assert_eq(simulation.crashes(), 0);
}

// A burst of requests for one adapter makes all of them wait at one engine while the others idle. The adapter gets a second copy where
// there is room.
Test(adapterplan, anOverloadedAdapterGetsAnotherCopy)
{
    PlanSimulation simulation(2);
    simulation.addPending("hot");
    simulation.run(Duration(1000));
    cr_assert_eq(simulation.copies("hot"), 1);
    simulation.setLoad(simulation.holds(0, "hot") ? 0 : 1, 40'000);
    simulation.clearUses();
    simulation.addPending("hot", true);
    simulation.run(Duration(1000));
    cr_assert_eq(simulation.copies("hot"), 2);
}

// The copies of a popular adapter are overloaded, but so is every other engine. Another copy would cost a load without shortening the wait.
Test(adapterplan, anOverloadedAdapterGetsNoCopyThatDoesNotHelp)
{
    PlanSimulation simulation(2);
    simulation.addPending("hot");
    simulation.run(Duration(1000));
    simulation.setLoad(0, 40'000);
    simulation.setLoad(1, 40'000);
    simulation.clearUses();
    simulation.addPending("hot", true);
    simulation.run(Duration(1000));
    cr_assert_eq(simulation.copies("hot"), 1);
}

// With more adapters than slots, those that are requested often stay, and those that are requested once are evicted.
Test(adapterplan, popularAdaptersStay)
{
    PlanSimulation simulation(1);
    for (int round = 0; round < 20; ++round) {
        simulation.clearUses();
        simulation.addPending("hot");
        simulation.addPending("warm");
        simulation.run(Duration(400));
        simulation.clearUses();
        simulation.addPending("rare" + std::to_string(round));
        simulation.run(Duration(700));
    }
    cr_assert(simulation.holds(0, "hot"));
    cr_assert(simulation.holds(0, "warm"));
}

// An engine crashes, and the store lists it with all its adapters for some more seconds. Requests would wait for copies that no node can
// reach; the adapters are loaded on another engine at once instead.
Test(adapterplan, copiesOnACrashedEngineAreReplaced)
{
    PlanSimulation simulation(2);
    simulation.addPending("a");
    simulation.run(Duration(1000));
    const int first = simulation.holds(0, "a") ? 0 : 1;
    simulation.setDown(first, true);
    simulation.run(Duration(500));
    cr_assert(simulation.holds(1 - first, "a"));
}

// A node that lost a residency still reports an adapter as pending that is loaded, and the plan polls the engine to verify it. If the copy
// were announced as missing meanwhile, all other nodes would hold back their requests for it each time.
Test(adapterplan, aCopyThatIsBeingVerifiedStaysInUse)
{
    PlanSimulation simulation(1);
    simulation.addPending("a");
    simulation.run(Duration(1000));
    for (int step = 0; step < 50; ++step) {
        cr_assert(simulation.isAnnouncedAsLoaded(0, "a"));
        simulation.run(Duration(10));
    }
}

// An engine crashes together with the node that gives it orders, as when a zone fails, and the store lists the engine for some more
// seconds. If its copies counted as usable, callers would wait for them until they give up, although eight engines could load the adapters.
Test(adapterplan, copiesOnAnUnreachableEngineAreReplacedByOtherPlans)
{
    WeightStoreSimulation simulation(StoreParameters { 8, Duration(250), 48, 9, 8, 3 });
    simulation.runLoad(Duration::seconds(10), 100, 60, 1.0);
    const std::vector<std::string> lost = simulation.held(2);
    cr_assert_geq(lost.size(), 4);
    simulation.crash(2);
    simulation.stopPlan(2);
    simulation.run(Duration(20));
    const Time crashedAt = simulation.now();
    for (const std::string &adapter : lost) {
        simulation.ask(adapter);
    }
    simulation.run(Duration(1500));
    cr_assert_leq(simulation.waitPercentile(1.0, crashedAt), 800, "the last request waited %lld ms",
        static_cast<long long>(simulation.waitPercentile(1.0, crashedAt)));
}

// An engine crashes and restarts under the same id, and its lease holder stays the same. If the sequence of its residencies started at one
// again, all nodes would drop them as old, and requests would go to copies that are gone or wait for copies that are never announced.
Test(adapterplan, residenciesOfARestartedEngineAreNewer)
{
    PlanSimulation simulation(1);
    for (const char *name : { "a", "b", "c" }) {
        simulation.addPending(name);
        simulation.run(Duration(1000));
        simulation.clearUses();
    }
    cr_assert(simulation.isAnnouncedAsLoaded(0, "c"));
    simulation.restart(0);
    simulation.run(Duration(200));
    cr_assert_not(simulation.isAnnouncedAsLoaded(0, "c"));
    simulation.addPending("d");
    simulation.run(Duration(2000));
    cr_assert(simulation.isAnnouncedAsLoaded(0, "d"));
}

// More adapters are requested than the store can load at once. If pending adapters were served in the order of their names, requests for
// the last names would be refused as long as the overload lasts.
Test(adapterplan, pendingAdaptersAreNotServedInNameOrder)
{
    PlanSimulation simulation(60);
    for (int i = 0; i < 60; ++i) {
        simulation.addPending("first" + std::to_string(i));
    }
    simulation.run(Duration(100));
    simulation.addPending("zlast");
    for (int round = 0; round < 8; ++round) {
        for (int i = 0; i < 10; ++i) {
            simulation.addPending("early" + std::to_string(round * 10 + i));
        }
        simulation.run(Duration(250));
    }
    cr_assert_gt(simulation.copies("zlast"), 0);
}
