#include "main/enginerunner.h"

#include "coordination/concurrencylimit.h"
#include "core/hash.h"
#include "core/result.h"
#include "main/deferredactions.h"
#include "main/delayedtasks.h"
#include "main/enginejobs.h"
#include "main/log.h"
#include "main/ownershiprunner.h"
#include "main/permitrunner.h"
#include "protocol/callerapi.h"
#include "protocol/engineapi.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr int OkStatus = 200;
// Used if no better value is known. Long enough for a load or a change of owner to begin.
constexpr Duration DefaultRetryAfter = Duration::seconds(1);
constexpr std::size_t MaxOrderAnswerBytes = 4096;
// A batch of less than a quarter of the maximum wastes engine capacity even if the engine is slow. The time to first token varies with the
// prompt length, so a value of up to twice the usual one does not count as overload.
constexpr int MinBatchDivisor = 4;
constexpr double EngineLatencyTolerance = 2;

// The result of an order (load or eviction) to an engine.
struct OrderResult
{
    bool isDone = false;
    bool isUnknown = false;
    /** The engine was unreachable, timed out or closed the connection. */
    bool isEngineFault = false;
};

SchedulerLimits schedulerLimits(const UpstreamSpec &spec, const Settings &settings, bool needsPermits)
{
    SchedulerLimits limits;
    limits.slots = spec.slots;
    limits.batch = spec.batch;
    limits.loadTime = settings.duration("scheduling.load_time_ms");
    limits.stallWeight = static_cast<int>(settings.number("scheduling.stall_weight"));
    limits.batchWeight = static_cast<int>(settings.number("scheduling.batch_weight"));
    limits.urgentSeatsPercent = static_cast<int>(settings.number("scheduling.urgent_seats_percent"));
    limits.urgentSlotsPercent = static_cast<int>(settings.number("scheduling.urgent_slots_percent"));
    limits.seed = stableHash(spec.id.value());
    limits.needsPermits = needsPermits;
    return limits;
}

} // namespace

void respondError(HttpExchange &exchange, ErrorKind kind, const ErrorDetails &details)
{
    ErrorDetails adjusted = details;
    // A caller that is advised to wait without a delay would retry immediately.
    if (adjusted.retryAfter == Duration(0) && errorAnswer(kind).retry == RetryAdvice::AfterDelay) {
        adjusted.retryAfter = DefaultRetryAfter;
    }
    HttpHeaders headers { { "Content-Type", "application/json" } };
    if (adjusted.retryAfter > Duration(0)) {
        headers.emplace_back("Retry-After", std::to_string((adjusted.retryAfter.milliseconds() + 999) / 1000));
    }
    exchange.respond(errorAnswer(kind).httpStatus, headers, errorBody(kind, adjusted));
}

struct EngineRunner::Private : std::enable_shared_from_this<Private>
{
    Private(const UpstreamSpec &upstream, const EngineContext &aContext)
        : spec(upstream)
        , context(aContext)
        , log(componentLogger("engine"))
        , scheduler(schedulerLimits(upstream, aContext.settings, aContext.permits != nullptr))
        , limit({ std::max(1, upstream.batch / MinBatchDivisor), upstream.batch, EngineLatencyTolerance })
    {
    }

    const UpstreamSpec spec;
    const EngineContext context;
    Logger log;

    mutable absl::Mutex mutex;
    UpstreamScheduler scheduler ABSL_GUARDED_BY(mutex);
    ConcurrencyLimit limit ABSL_GUARDED_BY(mutex);
    int batchLimit ABSL_GUARDED_BY(mutex) = spec.batch;
    EngineJobs jobs;
    std::uint64_t adapterLossCount ABSL_GUARDED_BY(mutex) = 0;
    DelayedTasks delayedTasks;
    /** Null if no other node can own the engine. Set once, before the first event. */
    std::unique_ptr<OwnershipRunner> ownershipRunner;
    DeferredActions deferred;

