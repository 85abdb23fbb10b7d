#include "coordination/adapterplan.h"

#include "coordination/fleetdemand.h"
#include "coordination/pendingadapterorder.h"
#include "coordination/weightmemory.h"
#include "core/hash.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace ApricotStep
{

namespace
{

enum class CopyState {
    /** The order to load it is being sent, or its answer is awaited. */
    Ordered,
    Loading,
    Ready,
    /** Believed to be loaded; the engine is polled to verify it. Requests are sent to it meanwhile. */
    Verifying,
    /** The order to unload it is in flight. */
    Unloading,
};

struct Copy
{
    AdapterVersion version;
    CopyState state = CopyState::Ready;
    /** When the present state began. */
    Time since;
    /** When to poll the engine for the outcome of the order. */
    Time nextPollAt = Time::never();
    /** When the engine last answered about this copy; earlier reports say nothing about it. */
    Time lastAnswerAt;
    /** An order about this copy is awaiting its answer. */
    bool hasOrderInFlight = false;
    /** The load is expected to need no fetch from the store. */
    bool isCached = false;
    /** For a load that this plan ordered: when, and how many polls found it unfinished. */
    std::optional<Time> orderedAt;
    int unfinishedPolls = 0;
};

struct Engine
{
    PlannedEngine planned;
    UpstreamId id;
    std::uint64_t idHash = 0;
    /** The start of the engine that these fields refer to. */
    std::int64_t startedAt = 0;
    SoftwareVersion software;
    /** Fence and sequence of the residency last applied, for an engine of another plan. */
    std::pair<FencingToken, std::uint64_t> residencyVersion;
    std::map<AdapterRef, Copy> copies;
    /** Base models being loaded, and since when. */
    std::map<BaseModelId, Time> loadingModels;
    std::vector<BaseModelId> models;
    Time reportPolledAt;
    /** The engine left an order unanswered and counts as down until then. */
    Time unresponsiveUntil;
    /** A report has come since this plan knows the engine; before, the number of its copies is uncertain. */
    bool hasReport = false;
    /** The models of the adapters that the last report lists, one entry for each adapter. */
    std::vector<BaseModelId> reportedAdapters;
    /** When copies were unloaded: earlier reports still list them. */
    std::map<AdapterRef, Time> droppedAt;
    bool isChanged = true;
    /** The copy to evict first, cached for the present round once it has been computed. */
    std::optional<std::optional<AdapterRef>> evictionCandidate;
    /** What the engine has to hold, cached for the present round once it has been computed. */
    std::optional<WeightMemory> memory;
};

/** An engine that is not listed, and since when. */
struct UnlistedEngine
{
    Engine engine;
    Time since;
};

} // namespace

struct AdapterPlan::Private
{
    AdapterPlanLimits limits;
    FencingToken fence;
    AdapterLoadEstimator &loads;
    std::map<UpstreamId, Engine> engines;
    /**
     * Engines that this plan has given orders to and that were listed a moment ago. An engine's entry may be missing just for an instant,
     * and its report afterwards is older than the last orders. Without this memory the adapters under way would not be counted, and the
     * engine would be ordered beyond its slots.
     */
    std::map<UpstreamId, UnlistedEngine> unlistedEngines;
    std::map<AdapterRef, AdapterVersion> versions;
    FleetDemand demand;
    PlanRotation rotation;
    /** Adapters being fetched from the store by all engines, in this round. */
    int fetchesInFlight = 0;
    /**
     * Number of residencies announced, over all engines. With a count per engine, an engine that restarts under the same id would begin at
     * one, and all nodes would drop its residencies as older than those of its previous start. They would send requests to copies that are
     * gone until the count has caught up.
     */
    std::uint64_t lastSequence = 0;

    Private(AdapterPlanLimits limits, FencingToken fence, AdapterLoadEstimator &loads)
        : limits(limits)
        , fence(fence)
        , loads(loads)
        , demand(limits.popularityHalfLife)
    {
    }

    bool isInRotation(const PendingAdapter &pending, Time now) const;
    void removeUnlisted(const std::map<UpstreamId, const PlannedEngine *> &listed, Time now);
    Engine *findEngine(const UpstreamId &id);
    void updateOwnEngine(Engine &engine, const PlannedEngine &planned, const ResidencyTable &residencies, Time now) const;
    void updateForeignEngine(Engine &engine, const PlannedEngine &planned, const ResidencyTable &residencies, Time now) const;
    double fetchTimeMs(double count) const;
    void beginRound(Time now);
    static bool isInFlight(const Copy &copy);
    static bool isLoaded(const Copy &copy);
    static bool isLoadRejected(OrderAnswer answer);
    static int loadsInFlight(const Engine &engine);
    static WeightMemory &memoryOf(Engine &engine);
    static bool isMoreReportedThanFits(const Engine &engine);
    static bool holdsModel(const Engine &engine, const BaseModelId &model);
    AdapterVersion newestVersion(const AdapterRef &adapter) const;

    std::optional<AdapterRef> victim(const Engine &engine, Time now) const;
    const std::optional<AdapterRef> &evictionCandidate(Engine &engine, Time now) const;
    const UpstreamId *preferredEngineOf(const AdapterRef &adapter, Time now) const;
    std::optional<double> placementCost(Engine &engine, const AdapterRef &adapter, Time now) const;
    static bool isUnavailable(const Engine &engine, Time now);
    /** Whether a copy on the engine serves the requests that wait. */
    static bool canServe(const Engine &engine, const PendingAdapter &pending);
    double expectedWaitMs(const Engine &engine) const;
    void place(const PendingAdapter &pending, bool isReady, Time now, std::vector<PlanAction> &actions);
    void beginUnload(const UpstreamId &id, Engine &engine, const AdapterRef &adapter, Time now, std::vector<PlanAction> &actions) const;
    void unloadExcess(Time now, std::vector<PlanAction> &actions);
    void beginLoad(const UpstreamId &id, Engine &engine, const AdapterRef &adapter, Time now, std::vector<PlanAction> &actions);
    void verify(const PendingAdapter &pending, Time now);
    void servePendingAdapters(Time now, std::vector<PlanAction> &actions);
    struct CopySummary
    {
        /** A copy is being loaded or verified. */
        bool isBeingHandled = false;
        bool isReady = false;
    };
    CopySummary copiesOf(const PendingAdapter &pending, Time now) const;
    void repeatOrders(Time now, std::vector<PlanAction> &actions);
    void reloadOutdated(Time now);
    void loadModels(Time now, std::vector<PlanAction> &actions);
    void pollReports(Time now, std::vector<PlanAction> &actions);
    void announce(std::vector<PlanAction> &actions);
    EngineOrder loadOrder(const UpstreamId &id, const AdapterRef &adapter) const;
    static EngineOrder unloadOrder(const UpstreamId &id, const AdapterRef &adapter);
    void updateModels(Engine &engine, const EngineReport &report, Time polledAt) const;
    void updateCopies(Engine &engine, const EngineReport &report, Time polledAt) const;
};

bool AdapterPlan::Private::isInFlight(const Copy &copy)
{
    return copy.state == CopyState::Ordered || copy.state == CopyState::Loading;
}

bool AdapterPlan::Private::isLoaded(const Copy &copy)
{
    return copy.state == CopyState::Ready || copy.state == CopyState::Verifying;
}

int AdapterPlan::Private::loadsInFlight(const Engine &engine)
{
    return static_cast<int>(
        std::count_if(engine.copies.begin(), engine.copies.end(), [](const auto &entry) { return isInFlight(entry.second); }));
}

WeightMemory &AdapterPlan::Private::memoryOf(Engine &engine)
{
    if (!engine.memory) {
        engine.memory.emplace(*engine.planned.spec);
        for (const BaseModelId &model : engine.models) {
            engine.memory->addModel(model);
        }
        for (const auto &[model, since] : engine.loadingModels) {
            if (!holdsModel(engine, model)) {
                engine.memory->addModel(model);
            }
        }
        for (const auto &[adapter, copy] : engine.copies) {
            engine.memory->addAdapter(adapter.model);
        }
    }
    return *engine.memory;
}

bool AdapterPlan::Private::isMoreReportedThanFits(const Engine &engine)
{
    WeightMemory reported(*engine.planned.spec);
    for (const BaseModelId &model : engine.models) {
        reported.addModel(model);
    }
    for (const BaseModelId &model : engine.reportedAdapters) {
        reported.addAdapter(model);
    }
    return reported.isExceeded();
}

// The time of @p count fetches in ms.
double AdapterPlan::Private::fetchTimeMs(double count) const
{
    return count * static_cast<double>(loads.minFetchTime().milliseconds());
}

void AdapterPlan::Private::beginRound(Time now)
{
    demand.refresh(now);
    fetchesInFlight = 0;
    for (auto &[id, engine] : engines) {
        fetchesInFlight += static_cast<int>(std::count_if(engine.copies.begin(), engine.copies.end(),
            [](const auto &entry) { return isInFlight(entry.second) && !entry.second.isCached; }));
        engine.evictionCandidate.reset();
        engine.memory.reset();
    }
}

bool AdapterPlan::Private::holdsModel(const Engine &engine, const BaseModelId &model)
{
    return std::find(engine.models.begin(), engine.models.end(), model) != engine.models.end();
}

AdapterVersion AdapterPlan::Private::newestVersion(const AdapterRef &adapter) const
{
    const auto at = versions.find(adapter);
    return at == versions.end() ? AdapterVersion() : at->second;
}

// A crashed engine and its copies stay listed for some seconds, and requests must not wait for those copies.
bool AdapterPlan::Private::isUnavailable(const Engine &engine, Time now)
{
    return now < engine.unresponsiveUntil || !engine.planned.isReachable || engine.planned.share <= 0;
}

bool AdapterPlan::Private::canServe(const Engine &engine, const PendingAdapter &pending)
{
    return pending.software.isEmpty() || engine.software == pending.software;
}

double AdapterPlan::Private::expectedWaitMs(const Engine &engine) const
{
    return engine.planned.pendingTokens / limits.promptTokensPerMs + engine.planned.running * limits.runningCostMs;
}

std::optional<AdapterRef> AdapterPlan::Private::victim(const Engine &engine, Time now) const
{
    std::optional<AdapterRef> least;
    double leastValue = std::numeric_limits<double>::max();
    for (const auto &[adapter, copy] : engine.copies) {
        if (copy.state != CopyState::Ready || now - copy.since < limits.minResidenceTime || demand.isUsed(engine.id, adapter)) {
            continue;
        }
        const double value = demand.popularity(adapter, now);
        if (value < leastValue) {
            least = adapter;
            leastValue = value;
        }
    }
    return least;
}

// Caches victim() for the round, since every pending adapter is compared with every engine.
const std::optional<AdapterRef> &AdapterPlan::Private::evictionCandidate(Engine &engine, Time now) const
{
    if (!engine.evictionCandidate) {
        engine.evictionCandidate = victim(engine, now);
    }
    return *engine.evictionCandidate;
}

// Returns nothing if the engine cannot load the adapter now.
std::optional<double> AdapterPlan::Private::placementCost(Engine &engine, const AdapterRef &adapter, Time now) const
{
    const bool isExcluded = isUnavailable(engine, now) || !engine.hasReport || !engine.planned.hasHolder || engine.planned.spec == nullptr
        || engine.copies.contains(adapter);
    if (isExcluded || !holdsModel(engine, adapter.model) || loadsInFlight(engine) >= limits.maxLoadsPerEngine) {
        return std::nullopt;
    }
    double cost = expectedWaitMs(engine) / std::max(engine.planned.share, 0.1)
        - loads.cacheHitProbability(engine.id, adapter) * fetchTimeMs(limits.cachedGain);
    if (memoryOf(engine).hasRoomForAdapter(adapter.model)) {
        // Free room is filled evenly, since an engine with few copies gets few requests.
        return cost + fetchTimeMs(limits.evictionCost) * memoryOf(engine).adapterShare(adapter.model);
    }
    if (!canHoldAdapter(*engine.planned.spec, adapter.model)) {
        return std::nullopt;
    }
    const auto &least = evictionCandidate(engine, now);
    if (!least) {
        return std::nullopt;
    }
    return cost + fetchTimeMs(limits.evictionCost) * (1 + demand.popularity(*least, now));
}

EngineOrder AdapterPlan::Private::loadOrder(const UpstreamId &id, const AdapterRef &adapter) const
{
    return EngineOrder { EngineOrder::Kind::Load, adapter.model, adapter.adapter, newestVersion(adapter), id };
}

EngineOrder AdapterPlan::Private::unloadOrder(const UpstreamId &id, const AdapterRef &adapter)
{
    return EngineOrder { EngineOrder::Kind::Unload, adapter.model, adapter.adapter, {}, id };
}

void AdapterPlan::Private::beginLoad(
    const UpstreamId &id, Engine &engine, const AdapterRef &adapter, Time now, std::vector<PlanAction> &actions)
{
    memoryOf(engine).addAdapter(adapter.model);
    Copy &copy = engine.copies[adapter];
    copy = Copy { newestVersion(adapter), CopyState::Ordered, now, Time::never(), now, true };
    copy.isCached = loads.isExpectedCached(engine.id, adapter);
    copy.orderedAt = now;
    engine.isChanged = true;
    fetchesInFlight += copy.isCached ? 0 : 1;
    actions.emplace_back(SendOrder { loadOrder(id, adapter) });
}

// Returns the engine that all plans prefer for the adapter. The choice stays the same after a restart of all nodes, when no node knows what
// the engines have cached; without it each adapter would be fetched again to another engine.
const UpstreamId *AdapterPlan::Private::preferredEngineOf(const AdapterRef &adapter, Time now) const
{
    const std::uint64_t adapterHash = stableHash(adapter.model.value(), adapter.adapter.value());
    const UpstreamId *preferred = nullptr;
    std::uint64_t highest = 0;
    for (const auto &[id, engine] : engines) {
        const std::uint64_t score = mixHashes(adapterHash, engine.idHash);
        if (!isUnavailable(engine, now) && holdsModel(engine, adapter.model) && (preferred == nullptr || score > highest)) {
            preferred = &id;
            highest = score;
        }
    }
    return preferred;
}

// @p isReady: the adapter is already loaded on some engine, so this would be another copy.
void AdapterPlan::Private::place(const PendingAdapter &pending, bool isReady, Time now, std::vector<PlanAction> &actions)
{
    const bool isStoreBusy = fetchesInFlight >= loads.maxConcurrentFetches();
    const AdapterRef &adapter = pending.adapter;
    // All plans compute nearly the same costs, so the plan that owns the cheapest engine acts and the others leave the adapter to it.
    const bool isOnlyOwn = isInRotation(pending, now);
    const UpstreamId *preferred = preferredEngineOf(adapter, now);
    Engine *best = nullptr;
    UpstreamId bestId;
    double bestCost = std::numeric_limits<double>::max();
    double currentWait = std::numeric_limits<double>::max();
    for (auto &[id, engine] : engines) {
        if (!canServe(engine, pending)) {
            continue;
        }
        if (engine.copies.contains(adapter) && !isUnavailable(engine, now)) {
            currentWait = std::min(currentWait, expectedWaitMs(engine));
        }
        const bool isExcluded = (isOnlyOwn && !engine.planned.isOwn) || (isStoreBusy && !loads.isExpectedCached(engine.id, adapter));
        auto cost = isExcluded ? std::nullopt : placementCost(engine, adapter, now);
        if (cost && preferred != nullptr && id == *preferred) {
            *cost -= fetchTimeMs(limits.preferredEngineGain);
        }
        if (cost && *cost < bestCost) {
            best = &engine;
            bestId = id;
            bestCost = *cost;
        }
    }
    if (best == nullptr || !best->planned.isOwn || (isReady && bestCost + fetchTimeMs(limits.extraCopyGain) > currentWait)) {
        return;
    }
    if (memoryOf(*best).hasRoomForAdapter(adapter.model)) {
        beginLoad(bestId, *best, adapter, now, actions);
        return;
    }
    // The room is free once the engine has confirmed the order; the adapter is still pending then.
    const AdapterRef least = *evictionCandidate(*best, now);
    beginUnload(bestId, *best, least, now, actions);
}

void AdapterPlan::Private::beginUnload(
    const UpstreamId &id, Engine &engine, const AdapterRef &adapter, Time now, std::vector<PlanAction> &actions) const
{
    engine.evictionCandidate.reset();
    Copy &copy = engine.copies[adapter];
    copy.state = CopyState::Unloading;
    copy.since = now;
    copy.nextPollAt = Time::never();
    copy.hasOrderInFlight = true;
    engine.isChanged = true;
    actions.emplace_back(SendOrder { unloadOrder(id, adapter) });
}

// Copies that no longer fit after a change of the configuration are unloaded one by one. Copies that are only believed to be there need no
// order, so the engine's report counts as well. It is late, so the plan's own count tells whether enough has been unloaded.
void AdapterPlan::Private::unloadExcess(Time now, std::vector<PlanAction> &actions)
{
    for (auto &[id, engine] : engines) {
        const bool isOwn = engine.planned.isOwn && engine.planned.spec != nullptr;
        if (!isOwn || !memoryOf(engine).isExceeded() || !isMoreReportedThanFits(engine)) {
            continue;
        }
        const bool isUnloading = std::any_of(
            engine.copies.begin(), engine.copies.end(), [](const auto &entry) { return entry.second.state == CopyState::Unloading; });
        const std::optional<AdapterRef> least = evictionCandidate(engine, now);
        if (!isUnloading && least) {
            beginUnload(id, engine, *least, now, actions);
        }
    }
}

// Some node waits for an adapter that is believed to be loaded: either the node does not know yet or the engine lost the copy. The engine
// is polled to find out.
void AdapterPlan::Private::verify(const PendingAdapter &pending, Time now)
{
    for (auto &[id, engine] : engines) {
        const auto at = engine.copies.find(pending.adapter);
        const bool isReady = canServe(engine, pending) && at != engine.copies.end() && at->second.state == CopyState::Ready;
        if (engine.planned.isOwn && isReady && now - at->second.since > limits.retryDelay) {
            at->second.state = CopyState::Verifying;
            at->second.nextPollAt = now;
        }
    }
}

void AdapterPlan::Private::servePendingAdapters(Time now, std::vector<PlanAction> &actions)
{
    std::vector<PendingAdapter> pendingAdapters = demand.pendingAdapters();
    sortPendingAdapters(pendingAdapters, {}, loads.firstPollDelay(false), now);
    std::vector<CopySummary> summaries;
    summaries.reserve(pendingAdapters.size());
    for (const PendingAdapter &pending : pendingAdapters) {
        summaries.push_back(copiesOf(pending, now));
    }
    const auto waitsForFetch = [](const CopySummary &copies) { return !copies.isBeingHandled && !copies.isReady; };
    loads.setPendingFetches(static_cast<int>(std::count_if(summaries.begin(), summaries.end(), waitsForFetch)), now);
    // Requests with and without a software version may wait for the same adapter: a load that this round orders can serve both.
    const bool isAnyBound = std::any_of(
        pendingAdapters.begin(), pendingAdapters.end(), [](const PendingAdapter &pending) { return !pending.software.isEmpty(); });
    for (std::size_t i = 0; i < pendingAdapters.size(); ++i) {
        const PendingAdapter &pending = pendingAdapters[i];
        const CopySummary copies = isAnyBound ? copiesOf(pending, now) : summaries[i];
        if (copies.isBeingHandled) {
            continue;
        }
        if (copies.isReady && !pending.hasOverloadedCopies) {
            verify(pending, now);
        } else {
            place(pending, copies.isReady, now, actions);
        }
    }
}

AdapterPlan::Private::CopySummary AdapterPlan::Private::copiesOf(const PendingAdapter &pending, Time now) const
{
    CopySummary result;
    for (const auto &[id, engine] : engines) {
        const auto at = engine.copies.find(pending.adapter);
        if (at != engine.copies.end() && canServe(engine, pending) && !isUnavailable(engine, now)) {
            result.isBeingHandled = result.isBeingHandled || isInFlight(at->second) || at->second.state == CopyState::Verifying;
            result.isReady = result.isReady || at->second.state == CopyState::Ready;
        }
    }
    return result;
}

void AdapterPlan::Private::repeatOrders(Time now, std::vector<PlanAction> &actions)
{
    for (auto &[id, engine] : engines) {
        if (!engine.planned.isOwn || engine.planned.spec == nullptr || !engine.hasReport) {
            continue;
        }
        // The plan never counts less than the engine has, so an order to load, even one that only polls for a copy, is safe as long as what
        // is counted fits.
        const bool mayLoad = !memoryOf(engine).isExceeded();
        for (auto &[adapter, copy] : engine.copies) {
            if (copy.hasOrderInFlight || now < copy.nextPollAt) {
                continue;
            }
            if (mayLoad && (copy.state == CopyState::Loading || copy.state == CopyState::Verifying)) {
                copy.hasOrderInFlight = true;
                actions.emplace_back(SendOrder { loadOrder(id, adapter) });
            } else if (copy.state == CopyState::Unloading) {
                copy.hasOrderInFlight = true;
                actions.emplace_back(SendOrder { unloadOrder(id, adapter) });
            }
        }
    }
}

// A pending adapter that is left after the rotation interval was skipped by the plan whose engine looks best from here.
bool AdapterPlan::Private::isInRotation(const PendingAdapter &pending, Time now) const
{
    const auto rounds = static_cast<std::uint64_t>((now - pending.since).milliseconds() / limits.rotationInterval.milliseconds());
    const std::uint64_t preferred = stableHash(pending.adapter.model.value(), pending.adapter.adapter.value());
    return rounds > 0 && (preferred + rounds) % std::max<std::size_t>(rotation.count, 1) == rotation.index;
}

// Copies of an older version are reloaded in place; the engine waits for the requests that run on them.
void AdapterPlan::Private::reloadOutdated(Time now)
{
    for (auto &[id, engine] : engines) {
        if (!engine.planned.isOwn) {
            continue;
        }
        for (auto &[adapter, copy] : engine.copies) {
            const AdapterVersion newest = newestVersion(adapter);
            if (copy.state == CopyState::Ready && !newest.isEmpty() && copy.version != newest) {
                copy.state = CopyState::Loading;
                copy.since = now;
                copy.nextPollAt = now;
                engine.isChanged = true;
            }
        }
    }
}

void AdapterPlan::Private::loadModels(Time now, std::vector<PlanAction> &actions)
{
    int inFlight = 0;
    for (auto &[id, engine] : engines) {
        inFlight += static_cast<int>(engine.loadingModels.size());
    }
    for (auto &[id, engine] : engines) {
        if (!engine.planned.isOwn || engine.planned.spec == nullptr || !engine.models.empty() || !engine.loadingModels.empty()) {
            continue;
        }
        if (inFlight >= limits.maxModelLoads || engine.planned.spec->models.empty()) {
            continue;
        }
        const BaseModelId &model = engine.planned.spec->models.front().id;
        if (!memoryOf(engine).hasRoomForModel(model)) {
            continue;
        }
        memoryOf(engine).addModel(model);
        engine.loadingModels.emplace(model, now);
        ++inFlight;
        actions.emplace_back(SendOrder { EngineOrder { EngineOrder::Kind::Load, model, {}, {}, id } });
    }
}

void AdapterPlan::Private::pollReports(Time now, std::vector<PlanAction> &actions)
{
    for (auto &[id, engine] : engines) {
        const Duration interval = engine.loadingModels.empty() ? limits.reportInterval : limits.reportInterval - limits.reportLag;
        if (engine.planned.isOwn && engine.planned.spec != nullptr && now - engine.reportPolledAt >= interval) {
            engine.reportPolledAt = now;
            actions.emplace_back(RequestEngineReport { id });
        }
    }
}

void AdapterPlan::Private::announce(std::vector<PlanAction> &actions)
{
    for (auto &[id, engine] : engines) {
        // Before its report the plan knows at most a part of the engine's copies. Announced as complete, that part would make all nodes
        // remove the other copies, and after a restart of all nodes callers would wait for adapters that are loaded according to the
        // engines' own records.
        if (!engine.planned.isOwn || !engine.isChanged || engine.planned.spec == nullptr || !engine.hasReport) {
            continue;
        }
        engine.isChanged = false;
        EngineResidency residency { id, engine.startedAt, fence, ++lastSequence, {} };
        for (const auto &[adapter, copy] : engine.copies) {
            if (copy.state != CopyState::Unloading) {
                residency.copies.push_back(AdapterCopy { adapter.model, adapter.adapter, copy.version, isLoaded(copy) });
            }
        }
        actions.emplace_back(AnnounceResidency { std::move(residency) });
    }
}

AdapterPlan::AdapterPlan(AdapterPlanLimits limits, FencingToken fence, AdapterLoadEstimator &loads)
    : d(std::make_unique<Private>(limits, fence, loads))
{
}

AdapterPlan::~AdapterPlan() = default;

void AdapterPlan::setEngines(const std::vector<PlannedEngine> &engines, const ResidencyTable &residencies, Time now)
{
    std::map<UpstreamId, const PlannedEngine *> present;
    for (const PlannedEngine &planned : engines) {
        present[planned.record->id] = &planned;
    }
    d->removeUnlisted(present, now);
    for (const auto &[id, planned] : present) {
        Engine &engine = d->engines[id];
        if (const auto unlisted = d->unlistedEngines.extract(id); !unlisted.empty()) {
            engine = std::move(unlisted.mapped().engine);
            engine.isChanged = true;
        }
        if (planned->isOwn) {
            d->updateOwnEngine(engine, *planned, residencies, now);
        } else {
            d->updateForeignEngine(engine, *planned, residencies, now);
        }
        if (engine.idHash == 0) {
            engine.idHash = stableHash(id.value());
        }
        engine.id = id;
        engine.startedAt = planned->record->startedAt;
        engine.software = planned->record->softwareVersion;
        engine.planned = *planned;
        // The caller's record is only valid during this call.
        engine.planned.record = nullptr;
    }
}

// Keeps what is known of the engines that are not listed any more until reports cover all orders that were sent to them.
void AdapterPlan::Private::removeUnlisted(const std::map<UpstreamId, const PlannedEngine *> &listed, Time now)
{
    for (auto at = engines.begin(); at != engines.end();) {
        const auto current = at++;
        if (listed.contains(current->first)) {
            continue;
        }
        if (current->second.planned.isOwn) {
            unlistedEngines[current->first] = UnlistedEngine { std::move(current->second), now };
        }
        engines.erase(current);
    }
    const Duration retention = limits.orderTimeout + limits.reportLag;
    std::erase_if(unlistedEngines, [now, retention](const auto &entry) { return now - entry.second.since > retention; });
}

Engine *AdapterPlan::Private::findEngine(const UpstreamId &id)
{
    if (const auto at = engines.find(id); at != engines.end()) {
        return &at->second;
    }
    const auto at = unlistedEngines.find(id);
    return at != unlistedEngines.end() ? &at->second.engine : nullptr;
}

void AdapterPlan::Private::updateOwnEngine(Engine &engine, const PlannedEngine &planned, const ResidencyTable &residencies, Time now) const
{
    if (!engine.id.isEmpty() && engine.planned.isOwn && engine.startedAt == planned.record->startedAt) {
        return;
    }
    const std::map<AdapterRef, Copy> previous = std::move(engine.copies);
    engine = Engine {};
    engine.reportPolledAt = now - limits.reportInterval;
    for (const auto &[adapter, copy] : previous) {
        // The order may reach the engine after its restart.
        if (copy.hasOrderInFlight && copy.state != CopyState::Unloading) {
            engine.copies[adapter] = Copy { copy.version, CopyState::Loading, now, Time::never(), now, true };
        }
    }
    for (const LoadedModel &held : planned.record->models) {
        engine.models.push_back(held.id);
        for (const AdapterKey &key : held.adapters) {
            engine.copies[AdapterRef { held.id, key.id }] = Copy { key.version, CopyState::Ready, now, Time::never(), now, false };
        }
    }
    if (const EngineResidency *residency = residencies.residency(*planned.record)) {
        for (const AdapterCopy &copy : residency->copies) {
            // A load in flight is polled at once.
            const CopyState state = copy.isReady ? CopyState::Ready : CopyState::Loading;
            engine.copies[AdapterRef { copy.model, copy.adapter }] = Copy { copy.version, state, now, now, now, false };
        }
    }
}

void AdapterPlan::Private::updateForeignEngine(
    Engine &engine, const PlannedEngine &planned, const ResidencyTable &residencies, Time now) const
{
    engine.hasReport = true;
    engine.models.clear();
    for (const LoadedModel &held : planned.record->models) {
        engine.models.push_back(held.id);
    }
    const EngineResidency *residency = residencies.residency(*planned.record);
    const auto version =
        residency != nullptr ? std::pair(residency->fence, residency->sequence) : std::pair(FencingToken(), std::uint64_t(0));
    if (version == engine.residencyVersion && engine.startedAt == planned.record->startedAt) {
        return;
    }
    engine.residencyVersion = version;
    const std::map<AdapterRef, Copy> previous = std::move(engine.copies);
    engine.copies.clear();
    if (residency != nullptr) {
        for (const AdapterCopy &copy : residency->copies) {
            const AdapterRef adapter { copy.model, copy.adapter };
            const auto known = previous.find(adapter);
            const Time since = known != previous.end() ? known->second.since : now;
            const bool isExpectedCached = known != previous.end() ? known->second.isCached : loads.isExpectedCached(engine.id, adapter);
            engine.copies[adapter] =
                Copy { copy.version, copy.isReady ? CopyState::Ready : CopyState::Loading, since, now, now, false, isExpectedCached };
        }
    }
}

void AdapterPlan::setRotation(PlanRotation rotation)
{
    d->rotation = rotation;
}

void AdapterPlan::setVersion(const AdapterRef &adapter, const AdapterVersion &version)
{
    d->versions[adapter] = version;
}

void AdapterPlan::onUses(const NodeId &node, const std::vector<AdapterUse> &uses, Time now)
{
    d->demand.onUses(node, uses, now);
}

void AdapterPlan::onPendingAdapters(const NodeId &node, const std::vector<AdapterUse> &pendingAdapters, Time now)
{
    d->demand.onPendingAdapters(node, pendingAdapters, now);
}

// Whether the answer means that the engine does not have the adapter that it was ordered to load.
bool AdapterPlan::Private::isLoadRejected(OrderAnswer answer)
{
    return answer == OrderAnswer::Fenced || answer == OrderAnswer::WrongEngine || answer == OrderAnswer::Refused;
}

void AdapterPlan::onOrderAnswer(const EngineOrder &order, OrderAnswer answer, Time now)
{
    Engine *found = d->findEngine(order.engine);
    if (found == nullptr) {
        return;
    }
    Engine &engine = *found;
    engine.unresponsiveUntil = answer == OrderAnswer::Unknown ? now + d->limits.unresponsiveTime : Time();
    if (order.adapter.isEmpty()) {
        if (answer != OrderAnswer::Accepted && answer != OrderAnswer::Busy) {
            engine.loadingModels.erase(order.model);
        }
        if (answer == OrderAnswer::Done && !Private::holdsModel(engine, order.model)) {
            engine.models.push_back(order.model);
        }
        return;
    }
    const AdapterRef adapter { order.model, order.adapter };
    const auto copyAt = engine.copies.find(adapter);
    if (copyAt == engine.copies.end()) {
        return;
    }
    Copy &copy = copyAt->second;
    copy.hasOrderInFlight = false;
    // A poll that finds a load still unfinished changes nothing.
    engine.isChanged =
        engine.isChanged || copy.state != CopyState::Loading || answer == OrderAnswer::Done || Private::isLoadRejected(answer);
    copy.lastAnswerAt = now;
    if (order.kind == EngineOrder::Kind::Unload) {
        if (answer == OrderAnswer::Accepted) {
            // The copy keeps its slot until the requests that run on it have ended.
            copy.nextPollAt = now + d->limits.retryDelay;
        } else if (answer == OrderAnswer::Done) {
            engine.droppedAt[adapter] = now;
            engine.copies.erase(copyAt);
        } else {
            // The copy is still in use, or the outcome is unknown: it counts as loaded and just used.
            copy.state = CopyState::Ready;
            copy.since = now;
        }
        return;
    }
    switch (answer) {
    case OrderAnswer::Done:
        if (copy.orderedAt && copy.state == CopyState::Loading) {
            d->loads.onLoadCompleted(CompletedLoad { order.engine, now - *copy.orderedAt, copy.unfinishedPolls, copy.isCached }, now);
        }
        copy.orderedAt.reset();
        copy.state = CopyState::Ready;
        copy.since = now;
        copy.version = order.version.isEmpty() ? copy.version : order.version;
        break;
    case OrderAnswer::Accepted:
        if (copy.state == CopyState::Verifying) {
            // The copy was gone, so the poll has become the order to load it.
            copy.orderedAt = now;
            copy.unfinishedPolls = 0;
        }
        if (copy.state != CopyState::Loading) {
            copy.state = CopyState::Loading;
            copy.since = now;
            copy.nextPollAt = copy.orderedAt.value_or(now) + d->loads.firstPollDelay(copy.isCached);
        } else {
            const Duration elapsed = now - copy.orderedAt.value_or(copy.since);
            copy.nextPollAt = now + d->loads.nextPollDelay(elapsed, ++copy.unfinishedPolls, copy.isCached);
        }
        break;
    case OrderAnswer::Busy:
    case OrderAnswer::Unknown:
        copy.orderedAt.reset();
        if (copy.state == CopyState::Ordered) {
            copy.state = CopyState::Loading;
            copy.since = now;
        }
        copy.nextPollAt = answer == OrderAnswer::Busy ? now + d->limits.retryDelay : now + d->limits.noResponseRetryDelay;
        break;
    case OrderAnswer::Fenced:
    case OrderAnswer::WrongEngine:
    case OrderAnswer::Refused:
        engine.copies.erase(copyAt);
        break;
    }
}

void AdapterPlan::onReport(const UpstreamId &id, const EngineReport &report, Time polledAt)
{
    Engine *found = d->findEngine(id);
    if (found == nullptr) {
        return;
    }
    Engine &engine = *found;
    engine.hasReport = true;
    d->updateModels(engine, report, polledAt);
    d->updateCopies(engine, report, polledAt);
}

void AdapterPlan::Private::updateModels(Engine &engine, const EngineReport &report, Time polledAt) const
{
    engine.models.clear();
    for (const LoadedModel &model : report.models) {
        engine.models.push_back(model.id);
        engine.loadingModels.erase(model.id);
    }
    std::erase_if(engine.loadingModels,
        [this, polledAt, &report](const auto &entry) { return !report.isBusy && polledAt - entry.second > limits.loadTimeout; });
}

void AdapterPlan::Private::updateCopies(Engine &engine, const EngineReport &report, Time polledAt) const
{
    std::map<AdapterRef, AdapterCopy> reported;
    for (const LoadedModel &model : report.models) {
        for (const AdapterKey &key : model.adapters) {
            reported[AdapterRef { model.id, key.id }] = AdapterCopy { model.id, key.id, key.version, true };
        }
        for (const AdapterKey &key : report.loading) {
            reported.emplace(AdapterRef { model.id, key.id }, AdapterCopy { model.id, key.id, key.version, false });
        }
    }
    engine.reportedAdapters.clear();
    for (const auto &[adapter, copy] : reported) {
        engine.reportedAdapters.push_back(adapter.model);
    }
    const Time cutoff = polledAt - limits.reportLag;
    std::erase_if(engine.droppedAt, [cutoff](const auto &entry) { return entry.second < cutoff; });
    for (const auto &[adapter, copy] : reported) {
        const auto known = engine.copies.find(adapter);
        if (known == engine.copies.end()) {
            if (!engine.droppedAt.contains(adapter)) {
                // Loaded by the order of an earlier lease holder; it occupies a slot all the same.
                const CopyState state = copy.isReady ? CopyState::Ready : CopyState::Loading;
                engine.copies[adapter] = Copy { copy.version, state, polledAt, polledAt, polledAt, false };
                engine.isChanged = true;
            }
        } else if (copy.isReady && known->second.version.isEmpty()) {
            known->second.version = copy.version;
            engine.isChanged = true;
        }
    }
    const auto isGone = [&reported, cutoff](const auto &entry) {
        return !entry.second.hasOrderInFlight && entry.second.lastAnswerAt < cutoff && !reported.contains(entry.first);
    };
    engine.isChanged = std::erase_if(engine.copies, isGone) > 0 || engine.isChanged;
}

Time AdapterPlan::nextDecisionTime(Time now) const
{
    Time next = now + (d->demand.pendingAdapters().empty() ? d->limits.idleDecisionInterval : d->limits.pendingDecisionInterval);
    for (const auto &[id, engine] : d->engines) {
        for (const auto &[adapter, copy] : engine.copies) {
            if (engine.planned.isOwn && !copy.hasOrderInFlight && copy.state != CopyState::Ready) {
                next = std::min(next, copy.nextPollAt);
            }
        }
    }
    return std::max(next, now + Duration(1));
}

std::vector<PlanAction> AdapterPlan::decide(Time now)
{
    std::vector<PlanAction> actions;
    d->beginRound(now);
    d->reloadOutdated(now);
    d->loadModels(now, actions);
    d->unloadExcess(now, actions);
    d->servePendingAdapters(now, actions);
    d->repeatOrders(now, actions);
    d->pollReports(now, actions);
    d->announce(actions);
    return actions;
}

} // namespace ApricotStep
