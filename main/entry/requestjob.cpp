#include "main/entry/requestjob.h"

#include "coordination/weightmemory.h"
#include "core/result.h"
#include "main/entry/contentdigest.h"
#include "main/entry/refusal.h"
#include "main/entry/relayedrequest.h"
#include "platform/enginecalls.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr EventLog::Severity RequestStep = EventLog::Severity::Routine;
constexpr EventLog::Severity Important = EventLog::Severity::Important;

constexpr Duration ConnectTimeout { 400 };
// Detects an upstream that stopped responding at the TCP level.
constexpr Duration AcknowledgeTimeout { 700 };
// Upstreams close idle connections after some seconds, and a request sent on a connection that is just being closed fails. A non-idempotent
// request cannot be sent again in that case, so it only reuses connections that were in use recently.
constexpr Duration MaxConnectionIdle = Duration::seconds(15);
constexpr Duration MaxConnectionIdleNonIdempotent = Duration::seconds(4);
// A waiting request retries its placement at least this often.
constexpr Duration PlacementRetryInterval { 60 };
// As documented for callers, they abandon a stream after a gap without data, also before its first event, of two seconds, four times the
// latency objective or eight times the longest allowed pause, whichever is longest.
constexpr Duration MinFirstByteTimeout { 2000 };
constexpr int FirstByteTimeoutInObjectives = 4;
constexpr int FirstByteTimeoutInPauses = 8;
// With less time left than this, a request can no longer be answered.
constexpr Duration MinUsefulTime { 5 };
// Retry-After of a refusal: about the time in which a queue advances by one request.
constexpr Duration RetryAfterRefusal { 300 };
// An adapter is reported as crowded, which asks for a further copy, if a prompt would wait longer than this many fetch times before it is
// read. Shorter waits end before a further copy helps.
constexpr double CrowdedWaitInFetches = 1.8;
// Retry-After while this node is cut off from most of the others: another node can serve the request at once.
constexpr Duration RetryAfterIsolated { 50 };
// Time from the order to load an adapter until the first event, in fetch times: the load itself, the wait behind other loads, and the
// reading of a long prompt.
constexpr double LoadAndAnswerInFetches = 2.8;
// Shorter waits end before a caller can be back.
constexpr Duration MinRetryAfter { 50 };
// A node that was refused a part of an upstream's limit asks again after this time at most: others may leave their parts unused.
constexpr Duration MaxRefusalTime { 500 };
// Longer than a connection takes. A process that was suspended after the reservation must not use it.
constexpr Duration ReservationLifetime { 500 };
// An upstream that has sent nothing for so long when its answer is given up may have ended.
constexpr Duration MinSilence = Duration::seconds(1);
// How long the continuation of an answer waits for the report of its engine, which needs no free place.
constexpr Duration VerificationTimeout { 500 };
constexpr std::size_t MaxReportBytes = 1U << 20U;
constexpr int MaxRelays = 3;
constexpr int OkStatus = 200;
constexpr int FirstErrorStatus = 300;
constexpr int FirstServerErrorStatus = 500;
// Statuses that tell the caller that its request was not run. Only this node may decide that, so they are not forwarded from an upstream.
constexpr int NotRunStatuses[] = { 408, 421, 429, 503 };

bool isSuccess(int status)
{
    return status >= OkStatus && status < FirstErrorStatus;
}

bool impliesNotRun(int status)
{
    return std::find(std::begin(NotRunStatuses), std::end(NotRunStatuses), status) != std::end(NotRunStatuses);
}

} // namespace

RequestJob::RequestJob(RequestContext &context, std::uint64_t number, HttpRequest request, Platform::CallerRequest decoded,
    std::shared_ptr<const RouteTable> table, const Route &route, const RequestTeam &team, std::shared_ptr<HttpExchange> exchange,
    Time arrivedAt, RequestSource source)
    : m_context(context)
    , m_number(number)
    , m_request(std::move(request))
    , m_decoded(std::move(decoded))
    , m_content(describeContent(m_request, m_decoded))
    , m_table(std::move(table))
    , m_route(route)
    , m_team(team)
    , m_exchange(std::move(exchange))
    , m_source(source)
    , m_maxAttempts(source == RequestSource::Caller ? m_route.maxAttempts : 1)
    , m_arrivedAt(arrivedAt)
{
    m_deadline = m_arrivedAt + m_decoded.timeAllowed(m_route.timeout);
    m_service = selectTarget(m_route, std::uniform_real_distribution<double>(0, 1)(context.random())).service;
    if (m_route.kind == RequestKind::Stream) {
        m_expectedLength = context.clusterState().answerLengths.estimate(m_route.name, lengthHint(), maxAnswerTokens());
    }
}

Time RequestJob::now() const
{
    return m_context.loop().now();
}

Duration RequestJob::timeLeft() const
{
    return m_deadline - now();
}

// Returns how long the caller still waits for the first byte. Callers abandon a stream that has not begun long before its deadline. A
// request held beyond that is lost, while one that is refused in time is retried by the caller and served.
Duration RequestJob::firstByteTimeLeft() const
{
    if (m_route.kind != RequestKind::Stream || m_isStreaming) {
        return timeLeft();
    }
    const Duration firstByteTimeout = std::max({ MinFirstByteTimeout, m_route.latencyObjective * FirstByteTimeoutInObjectives,
        m_route.eventGapObjective * FirstByteTimeoutInPauses });
    return std::min(timeLeft(), m_arrivedAt + firstByteTimeout - now());
}

bool RequestJob::isRepeatable() const
{
    return m_route.kind == RequestKind::Idempotent || (m_route.kind == RequestKind::Stream && m_route.isResumable);
}

bool RequestJob::needsAdapter() const
{
    return m_decoded.generation && !m_decoded.generation->adapter.isEmpty();
}

AdapterRef RequestJob::adapter() const
{
    return m_decoded.generation ? AdapterRef { m_decoded.generation->model, m_decoded.generation->adapter } : AdapterRef {};
}

std::uint32_t RequestJob::promptTokens() const
{
    return m_decoded.generation ? m_decoded.generation->promptTokens : 0;
}

std::optional<std::uint32_t> RequestJob::lengthHint() const
{
    return m_decoded.generation ? m_decoded.generation->lengthHint : std::nullopt;
}

std::uint32_t RequestJob::maxAnswerTokens() const
{
    return m_decoded.generation ? m_decoded.generation->maxAnswerTokens : 0;
}

RequestCost RequestJob::requestCost() const
{
    const auto answerTime = m_context.clusterState().answerLengths.expectedAnswerTime(m_route.name);
    return RequestCost { promptTokens(), answerTime.value_or(Duration()) };
}

ChoiceParameters RequestJob::choiceParameters() const
{
    ChoiceParameters parameters;
    if (m_context.settings().placement.weighsDelays) {
        parameters.separation = m_context.clusterState().eventGaps.separation(m_service);
    }
    return parameters;
}

int RequestJob::priority() const
{
    constexpr int MaxPriority = 9;
    return std::min(m_team.team != nullptr && m_team.team->priority ? *m_team.team->priority : m_route.priority, MaxPriority);
}

void RequestJob::start()
{
    m_exchange->onCallerGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    });
    m_exchange->onDrained([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onDrained();
        }
    });
    m_deadlineTimer = m_context.loop().after(std::max(timeLeft(), Duration(0)), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onDeadline();
        }
    });
    m_context.log().write(RequestStep, "request", "arrived",
        { { "request", m_decoded.id }, { "team", m_team.team != nullptr ? m_team.team->name.value() : std::string() },
            { "route", m_route.name }, { "configVersion", std::int64_t(m_table->version().value()) }, { "service", m_service.value() },
            { "adapter", adapter().adapter.value() }, { "leftMs", timeLeft().milliseconds() }, { "resumes", m_decoded.resumedRequest },
            { "lastEvent", m_decoded.lastEventId } });
    if (m_route.kind == RequestKind::Stream && !m_decoded.lastEventId.empty() && !m_origin) {
        findOrigin();
    } else {
        tryNext();
    }
}