    void startOwnershipRunner();
    void resumeDeferred();
    void release(RequestId id, ErrorKind kind);
    void finishEvict(const AdapterKey &adapter, const OrderResult &result);
    void handle(const SchedulerEvent &event);
    void carryOut(const RequestPermit &action);
    void carryOut(const ReleasePermit &action);
    void carryOut(const StartLoad &action);
    void carryOut(const StartEvict &action);
    void carryOut(const Dispatch &action);
    void carryOut(const Refuse &action);
    void order(HttpCall call, std::function<void(const OrderResult &)> done);
    HttpCall orderCall(std::string_view path, std::string body) const;
    void startLoad(const AdapterKey &adapter, std::optional<FencingToken> token);
    void startDispatch(RequestId id);

    void submit(CompletionJob completion);
    void rerouteWaiting(const AdapterKey &adapter);
    RetryContext retryContextOf(const EngineJob &job);
    HttpCall callFor(const EngineJobPointer &job);
    bool maySend(const EngineJobPointer &job) const;
    bool onData(const EngineJobPointer &job, std::string_view data);
    void onDone(const EngineJobPointer &job, const CallResult &result);
    void recordOutcome(const EngineJob &job, const ReplyEnd &end);
    void updateBatchLimit(const EngineJob &job, bool isComplete, bool isFault);
    void onAdaptersLost(const EngineJob &job);
    void afterFailure(const EngineJobPointer &job, const AttemptFailure &failure, const std::string &detail, Duration retryAfter);
    void tryAgain(const EngineJobPointer &job, const TryAgain &retryPlan, const std::string &detail);
    void fail(const EngineJobPointer &job, ErrorKind kind, const std::string &detail, Duration retryAfter);
    void onServed(const EngineJobPointer &job);
    void callerGone(RequestId id);
};

// Decisions are made under the lock. They are carried out after its release, since that does I/O and may call handle() again.
void EngineRunner::Private::handle(const SchedulerEvent &event)
{
    std::vector<SchedulerAction> actions;
    {
        const absl::MutexLock lock(&mutex);
        actions = scheduler.handle(event, context.clock.now());
    }
    for (const SchedulerAction &action : actions) {
        std::visit([this](const auto &what) { carryOut(what); }, action);
    }
}

HttpCall EngineRunner::Private::orderCall(std::string_view path, std::string body) const
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + spec.address + std::string(path);
    call.headers = { { "Content-Type", "application/json" } };
    call.body = std::move(body);
    call.connectTimeout = context.settings.duration("upstreams.connect_timeout_ms");
    call.totalTimeout = context.settings.duration("upstreams.load_timeout_ms");
    return call;
}

void EngineRunner::Private::order(HttpCall call, std::function<void(const OrderResult &)> done)
{
    const auto answer = std::make_shared<std::string>();
    call.onData = [answer](std::string_view data) {
        answer->append(data.substr(0, MaxOrderAnswerBytes - std::min(MaxOrderAnswerBytes, answer->size())));
        return true;
    };
    call.onDone = [self = shared_from_this(), answer, done = std::move(done)](const CallResult &result) {
        const bool isAnswered = result.state == AttemptState::Answered;
        if (self->ownershipRunner != nullptr && isAnswered && isFencedAnswer(result.status, *answer)) {
            self->ownershipRunner->onOrderFenced();
        }
        // An order that was sent but not answered may have been carried out.
        done({ isAnswered && result.status == OkStatus, result.state == AttemptState::Sent, !isAnswered && isUpstreamFault(result.error) });
    };
    context.client.start(std::move(call));
}

void EngineRunner::Private::carryOut(const RequestPermit &action)
{
    if (context.permits != nullptr) {
        context.permits->requestPermit(spec.id, action);
    }
}

void EngineRunner::Private::carryOut(const ReleasePermit &action)
{
    if (context.permits != nullptr) {
        context.permits->release(spec.id, action);
    }
}

// The load is deferred while this node does not hold the ownership, since another node may be filling the engine's slots.
void EngineRunner::Private::carryOut(const StartLoad &action)
{
    const auto token = ownershipRunner == nullptr ? std::nullopt : ownershipRunner->loadToken();
    if (ownershipRunner != nullptr && !token.has_value()) {
        deferred.addLoad(action.adapter, context.clock.now());
        return;
    }
    startLoad(action.adapter, token);
}

