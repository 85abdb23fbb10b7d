#include "main/entry/requestforwarder.h"

#include "coordination/ratemeter.h"
#include "coordination/retrybudget.h"
#include "main/entry/crashguard.h"
#include "main/entry/refusal.h"
#include "main/entry/requestjob.h"
#include "main/entry/upstreamprober.h"
#include "platform/requests.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ApricotStep
{

namespace
{

// A node that has no configuration yet receives one within a few round trips.
constexpr Duration RetryAfterNotReady { 300 };
// Retry-After of a node that cannot accept keys: another node serves the request at once, if one can accept them.
constexpr Duration RetryAfterOutdatedKeys { 50 };
constexpr Duration RetryAfterKeysUnavailable { 500 };
// Retry-After of a node that reaches no issuer of a team's credit: about half of the time in which another node takes a lost lease.
constexpr Duration RetryAfterNoIssuer { 600 };
// How long an adapter is reported as crowded after the last observation: two message intervals between nodes.
constexpr Duration CrowdedLifetime { 500 };
// Callers keep the addresses of nodes for two seconds, so a shorter memory would follow what they cannot.
constexpr Duration ArrivalRateMemory = Duration::seconds(2);
// Nodes answer within a round trip. One that does not is gone, frozen or cut off, and the caller can ask another node.
constexpr Duration StreamLookupTimeout { 150 };
// Upstreams may answer for some time after their entries are gone. One that has sent nothing for so long may have ended.
constexpr Duration SilenceOfLapsed = Duration::seconds(1);
// Fraction of its share of the fleet-wide retry budget that a node uses. Other nodes may count fewer nodes than there are and use more than
// their share.
constexpr double BudgetSafetyFactor = 0.6;

} // namespace

namespace
{

/** A request that this node may serve, before it is known whether it is within its team's limit. */
struct PendingRequest
{
    HttpRequest request;
    Platform::CallerRequest decoded;
    std::shared_ptr<const RouteTable> table;
    const Route *route = nullptr;
    const Team *team = nullptr;
    /** In units of the team's limit. */
    double cost = 0;
    std::shared_ptr<HttpExchange> exchange;
    Time arrivedAt;
    RequestSource source = RequestSource::Caller;
    /** Where the stream began that the request continues, if another node has found out. */
    std::optional<StreamOrigin> origin;
};

/** Requests that wait for other nodes to tell where a stream began. */
struct StreamLookup
{
    std::vector<std::weak_ptr<RequestJob>> jobs;
    /** Nodes that have not answered. */
    int unanswered = 0;
    TimerId timer = 0;
};

} // namespace

struct RequestForwarder::Private final : RequestContext, std::enable_shared_from_this<RequestForwarder::Private>
{
    IoLoop &m_loop;
    EventLog &m_log;
    EntryMetrics &m_metrics;
    ClusterState &m_clusterState;
    UpstreamStatements m_statements;
    ForwarderSettings m_settings;
    AnswerMemory m_answerMemory;
    AnswerDelivery m_answerDelivery;
    ForwarderCallbacks m_callbacks;
    std::mt19937_64 m_random { std::random_device {}() };
    std::map<std::uint64_t, std::shared_ptr<RequestJob>> jobs;
    std::uint64_t lastJob = 0;
    std::map<ServiceName, RetryBudget> budgets;
    /** Adapters whose copies all have long queues, with the time of the last such observation. */
    std::map<AdapterRef, Time> crowdedAdapters;

    /** Requests that wait for the decision whether they are within their team's limit. */
    std::map<AdmissionId, std::shared_ptr<PendingRequest>> pendingRequests;
    std::uint64_t lastAdmission = 0;
    RateMeter arrivals { ArrivalRateMemory };
    CreditLimiter limiter;
    CreditLimiter upstreamLimiter;
    ReachabilityProber prober;
    CrashGuard guard;
    UpstreamProber upstreamProber;
    /** Jobs that wait for a part of an upstream's limit. */
    std::map<AdmissionId, std::weak_ptr<RequestJob>> reservingJobs;
    std::map<StreamQuery, StreamLookup> streamLookups;

    Private(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, ForwarderSettings settings,
        ForwarderCallbacks callbacks)
        : m_loop(loop)
        , m_log(log)
        , m_metrics(metrics)
        , m_clusterState(clusterState)
        , m_statements(log, metrics, clusterState)
        , m_settings(std::move(settings))
        , m_answerMemory(m_settings.answers.maxMemoryBytes)
        , m_answerDelivery(loop, log, metrics, m_answerMemory)
        , m_callbacks(std::move(callbacks))
        , limiter(loop, m_settings.teamCredit, teamLimiterCallbacks())
        , upstreamLimiter(loop, m_settings.upstreamCredit, upstreamLimiterCallbacks())
        , prober(loop, log, metrics, clusterState, [this] { retryPlacements(); })
        , guard(loop, log, metrics, clusterState, m_settings.upstreamLapseTime,
              CrashGuard::Callbacks { m_callbacks.onQuarantineNews, m_callbacks.trialRank })
        , upstreamProber(loop, log, metrics, clusterState, m_settings.zone, upstreamProberCallbacks())
    {
        if (m_settings.placement.weighsDelays) {
            clusterState.loadTracker.trackPrefill();
        }
    }

    IoLoop &loop() override
    {
        return m_loop;
    }
    EventLog &log() override
    {
        return m_log;
    }
    EntryMetrics &metrics() override
    {
        return m_metrics;
    }
    UpstreamStatements &upstreamStatements() override
    {
        return m_statements;
    }
    ReachabilityProber &reachabilityProber() override
    {
        return prober;
    }
    CrashGuard &crashGuard() override
    {
        return guard;
    }
    AnswerMemory &answerMemory() override
    {
        return m_answerMemory;
    }
    AnswerDelivery &answerDelivery() override
    {
        return m_answerDelivery;
    }
    void freeAnswerMemory() override;
    /** Callers may have read more since their answers last grew. */
    void refreshUnread();
    ClusterState &clusterState() override
    {
        return m_clusterState;
    }
    const ForwarderSettings &settings() const override
    {
        return m_settings;
    }
    const ForwarderCallbacks &callbacks() const override
    {
        return m_callbacks;
    }
    std::mt19937_64 &random() override
    {
        return m_random;
    }
    RetryBudgetLimits budgetLimits() const;
    RetryBudget &budget(const ServiceName &service);
    bool takeRetry(const ServiceName &service) override;
    void reportFirstArrival(const ServiceName &service) override;
    void reportCrowded(const AdapterRef &adapter) override;
    void reportFull(const UpstreamRecord &upstream) override;
    void onEnded(std::uint64_t job) override;
    /** The attempts in progress at upstreams that @p isWanted chooses. */
    std::vector<WaitingAttempt> waitingAttempts();
    UpstreamProber::Callbacks upstreamProberCallbacks();
    std::vector<UnansweredRequest> attempts(const std::function<bool(const UnansweredRequest &)> &isWanted) const;

    CreditLimiter::Callbacks limiterCallbacks() const;
    CreditLimiter::Callbacks teamLimiterCallbacks();
    CreditLimiter::Callbacks upstreamLimiterCallbacks();
    std::optional<Admission> reserve(const UpstreamRecord &upstream, const std::shared_ptr<RequestJob> &job, AdmissionId &id) override;
    void cancelReservation(const UpstreamRecord &upstream, AdmissionId id) override;
    void returnReservation(const UpstreamRecord &upstream, Time reservedAt) override;
    void lookUpOrigin(const StreamQuery &query, const std::shared_ptr<RequestJob> &job) override;
    void endLookup(const StreamQuery &query, const std::optional<StreamOrigin> &origin);
    void admit(const std::shared_ptr<PendingRequest> &pending);
    void onDecided(const std::shared_ptr<PendingRequest> &pending, const Admission &admission);
    void startJob(PendingRequest &pending, Time admittedAt);
    void giveBackCredit(const Team &team, double cost, Time admittedAt) override;
    void refuseBeyondLimit(const PendingRequest &pending, ErrorKind kind, Duration retryAfter);
    void refuse(HttpExchange &exchange, const std::string &id, ErrorKind kind, const std::string &detail);
    /** Refuses a request that no route of the active configuration accepts, or that would outlive this process; then the result is null. */
    const Route *acceptHead(const Platform::CallerRequest &decoded, HttpExchange &exchange);
    /** Like acceptHead(), for a whole request. */
    std::shared_ptr<PendingRequest> accept(HttpRequest request, std::shared_ptr<HttpExchange> exchange);
    /** A copy, since a job may end while it is told something, which changes the list. */
    std::vector<std::shared_ptr<RequestJob>> currentJobs() const;
    void retryPlacements();
    Result<const Team *> authenticate(const Platform::CallerRequest &decoded, const RouteTable &table, const Route &route) const;
    void refuseKey(HttpExchange &exchange, const Platform::CallerRequest &decoded, const Route &route, const Error &error);
};

// Divides the fleet-wide budget by the number of nodes known now. A node that has just started knows few nodes of a large fleet. With a
// share fixed at that moment, each of a hundred nodes restarted together would take a quarter of the whole budget.
RetryBudgetLimits RequestForwarder::Private::budgetLimits() const
{
    const double nodes = std::max(m_callbacks.nodeCount(), 1);
    RetryBudgetLimits limits;
    limits.share = m_settings.retryShare * BudgetSafetyFactor;
    limits.reserve = std::max(m_settings.retryReserve * BudgetSafetyFactor / nodes, 1.0);
    limits.minRetriesPerSecond = limits.reserve / m_settings.retryWindow.toSeconds() / 2;
    return limits;
}

RetryBudget &RequestForwarder::Private::budget(const ServiceName &service)
{
    const Time now = m_loop.now();
    const RetryBudgetLimits limits = budgetLimits();
    const auto [it, isNew] = budgets.emplace(service, RetryBudget(limits, now));
    if (!isNew) {
        it->second.setLimits(limits, now);
    }
    return it->second;
}

bool RequestForwarder::Private::takeRetry(const ServiceName &service)
{
    return budget(service).take(m_loop.now());
}

void RequestForwarder::Private::reportFirstArrival(const ServiceName &service)
{
    budget(service).onSuccess(m_loop.now());
}

void RequestForwarder::Private::reportCrowded(const AdapterRef &adapter)
{
    crowdedAdapters[adapter] = m_loop.now();
}

void RequestForwarder::Private::reportFull(const UpstreamRecord &upstream)
{
    if (m_clusterState.brittleUpstreams.onRefusal(upstream, m_loop.clock().now())) {
        m_metrics.brittleRefusal();
        m_log.write(EventLog::Severity::Important, "upstream", "brittle_refusal", { { "upstream", upstream.id.value() } });
        m_callbacks.onBrittleRefusal();
    }
}

void RequestForwarder::Private::onEnded(std::uint64_t job)
{
    // Deferred, since a function of the job is still running.
    m_loop.after(Duration(0), [weak = weak_from_this(), job] {
        if (const auto self = weak.lock()) {
            self->jobs.erase(job);
        }
    });
}

void RequestForwarder::Private::refreshUnread()
{
    for (const auto &[number, job] : jobs) {
        job->accountUnread();
    }
    m_answerDelivery.refresh();
}

void RequestForwarder::Private::freeAnswerMemory()
{
    refreshUnread();
    while (const auto number = m_answerMemory.answerToEnd()) {
        const auto job = jobs.find(*number);
        if (!m_answerDelivery.end(*number) && job != jobs.end()) {
            job->second->endSlowReader();
        }
        m_answerMemory.setUnread(*number, 0);
    }
}

void RequestForwarder::Private::refuse(HttpExchange &exchange, const std::string &id, ErrorKind kind, const std::string &detail)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    const Duration retryAfter = answer.retry != RetryAdvice::Never ? RetryAfterNotReady : Duration(0);
    ApricotStep::refuse(exchange, kind, { retryAfter, m_callbacks.isLeaving() });
    m_log.write(EventLog::Severity::Important, "request", "refused",
        { { "request", id }, { "reason", std::string(answer.code) }, { "detail", detail } });
}

