#include "coordination/outofscopeengines.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const BaseModelId Model("m");

AdapterRef adapterRef(const std::string &name)
{
    return AdapterRef { Model, AdapterId(name) };
}

UpstreamRecord engine(const std::string &id, const std::vector<std::string> &adapters, std::int64_t startedAt = 1)
{
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.startedAt = startedAt;
    LoadedModel model { Model, {} };
    for (const std::string &adapter : adapters) {
        model.adapters.push_back(AdapterKey { AdapterId(adapter), AdapterVersion("1") });
    }
    record.models = { model };
    return record;
}

constexpr int Zones = 6;
constexpr int EnginesPerZone = 26;
constexpr int SlotsPerEngine = 6;
constexpr int Adapters = 24'000;
constexpr double ZipfExponent = 1.2;
constexpr int Requests = 20'000;

/**
 * Six zones with engines of their own, and requests for adapters of skewed popularity in the zones of their callers. Each zone replaces the
 * adapter that it has not used for longest. Records of other zones' engines are a number of requests old.
 */
class ZonesSimulation
{
public:
    explicit ZonesSimulation(bool leavesScope)
        : m_leavesScope(leavesScope)
        , m_engines(Zones * EnginesPerZone)
    {
        std::vector<double> weights;
        for (int rank = 1; rank <= Adapters; ++rank) {
            weights.push_back(std::pow(rank, -ZipfExponent));
        }
        m_popularity = std::discrete_distribution<int>(weights.begin(), weights.end());
    }

    void run()
    {
        for (int i = 0; i < Requests; ++i) {
            m_now = m_now + Duration(2);
            publishRecords();
            request(std::uniform_int_distribution<int>(0, Zones - 1)(m_random), "a" + std::to_string(m_popularity(m_random)));
        }
    }
    int fetches() const
    {
        return m_fetches;
    }
    /** Requests sent to an engine that no longer had the adapter. */
    int refused() const
    {
        return m_refused;
    }

private:
    static constexpr Duration RecordAge { 1000 };
    struct Snapshot
    {
        Time at;
        UpstreamRecord record;
    };

    void publishRecords()
    {
        while (!m_snapshots.empty() && m_snapshots.front().at + RecordAge <= m_now) {
            m_known.put(m_snapshots.front().record);
            m_snapshots.pop_front();
        }
    }
    bool holds(int index, const std::string &adapter) const
    {
        const auto &held = m_engines[static_cast<std::size_t>(index)];
        return std::find(held.begin(), held.end(), adapter) != held.end();
    }
    /** Moves the adapter to the end of the engine's list, which begins with the one to evict first. */
    void use(int index, const std::string &adapter)
    {
        auto &held = m_engines[static_cast<std::size_t>(index)];
        std::erase(held, adapter);
        held.push_back(adapter);
        if (static_cast<int>(held.size()) > SlotsPerEngine) {
            held.erase(held.begin());
        }
        m_snapshots.push_back(Snapshot { m_now, engine("e" + std::to_string(index), held) });
    }
    bool servedOutOfScope(int zone, const std::string &adapter)
    {
        for (const UpstreamId &id : m_known.enginesWith(adapterRef(adapter))) {
            const int index = std::stoi(id.value().substr(1));
            if (index / EnginesPerZone == zone || !shouldLeaveScope(std::nullopt, Duration(100), Duration(450), OutOfScopeLimits {})) {
                continue;
            }
            if (holds(index, adapter)) {
                use(index, adapter);
                return true;
            }
            ++m_refused;
            m_known.markMissing(id, adapterRef(adapter));
            return false;
        }
        return false;
    }
    void request(int zone, const std::string &adapter)
    {
        for (int index = zone * EnginesPerZone; index < (zone + 1) * EnginesPerZone; ++index) {
            if (holds(index, adapter)) {
                use(index, adapter);
                return;
            }
        }
        if (m_leavesScope && servedOutOfScope(zone, adapter)) {
            return;
        }
        ++m_fetches;
        use(zone * EnginesPerZone + std::uniform_int_distribution<int>(0, EnginesPerZone - 1)(m_random), adapter);
    }

