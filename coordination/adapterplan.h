#pragma once

#include "coordination/adapterloadestimator.h"
#include "coordination/engineorder.h"
#include "coordination/fleetmessage.h"
#include "coordination/residencytable.h"
#include "core/clock.h"
#include "core/strongid.h"
#include "state/routetable.h"
#include "state/upstreamrecord.h"

#include <memory>
#include <vector>

namespace ApricotStep
{

// Load pattern: thousands of adapters with skewed popularity, a few places an engine, and at every second a third of the requests ask for
// one that stands nowhere.
// Without one plan for all engines: two nodes load the same adapter at two engines and evict two others for it; an engine that is ordered
// beyond its places crashes; and more fetches at once than the weight store bears make all of them slow. One would notice more
// loads than requests for adapters that stand nowhere.
// Grounds for the figures: what a load costs is measured in the time of a fetch, which is observed (AdapterLoadEstimator), as is the number
// of fetches at once. Popularity halves in twenty seconds, some hundred requests of an engine's: long against the pause between two
// requests of an adapter worth keeping, short against a shift of demand. A fresh copy is not evicted before the requests that it was loaded
// for have had the time to arrive.

struct AdapterPlanLimits
{
    /** A want that no plan has met for so long goes round among the plans, each having it for this time. */
    Duration rotationInterval { 60 };
    /** Between two looks while something is wanted that cannot be loaded yet, and while nothing is. */
    Duration pendingDecisionInterval { 25 };
    Duration idleDecisionInterval { 100 };
    /** Adapters on their way to one engine; the users' engines take no more. */
    int maxLoadsPerEngine = 4;
    /** Before an engine that is busy, or still runs what is to be dropped, is asked again. */
    Duration retryDelay { 50 };
    /** After an order that had no answer: the engine may be down. */
    Duration noResponseRetryDelay { 400 };
    /** An engine that left an order unanswered gets no new copies for this long, and those that it has count for nothing. */
    Duration unresponsiveTime { 1000 };
    /** A base model that is not in place after this, on an engine that works on no order, has failed to load. */
    Duration loadTimeout { 4000 };
    Duration popularityHalfLife = Duration::seconds(20);
    /** A copy stays at least so long. */
    Duration minResidenceTime { 500 };
    /** An engine is asked for its report this often. */
    Duration reportInterval { 1000 };
    /** A report says nothing of orders younger than this: engines report late. */
    Duration reportLag { 600 };
    /** Base models on their way at once: each gets the full speed of the store. */
    int maxModelLoads = 2;
    /** Tokens of prompts that an engine reads in a millisecond, to compare work that waits with work that runs. */
    double promptTokensPerMs = 38;
    /** What one running request adds to another's wait, ms: its part of a batch step. */
    double runningCostMs = 4;
    /** What a unit of evicted popularity costs, in fetches: the load that follows, by the chance that one follows. */
    double evictionCost = 0.1;
    /** What a load of an adapter that the engine has at hand saves, in fetches: its own time, and a place in the line of all others. */
    double cachedGain = 2.8;
    /**
     * What a load at the adapter's home is worth, in fetches: it may be at hand there without anybody knowing. Less than what is known to
     * be at hand is worth, and enough to outweigh some requests ahead.
     */
    double preferredEngineGain = 0.6;
    /** What a second copy of an adapter must save of a first token's wait, in fetches. */
    double extraCopyGain = 1.2;
};

/** Give this order; the answer goes to onOrderAnswer(). */
struct SendOrder
{
    EngineOrder order;
};
/** Ask this engine for a report; it goes to onReport(). */
struct RequestEngineReport
{
    UpstreamId engine;
};
/** Tell all nodes. */
struct AnnounceResidency
{
    EngineResidency residency;
};
using PlanAction = std::variant<SendOrder, RequestEngineReport, AnnounceResidency>;

/** Which wants this plan meets when no plan has met them. */
struct PlanRotation
{
    /** This plan's place among the plans that are active now, and their number. */
    std::size_t index = 0;
    std::size_t count = 1;
};

/** An engine as the plan sees it. */
struct PlannedEngine
{
    /** Read in setEngines() only. */
    const UpstreamRecord *record = nullptr;
    const EngineSpec *spec = nullptr;
    double running = 0;
    double pendingTokens = 0;
    /** 0 when the engine fails, 1 when it is well. */
    double share = 1;
    /** This plan orders it; the others are known by their rows. */
    bool isOwn = true;
    /** Somebody gives it orders now. */
    bool hasHolder = true;
    /** Connections to it could be made lately. */
    bool isReachable = true;
};

/** Decides which engine holds which adapters. Runs only at the node that may give orders. Not thread-safe. */
class AdapterPlan
{
public:
    /** @p fence: the token under which rows are announced. @p loads outlives the plan; it hears of the rows of all engines, this plan's
     * too. */
    AdapterPlan(AdapterPlanLimits limits, FencingToken fence, AdapterLoadEstimator &loads);
    ~AdapterPlan();

    /** The engines that there are now. @p residencies tells what stands at those that are new to this plan. */
    void setEngines(const std::vector<PlannedEngine> &engines, const ResidencyTable &residencies, Time now);
    /** How wants that nobody has met are dealt out among the plans of all shards. */
    void setRotation(PlanRotation rotation);
    /** @p version of @p adapter is the newest. */
    void setVersion(const AdapterRef &adapter, const AdapterVersion &version);
    /** What @p node runs and waits for; replaces what it said before. */
    void onUses(const NodeId &node, const std::vector<AdapterUse> &uses, Time now);
    /** What @p node waits for now; what it runs stays as it said before. */
    void onPendingAdapters(const NodeId &node, const std::vector<AdapterUse> &pendingAdapters, Time now);
    void onOrderAnswer(const EngineOrder &order, OrderAnswer answer, Time now);
    /** @p polledAt: when the report was asked for. */
    void onReport(const UpstreamId &engine, const EngineReport &report, Time polledAt);
    /** What to do now; call it after each event and at nextDecisionTime(). */
    std::vector<PlanAction> decide(Time now);
    /** When to call decide() again if nothing happens before. */
    Time nextDecisionTime(Time now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