// Returns the team of the caller, null if it needs none. On a public route a known key still names its team.
Result<const Team *> RequestForwarder::Private::authenticate(
    const Platform::CallerRequest &decoded, const RouteTable &table, const Route &route) const
{
    const KeyDigest *key = std::get_if<KeyDigest>(&decoded.key);
    const Team *team = table.requiresKeys() && key != nullptr ? table.teamOf(*key) : nullptr;
    if (!table.requiresKeys() || route.isPublic) {
        return team;
    }
    if (!m_settings.revocationBound.allowsKeys(m_clusterState.routesKnownAt, m_loop.clock().now())) {
        return Error { ErrorKind::KeysOutdated, "" };
    }
    if (team == nullptr) {
        return Error { ErrorKind::Unauthenticated,
            std::holds_alternative<Platform::NoKey>(decoded.key) ? "no key"
                : key == nullptr                                 ? "the credentials are not one key"
                                                                 : "unknown key" };
    }
    return team;
}

void RequestForwarder::Private::refuseKey(
    HttpExchange &exchange, const Platform::CallerRequest &decoded, const Route &route, const Error &error)
{
    Duration retryAfter;
    if (error.kind == ErrorKind::KeysOutdated) {
        retryAfter = m_callbacks.canOthersAcceptKeys() ? RetryAfterOutdatedKeys : RetryAfterKeysUnavailable;
    }
    ApricotStep::refuse(exchange, error.kind, { retryAfter, m_callbacks.isLeaving() });
    m_metrics.keyRefused(errorAnswer(error.kind).code);
    m_log.write(EventLog::Severity::Important, "request", "refused",
        { { "request", decoded.id }, { "reason", std::string(errorAnswer(error.kind).code) }, { "detail", error.detail },
            { "route", route.name }, { "configVersion", std::int64_t(m_clusterState.routes->version().value()) },
            { "configAgeMs", (m_loop.clock().now() - m_clusterState.routesKnownAt).milliseconds() } });
}