void RequestJob::bindTo(const StreamOrigin &origin)
{
    m_origin = origin;
    m_service = origin.service;
}

void RequestJob::findOrigin()
{
    m_phase = Phase::LookingUp;
    const StreamQuery query { streamIdOf(m_decoded.resumedRequest), m_service };
    // A process that was suspended must not take its old view of the upstreams for a current one.
    if (const auto origin = m_context.clusterState().originOf(query, m_context.loop().clock().now())) {
        onOrigin(origin, "own");
    } else {
        m_context.lookUpOrigin(query, shared_from_this());
    }
}

void RequestJob::onOrigin(const std::optional<StreamOrigin> &origin, std::string_view source)
{
    if (m_phase != Phase::LookingUp) {
        return;
    }
    const auto isTarget = [&origin](const RouteTarget &target) { return target.service == origin->service; };
    const bool isKnown = origin && std::any_of(m_route.targets.begin(), m_route.targets.end(), isTarget);
    const std::string result = isKnown ? std::string(source) : "unknown";
    m_context.metrics().resumed(result);
    m_context.log().write(RequestStep, "request", "resumed",
        { { "request", m_decoded.id }, { "resumes", m_decoded.resumedRequest }, { "knownBy", result },
            { "software", origin ? origin->software.value() : std::string() }, { "waitedMs", (now() - m_arrivedAt).milliseconds() } });
    if (!isKnown) {
        refuse(ErrorKind::StreamUnknown, RetryAfterRefusal);
        return;
    }
    bindTo(*origin);
    tryNext();
}

bool RequestJob::isOfOrigin(const UpstreamRecord &record) const
{
    return !m_origin || record.softwareVersion == m_origin->software;
}

bool RequestJob::mayBegin(const UpstreamRecord &record) const
{
    const bool canBeResumed = m_route.kind == RequestKind::Stream && m_route.isResumable;
    return !canBeResumed || m_origin
        || m_context.clusterState().softwareHistory.mayBeginStreams(m_service, record.softwareVersion, m_context.loop().clock().now());
}

bool RequestJob::hasUpstreamOfOrigin() const
{
    const auto records = m_context.clusterState().upstreams.usable(m_service);
    return std::any_of(records.begin(), records.end(), [this](const UpstreamRecord *record) { return isOfOrigin(*record); });
}

void RequestJob::rememberOrigin()
{
    m_origin = m_relay ? m_relayedOrigin : StreamOrigin { m_service, m_upstream.softwareVersion };
    if (!m_origin) {
        return;
    }
    ClusterState &clusterState = m_context.clusterState();
    clusterState.streamOrigins.onBegun(
        BegunStream { streamIdOf(m_decoded.id), *m_origin, clusterState.softwareHistory.streamLifetime() }, m_context.loop().clock().now());
}

std::optional<AdapterUse> RequestJob::adapterUse()
{
    // The node that sends the request to the upstream reports the adapter.
    if (!needsAdapter() || m_phase == Phase::Ended || m_phase == Phase::LookingUp || m_relay) {
        return std::nullopt;
    }
    AdapterUse adapterUse =
        m_phase == Phase::Waiting ? waitingAdapterUse() : AdapterUse { adapter().model, adapter().adapter, m_upstream.id };
    adapterUse.count = std::exchange(m_isCounted, true) ? 0 : 1;
    return adapterUse;
}

std::optional<AdapterUse> RequestJob::pendingAdapter() const
{
    if (!needsAdapter() || m_phase != Phase::Waiting) {
        return std::nullopt;
    }
    return waitingAdapterUse();
}

AdapterUse RequestJob::waitingAdapterUse() const
{
    AdapterUse adapterUse { adapter().model, adapter().adapter };
    adapterUse.waiting = 1;
    adapterUse.latencySlack = m_arrivedAt + m_route.latencyObjective - now();
    adapterUse.software = m_origin ? m_origin->software : SoftwareVersion();
    return adapterUse;
}

bool RequestJob::isUsable(const UpstreamRecord &record)
{
    if (m_excluded.contains(record.id) || !isOfOrigin(record) || !mayBegin(record)) {
        return false;
    }
    if (!m_decoded.generation) {
        return isPermitted(record);
    }
    if (!needsAdapter()) {
        return (record.models.empty() || record.hasModel(m_decoded.generation->model)) && isPermitted(record);
    }
    const auto copy = m_context.clusterState().residencies.copy(record, adapter());
    if (!copy || !copy->isReady || !m_context.clusterState().outliers.isReachable(record.id, now())) {
        return false;
    }
    return isVersionUsable(copy->version) && isPermitted(record);
}

bool RequestJob::isPermitted(const UpstreamRecord &record)
{
    Time nextSendAt = m_context.clusterState().nextSendAt(record, now());
    if (m_context.clusterState().isBrittleAndFull(record, now())) {
        nextSendAt = std::max(nextSendAt, now() + PlacementRetryInterval);
    }
    if (nextSendAt <= now()) {
        return true;
    }
    m_withheldUntil = std::min(m_withheldUntil.value_or(Time::never()), nextSendAt);
    if (!std::exchange(m_hasBeenWithheld, true)) {
        m_context.metrics().withheld();
        m_context.log().write(RequestStep, "request", "withheld", { { "request", m_decoded.id }, { "upstream", record.id.value() } });
    }
    return false;
}

double RequestJob::engineCapacity() const
{
    const bool isLimited = m_context.settings().placement.limitsMemory && m_decoded.generation;
    const EngineSpec *spec = isLimited ? m_context.clusterState().engineSpec(m_service) : nullptr;
    return spec != nullptr ? spec->kvCacheTokens : 0;
}

double RequestJob::reservation() const
{
    if (!m_decoded.generation) {
        return 0;
    }
    const Platform::GenerationRequest &generation = *m_decoded.generation;
    return m_context.clusterState().engineMemory.reservation(
        generation.promptTokens, generation.sharedTokens, generation.maxAnswerTokens, engineCapacity());
}

bool RequestJob::hasRoom(const UpstreamRecord &record, const FleetLoad &load)
{
    const double capacity = engineCapacity();
    if (capacity <= 0) {
        return true;
    }
    const EngineMemoryUse use { reservation(), capacity, load.reservedTokens, m_context.callbacks().nodeCount() };
    const bool hasRoom = m_context.clusterState().engineMemory.hasRoom(record.id, use, now(), m_context.random());
    m_isEngineFull = m_isEngineFull || !hasRoom;
    return hasRoom;
}

void RequestJob::waitForMemory()
{
    if (!std::exchange(m_hasLackedMemory, true)) {
        m_context.metrics().noEngineMemory();
        m_context.log().write(RequestStep, "request", "no_engine_memory",
            { { "request", m_decoded.id }, { "service", m_service.value() }, { "tokens", static_cast<std::int64_t>(reservation()) } });
    }
    if (needsAdapter()) {
        m_context.reportCrowded(adapter());
    }
    const Duration answerTime = expectedTimeToFirstToken(UpstreamOption {}, promptTokens(), ChoiceParameters {});
    if (answerTime + PlacementRetryInterval < firstByteTimeLeft()) {
        wait();
    } else {
        giveUp(m_executionState == ExecutionState::NotRun ? ErrorKind::NoUpstream : ErrorKind::UpstreamFailed);
    }
}

Duration RequestJob::retryAfterRefusal() const
{
    // What binds this node need not bind the one to which the caller returns, so a long rest is no reason for a long wait.
    return m_withheldUntil ? std::clamp(*m_withheldUntil - now(), MinRetryAfter, RetryAfterRefusal) : RetryAfterRefusal;
}

