#include "main/enginerunner.h"

#include "core/hash.h"
#include "core/result.h"
#include "main/log.h"
#include "protocol/callerapi.h"
#include "protocol/engineapi.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>

namespace ApricotStep
{

namespace
{

constexpr std::size_t MaxWholeAnswerBytes = 64U << 20U;
constexpr std::string_view StreamEnd = "data: [DONE]";
constexpr int OkStatus = 200;
// An engine says so, before it runs anything, of an adapter that it does not hold.
constexpr int NotLoadedStatus = 404;

// One job from its arrival to its end. The fields after `call` belong to the client's thread once the job is dispatched.
struct Job
{
    CompletionJob what;
    Time dispatchedAt;
    std::atomic<CallId> call { 0 };
    std::atomic<bool> isGone { false };

    int status = 0;
    bool isBegun = false;
    bool isForeign = false;
    Time firstByteAt;
    std::string body;
    std::string tail;
    std::string contentType = "application/json";
};

using JobPointer = std::shared_ptr<Job>;

// How an order to an engine ended.
struct OrderResult
{
    bool isDone = false;
    bool isUnknown = false;
};

SchedulerLimits schedulerLimits(const UpstreamSpec &spec, const Settings &settings)
{
    SchedulerLimits limits;
    limits.slots = spec.slots;
    limits.batch = spec.batch;
    limits.loadTime = settings.duration("scheduling.load_time_ms");
    limits.parallelLoads = static_cast<int>(settings.number("scheduling.store_parallel"));
    limits.stallWeight = static_cast<int>(settings.number("scheduling.stall_weight"));
    limits.batchWeight = static_cast<int>(settings.number("scheduling.batch_weight"));
    limits.urgentSeatsPercent = static_cast<int>(settings.number("scheduling.urgent_seats_percent"));
    limits.seed = stableHash(spec.id.value());
    return limits;
}

} // namespace

void respondError(HttpExchange &exchange, ErrorKind kind, const ErrorDetails &details)
{
    HttpHeaders headers { { "Content-Type", "application/json" } };
    if (details.retryAfter > Duration(0)) {
        headers.emplace_back("Retry-After", std::to_string((details.retryAfter.milliseconds() + 999) / 1000));
    }
    exchange.respond(errorAnswer(kind).httpStatus, headers, errorBody(kind, details));
}

struct EngineRunner::Private : std::enable_shared_from_this<Private>
{
    Private(const UpstreamSpec &upstream, const Settings &allSettings, HttpClient &httpClient, const Clock &aClock, Metrics &allMetrics)
        : spec(upstream)
        , settings(allSettings)
        , client(httpClient)
        , clock(aClock)
        , metrics(allMetrics)
        , log(partLog("engine"))
        , scheduler(schedulerLimits(upstream, allSettings))
    {
    }

    const UpstreamSpec spec;
    const Settings &settings;
    HttpClient &client;
    const Clock &clock;
    Metrics &metrics;
    Logger log;

    mutable absl::Mutex mutex;
    UpstreamScheduler scheduler ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<RequestId, JobPointer> jobs ABSL_GUARDED_BY(mutex);

    void handle(const SchedulerEvent &event);
    void carryOut(const AskPermit &action);
    void carryOut(const ReturnPermit &action);
    void carryOut(const StartLoad &action);
    void carryOut(const StartEvict &action);
    void carryOut(const Dispatch &action);
    void carryOut(const Refuse &action);
    void order(std::string_view path, std::string body, std::function<void(const OrderResult &)> done);

    JobPointer job(RequestId id) const;
    JobPointer takeJob(RequestId id);
    bool maySend(const JobPointer &job) const;
    void onHead(const JobPointer &job, int status, const std::vector<std::pair<std::string, std::string>> &headers);
    bool onData(const JobPointer &job, std::string_view data);
    void onDone(const JobPointer &job, const CallResult &result);
    void answerWhole(const JobPointer &job);
    void fail(const JobPointer &job, ErrorKind kind, const std::string &detail, Duration retryAfter);
    void served(const JobPointer &job);
    void callerGone(RequestId id);
};

// Decisions are made under the lock and carried out after it, since carrying out does I/O and may come back in here.
void EngineRunner::Private::handle(const SchedulerEvent &event)
{
    std::vector<SchedulerAction> actions;
    {
        const absl::MutexLock lock(&mutex);
        actions = scheduler.handle(event, clock.now());
    }
    for (const SchedulerAction &action : actions) {
        std::visit([this](const auto &what) { carryOut(what); }, action);
    }
}

void EngineRunner::Private::order(std::string_view path, std::string body, std::function<void(const OrderResult &)> done)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + spec.address + std::string(path);
    call.headers = { { "Content-Type", "application/json" } };
    call.body = std::move(body);
    call.connectTimeout = settings.duration("upstreams.connect_timeout_ms");
    call.totalTimeout = settings.duration("upstreams.load_timeout_ms");
    call.onDone = [done = std::move(done)](const CallResult &result) {
        // Once sent and unanswered, the order may have been carried out all the same.
        done({ result.state == AttemptState::Answered && result.status == OkStatus, result.state == AttemptState::Sent });
    };
    client.start(std::move(call));
}