CreditLimiter::Callbacks RequestForwarder::Private::limiterCallbacks() const
{
    CreditLimiter::Callbacks result;
    result.sendQueries = [this](const std::vector<CreditQuery> &queries) { return m_callbacks.sendCreditQueries(queries); };
    result.fleetSize = [this] { return m_callbacks.fleetSize(); };
    result.onCredit = [](const CreditAccount &, std::string_view, double) {};
    return result;
}

CreditLimiter::Callbacks RequestForwarder::Private::teamLimiterCallbacks()
{
    CreditLimiter::Callbacks result = limiterCallbacks();
    result.limitOf = [this](const CreditAccount &account) {
        const Team *team = m_clusterState.routes != nullptr ? m_clusterState.routes->team(TeamName(account.name)) : nullptr;
        return team != nullptr ? std::optional(AccountLimit { team->limit }) : std::nullopt;
    };
    result.onCredit = [this](const CreditAccount &account, std::string_view what, double amount) {
        m_metrics.teamCredit(TeamName(account.name), what, amount);
    };
    result.onDecided = [this](AdmissionId id, const Admission &admission) {
        const auto at = pendingRequests.find(id);
        if (at != pendingRequests.end()) {
            const auto pending = at->second;
            pendingRequests.erase(at);
            onDecided(pending, admission);
        }
    };
    return result;
}

