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

/** One plan over a few engines that carry its orders out after a load time and crash when they are overfull, as the users' do. */
class PlanSimulation
{
public:
    explicit PlanSimulation(int engines)
    {
        m_spec.adapterSlots = Slots;
        m_spec.models.push_back(BaseModelSpec { BaseModelId("m"), 1, 1, Duration(1900) });
        for (int i = 0; i < engines; ++i) {
            UpstreamRecord record;
            record.id = UpstreamId("e" + std::to_string(i));
            record.startedAt = 1;
            record.models = { HeldModel { BaseModelId("m"), {} } };
            m_records.push_back(record);
        }
        m_engines.resize(static_cast<std::size_t>(engines));
    }

    void use(const std::string &adapter, const std::string &engine, std::uint32_t count = 1)
    {
        m_uses.push_back(AdapterUse { BaseModelId("m"), AdapterId(adapter), UpstreamId(engine), count, false });
    }
    void addPending(const std::string &adapter, bool hasOverloadedCopies = false)
    {
        m_uses.push_back(AdapterUse { BaseModelId("m"), AdapterId(adapter), UpstreamId(), 1, hasOverloadedCopies });
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
    /** The engine starts again, empty but for its base model, under the id that it had. */
    void restart(int engine)
    {
        m_engines[static_cast<std::size_t>(engine)] = EngineState {};
        ++m_records[static_cast<std::size_t>(engine)].startedAt;
        std::erase_if(m_history, [engine](const Snapshot &snapshot) { return snapshot.engine == static_cast<std::size_t>(engine); });
    }
    /** What a node that hears all rows sends to. */
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
            planned.push_back(PlannedEngine { &m_records[i], &m_spec, 0, m_engines[i].pendingTokens, 1, true, true });
            m_history.push_back(Snapshot { m_now, i, reportOfEngine(m_engines[i]) });
        }
        m_plan.setEngines(planned, m_rows, m_now);
        m_plan.onUses(NodeId("n"), m_uses, m_now);
        for (AdapterUse &use : m_uses) {
            use.count = 0;
        }
        for (const PlanAction &action : m_plan.decide(m_now)) {
            if (const auto *give = std::get_if<SendOrder>(&action)) {
                m_plan.onOrderAnswer(give->order, carryOut(give->order), m_now);
            } else if (const auto *ask = std::get_if<RequestEngineReport>(&action)) {
                answerReport(ask->engine);
            } else if (const auto *announce = std::get_if<AnnounceResidency>(&action)) {
                if (m_announced.put(announce->residency)) {
                    m_loadTimes.onResidency(announce->residency, m_now);
                }
            }
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
        m_crashes += engine.held.size() + engine.loading.size() > Slots ? 1 : 0;
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
    bool m_isUnloadWaiting = false;
    int m_crashes = 0;
    int m_loads = 0;
};

} // namespace

// A request waits for an adapter that stands nowhere. It is loaded once, though the want is told again and again.
Test(adapterplan, aWantedAdapterIsLoadedOnce)
{
    PlanSimulation simulation(3);
    simulation.addPending("a");
    simulation.run(Duration(400));
    cr_assert_eq(simulation.copies("a"), 1);
    cr_assert_eq(simulation.loads(), 1);
}

// Every second other adapters are asked for than the engines hold, while reports come late and still list what was dropped. An engine that
// is ordered beyond its places crashes, and all its requests with it.
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

// An engine accepts an order to drop an adapter but waits for a run on it. Its place is not free before that run has ended.
Test(adapterplan, aPlaceIsNotFreeWhileTheAdapterStillRuns)
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

// An adapter that requests run on is never dropped, however little it is asked for: its callers would lose their answers in the middle.
Test(adapterplan, anAdapterInUseIsNeverDropped)
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

// A burst on one adapter makes all requests wait at its one engine while the others idle. It gets a second copy where there is room.
Test(adapterplan, aCrowdedAdapterGetsAnotherCopy)
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

// The copies of a busy adapter are crowded, but so is every other engine. Another copy would cost a load and help nobody.
Test(adapterplan, aCrowdedAdapterGetsNoCopyThatDoesNotHelp)
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

// Adapters that are asked for often stay, and those asked for once go, when there are more of them than places.
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

// An engine crashes, and the store still lists it with all its adapters for seconds. Requests for them are told to wait for copies that
// nobody can reach; instead they get another copy at once.
Test(adapterplan, copiesAtACrashedEngineAreReplaced)
{
    PlanSimulation simulation(2);
    simulation.addPending("a");
    simulation.run(Duration(1000));
    const int first = simulation.holds(0, "a") ? 0 : 1;
    simulation.setDown(first, true);
    simulation.run(Duration(500));
    cr_assert(simulation.holds(1 - first, "a"));
}

// A node that lost a row still wants an adapter that stands in its place, and the plan asks the engine whether it does. Were the copy told
// as missing meanwhile, all other nodes would hold their requests for it back, again and again while the one node asks.
Test(adapterplan, aCopyThatIsAskedAboutStaysInUse)
{
    PlanSimulation simulation(1);
    simulation.addPending("a");
    simulation.run(Duration(1000));
    for (int step = 0; step < 50; ++step) {
        cr_assert(simulation.isAnnouncedAsLoaded(0, "a"));
        simulation.run(Duration(10));
    }
}

// A zone is lost: an engine crashes together with the node that orders it, and the store lists the engine for some seconds more. If its
// copies passed for usable, callers would wait for them until their patience ends although eight engines could load the adapters.
Test(adapterplan, copiesAtAnUnreachableEngineAreReplacedByOtherPlans)
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
    cr_assert_leq(simulation.waitPercentile(1.0, crashedAt), 800, "the last waited %lld ms",
        static_cast<long long>(simulation.waitPercentile(1.0, crashedAt)));
}

// An engine crashes and starts again under the id that it had, without its holder losing the lease. If the rows of the new start count from
// one again, all nodes take them for old ones: requests go to copies that are gone, or wait for copies that nobody tells of.
Test(adapterplan, rowsOfAnEngineThatStartsAgainAreNews)
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

// More adapters are asked for than the store bears loads at once, again and again. Were wants met in the order of their names, callers of
// the last names would be refused for as long as the rush lasts.
Test(adapterplan, noNameWaitsForAllOthers)
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