void EngineRunner::Private::startLoad(const AdapterKey &adapter, std::optional<FencingToken> token)
{
    const Time startedAt = context.clock.now();
    HttpCall call = orderCall(EngineLoadPath, engineLoadBody(adapter));
    if (token.has_value()) {
        call.headers.emplace_back(std::string(FencingHeader), std::to_string(token->value()));
        call.maySend = [self = shared_from_this(), token] { return self->ownershipRunner->loadToken() == token; };
    }
    order(std::move(call), [self = shared_from_this(), adapter, startedAt](const OrderResult &result) {
        const bool isLoaded = result.isDone;
        self->context.metrics.adapterLoad(isLoaded, self->context.clock.now() - startedAt);
        self->log->info("Load of {} on {} {}.", adapter.name(), self->spec.id.value(), isLoaded ? "done" : "failed");
        if (result.isEngineFault) {
            self->context.health.onFailure(self->spec.id);
        }
        self->handle(LoadFinished { adapter, isLoaded, result.isUnknown });
        if (!isLoaded) {
            self->rerouteWaiting(adapter);
        }
    });
}

void EngineRunner::Private::carryOut(const StartEvict &action)
{
    HttpCall call = orderCall(EngineUnloadPath, engineUnloadBody(action.adapter));
    if (ownershipRunner != nullptr) {
        const auto token = ownershipRunner->evictToken(action.adapter);
        if (!token.has_value()) {
            handle(EvictFinished { action.adapter, false, false });
            return;
        }
        call.headers.emplace_back(std::string(FencingHeader), std::to_string(token->value()));
        call.maySend = [self = shared_from_this(), token, adapter = action.adapter] {
            return self->ownershipRunner->evictToken(adapter) == token;
        };
        // libcurl resends a request by itself if a reused connection fails. A late second eviction could hit an adapter that was loaded
        // since.
        call.isRepeatable = false;
    }
    order(std::move(call), [self = shared_from_this(), adapter = action.adapter](const OrderResult &result) {
        self->context.metrics.eviction(result.isDone);
        self->finishEvict(adapter, result);
    });
}

// An eviction without an answer may still reach the engine. If its adapter were used again immediately, the eviction could unload it under
// a running request, so the end of the eviction is reported after the dispatch delay.
void EngineRunner::Private::finishEvict(const AdapterKey &adapter, const OrderResult &result)
{
    if (!result.isUnknown) {
        handle(EvictFinished { adapter, result.isDone, false });
        return;
    }
    const Time due = context.clock.now() + context.settings.duration("ownership.dispatch_delay_ms");
    delayedTasks.add(due, [this, adapter] { handle(EvictFinished { adapter, false, true }); });
}

void EngineRunner::Private::startOwnershipRunner()
{
    if (context.ownership == nullptr) {
        return;
    }
    ownershipRunner = std::make_unique<OwnershipRunner>(
        spec, context.settings, context.client, context.clock, *context.ownership, [weak = weak_from_this()](const SchedulerEvent &event) {
            if (const auto self = weak.lock()) {
                self->handle(event);
            }
        });
}

// Resumes actions that were deferred until this node holds the ownership. If this node no longer owns the engine or cannot reach it, or the
// engine is leaving, deferred requests are retried elsewhere and deferred loads fail.
void EngineRunner::Private::resumeDeferred()
{
    const Time now = context.clock.now();
    const bool isLost = !ownershipRunner->isOwner() || ownershipRunner->isUnresponsive() || ownershipRunner->isLeaving();
    const ErrorKind kind = ownershipRunner->isUnresponsive() ? ErrorKind::UpstreamUnreachable : ErrorKind::WrongNode;
    for (const RequestId id : deferred.takeDispatches()) {
        const EngineJobPointer job = jobs.find(id);
        if (job == nullptr || ownershipRunner->mayDispatch()) {
            startDispatch(id);
        } else if (isLost || now >= job->completion.work.deadline) {
            release(id, isLost ? kind : ErrorKind::DeadlinePassed);
        } else {
            deferred.addDispatch(id);
        }
    }
    const Time oldest = now - context.settings.duration("upstreams.load_timeout_ms");
    for (const DeferredLoad &load : deferred.takeLoads()) {
        const auto token = ownershipRunner->loadToken();
        if (token.has_value()) {
            startLoad(load.adapter, token);
        } else if (isLost || load.since < oldest) {
            handle(LoadFinished { load.adapter, false, false });
            rerouteWaiting(load.adapter);
        } else {
            deferred.addLoad(load.adapter, load.since);
        }
    }
}