bool RequestJob::isVersionUsable(const AdapterVersion &version) const
{
    const auto known = m_context.clusterState().versions.find(adapter());
    if (known == m_context.clusterState().versions.end() || version == known->second.version) {
        return true;
    }
    // The previous version serves requests while the new one is being loaded, but only until 2.5 s before the bound, so that requests begin
    // well before it.
    return now() - known->second.learnedAt < m_context.settings().adapterVersionBound - Duration(2500);
}

double RequestJob::slowness(const UpstreamRecord &record) const
{
    return m_context.settings().placement.weighsSpeed ? m_context.clusterState().engineSpeed.slowness(record, now()) : 1;
}

std::vector<UpstreamOption> RequestJob::options()
{
    std::vector<UpstreamOption> result;
    ClusterState &clusterState = m_context.clusterState();
    for (const UpstreamRecord *record : m_decoded.generation ? clusterState.engines(m_service) : clusterState.upstreams.usable(m_service)) {
        if (!isUsable(*record)) {
            continue;
        }
        const FleetLoad load = clusterState.loadTracker.load(record->id, now());
        if (hasRoom(*record, load)) {
            result.push_back(UpstreamOption { record, load, clusterState.outliers.share(record->id, now()),
                record->zone == m_context.settings().zone, 0, slowness(*record) });
        }
    }
    return result;
}

std::vector<UpstreamOption> RequestJob::outOfScopeOptions()
{
    std::vector<UpstreamOption> result;
    ClusterState &clusterState = m_context.clusterState();
    if (clusterState.engineScope.isEmpty() || !needsAdapter()) {
        return result;
    }
    for (const UpstreamId &engine : clusterState.outOfScope.enginesWith(adapter())) {
        const UpstreamRecord *record = clusterState.upstreams.usable(engine);
        const auto reported = clusterState.outOfScope.load(engine, now());
        const bool isKnown = record != nullptr && record->zone != clusterState.engineScope && record->service == m_service && reported;
        if (!isKnown || m_excluded.contains(engine) || !isOfOrigin(*record) || !mayBegin(*record)
            || !clusterState.outliers.isReachable(engine, now())) {
            continue;
        }
        const auto version = clusterState.outOfScope.version(engine, adapter());
        if (!version || !isVersionUsable(*version) || !isPermitted(*record)) {
            continue;
        }
        // The holder's report does not contain yet what this node and its scope peers have just sent there.
        FleetLoad load = clusterState.loadTracker.load(engine, now());
        load.running += reported->running;
        load.pendingTokens += reported->pendingTokens;
        load.reservedTokens += reported->reservedTokens;
        if (!hasRoom(*record, load)) {
            continue;
        }
        result.push_back(UpstreamOption { record, load, clusterState.outliers.share(engine, now()), false, 0, slowness(*record) });
    }
    return result;
}

bool RequestJob::sendOutOfScope(const UpstreamOption *inScope)
{
    const auto candidates = outOfScopeOptions();
    const ChoiceParameters parameters = choiceParameters();
    const UpstreamOption *chosen = chooseEngine(candidates, requestCost(), parameters, m_context.random());
    if (chosen == nullptr) {
        return false;
    }
    const auto inScopeTime = inScope != nullptr ? std::optional(expectedTimeToFirstToken(*inScope, 0, parameters)) : std::nullopt;
    if (!shouldLeaveScope(
            inScopeTime, expectedTimeToFirstToken(*chosen, 0, parameters), fetchTime(CrowdedWaitInFetches), OutOfScopeLimits {})) {
        return false;
    }
    m_context.metrics().sentOutOfScope();
    send(*chosen->record, m_context.clusterState().outOfScope.version(chosen->record->id, adapter()).value_or(AdapterVersion()));
    return true;
}

// Returns whether waiting can help, since the adapter may be loaded on some engine meanwhile.
bool RequestJob::canWaitForAdapter() const
{
    const ClusterState &clusterState = m_context.clusterState();
    // Nobody loads the adapter elsewhere if the copies on engines in need count.
    const bool isLoadedElsewhere = !m_withheldUntil || clusterState.areEnginesInNeedAvoided(m_service, now());
    const auto engines = clusterState.engines(m_service);
    const bool isAnyEligible = std::any_of(engines.begin(), engines.end(), [this](const auto *record) { return isOfOrigin(*record); });
    return needsAdapter() && isLoadedElsewhere && isAnyEligible && clusterState.engineSpec(m_service) != nullptr;
}

bool RequestJob::isAdapterTooLarge() const
{
    const ClusterState &clusterState = m_context.clusterState();
    const EngineSpec *spec = clusterState.engineSpec(m_service);
    if (!needsAdapter() || spec == nullptr || canHoldAdapter(*spec, adapter().model)) {
        return false;
    }
    // One that was loaded before the configuration changed goes on being used.
    const auto engines = clusterState.engines(m_service);
    const auto holdsAdapter = [this, &clusterState](
                                  const UpstreamRecord *record) { return clusterState.residencies.copy(*record, adapter()).has_value(); };
    return std::none_of(engines.begin(), engines.end(), holdsAdapter) && clusterState.outOfScope.enginesWith(adapter()).empty();
}

void RequestJob::tryNext()
{
    m_phase = Phase::Waiting;
    m_relay.reset();
    if (timeLeft() < MinUsefulTime) {
        onDeadline();
        return;
    }
    // Its answer might be cut off when this process exits, and it must not run a second time.
    if (!isRepeatable() && !m_context.callbacks().canAccept(timeLeft())) {
        giveUp(ErrorKind::Draining);
        return;
    }
    if (!isContentAllowed()) {
        giveUp(ErrorKind::ContentHeldBack);
        return;
    }
    if (reservation() > engineCapacity()) {
        m_context.metrics().noEngineMemory();
        giveUp(ErrorKind::RequestTooLarge);
        return;
    }
    if (m_origin && !hasUpstreamOfOrigin()) {
        refuse(ErrorKind::StreamVersionGone, RetryAfterRefusal);
        return;
    }
    if (!m_context.clusterState().reachability.isReachable(m_service)) {
        if (m_source == RequestSource::Caller && sendThroughRelay()) {
            return;
        }
        // Direct attempts would only delay the refusal. Without any relay the upstreams may be down for all nodes, and back at any moment.
        if (m_source == RequestSource::Node || !m_excludedRelays.empty()) {
            giveUp(m_executionState == ExecutionState::NotRun ? ErrorKind::UpstreamUnreachable : ErrorKind::UpstreamFailed);
            return;
        }
    }
    m_withheldUntil.reset();
    m_isEngineFull = false;
    auto candidates = options();
    if (m_decoded.generation) {
        creditSharedPrefix(candidates, m_decoded.generation->sharedPrefix, m_decoded.generation->sharedTokens);
    }
    const ChoiceParameters parameters = choiceParameters();
    const UpstreamOption *chosen = m_decoded.generation ? chooseEngine(candidates, requestCost(), parameters, m_context.random())
                                                        : chooseService(candidates, parameters, m_context.random());
    if (sendOutOfScope(chosen)) {
        return;
    }
    if (chosen != nullptr) {
        if (needsAdapter() && expectedTimeToFirstToken(*chosen, 0, parameters) > fetchTime(CrowdedWaitInFetches)) {
            m_context.reportCrowded(adapter());
        }
        const auto copy =
            needsAdapter() ? m_context.clusterState().residencies.copy(*chosen->record, adapter()) : std::optional<AdapterCopy>();
        send(*chosen->record, copy ? copy->version : AdapterVersion());
        return;
    }
    if (m_isEngineFull) {
        waitForMemory();
        return;
    }
    if (isAdapterTooLarge()) {
        giveUp(ErrorKind::AdapterTooLarge);
        return;
    }
    if (canWaitForAdapter()) {
        if (const auto retryDelay = retryDelayIfTooLate()) {
            refuse(ErrorKind::NoUpstream, *retryDelay);
        } else {
            wait();
        }
        return;
    }
    giveUp(m_executionState == ExecutionState::NotRun ? ErrorKind::NoUpstream : ErrorKind::UpstreamFailed);
}

