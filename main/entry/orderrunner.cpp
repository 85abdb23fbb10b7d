#include "main/entry/orderrunner.h"

#include "platform/enginecalls.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

namespace
{

// A node without the lease checks this often whether it holds it.
constexpr Duration LeaseCheckInterval { 200 };
constexpr Duration ConnectTimeout { 300 };
// An order or report query without an answer after this time will get none; the plan sends another one.
constexpr Duration CallTimeout { 1000 };
constexpr Duration MaxConnectionIdle = Duration::seconds(10);
constexpr Duration AcknowledgeTimeout { 700 };
// Reports name the adapters of an engine.
constexpr std::size_t MaxAnswerBytes = std::size_t(1) << 20U;
// Pending adapters, answers and residencies that arrive within this time are handled by one decision. Each decision compares all pending
// adapters with all engines: one for each datagram would take half of a holder's CPU time and delay the answers to its callers.
constexpr Duration DecisionInterval { 8 };
// How often to check which shards have an active holder. The check counts the votes of all nodes, and a lease lasts much longer than this.
constexpr Duration HolderCheckInterval { 50 };
// Lease holders log their estimates for the weight store this often, so that a wait for an adapter can be explained afterwards.
constexpr Duration StoreLogInterval = Duration::seconds(5);
constexpr int OkStatus = 200;

const char *answerName(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::Done:
        return "done";
    case OrderAnswer::Busy:
        return "busy";
    case OrderAnswer::Fenced:
        return "fenced";
    case OrderAnswer::WrongEngine:
        return "wrong_engine";
    case OrderAnswer::Refused:
        return "refused";
    case OrderAnswer::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

/** An order to an engine whose answer is awaited. */
struct SentOrder
{
    EngineOrder order;
    FencingToken fence;
    Time sentAt;
    /** It repeats an order that was answered as done. */
    bool isConfirmed = false;
    AnswerConnection connection;
};

struct OrderRunner::Private : std::enable_shared_from_this<OrderRunner::Private>
{
    IoLoop &loop;
    EventLog &log;
    EntryMetrics &metrics;
    ClusterState &clusterState;
    FleetLink &fleet;
    EngineShard shard;
    NodeId self;
    std::function<std::vector<AdapterUse>()> ownUses;
    UpstreamStatements statements;
    std::unique_ptr<AdapterPlan> plan;
    FencingToken fence;
    bool isDecisionDue = false;
    Time decidedAt;
    Time storeLoggedAt;
    TimerId timer = 0;
    /** By shard: whether a node gives orders to its engines, as of @a holdersCheckedAt. */
    std::vector<bool> hasActiveHolder;
    Time holdersCheckedAt;

    Private(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, FleetLink &fleet, EngineShard shard,
        NodeId self, std::function<std::vector<AdapterUse>()> ownUses)
        : loop(loop)
        , log(log)
        , metrics(metrics)
        , clusterState(clusterState)
        , fleet(fleet)
        , shard(shard)
        , self(std::move(self))
        , ownUses(std::move(ownUses))
        , statements(log, metrics, clusterState)
    {
    }

    Time now() const
    {
        return loop.now();
    }
    /** Whether the engine wants nothing from this node now. */
    bool isAtRest(const UpstreamRecord &record) const
    {
        return now() < clusterState.upstreamRests.restsUntil(record);
    }
    void tick();
    void decide();
    void decideSoon();
    bool updateLease();
    void logStoreEstimates();
    PlanRotation rotation() const;
    void updateActiveHolders();
    std::vector<PlannedEngine> engines() const;
    void execute(const PlanAction &action, std::vector<EngineResidency> &residencies);
    void sendOrder(const EngineOrder &order, bool isConfirmed = false);
    void onAnswer(const SentOrder &sent, const CallResult &result);
    void requestReport(const UpstreamId &engine);
    HttpCall makeCall(const UpstreamRecord &record, std::string_view path);
    bool needsConfirmation(const SentOrder &sent, OrderAnswer answer) const;
    bool acceptsHead(const UpstreamRecord &record, const Platform::UpstreamAnswer &answer, const AnswerConnection &connection) const;
};

void OrderRunner::Private::tick()
{
    decide();
    const Duration pause = plan != nullptr ? plan->nextDecisionTime(now()) - now() : LeaseCheckInterval;
    loop.cancel(timer);
    timer = loop.after(pause, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
}

// Each plan belongs to one lease: it starts when this node may give orders and ends when the lease is lost. Returns whether it may now.
bool OrderRunner::Private::updateLease()
{
    const auto token = fleet.lease(shard).mayOrder(now());
    if (!token) {
        if (plan != nullptr) {
            log.write(EventLog::Severity::Important, "orders", "stopped",
                { { "shard", std::int64_t(shard.value()) }, { "fence", static_cast<std::int64_t>(fence.value()) } });
            clusterState.loadEstimator.clearPendingFetches();
        }
        plan.reset();
        return false;
    }
    if (plan == nullptr || fence != *token) {
        fence = *token;
        plan = std::make_unique<AdapterPlan>(AdapterPlanLimits {}, fence, clusterState.loadEstimator);
        log.write(EventLog::Severity::Important, "orders", "started",
            { { "shard", std::int64_t(shard.value()) }, { "fence", static_cast<std::int64_t>(fence.value()) } });
    }
    return true;
}

void OrderRunner::Private::updateActiveHolders()
{
    if (!hasActiveHolder.empty() && now() - holdersCheckedAt < HolderCheckInterval) {
        return;
    }
    holdersCheckedAt = now();
    hasActiveHolder.clear();
    for (std::uint64_t other = 0; other < fleet.shards().count(); ++other) {
        hasActiveHolder.push_back(EngineShard(other) == shard || fleet.lease(EngineShard(other)).ordersIn(now()) == Duration(0));
    }
}

std::vector<PlannedEngine> OrderRunner::Private::engines() const
{
    std::vector<PlannedEngine> result;
    if (clusterState.routes == nullptr) {
        return result;
    }
    for (const RoutedService &service : clusterState.routes->services()) {
        if (!service.engine) {
            continue;
        }
        const bool areInNeedAvoided = clusterState.areEnginesInNeedAvoided(service.name, now());
        for (const UpstreamRecord *record : clusterState.upstreams.usable(service.name)) {
            const EngineShard owner = fleet.shards().shardOf(*record);
            if (!fleet.arePlannedTogether(owner, shard)) {
                continue;
            }
            const FleetLoad load = clusterState.loadTracker.load(record->id, now());
            const bool hasHolder = hasActiveHolder[owner.value()];
            const bool isAvoided = areInNeedAvoided && clusterState.isInNeed(*record, now());
            const double share = isAvoided ? 0 : clusterState.outliers.share(record->id, now());
            result.push_back(PlannedEngine { record, &*service.engine, load.running, load.pendingTokens, share, owner == shard, hasHolder,
                clusterState.outliers.isReachable(record->id, now()), clusterState.eventGaps.separation(service.name) });
        }
    }
    return result;
}

void OrderRunner::Private::decideSoon()
{
    if (plan == nullptr || isDecisionDue) {
        return;
    }
    isDecisionDue = true;
    loop.after(std::max(decidedAt + DecisionInterval - now(), Duration(0)), [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self != nullptr && self->isDecisionDue) {
            self->tick();
        }
    });
}

void OrderRunner::Private::logStoreEstimates()
{
    if (now() - storeLoggedAt < StoreLogInterval) {
        return;
    }
    storeLoggedAt = now();
    const AdapterLoadEstimator &loads = clusterState.loadEstimator;
    log.write(EventLog::Severity::Important, "orders", "store",
        { { "shard", std::int64_t(shard.value()) }, { "fetches", std::int64_t(loads.fetchesInFlight()) },
            { "fetchesAtOnce", std::int64_t(loads.maxConcurrentFetches()) }, { "shortestMs", loads.minFetchTime().milliseconds() },
            { "usualMs", loads.firstPollDelay(false).milliseconds() }, { "atHandMs", loads.firstPollDelay(true).milliseconds() } });
}

PlanRotation OrderRunner::Private::rotation() const
{
    PlanRotation result { 0, 0 };
    for (std::uint64_t other = 0; other < hasActiveHolder.size(); ++other) {
        if (!fleet.arePlannedTogether(EngineShard(other), shard)) {
            continue;
        }
        if (EngineShard(other) == shard) {
            result.index = result.count;
        }
        result.count += hasActiveHolder[other] ? 1 : 0;
    }
    return result;
}

void OrderRunner::Private::decide()
{
    isDecisionDue = false;
    if (!updateLease()) {
        return;
    }
    decidedAt = now();
    updateActiveHolders();
    plan->setEngines(engines(), clusterState.residencies, now());
    plan->setRotation(rotation());
    for (const auto &[adapter, known] : clusterState.versions) {
        plan->setVersion(adapter, known.version);
    }
    plan->onUses(self, ownUses(), now());
    logStoreEstimates();
    std::vector<EngineResidency> residencies;
    for (const PlanAction &action : plan->decide(now())) {
        execute(action, residencies);
    }
    if (!residencies.empty()) {
        fleet.announce(residencies);
    }
}

void OrderRunner::Private::execute(const PlanAction &action, std::vector<EngineResidency> &residencies)
{
    std::visit(Overloaded {
                   [this](const SendOrder &sendOrder) { this->sendOrder(sendOrder.order); },
                   [this](const RequestEngineReport &request) { requestReport(request.engine); },
                   [&residencies](const AnnounceResidency &announce) { residencies.push_back(announce.residency); },
               },
        action);
}

HttpCall OrderRunner::Private::makeCall(const UpstreamRecord &record, std::string_view path)
{
    HttpCall call;
    call.url = "http://" + record.address + std::string(path);
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = CallTimeout;
    call.maxConnectionIdle = MaxConnectionIdle;
    call.acknowledgeTimeout = AcknowledgeTimeout;
    call.maxBodyBytes = MaxAnswerBytes;
    call.isSentOnce = true;
    call.acceptsHead = [weak = weak_from_this(), record](int status, const HttpHeaders &headers, const AnswerConnection &connection) {
        const auto self = weak.lock();
        return self != nullptr && self->acceptsHead(record, Platform::decodeUpstreamAnswer(status, headers), connection);
    };
    call.onHead = [weak = weak_from_this(), record, sentAt = now()](int status, const HttpHeaders &headers) {
        if (const auto self = weak.lock()) {
            self->statements.onAnswer(record, Platform::decodeUpstreamAnswer(status, headers), sentAt, self->now());
        }
    };
    return call;
}

// Answers to orders and reports bear no id and no seal. What does, or refuses on a connection that has carried other calls, may be a late
// answer to a request.
bool OrderRunner::Private::acceptsHead(
    const UpstreamRecord &record, const Platform::UpstreamAnswer &answer, const AnswerConnection &connection) const
{
    const bool isOfRequest = !answer.requestId.empty() || answer.isSealed;
    if (!isOfRequest && (!answer.isNotRun || connection.earlierCalls == 0)) {
        return true;
    }
    log.write(EventLog::Severity::Important, "orders", "foreign_answer",
        { { "engine", record.id.value() }, { "answered", answer.requestId }, { "status", std::int64_t(answer.status) },
            { "earlierCalls", std::int64_t(connection.earlierCalls) } });
    return false;
}

// The place of an adapter that is wrongly taken for unloaded would be filled twice, and the engine fail. A late second answer to an earlier
// order looks like the answer to this one, which then follows in the turn of the repeated order.
bool OrderRunner::Private::needsConfirmation(const SentOrder &sent, OrderAnswer answer) const
{
    const bool isUnloaded = sent.order.kind == EngineOrder::Kind::Unload && answer == OrderAnswer::Done;
    return isUnloaded && !sent.isConfirmed && sent.connection.earlierCalls > 0;
}

void OrderRunner::Private::sendOrder(const EngineOrder &order, bool isConfirmed)
{
    const UpstreamRecord *record = clusterState.upstreams.usable(order.engine);
    const FencingToken callFence = fence;
    if (record == nullptr) {
        plan->onOrderAnswer(order, OrderAnswer::WrongEngine, now());
        return;
    }
    if (isAtRest(*record)) {
        plan->onOrderAnswer(order, OrderAnswer::Busy, now());
        return;
    }
    HttpCall call = makeCall(*record, Platform::orderPath());
    call.method = "POST";
    call.headers = Platform::orderHeaders(order);
    call.body = Platform::orderBody(order, Platform::OrderAuthority { self, callFence });
    // The lease may have been lost since the decision, if this node was suspended or cut off. The loop's time may be older than that, so
    // this reads the clock.
    call.maySend = [weak = weak_from_this(), callFence] {
        const auto self = weak.lock();
        return self != nullptr && self->fleet.lease(self->shard).mayOrder(self->loop.clock().now()) == callFence;
    };
    const auto sent = std::make_shared<SentOrder>(SentOrder { order, callFence, now(), isConfirmed, {} });
    call.acceptsHead = [sent, accepts = std::move(call.acceptsHead)](
                           int status, const HttpHeaders &headers, const AnswerConnection &connection) {
        sent->connection = connection;
        return accepts(status, headers, connection);
    };
    call.onDone = [weak = weak_from_this(), sent](const CallResult &result) {
        if (const auto self = weak.lock()) {
            self->onAnswer(*sent, result);
        }
    };
    loop.client().start(std::move(call));
}

void OrderRunner::Private::onAnswer(const SentOrder &sent, const CallResult &result)
{
    const EngineOrder &order = sent.order;
    const OrderAnswer answer = result.state == AttemptState::Answered ? Platform::decodeOrderAnswer(result.status) : OrderAnswer::Unknown;
    log.write(EventLog::Severity::Routine, "orders", "answered",
        { { "engine", order.engine.value() }, { "adapter", order.adapter.value() }, { "version", order.version.value() },
            { "load", order.kind == EngineOrder::Kind::Load }, { "status", std::int64_t(result.status) }, { "error", result.detail },
            { "tookMs", (now() - sent.sentAt).milliseconds() } });
    metrics.order(answerName(answer));
    if (plan != nullptr && sent.fence == fence) {
        if (needsConfirmation(sent, answer)) {
            sendOrder(order, true);
            return;
        }
        plan->onOrderAnswer(order, answer, now());
        decideSoon();
    }
}

void OrderRunner::Private::requestReport(const UpstreamId &engine)
{
    const UpstreamRecord *record = clusterState.upstreams.usable(engine);
    if (record == nullptr || isAtRest(*record)) {
        return; // The next report is requested in a second.
    }
    HttpCall call = makeCall(*record, Platform::reportPath());
    call.headers = Platform::reportHeaders(engine);
    auto body = std::make_shared<std::string>();
    call.onData = [body](std::string_view data) {
        body->append(data);
        return true;
    };
    call.onDone = [weak = weak_from_this(), body, engine, callFence = fence, requestedAt = now()](const CallResult &result) {
        const auto self = weak.lock();
        if (self == nullptr || self->plan == nullptr || callFence != self->fence) {
            return;
        }
        if (result.state != AttemptState::Answered || result.status != OkStatus) {
            return; // The next report is requested in a second; requests show an engine's failure sooner.
        }
        const auto report = Platform::decodeReport(*body);
        if (!report.isOk()) {
            self->log.write(EventLog::Severity::Important, "orders", "bad_report",
                { { "engine", engine.value() }, { "reason", report.error().detail } });
            return;
        }
        self->plan->onReport(engine, report.value(), requestedAt);
    };
    loop.client().start(std::move(call));
}

OrderRunner::OrderRunner(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, FleetLink &fleet,
    const NodeId &self, const std::function<std::vector<AdapterUse>()> &ownUses)
{
    for (std::uint64_t shard = 0; shard < fleet.shards().count(); ++shard) {
        m_shards.push_back(std::make_shared<Private>(loop, log, metrics, clusterState, fleet, EngineShard(shard), self, ownUses));
    }
}

OrderRunner::~OrderRunner() = default;

void OrderRunner::start()
{
    for (const auto &shard : m_shards) {
        shard->tick();
    }
}

void OrderRunner::onUses(const NodeId &node, const std::vector<AdapterUse> &uses)
{
    for (const auto &shard : m_shards) {
        if (shard->plan != nullptr) {
            shard->plan->onUses(node, uses, shard->now());
        }
    }
}

void OrderRunner::onPendingAdapters(const NodeId &node, const std::vector<AdapterUse> &pendingAdapters)
{
    for (const auto &shard : m_shards) {
        if (shard->plan != nullptr) {
            shard->plan->onPendingAdapters(node, pendingAdapters, shard->now());
            shard->decideSoon();
        }
    }
}

void OrderRunner::decideSoon()
{
    for (const auto &shard : m_shards) {
        shard->decideSoon();
    }
}

} // namespace ApricotStep