void EngineRunner::Private::release(RequestId id, ErrorKind kind)
{
    const EngineJobPointer job = jobs.find(id);
    const bool isTaken = job != nullptr && jobs.takeWaiting(id);
    handle(WorkFinished { id });
    if (isTaken) {
        afterFailure(job, { AttemptPhase::Queued, kind, false }, "this node does not own the engine now", Duration());
    }
}

void EngineRunner::Private::carryOut(const Dispatch &action)
{
    if (ownershipRunner != nullptr && !ownershipRunner->mayDispatch()) {
        deferred.addDispatch(action.id);
        return;
    }
    startDispatch(action.id);
}

void EngineRunner::Private::startDispatch(RequestId id)
{
    const EngineJobPointer job = jobs.claimForDispatch(id);
    if (job == nullptr) {
        handle(WorkFinished { id });
        return;
    }
    job->dispatchedAt = context.clock.now();
    {
        const absl::MutexLock lock(&mutex);
        job->adapterLossCount = adapterLossCount;
        job->inFlight = scheduler.runningCount();
    }
    job->call = context.client.start(callFor(job));
    job->completion.exchange->onDrained([self = shared_from_this(), job] { self->context.client.resume(job->call); });
}

HttpCall EngineRunner::Private::callFor(const EngineJobPointer &job)
{
    const CompletionJob &completion = job->completion;
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + spec.address + completion.path;
    call.headers = { { "Content-Type", "application/json" }, { std::string(AttemptHeader), completion.attemptId() },
        { "X-Priority", std::string(PriorityNames[static_cast<std::size_t>(completion.work.priority)]) },
        { "X-Deadline-Ms", std::to_string(timeLeft(completion.work.deadline, context.clock.now()).milliseconds()) } };
    call.body = completion.body;
    call.connectTimeout = context.settings.duration("upstreams.connect_timeout_ms");
    call.inactivityTimeout = context.settings.duration("upstreams.silence_timeout_ms");
    call.maySend = [self = shared_from_this(), job] { return self->maySend(job); };
    call.onHead = [job](int status, const auto &headers) { job->reply.onHead(status, headers); };
    call.onData = [self = shared_from_this(), job](std::string_view data) { return self->onData(job, data); };
    call.onDone = [self = shared_from_this(), job](const CallResult &result) { self->onDone(job, result); };
    return call;
}

void EngineRunner::Private::carryOut(const Refuse &action)
{
    const EngineJobPointer job = jobs.take(action.id);
    if (job != nullptr) {
        afterFailure(job, { AttemptPhase::Queued, action.kind, false }, {}, action.retryAfter);
    }
}

// After a failed load the scheduler keeps the waiting requests for another load attempt. If the engine is gone, that attempt fails too and
// callers would wait for its backoff, so requests that another engine can take are moved there now.
void EngineRunner::Private::rerouteWaiting(const AdapterKey &adapter)
{
    for (const EngineJobPointer &job : jobs.waitingFor(adapter)) {
        const RetryContext retryContext = retryContextOf(*job);
        const AttemptFailure failure { AttemptPhase::Queued, ErrorKind::AdapterLoadFailed, false };
        if (!retryContext.hasOtherUpstream) {
            continue;
        }
        const RetryDecision decision = context.health.decide(failure, retryContext, EnginePool);
        const auto *again = std::get_if<TryAgain>(&decision);
        if (again != nullptr && jobs.takeWaiting(job->completion.work.id)) {
            handle(WorkCancelled { job->completion.work.id });
            tryAgain(job, *again, "its adapter could not be loaded");
        }
    }
}