bool RequestJob::isContentAllowed()
{
    if (m_isTrial) {
        return true;
    }
    const ContentVerdict verdict = m_context.crashGuard().decide(m_content, m_decoded.id);
    m_isTrial = verdict == ContentVerdict::Trial;
    return verdict != ContentVerdict::HeldBack;
}

bool RequestJob::sendThroughRelay()
{
    if (m_excludedRelays.size() >= MaxRelays) {
        return false;
    }
    const auto relays = m_context.callbacks().relays(m_service, m_table->version());
    const RelayNode *chosen = chooseRelay(relays, m_excludedRelays, m_context.random());
    if (chosen == nullptr) {
        return false;
    }
    m_context.loop().cancel(m_waitTimer);
    m_relay = *chosen;
    m_upstream = UpstreamRecord();
    m_version = AdapterVersion();
    m_reservedAt.reset();
    if (!beginAttempt()) {
        return true;
    }
    m_isPromptPending = false;
    m_context.log().write(RequestStep, "request", "relayed",
        { { "request", m_decoded.id }, { "peer", m_relay->id.value() }, { "arrival", std::int64_t(m_attemptsSent + 1) },
            { "leftMs", timeLeft().milliseconds() }, { "waitedMs", (now() - m_arrivedAt).milliseconds() } });
    m_context.metrics().relayed("sent");
    m_call.start(m_context.loop().client(), makeRelayCall());
    return true;
}

Duration RequestJob::fetchTime(double count) const
{
    const auto one = static_cast<double>(m_context.clusterState().loadEstimator.minFetchTime().milliseconds());
    return Duration(static_cast<std::int64_t>(count * one));
}

// Returns the delay for Retry-After if the adapter cannot be loaded in time, otherwise nothing. Without this check, requests at a node that
// is cut off from the lease holders that order loads, or right after a restart of the whole fleet, would be held until their callers give
// up without an answer.
std::optional<Duration> RequestJob::retryDelayIfTooLate() const
{
    const auto ordersIn = m_context.callbacks().ordersIn();
    if (!ordersIn) {
        return RetryAfterIsolated;
    }
    if (*ordersIn + fetchTime(LoadAndAnswerInFetches) < firstByteTimeLeft()) {
        return std::nullopt;
    }
    return *ordersIn + RetryAfterRefusal;
}

void RequestJob::wait()
{
    if (!std::exchange(m_hasWaited, true)) {
        const auto ordersIn = m_context.callbacks().ordersIn();
        m_context.log().write(RequestStep, "request", "waiting",
            { { "request", m_decoded.id }, { "adapter", adapter().adapter.value() },
                { "ordersInMs", ordersIn ? ordersIn->milliseconds() : -1 }, { "leftMs", timeLeft().milliseconds() } });
    }
    // Engines that refused the request before may accept it now.
    m_excluded.clear();
    m_context.callbacks().onPendingAdapters();
    m_context.loop().cancel(m_waitTimer);
    m_waitTimer = m_context.loop().after(PlacementRetryInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->retryPlacement();
        }
    });
}

void RequestJob::retryPlacement()
{
    if (m_phase == Phase::Waiting) {
        tryNext();
    }
}

void RequestJob::send(const UpstreamRecord &record, const AdapterVersion &version)
{
    m_context.loop().cancel(m_waitTimer);
    m_upstream = record;
    m_version = version;
    m_relay.reset();
    m_reservedAt.reset();
    if (!m_context.clusterState().requestLimit(record, now())) {
        dispatch();
        return;
    }
    m_phase = Phase::Reserving;
    if (const auto admission = m_context.reserve(record, shared_from_this(), m_reservation)) {
        onReserved(*admission);
    }
}

void RequestJob::onReserved(const Admission &admission)
{
    if (m_phase != Phase::Reserving) {
        return;
    }
    const Time current = m_context.loop().clock().now();
    if (std::holds_alternative<Admitted>(admission)) {
        m_reservedAt = current;
        dispatch();
        return;
    }
    const auto *beyondLimit = std::get_if<BeyondLimit>(&admission);
    const Duration refusalTime = beyondLimit != nullptr ? std::min(beyondLimit->retryAfter, MaxRefusalTime) : MaxRefusalTime;
    m_context.clusterState().upstreamLimits.onRefused(m_upstream, current + refusalTime);
    m_excluded.insert(m_upstream.id);
    tryNext();
}

void RequestJob::returnReservation()
{
    if (m_reservedAt) {
        m_context.returnReservation(m_upstream, *m_reservedAt);
        m_reservedAt.reset();
    }
}

bool RequestJob::beginAttempt()
{
    if (m_attemptsSent > 0 && !m_context.takeRetry(m_service)) {
        m_context.log().write(Important, "request", "no_retry_budget", { { "request", m_decoded.id }, { "service", m_service.value() } });
        returnReservation();
        giveUp(m_executionState == ExecutionState::NotRun ? ErrorKind::NoUpstream : ErrorKind::UpstreamFailed);
        return false;
    }
    m_phase = Phase::Sent;
    m_answer.reset();
    discardAnswer();
    m_breakReason.clear();
    m_hasEvents = false;
    m_progressReportedAt = Time();
    m_eventsBefore = m_events.count();
    m_sentAt = now();
    return true;
}

void RequestJob::dispatch()
{
    if (!beginAttempt()) {
        return;
    }
    m_isPromptPending = true;
    m_context.clusterState().loadTracker.onSent(m_upstream.id, promptTokens(), now());
    m_reservedTokens = static_cast<std::uint32_t>(std::min<double>(reservation(), std::numeric_limits<std::uint32_t>::max()));
    m_context.clusterState().loadTracker.reserve(m_upstream.id, m_reservedTokens);
    m_context.log().write(RequestStep, "request", "sent",
        { { "request", m_decoded.id }, { "upstream", m_upstream.id.value() }, { "arrival", std::int64_t(m_attemptsSent + 1) },
            { "version", m_version.value() }, { "software", m_upstream.softwareVersion.value() }, { "leftMs", timeLeft().milliseconds() },
            { "waitedMs", (now() - m_arrivedAt).milliseconds() } });
    m_context.metrics().sent(m_route.kind, now() - m_arrivedAt, m_attemptsSent > 0);
    m_call.start(m_context.loop().client(), makeCall(m_upstream));
}

Platform::UpstreamBinding RequestJob::binding() const
{
    Platform::UpstreamBinding binding;
    binding.deadline = std::max(timeLeft(), Duration(1));
    binding.hidesCredentials = m_table->requiresKeys();
    binding.lastEventId = m_isStreaming ? m_events.lastId() : std::string();
    return binding;
}

HttpCall RequestJob::makeCall(const UpstreamRecord &record)
{
    HttpCall call;
    call.url = "http://" + record.address + "/";
    Platform::UpstreamBinding upstreamBinding = binding();
    upstreamBinding.upstream = record.id;
    upstreamBinding.adapterVersion = m_version;
    upstreamBinding.priority = priority();
    upstreamBinding.team = m_team.team != nullptr ? m_team.team->name : TeamName();
    call.headers = Platform::upstreamHeaders(m_request, upstreamBinding);
    prepareCall(call);
    return call;
}

HttpCall RequestJob::makeRelayCall()
{
    HttpCall call;
    call.url = "http://" + m_relay->peerAddress + "/";
    call.headers = Platform::relayHeaders(m_request, binding());
    addRelayHeaders(call.headers,
        RelayedRequest { m_table->version(), m_team.team != nullptr ? m_team.team->name : TeamName(), now() - m_arrivedAt, m_origin });
    prepareCall(call);
    return call;
}

