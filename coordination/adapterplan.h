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

// Plans the adapters of all engines together.
//
// There are thousands of adapters with skewed popularity and a few slots per engine, and at any second a third of the requests may ask for
// an adapter that is loaded on no engine. Without one plan for all engines, two nodes load the same adapter on two engines and evict two
// others for it, an engine that is ordered beyond its slots crashes, and more concurrent fetches than the weight store sustains slow all of
// them down. The symptom would be more loads than requests for adapters that are loaded on no engine.
//
// Costs are measured in fetch times, since the time of a fetch and the number of concurrent fetches are observed (AdapterLoadEstimator).
// Popularity halves in twenty seconds, in which an engine gets some hundred requests: long against the interval between two requests of an
// adapter worth keeping, short against a shift of demand. A new copy is not evicted before the requests that it was loaded for have had
// time to arrive.

struct AdapterPlanLimits
{
    /** A pending adapter that no plan has served for this long is offered to the plans in turn, to each for this long. */
    Duration rotationInterval { 60 };
    /** Time between two decisions while an adapter is pending that cannot be loaded yet, and while none is. */
    Duration pendingDecisionInterval { 25 };
    Duration idleDecisionInterval { 100 };
    /** Concurrent loads on one engine; the engines accept no more. */
    int maxLoadsPerEngine = 4;
    /** Delay before an order is repeated to an engine that is busy or still runs requests on the adapter to unload. */
    Duration retryDelay { 50 };
    /** The same after an order without an answer, when the engine may be down. */
    Duration noResponseRetryDelay { 400 };
    /** An engine that left an order unanswered gets no new copies for this long, and its copies count as unavailable. */
    Duration unresponsiveTime { 1000 };
    /** A base model that is not loaded after this long, on an engine that carries out no order, has failed to load. */
    Duration loadTimeout { 4000 };
    Duration popularityHalfLife = Duration::seconds(20);
    /** Minimum time between loading and evicting a copy. */
    Duration minResidenceTime { 500 };
    /** Interval between polls of an engine's report. */
    Duration reportInterval { 1000 };
    /** Orders younger than this may be missing from a report, since engines report late. */
    Duration reportLag { 600 };
    /** An order that has no answer after this time gets none. */
    Duration orderTimeout { 1000 };
    /** Concurrent loads of base models, each of which gets the full speed of the store. */
    int maxModelLoads = 2;
    /** Prompt tokens that an engine processes per millisecond; converts waiting prompts to time. */
    double promptTokensPerMs = 38;
    /** Time in ms that one running request adds to the wait of another: its share of a batch step. */
    double runningCostMs = 4;
    /** Cost of evicting a unit of popularity, in fetch times: the time of the reload times the probability that it is needed. */
    double evictionCost = 0.1;
    /**
     * What loading an adapter that the engine has cached saves, in fetch times: its own fetch, and the queueing of all others behind it.
     */
    double cachedGain = 2.8;
    /**
     * What loading on the adapter's preferred engine is worth, in fetch times, since that engine may have it cached without any node
     * knowing. Less than a known cache hit, but enough to outweigh some queued requests.
     */
    double preferredEngineGain = 0.6;
    /** How much of the wait for a first token another copy of an adapter must save, in fetch times. */
    double extraCopyGain = 1.2;
    /** The same at a full separation of long prompts and streams (EventGapMonitor). */
    double separatedExtraCopyGain = 0.4;
};

/** Send this order; the answer goes to onOrderAnswer(). */
struct SendOrder
{
    EngineOrder order;
};
/** Poll this engine for a report, which goes to onReport(). */
struct RequestEngineReport
{
    UpstreamId engine;
};
/** Send this engine residency to all nodes. */
struct AnnounceResidency
{
    EngineResidency residency;
};
using PlanAction = std::variant<SendOrder, RequestEngineReport, AnnounceResidency>;

/** The position of a plan in the rotation that serves pending adapters which no plan has served. */
struct PlanRotation
{
    /** Position among the plans that are active now, and their number. */
    std::size_t index = 0;
    std::size_t count = 1;
};

/** An engine as the plan sees it. */
struct PlannedEngine
{
    /** Only valid during setEngines(). */
    const UpstreamRecord *record = nullptr;
    const EngineSpec *spec = nullptr;
    double running = 0;
    double pendingTokens = 0;
    /** Fraction of its traffic that the engine can take: 0 when it fails, 1 when it is healthy. */
    double share = 1;
    /** This plan gives orders to the engine; other engines are known by their residencies. */
    bool isOwn = true;
    /** Some lease holder gives orders to it now. */
    bool hasHolder = true;
    /** Recent connections to it succeeded. */
    bool isReachable = true;
    /** How much prompts and streams of its service are to be kept apart, 0 to 1 (EventGapMonitor). */
    double separation = 0;
};

/** Decides which engine holds which adapters. Runs only on the node that holds the lease. Not thread-safe. */
class AdapterPlan
{
public:
    /**
     * @p fence: fencing token of the announced residencies. @p loads must outlive the plan and must be given the residencies of all
     * engines, those that this plan announces included.
     */
    AdapterPlan(AdapterPlanLimits limits, FencingToken fence, AdapterLoadEstimator &loads);
    ~AdapterPlan();

    /** Sets the present engines. @p residencies gives the residency of engines that are new to this plan. */
    void setEngines(const std::vector<PlannedEngine> &engines, const ResidencyTable &residencies, Time now);
    /** Sets this plan's position in the rotation over the plans of all shards. */
    void setRotation(PlanRotation rotation);
    /** Sets @p version as the newest version of @p adapter. */
    void setVersion(const AdapterRef &adapter, const AdapterVersion &version);
    /** Replaces what @p node runs and waits for. */
    void onUses(const NodeId &node, const std::vector<AdapterUse> &uses, Time now);
    /** Replaces what @p node waits for; what it runs stays as last reported. */
    void onPendingAdapters(const NodeId &node, const std::vector<AdapterUse> &pendingAdapters, Time now);
    void onOrderAnswer(const EngineOrder &order, OrderAnswer answer, Time now);
    /** @p polledAt: when the report was requested. */
    void onReport(const UpstreamId &engine, const EngineReport &report, Time polledAt);
    /** Returns the actions to carry out now. To be called after each event and at nextDecisionTime(). */
    std::vector<PlanAction> decide(Time now);
    /** When to call decide() again if no event comes before. */
    Time nextDecisionTime(Time now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