CreditLimiter::Callbacks RequestForwarder::Private::upstreamLimiterCallbacks()
{
    CreditLimiter::Callbacks result = limiterCallbacks();
    result.limitOf = [this](const CreditAccount &account) {
        const auto limit = m_clusterState.issuedRequestLimit(UpstreamId(account.name), account.startedAt);
        return std::optional(AccountLimit { limit ? std::optional(upstreamCreditLimit(*limit)) : std::nullopt });
    };
    result.onDecided = [this](AdmissionId id, const Admission &admission) {
        const auto at = reservingJobs.find(id);
        if (at != reservingJobs.end()) {
            const auto job = at->second.lock();
            reservingJobs.erase(at);
            if (job != nullptr) {
                job->onReserved(admission);
            }
        }
    };
    return result;
}

std::optional<Admission> RequestForwarder::Private::reserve(
    const UpstreamRecord &upstream, const std::shared_ptr<RequestJob> &job, AdmissionId &id)
{
    const auto limit = m_clusterState.requestLimit(upstream, m_loop.now());
    if (!limit) {
        return Admitted {};
    }
    id = AdmissionId(++lastAdmission);
    const auto admission = upstreamLimiter.admit(id, accountOf(upstream.id, upstream.startedAt), upstreamCreditLimit(*limit), 1);
    if (!admission) {
        reservingJobs.emplace(id, job);
    }
    return admission;
}