void RequestJob::prepareCall(HttpCall &call)
{
    call.method = m_request.method;
    call.target = m_request.target;
    call.body = m_request.body;
    call.connectTimeout = std::min(ConnectTimeout, std::max(timeLeft(), Duration(1)));
    call.acknowledgeTimeout = AcknowledgeTimeout;
    call.maxConnectionIdle = m_route.kind == RequestKind::NonIdempotent ? MaxConnectionIdleNonIdempotent : MaxConnectionIdle;
    call.isSentOnce = true;
    call.answerId = m_decoded.id;
    const auto weak = weak_from_this();
    call.maySend = [weak] {
        const auto self = weak.lock();
        return self != nullptr && self->maySend();
    };
    call.acceptsHead = [weak](int status, const HttpHeaders &headers, const AnswerConnection &connection) {
        const auto self = weak.lock();
        return self != nullptr && self->acceptsHead(status, headers, connection);
    };
    call.onHead = [weak](int, const HttpHeaders &) {
        if (const auto self = weak.lock()) {
            self->onHead();
        }
    };
    call.acceptsData = [weak](std::string_view data) {
        const auto self = weak.lock();
        return self == nullptr || self->acceptsData(data);
    };
    call.onData = [weak](std::string_view data) {
        const auto self = weak.lock();
        return self == nullptr || self->onData(data);
    };
    call.onDone = [weak](const CallResult &result) {
        if (const auto self = weak.lock()) {
            self->onDone(result);
        }
    };
}

// Called right before the first byte is sent. If the process was suspended, its knowledge of the upstream and the deadline may be stale by
// now.
bool RequestJob::maySend() const
{
    const Time current = m_context.loop().clock().now();
    if (m_phase != Phase::Sent || m_deadline - current < MinUsefulTime) {
        return false;
    }
    if (!m_isTrial && m_context.crashGuard().isHeld(m_content)) {
        return false;
    }
    if (m_relay) {
        return true;
    }
    const UpstreamRecord *record = m_context.clusterState().upstreams.usable(m_upstream.id);
    if (record == nullptr || record->startedAt != m_upstream.startedAt) {
        return false;
    }
    // The upstream may have stated since it was chosen that it is in need.
    const ClusterState &clusterState = m_context.clusterState();
    const bool isReserved = m_reservedAt && current - *m_reservedAt <= ReservationLifetime;
    const bool isPaused =
        current < std::max(clusterState.upstreamRests.restsUntil(*record), clusterState.brittleUpstreams.pausedUntil(*record));
    return !isPaused && (isReserved || !clusterState.requestLimit(*record, current));
}

bool RequestJob::acceptsHead(int status, const HttpHeaders &headers, const AnswerConnection &connection)
{
    Platform::UpstreamAnswer answer = Platform::decodeUpstreamAnswer(status, headers);
    const bool isRelaysOwn = m_relay && !answer.isSealed;
    // An answer without an id may be a late one to an earlier call on the connection. Relays answer each call once.
    const bool isFirstAnswer = answer.isNotRun && connection.earlierCalls == 0;
    const bool isForThisRequest = answer.requestId == m_decoded.id || (answer.requestId.empty() && (isFirstAnswer || isRelaysOwn));
    if (!isForThisRequest || answer.isEncoded || (isSuccess(status) && !answer.isSealed)) {
        m_context.log().write(Important, "request", "foreign_answer",
            { { "request", m_decoded.id }, { "upstream", m_upstream.id.value() }, { "answered", answer.requestId },
                { "status", std::int64_t(status) }, { "earlierCalls", std::int64_t(connection.earlierCalls) } });
        return false;
    }
    if (!m_isStreaming && headBytes(answer.callerHeaders) > m_exchange->maxAnswerHeadBytes()) {
        m_breakReason = absl::StrCat("the head of the answer is longer than ", m_exchange->maxAnswerHeadBytes(), " bytes");
        return false;
    }
    m_answer = std::move(answer);
    m_answerConnection = connection;
    if (m_relay) {
        m_relayedOrigin = takeOriginHeader(m_answer->callerHeaders);
    } else {
        m_context.upstreamStatements().onAnswer(m_upstream, *m_answer, m_sentAt, now());
    }
    return true;
}

void RequestJob::onHead()
{
    if (m_phase != Phase::Sent || !m_answer) {
        return;
    }
    m_phase = Phase::Answering;
    m_lastReceivedAt = now();
    if (m_route.kind != RequestKind::Stream || !isSuccess(m_answer->status)) {
        return;
    }
    const bool canReport = !m_relay && m_context.clusterState().engineSpec(m_service) != nullptr;
    if (continuesAnswer() && canReport) {
        verifyStart();
    } else {
        beginAnswer();
    }
}

bool RequestJob::continuesAnswer() const
{
    return m_origin && (!m_decoded.lastEventId.empty() || m_eventsBefore > 0);
}

// An upstream may have started again under its id, with other software, and the store may not have told this node yet. The report comes
// after the head: an engine that is the known start then has sent the head as well.
void RequestJob::verifyStart()
{
    HttpCall call;
    call.url = "http://" + m_upstream.address + std::string(Platform::reportPath());
    call.headers = Platform::reportHeaders(m_upstream.id);
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = std::min(VerificationTimeout, std::max(timeLeft(), Duration(1)));
    call.maxBodyBytes = MaxReportBytes;
    call.isSentOnce = true;
    auto body = std::make_shared<std::string>();
    call.onData = [body](std::string_view data) {
        body->append(data);
        return true;
    };
    call.onDone = [weak = weak_from_this(), body](const CallResult &result) {
        if (const auto self = weak.lock()) {
            self->onReport(result, *body);
        }
    };
    m_verification.start(m_context.loop().client(), std::move(call));
}

void RequestJob::onReport(const CallResult &result, const std::string &body)
{
    if (m_phase != Phase::Answering) {
        return;
    }
    const bool isAnswered = result.state == AttemptState::Answered && result.status == OkStatus;
    const Result<EngineReport> report = isAnswered ? Platform::decodeReport(body) : EngineReport();
    const bool isOtherStart = report.isOk() && report.value().startedAt != 0 && report.value().startedAt != m_upstream.startedAt;
    if (isOtherStart) {
        onOtherStart();
        return;
    }
    beginAnswer();
    const std::string data = std::exchange(m_unverifiedData, {});
    const auto done = std::exchange(m_unverifiedResult, std::nullopt);
    if (!data.empty()) {
        onData(data);
    }
    if (done) {
        onDone(*done);
    }
}

void RequestJob::onOtherStart()
{
    endAttempt();
    discardAnswer();
    countSentAttempt();
    m_isTrial = false;
    ++m_possibleRuns;
    m_executionState = ExecutionState::MayHaveRun;
    m_context.log().write(Important, "request", "other_start", { { "request", m_decoded.id }, { "upstream", m_upstream.id.value() } });
    if (m_isStreaming) {
        onStreamInterrupted();
    } else {
        retryOrGiveUp(ErrorKind::UpstreamFailed);
    }
}

void RequestJob::beginAnswer()
{
    if (std::exchange(m_isPromptPending, false)) {
        m_context.clusterState().loadTracker.onFirstToken(m_upstream.id, promptTokens(), now());
    }
    if (!m_isStreaming) {
        m_isStreaming = true;
        if (m_decoded.lastEventId.empty()) {
            rememberOrigin();
        }
        if (m_source == RequestSource::Node && m_origin) {
            addOriginHeader(m_answer->callerHeaders, *m_origin);
        }
        m_context.metrics().answerBegan(m_route.kind, now() - m_arrivedAt);
        m_exchange->beginStream(m_answer->status, withConnectionHeader(m_answer->callerHeaders, m_context.callbacks().isLeaving()));
        m_context.log().write(RequestStep, "request", "streaming",
            { { "request", m_decoded.id }, { "upstream", m_upstream.id.value() }, { "afterMs", (now() - m_arrivedAt).milliseconds() } });
    }
}