void EngineRunner::Private::carryOut(const AskPermit &action)
{
    handle(PermitGranted { action.adapter, clock.now() + Duration::seconds(5) });
}

// Without permits of the fleet there is nobody to give one back to.
void EngineRunner::Private::carryOut(const ReturnPermit &)
{
}

void EngineRunner::Private::carryOut(const StartLoad &action)
{
    const Time startedAt = clock.now();
    order(EngineLoadPath, engineLoadBody(action.adapter),
        [self = shared_from_this(), adapter = action.adapter, startedAt](const OrderResult &result) {
            const bool isLoaded = result.isDone;
            self->metrics.adapterLoad(isLoaded, self->clock.now() - startedAt);
            self->log->info("Load of {} on {} {}.", adapter.name(), self->spec.id.value(), isLoaded ? "done" : "failed");
            self->handle(LoadFinished { adapter, isLoaded, result.isUnknown });
        });
}

void EngineRunner::Private::carryOut(const StartEvict &action)
{
    order(EngineUnloadPath, engineUnloadBody(action.adapter),
        [self = shared_from_this(), adapter = action.adapter](const OrderResult &result) {
            self->metrics.eviction(result.isDone);
            self->handle(EvictFinished { adapter, result.isDone, result.isUnknown });
        });
}

void EngineRunner::Private::carryOut(const Dispatch &action)
{
    const JobPointer job = this->job(action.id);
    if (job == nullptr) {
        handle(WorkFinished { action.id });
        return;
    }
    job->dispatchedAt = clock.now();
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + spec.address + job->what.path;
    call.headers = { { "Content-Type", "application/json" }, { std::string(AttemptHeader), job->what.requestId },
        { "X-Priority", std::string(PriorityWords[static_cast<std::size_t>(job->what.work.priority)]) } };
    call.body = std::move(job->what.body);
    call.connectTimeout = settings.duration("upstreams.connect_timeout_ms");
    call.silenceTimeout = settings.duration("upstreams.silence_timeout_ms");
    call.maySend = [self = shared_from_this(), job] { return self->maySend(job); };
    call.onHead = [self = shared_from_this(), job](int status, const auto &headers) { self->onHead(job, status, headers); };
    call.onData = [self = shared_from_this(), job](std::string_view data) { return self->onData(job, data); };
    call.onDone = [self = shared_from_this(), job](const CallResult &result) { self->onDone(job, result); };
    job->call = client.start(std::move(call));
    job->what.exchange->onDrained([self = shared_from_this(), job] { self->client.resume(job->call); });
}

void EngineRunner::Private::carryOut(const Refuse &action)
{
    const JobPointer job = takeJob(action.id);
    if (job != nullptr) {
        fail(job, action.kind, {}, action.retryAfter);
    }
}

JobPointer EngineRunner::Private::job(RequestId id) const
{
    const absl::MutexLock lock(&mutex);
    const auto at = jobs.find(id);
    return at == jobs.end() ? nullptr : at->second;
}

JobPointer EngineRunner::Private::takeJob(RequestId id)
{
    const absl::MutexLock lock(&mutex);
    const auto at = jobs.find(id);
    if (at == jobs.end()) {
        return nullptr;
    }
    JobPointer job = at->second;
    jobs.erase(at);
    return job;
}

bool EngineRunner::Private::maySend(const JobPointer &job) const
{
    return !job->isGone && clock.now() < job->what.work.deadline;
}

void EngineRunner::Private::onHead(const JobPointer &job, int status, const std::vector<std::pair<std::string, std::string>> &headers)
{
    job->status = status;
    for (const auto &[name, value] : headers) {
        if (name == "content-type") {
            job->contentType = value;
        }
        // An answer that names another attempt belongs to another request: a caller would read someone else's answer.
        if (name == "x-attempt-id" && value != job->what.requestId) {
            job->isForeign = true;
        }
    }
    if (status == OkStatus && job->what.isStream && !job->isForeign) {
        job->isBegun = true;
        HttpHeaders answer = job->what.headers;
        answer.emplace_back("Content-Type", job->contentType);
        answer.emplace_back("Cache-Control", "no-store");
        job->what.exchange->beginStream(status, answer);
    }
}

bool EngineRunner::Private::onData(const JobPointer &job, std::string_view data)
{
    if (job->firstByteAt == Time()) {
        job->firstByteAt = clock.now();
    }
    if (job->isForeign) {
        return true;
    }
    if (!job->isBegun) {
        if (job->body.size() + data.size() > MaxWholeAnswerBytes) {
            client.cancel(job->call);
            return true;
        }
        job->body.append(data);
        return true;
    }
    job->tail.append(data);
    if (job->tail.size() > StreamEnd.size() * 2) {
        job->tail.erase(0, job->tail.size() - StreamEnd.size() * 2);
    }
    return job->what.exchange->write(data);
}