void RequestForwarder::Private::cancelReservation(const UpstreamRecord &upstream, AdmissionId id)
{
    reservingJobs.erase(id);
    upstreamLimiter.cancel(accountOf(upstream.id, upstream.startedAt), id);
}

void RequestForwarder::Private::returnReservation(const UpstreamRecord &upstream, Time reservedAt)
{
    upstreamLimiter.giveBack(accountOf(upstream.id, upstream.startedAt), 1, reservedAt);
}

// Decides first whether the request is within its team's limit, so that none that is not takes a place in a queue, a load or a connection.
void RequestForwarder::Private::admit(const std::shared_ptr<PendingRequest> &pending)
{
    if (pending->team == nullptr || !pending->team->limit) {
        startJob(*pending, pending->arrivedAt);
        return;
    }
    pending->cost = requestCost(*pending->team->limit, pending->decoded.tokens);
    const AdmissionId id(++lastAdmission);
    if (const auto admission = limiter.admit(id, accountOf(pending->team->name), *pending->team->limit, pending->cost)) {
        onDecided(pending, *admission);
        return;
    }
    pendingRequests.emplace(id, pending);
    pending->exchange->onCallerGone([weak = weak_from_this(), id, team = pending->team->name] {
        if (const auto self = weak.lock()) {
            self->limiter.cancel(accountOf(team), id);
            self->pendingRequests.erase(id);
        }
    });
}

void RequestForwarder::Private::onDecided(const std::shared_ptr<PendingRequest> &pending, const Admission &admission)
{
    std::visit(Overloaded {
                   [&](const Admitted &) {
                       m_metrics.teamRequest(pending->team->name, "admitted");
                       m_metrics.teamCredit(pending->team->name, "spent", pending->cost);
                       startJob(*pending, m_loop.clock().now());
                   },
                   [&](const BeyondLimit &refusal) {
                       m_metrics.teamRequest(pending->team->name, "beyond_limit");
                       refuseBeyondLimit(*pending, ErrorKind::LimitExceeded, refusal.retryAfter);
                   },
                   [&](const IssuerUnreachable &) {
                       m_metrics.teamRequest(pending->team->name, "issuer_unreachable");
                       refuseBeyondLimit(*pending, ErrorKind::LimitUnknown, RetryAfterNoIssuer);
                   },
               },
        admission);
}

void RequestForwarder::Private::refuseBeyondLimit(const PendingRequest &pending, ErrorKind kind, Duration retryAfter)
{
    ApricotStep::refuse(*pending.exchange, kind, { retryAfter, m_callbacks.isLeaving() });
    m_log.write(EventLog::Severity::Important, "request", "refused",
        { { "request", pending.decoded.id }, { "reason", std::string(errorAnswer(kind).code) }, { "team", pending.team->name.value() },
            { "route", pending.route->name }, { "configVersion", std::int64_t(pending.table->version().value()) }, { "cost", pending.cost },
            { "retryAfterMs", retryAfter.milliseconds() } });
}

void RequestForwarder::Private::startJob(PendingRequest &pending, Time admittedAt)
{
    const std::uint64_t number = ++lastJob;
    const RequestTeam team { pending.team, pending.cost, admittedAt };
    auto job = std::make_shared<RequestJob>(*this, number, std::move(pending.request), std::move(pending.decoded), pending.table,
        *pending.route, team, std::move(pending.exchange), pending.arrivedAt, pending.source);
    jobs.emplace(number, job);
    if (pending.origin) {
        job->bindTo(*pending.origin);
    }
    job->start();
}

void RequestForwarder::Private::giveBackCredit(const Team &team, double cost, Time admittedAt)
{
    limiter.giveBack(accountOf(team.name), cost, admittedAt);
}

RequestForwarder::RequestForwarder(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState,
    ForwarderSettings settings, ForwarderCallbacks callbacks)
    : d(std::make_shared<Private>(loop, log, metrics, clusterState, std::move(settings), std::move(callbacks)))
{
}

RequestForwarder::~RequestForwarder() = default;