bool RequestJob::isKeptWhole() const
{
    return !m_isStreaming || !isSuccess(m_answer->status);
}

// Which limit the attempt in progress exceeds with @p data, which follows what it has kept; empty if none.
std::string RequestJob::exceededLimit(std::string_view data) const
{
    const AnswerLimits &limits = m_context.settings().answers;
    if (isKeptWhole() && m_body.size() + m_unverifiedData.size() + data.size() > limits.maxAnswerBytes) {
        return absl::StrCat("the answer is longer than ", limits.maxAnswerBytes, " bytes");
    }
    if (!isKeptWhole() && m_events.partialEvent().size() > limits.maxEventBytes) {
        return absl::StrCat("an event is longer than ", limits.maxEventBytes, " bytes");
    }
    return m_hasMemory ? "" : "answers in progress use all of their memory";
}

bool RequestJob::acceptsData(std::string_view data)
{
    if (m_phase != Phase::Answering) {
        return true;
    }
    m_breakReason = exceededLimit(data);
    if (!m_breakReason.empty()) {
        discardAnswer();
    }
    return m_breakReason.empty();
}

bool RequestJob::onData(std::string_view data)
{
    m_lastReceivedAt = now();
    if (!m_relay) {
        m_context.crashGuard().detector().onAnswer(m_upstream, m_sentAt);
    }
    if (m_phase != Phase::Answering) {
        return true;
    }
    if (m_verification.isActive()) {
        m_unverifiedData.append(data);
        accountMemory();
        return true;
    }
    if (isKeptWhole()) {
        m_body.append(data);
        accountMemory();
        makeRoom();
        return true;
    }
    const std::uint64_t countBefore = m_events.count();
    const std::string events = m_events.push(data);
    accountMemory();
    m_lastEventAt = events.empty() ? m_lastEventAt : now();
    if (!events.empty()) {
        m_eventGaps.onEvents(now());
    }
    if (!m_hasEvents && !events.empty()) {
        m_hasEvents = true;
        m_firstEventAt = now();
        m_firstEventAfter = m_firstEventAfter.value_or(now() - m_arrivedAt);
        reportAnswered(AnswerProgress::Begun);
    }
    if (!events.empty() && now() - std::max(m_firstEventAt, m_progressReportedAt) >= ContentQuarantine::BeginningTime) {
        m_progressReportedAt = now();
        reportAnswered(AnswerProgress::Continued);
    }
    observeSpeed(static_cast<int>(m_events.count() - countBefore));
    const bool isReadSlowly = !events.empty() && !m_exchange->write(events);
    accountUnread();
    makeRoom();
    if (m_phase != Phase::Answering || !isReadSlowly) {
        return true;
    }
    m_isPaused = mustPause();
    if (m_isPaused) {
        m_hasPaused = true;
        m_eventGaps.skipGap();
    }
    return !m_isPaused;
}

bool RequestJob::mustPause()
{
    if (!std::exchange(m_isCountedBuffered, true)) {
        m_context.metrics().slowReader("buffered");
    }
    if (m_exchange->unreadBytes() <= m_context.settings().answers.maxUnreadBytes) {
        return false;
    }
    if (!std::exchange(m_isCountedPaused, true)) {
        m_context.metrics().slowReader("paused");
    }
    return true;
}

void RequestJob::accountUnread()
{
    if (m_phase != Phase::Ended) {
        m_context.answerMemory().setUnread(m_number, countedUnreadBytes(*m_exchange));
    }
}

void RequestJob::makeRoom()
{
    if (m_context.answerMemory().answerToEnd()) {
        m_context.freeAnswerMemory();
        m_hasMemory = m_hasMemory || m_context.answerMemory().mayHold(m_accountedBytes);
    }
}

void RequestJob::endSlowReader()
{
    if (m_phase == Phase::Ended) {
        return;
    }
    cancelAttempt();
    reportSlowReader(m_context.log(), m_context.metrics(), m_decoded.id, "memory", m_context.answerMemory().unreadBytes(m_number));
    m_exchange->abortNow();
    end(RequestOutcome::Truncated, "the caller reads too slowly");
}

void RequestJob::observeSpeed(int eventCount)
{
    if (!m_context.settings().placement.weighsSpeed || eventCount == 0 || m_relay || !m_decoded.generation || m_hasPaused) {
        return;
    }
    ClusterState &clusterState = m_context.clusterState();
    const FleetLoad load = clusterState.loadTracker.load(m_upstream.id, now());
    if (m_lastEventsAt) {
        clusterState.engineSpeed.onGap(m_upstream, load.running, load.pendingTokens, now() - *m_lastEventsAt, eventCount, now());
    }
    // A gap that begins while a prompt is read does not show the speed either.
    m_lastEventsAt = load.pendingTokens > 0 ? std::nullopt : std::optional(now());
}

void RequestJob::accountMemory()
{
    const auto bytesOf = [](const std::string &text) { return text.empty() ? 0 : text.capacity(); };
    const std::size_t bytes = bytesOf(m_body) + bytesOf(m_failureBody) + bytesOf(m_events.partialEvent()) + bytesOf(m_unverifiedData);
    m_hasMemory = m_context.answerMemory().resize(std::exchange(m_accountedBytes, bytes), bytes);
}

void RequestJob::discardAnswer()
{
    m_body = std::string();
    m_unverifiedData = std::string();
    m_events.discardPartialEvent();
    accountMemory();
}

Duration RequestJob::answerAge() const
{
    return m_hasEvents ? m_lastEventAt - m_firstEventAt : Duration();
}

// The node through which an attempt goes reports for itself.
void RequestJob::reportAnswered(AnswerProgress progress)
{
    if (!m_relay) {
        m_context.crashGuard().onAnswered(m_content, progress, answerAge());
    }
}

void RequestJob::onDrained()
{
    if (std::exchange(m_isPaused, false)) {
        m_lastReceivedAt = now();
        m_call.resume();
    }
}

void RequestJob::endAttempt()
{
    if (!m_relay) {
        m_context.clusterState().loadTracker.release(m_upstream.id, m_reservedTokens);
        m_context.clusterState().loadTracker.onEnded(m_upstream.id, m_isPromptPending ? promptTokens() : 0, now());
    }
    m_call.cancel();
    m_verification.cancel();
    m_unverifiedResult.reset();
    m_lastEventsAt.reset();
    m_hasPaused = false;
}

UnansweredRequest RequestJob::unansweredRequest() const
{
    const Clock &clock = m_context.loop().clock();
    const Time sentAtWall = clock.wallTime() - (clock.now() - m_sentAt);
    const auto lastPartAt = m_lastReceivedAt >= m_sentAt ? std::optional(m_lastReceivedAt) : std::nullopt;
    return UnansweredRequest { m_upstream, CrashSuspect { m_content, hasBegunToAnswer(), Duration(), answerAge() }, m_sentAt, sentAtWall,
        lastPartAt, std::nullopt };
}

std::optional<UnansweredRequest> RequestJob::attemptInProgress() const
{
    if (m_relay || (m_phase != Phase::Sent && m_phase != Phase::Answering)) {
        return std::nullopt;
    }
    return unansweredRequest();
}

Duration RequestJob::silence(Time now) const
{
    const bool isWaiting = !m_relay && !m_isPaused && (m_phase == Phase::Sent || m_phase == Phase::Answering);
    return isWaiting ? now - std::max(m_sentAt, m_lastReceivedAt) : Duration();
}

void RequestJob::onUpstreamStarted(const UpstreamRecord &record)
{
    const bool isAtFormerStart = m_upstream.id == record.id && m_upstream.startedAt != record.startedAt;
    const bool hasBegunStream = m_phase == Phase::Answering && m_isStreaming && m_decoded.lastEventId.empty() && m_eventsBefore == 0;
    if (!isAtFormerStart || !hasBegunStream || m_relay || unansweredRequest().sentAtWall.milliseconds() < record.startedAt) {
        return;
    }
    m_upstream = record;
    rememberOrigin();
}