bool EngineRunner::Private::maySend(const EngineJobPointer &job) const
{
    return !job->isCallerGone && context.clock.now() < job->completion.work.deadline
        && (ownershipRunner == nullptr || ownershipRunner->mayDispatch());
}

bool EngineRunner::Private::onData(const EngineJobPointer &job, std::string_view data)
{
    const bool canContinue = job->reply.onData(data, context.clock.now());
    if (job->reply.isTooLarge()) {
        context.client.cancel(job->call);
    }
    return canContinue;
}

void EngineRunner::Private::onDone(const EngineJobPointer &job, const CallResult &result)
{
    const ReplyEnd end = job->reply.end(result);
    jobs.take(job->completion.work.id);
    recordOutcome(*job, end);
    // Must precede WorkFinished, which could otherwise dispatch more requests to an adapter that is not loaded.
    if (end.failure.isAdapterMissing) {
        onAdaptersLost(*job);
    }
    handle(WorkFinished { job->completion.work.id });
    if (end.isComplete) {
        job->reply.deliver();
        onServed(job);
        return;
    }
    if (job->reply.isFromOtherAttempt()) {
        context.metrics.lateAnswerDropped();
    }
    afterFailure(job, end.failure, end.detail, Duration());
}

// A failed call that the caller has abandoned does not count against the engine.
void EngineRunner::Private::recordOutcome(const EngineJob &job, const ReplyEnd &end)
{
    const bool isFault = !end.isComplete && isUpstreamFault(end.failure.kind) && !job.isCallerGone;
    if (end.isComplete) {
        context.health.onSuccess(spec.id, EnginePool);
    } else if (isFault) {
        context.health.onFailure(spec.id);
    }
    updateBatchLimit(job, end.isComplete, isFault);
}

void EngineRunner::Private::updateBatchLimit(const EngineJob &job, bool isComplete, bool isFault)
{
    const Time now = context.clock.now();
    int allowed = 0;
    {
        const absl::MutexLock lock(&mutex);
        if (isFault) {
            limit.onDropped(now);
        } else if (isComplete && job.reply.hasSentToCaller()) {
            // Only streams measure the time to first token; the time of a buffered answer grows with its length.
            limit.onSample(job.reply.firstByteAt() - job.dispatchedAt, job.inFlight, now);
        }
        allowed = limit.limit();
        if (allowed == batchLimit) {
            return;
        }
        batchLimit = allowed;
    }
    handle(BatchLimited { allowed });
}

// Each request that hits a restart notices it. The scheduler must be told only once: a second event would make
// it discard its record of adapters loaded since.
void EngineRunner::Private::onAdaptersLost(const EngineJob &job)
{
    {
        const absl::MutexLock lock(&mutex);
        if (job.adapterLossCount != adapterLossCount) {
            return;
        }
        ++adapterLossCount;
    }
    log->warn("{} lost its adapters and has probably restarted.", spec.id.value());
    context.health.onRestart(spec.id);
    handle(UpstreamRestarted {});
}

void EngineRunner::Private::afterFailure(
    const EngineJobPointer &job, const AttemptFailure &failure, const std::string &detail, Duration retryAfter)
{
    if (job->isCallerGone) {
        fail(job, ErrorKind::CallerGone, detail, Duration());
        return;
    }
    const RetryDecision decision = context.health.decide(failure, retryContextOf(*job), EnginePool);
    std::visit(Overloaded {
                   [&](const TryAgain &retryPlan) { tryAgain(job, retryPlan, detail); },
                   [&](const GiveUp &end) { fail(job, end.kind, detail, retryAfter); },
               },
        decision);
}

RetryContext EngineRunner::Private::retryContextOf(const EngineJob &job)
{
    RetryContext retryContext;
    retryContext.hasSentToCaller = job.reply.hasSentToCaller();
    retryContext.attempts = job.completion.attempts + 1;
    retryContext.deadline = job.completion.work.deadline;
    retryContext.hasOtherUpstream = context.router.hasOther(job.completion, spec.id);
    return retryContext;
}