const Route *RequestForwarder::Private::acceptHead(const Platform::CallerRequest &decoded, HttpExchange &exchange)
{
    const auto table = m_clusterState.routes;
    if (table == nullptr) {
        refuse(exchange, decoded.id, ErrorKind::NotReady, "no configuration received yet");
        return nullptr;
    }
    if (decoded.id.empty()) {
        refuse(exchange, decoded.id, ErrorKind::BadRequest, "missing request id");
        return nullptr;
    }
    if (decoded.hasInvalidModel) {
        refuse(exchange, decoded.id, ErrorKind::BadRequest, "the name of the model is no UTF-8");
        return nullptr;
    }
    const Route *route = table->find(decoded.host, decoded.path);
    if (route == nullptr) {
        refuse(exchange, decoded.id, ErrorKind::NotFound,
            "host " + decoded.host + ", path " + decoded.path + ", version " + std::to_string(table->version().value()));
        return nullptr;
    }
    if (!m_callbacks.canAccept(decoded.timeAllowed(route->timeout))) {
        refuse(exchange, decoded.id, ErrorKind::Draining, "the request might not end before this process exits");
        return nullptr;
    }
    return route;
}

std::shared_ptr<PendingRequest> RequestForwarder::Private::accept(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    arrivals.onEvent(m_loop.now());
    Platform::CallerRequest decoded = Platform::decodeCallerRequest(request);
    const Route *route = acceptHead(decoded, *exchange);
    if (route == nullptr) {
        return nullptr;
    }
    const auto table = m_clusterState.routes;
    if (request.body.size() > table->limits().bodyBytes) {
        refuse(*exchange, decoded.id, ErrorKind::RequestTooLarge, std::to_string(request.body.size()) + " bytes");
        return nullptr;
    }
    return std::make_shared<PendingRequest>(
        PendingRequest { std::move(request), std::move(decoded), table, route, nullptr, 0, std::move(exchange), m_loop.now() });
}

std::optional<BodyTerms> RequestForwarder::admitBody(const HttpRequest &head, HttpExchange &exchange, RequestSource source)
{
    const Platform::CallerRequest decoded = Platform::decodeCallerRequest(head);
    const Route *route = d->acceptHead(decoded, exchange);
    if (route == nullptr) {
        return std::nullopt;
    }
    const RouteTable &table = *d->m_clusterState.routes;
    const auto team = source == RequestSource::Caller ? d->authenticate(decoded, table, *route) : Result<const Team *>(nullptr);
    if (!team.isOk()) {
        d->refuseKey(exchange, decoded, *route, team.error());
        return std::nullopt;
    }
    return BodyTerms { table.limits().bodyBytes, decoded.timeAllowed(route->timeout) };
}

void RequestForwarder::onRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    const auto pending = d->accept(std::move(request), std::move(exchange));
    if (pending == nullptr) {
        return;
    }
    const auto team = d->authenticate(pending->decoded, *pending->table, *pending->route);
    if (!team.isOk()) {
        d->refuseKey(*pending->exchange, pending->decoded, *pending->route, team.error());
        return;
    }
    pending->team = team.value();
    const bool isLimited = pending->team != nullptr && pending->team->limit;
    if (isLimited && pending->decoded.hasInvalidTokens && pending->team->limit->unit == LimitUnit::Tokens) {
        d->refuse(*pending->exchange, pending->decoded.id, ErrorKind::BadRequest, "the number of tokens cannot be decoded");
        return;
    }
    d->admit(pending);
}

void RequestForwarder::onRelayedRequest(HttpRequest request, const RelayedRequest &relayed, std::shared_ptr<HttpExchange> exchange)
{
    d->m_metrics.relayed("received");
    const auto pending = d->accept(std::move(request), std::move(exchange));
    if (pending == nullptr) {
        return;
    }
    const RouteTable &table = *pending->table;
    pending->team = relayed.team.isEmpty() ? nullptr : table.team(relayed.team);
    const bool lacksTeam = pending->team == nullptr && (!relayed.team.isEmpty() || (table.requiresKeys() && !pending->route->isPublic));
    if (table.version() < relayed.configVersion || lacksTeam) {
        d->refuse(*pending->exchange, pending->decoded.id, ErrorKind::NotReady, "the configurations of the nodes differ");
        return;
    }
    pending->source = RequestSource::Node;
    pending->origin = relayed.origin;
    pending->arrivedAt = pending->arrivedAt - relayed.waited;
    if (pending->decoded.deadline) {
        *pending->decoded.deadline = *pending->decoded.deadline + relayed.waited;
    }
    d->startJob(*pending, pending->arrivedAt);
}