void RequestJob::reportIfSilent()
{
    if (silence(now()) >= MinSilence) {
        m_context.crashGuard().detector().onSilent(unansweredRequest());
    }
}

bool RequestJob::cancelAttempt()
{
    if (m_phase != Phase::Sent && m_phase != Phase::Answering) {
        return false;
    }
    reportIfSilent();
    endAttempt();
    return true;
}

void RequestJob::onDone(const CallResult &result)
{
    if (m_phase == Phase::Ended) {
        return;
    }
    if (m_verification.isActive()) {
        m_unverifiedResult = result;
        return;
    }
    endAttempt();
    if (result.state != AttemptState::NotSent) {
        countSentAttempt();
    }
    m_isTrial = m_isTrial && (result.state == AttemptState::NotSent || (m_answer && m_answer->isNotRun));
    switch (result.state) {
    case AttemptState::NotSent:
        onNotSent(result);
        break;
    case AttemptState::Sent:
        onIncompleteAnswer(result);
        break;
    case AttemptState::Answered:
        onAnswered();
        break;
    }
}

// The relay reports the first arrival.
void RequestJob::countSentAttempt()
{
    if (m_attemptsSent++ == 0 && !m_relay) {
        m_context.reportFirstArrival(m_service);
    }
}

void RequestJob::onNotSent(const CallResult &result)
{
    m_context.log().write(RequestStep, "request", "not_sent",
        { { "request", m_decoded.id }, { "upstream", m_upstream.id.value() }, { "peer", m_relay ? m_relay->id.value() : std::string() },
            { "reason", result.detail } });
    if (m_relay) {
        m_excludedRelays.insert(m_relay->id);
        tryNext();
        return;
    }
    returnReservation();
    m_excluded.insert(m_upstream.id);
    if (result.error != ErrorKind::DeadlinePassed) {
        m_context.clusterState().outliers.onUnreachable(m_upstream.id, now());
        // An attempt that the deadline cut short says nothing about the upstream.
        if (timeLeft() >= MinUsefulTime) {
            m_context.reachabilityProber().onUnreachable(m_upstream);
        }
    }
    tryNext();
}

void RequestJob::onAnswered()
{
    if (!m_answer) {
        onIncompleteAnswer(CallResult { AttemptState::Sent, 0, ErrorKind::UpstreamFailed, "the answer has no head" });
        return;
    }
    if (m_relay && !m_answer->isSealed) {
        onRelayError();
        return;
    }
    if (m_answer->isNotRun) {
        onNotRun();
        return;
    }
    if (isStreamBrokenOff()) {
        onIncompleteAnswer(
            CallResult { AttemptState::Sent, m_answer->status, ErrorKind::UpstreamFailed, "the stream ended inside an event" });
        return;
    }
    ++m_possibleRuns;
    m_executionState = ExecutionState::MayHaveRun;
    reportAnswered(AnswerProgress::Whole);
    if (!isSuccess(m_answer->status)) {
        onServerFailure();
        return;
    }
    if (!m_relay) {
        m_context.clusterState().outliers.onSuccess(m_upstream.id, now());
    }
    if (!m_isStreaming) {
        const Platform::UpstreamAnswer answer = *m_answer;
        deliver(answer, std::move(m_body));
        return;
    }
    if (!m_events.partialEvent().empty()) {
        m_exchange->write(m_events.partialEvent()); // What follows the last event of an answer whose framing says that it is whole.
    }
    m_exchange->finish();
    learnLength();
    end(RequestOutcome::Served, "");
}

void RequestJob::learnLength()
{
    if (!m_decoded.lastEventId.empty() || m_eventsBefore > 0 || m_events.count() == 0) {
        return;
    }
    m_context.clusterState().answerLengths.onAnswer(
        m_route.name, lengthHint(), maxAnswerTokens(), m_events.count(), m_lastEventAt - m_firstEventAt);
    if (m_expectedLength) {
        m_context.metrics().answerLength(m_events.count(), m_expectedLength->expected);
    }
}

bool RequestJob::hasBegunToAnswer() const
{
    return m_route.kind == RequestKind::Stream ? m_hasEvents : !m_body.empty();
}

// A body without a length and chunks ends with its connection, also when the upstream fails. A stream without any event is none.
bool RequestJob::isStreamBrokenOff() const
{
    const bool endsAfterEvent = m_hasEvents && !m_events.isInsideEvent();
    return m_isStreaming && isSuccess(m_answer->status) && m_answer->endsWithConnection && !endsAfterEvent;
}

void RequestJob::onNotRun()
{
    constexpr int MisdirectedStatus = 421;
    constexpr int FullStatus = 503;
    m_context.metrics().upstreamFailed("not_run");
    m_context.log().write(RequestStep, "request", "not_run",
        { { "request", m_decoded.id }, { "upstream", m_upstream.id.value() }, { "status", std::int64_t(m_answer->status) },
            { "named", !m_answer->requestId.empty() }, { "earlierCalls", std::int64_t(m_answerConnection.earlierCalls) } });
    if (m_answer->status == MisdirectedStatus && needsAdapter()) {
        m_context.clusterState().residencies.markMissing(m_upstream.id, adapter());
        m_context.clusterState().outOfScope.markMissing(m_upstream.id, adapter());
    }
    if (m_answer->status == FullStatus) {
        m_context.reportFull(m_upstream);
    }
    m_excluded.insert(m_upstream.id);
    tryNext();
}

void RequestJob::onRelayError()
{
    m_context.log().write(RequestStep, "request", "relay_error",
        { { "request", m_decoded.id }, { "peer", m_relay->id.value() }, { "status", std::int64_t(m_answer->status) } });
    m_excludedRelays.insert(m_relay->id);
    if (impliesNotRun(m_answer->status) || m_answer->status < FirstServerErrorStatus) {
        tryNext();
        return;
    }
    ++m_possibleRuns;
    m_executionState = ExecutionState::MayHaveRun;
    if (m_isStreaming) {
        onStreamInterrupted();
        return;
    }
    retryOrGiveUp(ErrorKind::UpstreamFailed);
}

void RequestJob::onServerFailure()
{
    m_context.metrics().upstreamFailed("failed");
    if (!m_relay) {
        m_context.clusterState().outliers.onFailure(m_upstream.id, now());
    }
    m_context.log().write(Important, "request", "upstream_failed",
        { { "request", m_decoded.id }, { "upstream", m_upstream.id.value() }, { "status", std::int64_t(m_answer->status) } });
    if (m_isStreaming) {
        onStreamInterrupted();
        return;
    }
    m_failure = m_answer;
    m_failureBody = std::move(m_body);
    retryOrGiveUp(ErrorKind::UpstreamFailed);
}

void RequestJob::onIncompleteAnswer(const CallResult &result)
{
    m_context.metrics().upstreamFailed("broken");
    ++m_possibleRuns;
    m_executionState = ExecutionState::MayHaveRun;
    m_context.log().write(Important, "request", "broken",
        { { "request", m_decoded.id }, { "upstream", m_upstream.id.value() }, { "peer", m_relay ? m_relay->id.value() : std::string() },
            { "content", digestName(m_content.request) }, { "reason", m_breakReason.empty() ? result.detail : m_breakReason },
            { "afterMs", (now() - m_sentAt).milliseconds() } });
    if (m_relay) {
        m_excludedRelays.insert(m_relay->id);
    } else {
        m_isAccused = m_context.crashGuard().isAccused(m_content);
        // A process that answers, however badly, has not ended under the request.
        if (!result.isMalformed) {
            UnansweredRequest request = unansweredRequest();
            request.brokenAt = m_context.loop().clock().now();
            m_context.crashGuard().detector().onBroken(request);
        }
        m_context.clusterState().outliers.onFailure(m_upstream.id, now());
        m_context.reachabilityProber().onBroken(m_service);
    }
    if (m_isStreaming) {
        onStreamInterrupted();
        return;
    }
    retryOrGiveUp(result.error == ErrorKind::UpstreamTimeout ? ErrorKind::UpstreamTimeout : ErrorKind::UpstreamFailed);
}