void EngineRunner::Private::onDone(const JobPointer &job, const CallResult &result)
{
    const RequestId id = job->what.work.id;
    takeJob(id);
    handle(WorkFinished { id });
    if (job->isForeign) {
        metrics.lateAnswerDropped();
        fail(job, ErrorKind::UpstreamFailed, "the answer belonged to another attempt", Duration());
    } else if (result.state != AttemptState::Answered) {
        fail(job, result.error, result.detail, Duration());
    } else if (job->isBegun) {
        // A stream that just ends looks whole to a caller; only the end event tells that it is.
        if (job->tail.find(StreamEnd) == std::string::npos) {
            fail(job, ErrorKind::StreamCut, "the upstream ended the stream without its end event", Duration());
            return;
        }
        job->what.exchange->finish();
        served(job);
    } else {
        answerWhole(job);
    }
}

void EngineRunner::Private::answerWhole(const JobPointer &job)
{
    if (job->status == NotLoadedStatus) {
        // The engine lost the adapter, as after a restart. It refused before running, so this is truly not run.
        handle(UpstreamRestarted {});
        fail(job, ErrorKind::UpstreamRefused, "the engine does not hold the adapter", Duration(1000));
        return;
    }
    if (job->status >= 500) {
        fail(job, ErrorKind::UpstreamFailed, "the engine answered " + std::to_string(job->status), Duration());
        return;
    }
    HttpHeaders headers = job->what.headers;
    headers.emplace_back("Content-Type", job->contentType);
    job->what.exchange->respond(job->status, headers, std::move(job->body));
    served(job);
}

void EngineRunner::Private::served(const JobPointer &job)
{
    const WorkItem &work = job->what.work;
    const Time now = clock.now();
    metrics.completionServed(work.priority, job->dispatchedAt - work.arrival, job->firstByteAt - work.arrival, now - work.arrival);
    log->info("[{}] caller={} adapter={} upstream={} outcome=ok status={} ms={}", job->what.requestId, work.caller.value(),
        work.adapter.name(), spec.id.value(), job->status == 0 ? OkStatus : job->status, (now - work.arrival).milliseconds());
}

void EngineRunner::Private::fail(const JobPointer &job, ErrorKind kind, const std::string &detail, Duration retryAfter)
{
    const WorkItem &work = job->what.work;
    ErrorDetails details;
    details.detail = detail;
    details.retryAfter = retryAfter;
    details.requestId = job->what.requestId;
    metrics.completionFailed(work.priority, kind);
    log->info("[{}] caller={} adapter={} upstream={} outcome={} detail='{}' ms={}", job->what.requestId, work.caller.value(),
        work.adapter.name(), spec.id.value(), errorAnswer(kind).word, detail, (clock.now() - work.arrival).milliseconds());
    if (job->isBegun) {
        job->what.exchange->write(errorEvent(ErrorKind::StreamCut, details));
        job->what.exchange->abort();
        return;
    }
    respondError(*job->what.exchange, kind, details);
}

void EngineRunner::Private::callerGone(RequestId id)
{
    const JobPointer job = this->job(id);
    if (job == nullptr) {
        return;
    }
    job->isGone = true;
    if (job->call != 0) {
        client.cancel(job->call); // Its onDone ends the job.
        return;
    }
    takeJob(id);
    handle(WorkCancelled { id });
    fail(job, ErrorKind::CallerGone, {}, Duration());
}

EngineRunner::EngineRunner(const UpstreamSpec &spec, const Settings &settings, HttpClient &client, const Clock &clock, Metrics &metrics)
    : d(std::make_shared<Private>(spec, settings, client, clock, metrics))
{
}

EngineRunner::~EngineRunner() = default;

void EngineRunner::submit(CompletionJob what)
{
    const auto job = std::make_shared<Job>();
    const WorkItem work = what.work;
    job->what = std::move(what);
    {
        const absl::MutexLock lock(&d->mutex);
        d->jobs.emplace(work.id, job);
    }
    job->what.exchange->onCallerGone([weak = std::weak_ptr<Private>(d), id = work.id] {
        if (const auto self = weak.lock()) {
            self->callerGone(id);
        }
    });
    d->handle(WorkArrived { work });
}

void EngineRunner::tick()
{
    d->handle(Tick {});
}

EngineStatus EngineRunner::status() const
{
    const absl::MutexLock lock(&d->mutex);
    return { d->spec.id, d->scheduler.queuedCount(), d->scheduler.runningCount(), d->scheduler.residentAdapters() };
}

} // namespace ApricotStep