std::vector<std::shared_ptr<RequestJob>> RequestForwarder::Private::currentJobs() const
{
    std::vector<std::shared_ptr<RequestJob>> current;
    current.reserve(jobs.size());
    for (const auto &[number, job] : jobs) {
        current.push_back(job);
    }
    return current;
}

void RequestForwarder::Private::retryPlacements()
{
    for (const auto &job : currentJobs()) {
        job->retryPlacement();
    }
}

void RequestForwarder::onClusterStateChanged()
{
    d->retryPlacements();
}

void RequestForwarder::endAll()
{
    for (const auto &[id, pending] : std::exchange(d->pendingRequests, {})) {
        d->limiter.cancel(accountOf(pending->team->name), id);
        d->refuse(*pending->exchange, pending->decoded.id, ErrorKind::Draining, "this process exits");
    }
    for (const auto &job : d->currentJobs()) {
        job->onNodeStops();
    }
}

std::vector<AdapterUse> RequestForwarder::uses()
{
    std::vector<AdapterUse> result;
    for (const auto &[number, job] : d->jobs) {
        if (const auto adapterUse = job->adapterUse()) {
            addUse(result, *adapterUse);
        }
    }
    const Time now = d->m_loop.now();
    std::erase_if(d->crowdedAdapters, [now](const auto &entry) { return now - entry.second > CrowdedLifetime; });
    for (const auto &[adapter, since] : d->crowdedAdapters) {
        result.push_back(AdapterUse { adapter.model, adapter.adapter, UpstreamId(), 0, true });
    }
    return result;
}

std::vector<AdapterUse> RequestForwarder::pendingAdapters() const
{
    std::vector<AdapterUse> result;
    for (const auto &[number, job] : d->jobs) {
        if (const auto pendingAdapter = job->pendingAdapter()) {
            addUse(result, *pendingAdapter);
        }
    }
    return result;
}

int RequestForwarder::activeCount() const
{
    return static_cast<int>(d->jobs.size() + d->pendingRequests.size());
}

std::size_t RequestForwarder::answerBytes() const
{
    d->refreshUnread();
    return d->m_answerMemory.usedBytes();
}

double RequestForwarder::requestRate() const
{
    return d->arrivals.rate(d->m_loop.now());
}

void RequestForwarder::holdCreditShard(std::uint64_t shard, FencingToken term)
{
    d->limiter.hold(shard, term);
    d->upstreamLimiter.hold(shard, term);
}

std::optional<CreditGrant> RequestForwarder::answerCreditQuery(
    std::uint64_t shard, const NodeId &from, Incarnation incarnation, const CreditQuery &query)
{
    CreditLimiter &limiter = query.account.kind == CreditAccount::Kind::Upstream ? d->upstreamLimiter : d->limiter;
    return limiter.answer(shard, from, incarnation, query);
}

void RequestForwarder::Private::lookUpOrigin(const StreamQuery &query, const std::shared_ptr<RequestJob> &job)
{
    const auto [at, isNew] = streamLookups.try_emplace(query);
    at->second.jobs.push_back(job);
    if (!isNew) {
        return;
    }
    at->second.unanswered = m_callbacks.sendStreamQuery(query);
    const Duration wait = at->second.unanswered > 0 ? StreamLookupTimeout : Duration(0);
    at->second.timer = m_loop.after(wait, [weak = weak_from_this(), query] {
        if (const auto self = weak.lock()) {
            self->endLookup(query, std::nullopt);
        }
    });
}

void RequestForwarder::Private::endLookup(const StreamQuery &query, const std::optional<StreamOrigin> &origin)
{
    auto lookup = streamLookups.extract(query);
    if (lookup.empty()) {
        return;
    }
    m_loop.cancel(lookup.mapped().timer);
    for (const auto &waiting : lookup.mapped().jobs) {
        if (const auto job = waiting.lock()) {
            job->onOrigin(origin, "peer");
        }
    }
}

void RequestForwarder::onQuarantineStatements(const QuarantineStatements &statements)
{
    d->guard.onPeerStatements(statements);
}

void RequestForwarder::onProbeRequests(const NodeId &from, const std::vector<UpstreamStart> &upstreams)
{
    d->upstreamProber.onProbeRequests(from, upstreams);
}