bool RequestJob::hasAttemptsLeft() const
{
    return m_possibleRuns < m_maxAttempts && !m_isAccused;
}

void RequestJob::onStreamInterrupted()
{
    m_events.discardPartialEvent();
    if (!m_route.isResumable || !hasAttemptsLeft() || !m_origin) {
        abortStream("the upstream did not finish the stream");
        return;
    }
    m_excluded.insert(m_upstream.id);
    tryNext();
}

void RequestJob::retryOrGiveUp(ErrorKind kind)
{
    m_excluded.insert(m_upstream.id);
    if (isRepeatable() && hasAttemptsLeft()) {
        tryNext();
        return;
    }
    giveUp(kind);
}

void RequestJob::deliver(const Platform::UpstreamAnswer &answer, std::string body)
{
    // These statuses tell the caller that it is safe to send the request again. The upstream did not state that it had not run the request,
    // so they must not be forwarded.
    if (impliesNotRun(answer.status)) {
        refuse(ErrorKind::UpstreamFailed, RetryAfterRefusal);
        return;
    }
    m_exchange->respond(answer.status, withConnectionHeader(answer.callerHeaders, m_context.callbacks().isLeaving()), std::move(body));
    const bool isServed = isSuccess(answer.status);
    end(isServed ? RequestOutcome::Served : RequestOutcome::Failed, isServed ? "" : "the upstream failed");
}

// Ends the request with the complete error answer of an upstream if there is one, otherwise with an error of this node.
void RequestJob::giveUp(ErrorKind kind)
{
    if (m_failure && !m_isStreaming) {
        const Platform::UpstreamAnswer answer = *m_failure;
        deliver(answer, std::move(m_failureBody));
    } else {
        refuse(kind, errorAnswer(kind).retry == RetryAdvice::Never ? Duration(0) : retryAfterRefusal());
    }
}

void RequestJob::refuse(ErrorKind kind, Duration retryAfter)
{
    if (m_isStreaming) {
        abortStream(std::string(errorAnswer(kind).code));
        return;
    }
    // Never report a request as not run if an upstream may have begun it, or the caller would run it a second time.
    const bool wouldClaimNotRun = m_executionState == ExecutionState::MayHaveRun && errorAnswer(kind).runState == RunState::NotRun;
    const ErrorKind reportedKind = wouldClaimNotRun ? ErrorKind::UpstreamFailed : kind;
    const bool isNotRun = errorAnswer(reportedKind).runState == RunState::NotRun;
    ApricotStep::refuse(*m_exchange, reportedKind, { isNotRun ? retryAfter : Duration(0), m_context.callbacks().isLeaving() });
    end(isNotRun ? RequestOutcome::Refused : RequestOutcome::Failed, std::string(errorAnswer(reportedKind).code));
}

void RequestJob::abortStream(const std::string &reason)
{
    m_context.log().write(Important, "request", "stream_cut",
        { { "request", m_decoded.id }, { "route", m_route.name }, { "configVersion", std::int64_t(m_table->version().value()) },
            { "upstream", m_upstream.id.value() }, { "runs", std::int64_t(m_possibleRuns) }, { "lastEvent", m_events.lastId() },
            { "silentMs", (now() - m_lastReceivedAt).milliseconds() }, { "paused", m_isPaused },
            { "hadMs", (m_deadline - m_arrivedAt).milliseconds() }, { "leftMs", timeLeft().milliseconds() } });
    m_exchange->abort();
    end(RequestOutcome::Truncated, reason);
}

void RequestJob::onDeadline()
{
    if (m_phase == Phase::Ended) {
        return;
    }
    const bool wasAtUpstream = cancelAttempt();
    giveUp(wasAtUpstream || m_executionState == ExecutionState::MayHaveRun ? ErrorKind::UpstreamTimeout : ErrorKind::NoUpstream);
}

void RequestJob::onNodeStops()
{
    if (m_phase == Phase::Ended) {
        return;
    }
    if (cancelAttempt()) {
        m_executionState = ExecutionState::MayHaveRun;
    }
    giveUp(ErrorKind::Draining);
}

void RequestJob::onCallerGone()
{
    if (m_phase == Phase::Ended) {
        return;
    }
    end(RequestOutcome::CallerGone, cancelAttempt() ? "an upstream was at work" : "");
}

StreamTiming RequestJob::streamTiming() const
{
    if (m_firstEventAfter > m_route.latencyObjective) {
        return StreamTiming::LateFirstEvent;
    }
    const bool hasBound = m_route.eventGapObjective > Duration();
    return hasBound && m_eventGaps.longest() > m_route.eventGapObjective ? StreamTiming::LateEventGap : StreamTiming::OnTime;
}

// The node through which a request goes observes the gaps of the upstreams itself.
void RequestJob::reportStreamTiming()
{
    if (!m_firstEventAfter) {
        return;
    }
    m_context.metrics().streamEnded(streamTiming());
    if (!m_relay && m_route.eventGapObjective > Duration()) {
        m_context.clusterState().eventGaps.onStreamEnded(m_service, m_eventGaps.longest() > m_route.eventGapObjective);
    }
}

void RequestJob::end(RequestOutcome outcome, const std::string &reason)
{
    m_context.metrics().requestEnded(m_route.kind, outcome, now() - m_arrivedAt);
    reportStreamTiming();
    const bool wasNeverSent = outcome == RequestOutcome::CallerGone && m_executionState == ExecutionState::NotRun
        && (m_phase == Phase::LookingUp || m_phase == Phase::Waiting || m_phase == Phase::Reserving);
    if (m_phase == Phase::Reserving) {
        m_context.cancelReservation(m_upstream, m_reservation);
    }
    if (m_team.cost > 0 && (outcome == RequestOutcome::Refused || wasNeverSent)) {
        m_context.giveBackCredit(*m_team.team, m_team.cost, m_team.admittedAt);
    }
    m_phase = Phase::Ended;
    m_context.answerMemory().resize(std::exchange(m_accountedBytes, 0), 0);
    const Time readUntil = m_isStreaming ? m_deadline : now() + m_context.settings().answers.maxDeliveryTime;
    m_context.answerDelivery().add(m_number, { m_decoded.id, m_exchange, readUntil });
    m_context.loop().cancel(m_deadlineTimer);
    m_context.loop().cancel(m_waitTimer);
    logEnd(outcome, reason);
    m_context.onEnded(m_number);
}

void RequestJob::logEnd(RequestOutcome outcome, const std::string &reason)
{
    const LogField request { "request", m_decoded.id };
    const LogField arrivals { "arrivals", std::int64_t(m_attemptsSent) };
    const LogField took { "tookMs", (now() - m_arrivedAt).milliseconds() };
    const LogField had { "hadMs", (m_deadline - m_arrivedAt).milliseconds() };
    const EventLog::Severity severity = reason.empty() ? RequestStep : Important;
    if (outcome == RequestOutcome::Served && m_isStreaming) {
        m_context.log().write(severity, "request", outcomeName(outcome),
            { request, { "reason", reason }, arrivals, took, had, { "events", std::int64_t(m_events.count()) },
                { "expectedEvents", m_expectedLength ? std::int64_t(std::llround(m_expectedLength->expected)) : -1 },
                { "firstEventMs", m_firstEventAfter ? m_firstEventAfter->milliseconds() : -1 },
                { "longestGapMs", m_eventGaps.longest().milliseconds() } });
        return;
    }
    m_context.log().write(severity, "request", outcomeName(outcome), { request, { "reason", reason }, arrivals, took, had });
}

} // namespace ApricotStep