    bool m_leavesScope;
    std::vector<std::vector<std::string>> m_engines;
    std::deque<Snapshot> m_snapshots;
    OutOfScopeEngines m_known { OutOfScopeLimits {} };
    std::mt19937_64 m_random { 7 };
    std::discrete_distribution<int> m_popularity;
    Time m_now { 100'000 };
    int m_fetches = 0;
    int m_refused = 0;
};

} // namespace

// Callers of six zones ask for the same adapters. If each zone fetched all that it is asked for, the weight store would be the bottleneck,
// and a third of the requests that wait would be refused.
Test(outofscopeengines, zonesShareLoadedAdapters)
{
    ZonesSimulation separate(false);
    separate.run();
    ZonesSimulation sharing(true);
    sharing.run();
    cr_assert_lt(sharing.fetches(), separate.fetches() * 2 / 3, "%d fetches, %d without sharing", sharing.fetches(), separate.fetches());
    cr_assert_lt(sharing.refused(), Requests / 50, "%d requests reached an engine that had lost the adapter", sharing.refused());
}

// A zone gets more requests than its engines can begin soon. Requests leave only for an engine that is far less loaded, since its load is
// known with a delay and all nodes of the zone would choose it at the same time.
Test(outofscopeengines, requestsLeaveAnOverloadedZoneOnlyForMuchLess)
{
    const Duration acceptable(450);
    cr_assert_not(shouldLeaveScope(Duration(400), Duration(0), acceptable, OutOfScopeLimits {}), "the wait in scope is short");
    cr_assert_not(shouldLeaveScope(Duration(800), Duration(500), acceptable, OutOfScopeLimits {}), "the gain is small");
    cr_assert(shouldLeaveScope(Duration(800), Duration(400), acceptable, OutOfScopeLimits {}));
    cr_assert(shouldLeaveScope(std::nullopt, Duration(450), acceptable, OutOfScopeLimits {}));
    cr_assert_not(shouldLeaveScope(std::nullopt, Duration(500), acceptable, OutOfScopeLimits {}), "a load would end sooner");
}

// A lease holder is gone, or an engine restarts. A load from before would make an engine look idle that all nodes then crowd onto.
Test(outofscopeengines, outdatedLoadsAreNotUsed)
{
    const Time now { 100'000 };
    OutOfScopeEngines engines { OutOfScopeLimits {} };
    engines.put(engine("e1", { "a" }));
    cr_assert_not(engines.load(UpstreamId("e1"), now));
    engines.onLoads({ UpstreamLoad { UpstreamId("e1"), 3, 500 } }, now);
    engines.put(engine("e1", { "a", "b" }));
    cr_assert_eq(engines.load(UpstreamId("e1"), now + Duration(2000))->running, 3);
    cr_assert_not(engines.load(UpstreamId("e1"), now + Duration(3000)));
    engines.onLoads({ UpstreamLoad { UpstreamId("e1"), 3, 500 } }, now);
    engines.put(engine("e1", {}, 2));
    cr_assert_not(engines.load(UpstreamId("e1"), now), "the load is that of the former start");
}

// An engine refuses a request since it has unloaded the adapter meanwhile. Further requests must not go there before its record changes.
Test(outofscopeengines, anEngineThatRefusedIsLeftAlone)
{
    OutOfScopeEngines engines { OutOfScopeLimits {} };
    engines.put(engine("e1", { "a", "b" }));
    engines.put(engine("e2", { "a" }));
    cr_assert_eq(engines.enginesWith(adapterRef("a")).size(), 2);
    engines.markMissing(UpstreamId("e1"), adapterRef("a"));
    engines.put(engine("e1", { "a", "b" }));
    cr_assert_eq(engines.enginesWith(adapterRef("a")).size(), 1);
    cr_assert_eq(engines.enginesWith(adapterRef("b")).size(), 1);
    engines.put(engine("e1", { "a" }));
    cr_assert_eq(engines.enginesWith(adapterRef("a")).size(), 2);
    engines.remove(UpstreamId("e2"));
    cr_assert_eq(engines.enginesWith(adapterRef("a")).size(), 1);
    cr_assert(engines.version(UpstreamId("e1"), adapterRef("a")) == AdapterVersion("1"));
    cr_assert_not(engines.version(UpstreamId("e2"), adapterRef("a")));
}