void EngineRunner::Private::tryAgain(const EngineJobPointer &job, const TryAgain &retryPlan, const std::string &detail)
{
    CompletionJob next = job->completion;
    ++next.attempts;
    log->info("[{}] upstream={} attempt={} failed, trying again. detail='{}'", next.requestId, spec.id.value(), next.attempts, detail);
    if (retryPlan.target == RetryTarget::OtherUpstream) {
        next.tried.push_back(spec.id);
        context.router.routeToOther(std::move(next));
    } else if (retryPlan.delay > Duration(0)) {
        delayedTasks.add(context.clock.now() + retryPlan.delay, [this, next = std::move(next)] { submit(next); });
    } else {
        submit(std::move(next));
    }
}

void EngineRunner::Private::onServed(const EngineJobPointer &job)
{
    const WorkItem &work = job->completion.work;
    const Time now = context.clock.now();
    const Time firstByteAt = job->reply.firstByteAt() == Time() ? now : job->reply.firstByteAt();
    context.metrics.completionServed(work.priority, job->dispatchedAt - work.arrival, firstByteAt - work.arrival, now - work.arrival);
    log->info("[{}] caller={} adapter={} upstream={} outcome=ok status={} attempts={} ms={}", job->completion.requestId,
        work.caller.value(), work.adapter.name(), spec.id.value(), job->reply.status(), job->completion.attempts + 1,
        (now - work.arrival).milliseconds());
}

void EngineRunner::Private::fail(const EngineJobPointer &job, ErrorKind kind, const std::string &detail, Duration retryAfter)
{
    const WorkItem &work = job->completion.work;
    ErrorDetails details;
    details.detail = detail;
    details.retryAfter = retryAfter;
    details.requestId = job->completion.requestId;
    context.metrics.completionFailed(work.priority, kind);
    log->info("[{}] caller={} adapter={} upstream={} outcome={} detail='{}' attempts={} ms={}", job->completion.requestId,
        work.caller.value(), work.adapter.name(), spec.id.value(), errorAnswer(kind).code, detail, job->completion.attempts + 1,
        (context.clock.now() - work.arrival).milliseconds());
    if (job->reply.hasSentToCaller()) {
        job->reply.abortStream(job->completion.requestId, detail);
        return;
    }
    respondError(*job->completion.exchange, kind, details);
}

void EngineRunner::Private::callerGone(RequestId id)
{
    const EngineJobPointer job = jobs.find(id);
    if (job == nullptr) {
        return;
    }
    job->isCallerGone = true;
    if (job->call != 0) {
        context.client.cancel(job->call); // onDone() ends the job.
        return;
    }
    jobs.take(id);
    handle(WorkCancelled { id });
    fail(job, ErrorKind::CallerGone, {}, Duration());
}

void EngineRunner::Private::submit(CompletionJob completion)
{
    const auto job = std::make_shared<EngineJob>(std::move(completion));
    const WorkItem &work = job->completion.work;
    jobs.add(job);
    job->completion.exchange->onCallerGone([weak = weak_from_this(), id = work.id] {
        if (const auto self = weak.lock()) {
            self->callerGone(id);
        }
    });
    handle(WorkArrived { work });
}

EngineRunner::EngineRunner(const UpstreamSpec &spec, const EngineContext &context)
    : d(std::make_shared<Private>(spec, context))
{
    d->startOwnershipRunner();
}

EngineRunner::~EngineRunner() = default;

void EngineRunner::onPermitEvent(const SchedulerEvent &event)
{
    d->handle(event);
}

void EngineRunner::submit(CompletionJob job)
{
    d->submit(std::move(job));
}

void EngineRunner::tick()
{
    d->delayedTasks.run(d->context.clock.now());
    if (d->ownershipRunner != nullptr) {
        d->ownershipRunner->tick();
        d->resumeDeferred();
    }
    d->handle(Tick {});
}

EngineStatus EngineRunner::status() const
{
    const absl::MutexLock lock(&d->mutex);
    return { d->spec.id, d->scheduler.queuedCount(), d->scheduler.runningCount(), d->scheduler.residentAdapters() };
}

int EngineRunner::depth() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->scheduler.queuedCount() + d->scheduler.runningCount();
}

} // namespace ApricotStep