void RequestForwarder::onProbeResults(const NodeId &from, const std::vector<ProbeResult> &results)
{
    d->upstreamProber.onPeerResults(from, results);
}

void RequestForwarder::onUpstreamStarted(const UpstreamRecord &record)
{
    for (const auto &[number, job] : d->jobs) {
        job->onUpstreamStarted(record);
    }
    d->guard.detector().onStarted(record, d->attempts([&record](const UnansweredRequest &attempt) {
        const bool isSame = attempt.upstream.id == record.id;
        const bool wasSentBefore = attempt.upstream.startedAt != record.startedAt && attempt.sentAtWall.milliseconds() < record.startedAt;
        return isSame ? wasSentBefore : attempt.upstream.address == record.address;
    }));
}

void RequestForwarder::onUpstreamLapsed(const UpstreamRecord &upstream)
{
    const Time now = d->m_loop.clock().now();
    const bool canReport = d->m_clusterState.engineSpec(upstream.service) != nullptr;
    const auto silent = d->attempts(
        [&](const UnansweredRequest &attempt) { return attempt.upstream.id == upstream.id && attempt.silence(now) >= SilenceOfLapsed; });
    d->guard.detector().onLapsed(upstream, canReport, silent);
}

std::vector<WaitingAttempt> RequestForwarder::Private::waitingAttempts()
{
    const Time now = m_loop.clock().now();
    std::vector<UnansweredRequest> waiting = guard.detector().suspected();
    const bool isAnySilent = std::any_of(
        jobs.begin(), jobs.end(), [now](const auto &job) { return job.second->silence(now) >= IndirectProbeLimits {}.minSilence; });
    for (const auto &[number, job] : jobs) {
        const bool isWaiting = isAnySilent && job->silence(now) > Duration();
        if (const auto attempt = isWaiting ? job->attemptInProgress() : std::nullopt) {
            waiting.push_back(*attempt);
        }
    }
    std::vector<WaitingAttempt> result;
    for (const UnansweredRequest &request : waiting) {
        const UpstreamRecord &upstream = request.upstream;
        result.push_back(WaitingAttempt { { upstream.id, upstream.startedAt }, upstream.zone, request.sentAt, request.lastPartAt });
    }
    return result;
}

UpstreamProber::Callbacks RequestForwarder::Private::upstreamProberCallbacks()
{
    UpstreamProber::Callbacks result;
    result.attempts = [this] { return waitingAttempts(); };
    result.peers = m_callbacks.probePeers;
    result.requestProbes = m_callbacks.requestProbes;
    result.tellResult = m_callbacks.tellProbeResult;
    result.onSilent = [this](const UpstreamStart &start) {
        guard.detector().onSilenceConfirmed(start, attempts([&start](const UnansweredRequest &attempt) {
            return UpstreamStart { attempt.upstream.id, attempt.upstream.startedAt } == start;
        }));
    };
    return result;
}

std::vector<UnansweredRequest> RequestForwarder::Private::attempts(const std::function<bool(const UnansweredRequest &)> &isWanted) const
{
    std::vector<UnansweredRequest> result;
    for (const auto &[number, job] : jobs) {
        if (auto attempt = job->attemptInProgress(); attempt && isWanted(*attempt)) {
            result.push_back(std::move(*attempt));
        }
    }
    return result;
}

void RequestForwarder::onStreamAnswers(const std::vector<StreamAnswer> &answers)
{
    for (const StreamAnswer &answer : answers) {
        const auto at = d->streamLookups.find(answer.query);
        if (at != d->streamLookups.end() && (--at->second.unanswered == 0 || answer.origin)) {
            d->endLookup(answer.query, answer.origin);
        }
    }
}

void RequestForwarder::onCreditGrants(const std::vector<CreditGrant> &grants)
{
    const auto isOfTeam = [](const CreditGrant &grant) { return grant.account.kind == CreditAccount::Kind::Team; };
    std::vector<CreditGrant> sorted = grants;
    const auto firstOfUpstream = std::stable_partition(sorted.begin(), sorted.end(), isOfTeam);
    d->limiter.onGrants({ sorted.begin(), firstOfUpstream });
    d->upstreamLimiter.onGrants({ firstOfUpstream, sorted.end() });
}

} // namespace ApricotStep
