#include "main/servicerunner.h"

#include "core/hash.h"
#include "core/result.h"
#include "main/delayedtasks.h"
#include "main/enginerunner.h"
#include "main/log.h"
#include "main/servicelimits.h"
#include "protocol/callerapi.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <atomic>

namespace ApricotStep
{

namespace
{

constexpr std::size_t MaxAnswerBytes = 8U << 20U;
// 502, 503 and 504 mean that the service cannot answer; other 5xx may be caused by the single request.
constexpr int FirstGatewayError = 502;
constexpr int LastGatewayError = 504;

// A call from its arrival to its end.
struct Running
{
    ServiceJob job;
    std::vector<const UpstreamSpec *> upstreams;
    /** Index of the upstream of the current attempt. */
    std::size_t at = 0;
    int attempts = 0;
    Time arrivedAt;
    Time startedAt;
    bool isKnown = false;
    bool isIdempotent = false;
    bool hasKey = false;
    IdempotencyKey key;
    Time deadline;
    std::string contentType = "application/octet-stream";
    std::string body;
    bool isTooLarge = false;
};

using RunningPointer = std::shared_ptr<Running>;

bool isIdempotentMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" || method == "OPTIONS";
}

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// 120 bits of SHA-256 are enough to tell requests apart, and 15 bytes fit into a std::string without heap allocation.
std::string requestHash(const ServiceJob &job)
{
    constexpr std::size_t HashDigits = 30;
    Sha256 hash;
    hash.update(job.request.method + '\n' + job.service.value() + '\n' + job.target + '\n');
    hash.update(job.request.body);
    return absl::HexStringToBytes(hash.hex().substr(0, HashDigits));
}

void answer(HttpExchange &exchange, const StoredAnswer &stored, const std::string &requestId, bool isReplay)
{
    HttpHeaders headers { { "Content-Type", stored.contentType }, { "X-Request-Id", requestId } };
    if (isReplay) {
        headers.emplace_back("Idempotent-Replayed", "true");
    }
    if (stored.droppedHash.empty()) {
        exchange.respond(stored.status, headers, stored.body);
        return;
    }
    // The first answer was too large to store. The caller gets its status, size and hash, which show that the request ran and identify the
    // answer.
    headers.front().second = "application/json";
    headers.emplace_back("X-Answer-Sha256", stored.droppedHash);
    exchange.respond(stored.status, headers,
        R"({"replayed":true,"answer_kept":false,"answer_bytes":)" + std::to_string(stored.droppedBytes) + R"(,"answer_sha256":")"
            + stored.droppedHash + "\"}");
}

void refuse(HttpExchange &exchange, ErrorKind kind, const std::string &requestId, const std::string &detail = {})
{
    ErrorDetails details;
    details.requestId = requestId;
    details.detail = detail;
    respondError(exchange, kind, details);
}

} // namespace

struct ServiceRunner::Private : std::enable_shared_from_this<Private>
{
    Private(NodeId node, Incarnation start, const Settings &allSettings, HttpClient &httpClient, const Clock &aClock, Metrics &allMetrics,
        UpstreamHealth &upstreamHealth)
        : oneTimeRequests(std::move(node), start, allSettings, aClock)
        , settings(allSettings)
        , client(httpClient)
        , clock(aClock)
        , metrics(allMetrics)
        , health(upstreamHealth)
        , limits(static_cast<int>(allSettings.number("upstreams.service_concurrency")))
        , log(componentLogger("service"))
    {
    }

    OneTimeRequests oneTimeRequests;
    std::atomic<int> active { 0 };
    const Settings &settings;
    HttpClient &client;
    const Clock &clock;
    Metrics &metrics;
    UpstreamHealth &health;
    ServiceLimits limits;
    DelayedTasks delayedTasks;
    Logger log;
    std::atomic<std::uint64_t> nextUpstream { 0 };

    // Returns whether to start the call now. Otherwise it was answered or forwarded, or it waits for the first call with its key.
    bool admit(const RunningPointer &running);
    bool admitKeyed(const RunningPointer &running);
    // Refuses the call and returns false if the service is unknown or has no upstream.
    bool canStart(const RunningPointer &running);
    void refuseKey(const ServiceJob &job, ErrorKind kind);
    // Starts an attempt on the first upstream with free capacity, searching from index @p from on.
    void start(const RunningPointer &running, std::size_t from);
    bool reserveUpstream(const RunningPointer &running, std::size_t from);
    HttpCall callFor(const RunningPointer &running);
    bool maySend(const RunningPointer &running);
    void onDone(const RunningPointer &running, const CallResult &result);
    void recordOutcome(const Running &running, const CallResult &result);
    void tryAgain(const RunningPointer &running, const TryAgain &retryPlan);
    void settle(const RunningPointer &running, const StoredAnswer &stored);
    void settleFailed(const RunningPointer &running, ErrorKind kind, const std::string &detail);
};

bool ServiceRunner::Private::admit(const RunningPointer &running)
{
    const ServiceJob &job = running->job;
    const std::string text = job.request.header("idempotency-key");
    // A safe method changes nothing. It runs each time, since a stored answer to a read would be stale.
    if (text.empty() || isSafeMethod(job.request.method)) {
        return canStart(running);
    }
    const auto key = IdempotencyKey::decode(text, settings.text("fleet.secret"));
    if (!key.isOk()) {
        const bool allCheckKeys = !running->upstreams.empty()
            && std::all_of(running->upstreams.begin(), running->upstreams.end(), [](const auto *upstream) { return upstream->checksKeys; });
        if (allCheckKeys) {
            return canStart(running);
        }
        refuseKey(job, ErrorKind::KeyRequired);
        return false;
    }
    running->key = key.value();
    return admitKeyed(running);
}

bool ServiceRunner::Private::admitKeyed(const RunningPointer &running)
{
    const ServiceJob &job = running->job;
    const IdempotencyKey &key = running->key;
    if (!oneTimeRequests.holds(key)) {
        // Only the incarnation that minted the key, or its successor, knows whether the request ran. Running it here could run it twice.
        if (job.forwardToOwner) {
            job.forwardToOwner(job, key);
        } else {
            refuse(*job.exchange, ErrorKind::OutcomeUnknown, job.requestId);
        }
        return false;
    }
    const LedgerDecision decision = oneTimeRequests.accept(key, requestHash(job), { job.exchange, job.requestId });
    return std::visit(Overloaded {
                          [&](const RunNow &) {
                              running->hasKey = true;
                              running->isIdempotent = false;
                              if (canStart(running)) {
                                  return true;
                              }
                              oneTimeRequests.fail(key);
                              return false;
                          },
                          [&](const WaitForFirst &) { return false; },
                          [&](const Replay &replay) {
                              answer(*job.exchange, replay.answer, job.requestId, true);
                              return false;
                          },
                          [&](const RefuseKey &refusal) {
                              refuseKey(job, refusal.kind);
                              return false;
                          },
                      },
        decision);
}

bool ServiceRunner::Private::canStart(const RunningPointer &running)
{
    if (!running->upstreams.empty()) {
        return true;
    }
    const ErrorKind kind = running->isKnown ? ErrorKind::NoUpstream : ErrorKind::UnknownService;
    if (running->isKnown) { // Callers could fill the metrics registry with made-up names of unknown services.
        metrics.serviceFailed(running->job.service.value(), kind);
    }
    refuse(*running->job.exchange, kind, running->job.requestId);
    return false;
}

void ServiceRunner::Private::refuseKey(const ServiceJob &job, ErrorKind kind)
{
    if (kind != ErrorKind::KeyRequired) {
        refuse(*job.exchange, kind, job.requestId);
        return;
    }
    ErrorDetails details;
    details.requestId = job.requestId;
    details.key = oneTimeRequests.mintKey();
    respondError(*job.exchange, kind, details);
}

bool ServiceRunner::Private::maySend(const RunningPointer &running)
{
    if (clock.now() >= running->deadline) {
        return false;
    }
    if (!running->hasKey) {
        return true;
    }
    return oneTimeRequests.markSent(running->key);
}

// Ejected upstreams come last: if all others are full or ejected, trying one is better than refusing the call.
bool ServiceRunner::Private::reserveUpstream(const RunningPointer &running, std::size_t from)
{
    const std::size_t count = running->upstreams.size();
    for (const bool wantsEjected : { false, true }) {
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t at = (from + i) % count;
            const UpstreamId &id = running->upstreams[at]->id;
            if ((health.share(id) == 0) == wantsEjected && limits.tryStart(id)) {
                running->at = at;
                return true;
            }
        }
    }
    return false;
}

void ServiceRunner::Private::start(const RunningPointer &running, std::size_t from)
{
    if (!reserveUpstream(running, from)) {
        settleFailed(running, ErrorKind::Overloaded, "every upstream of the service has reached its concurrency limit");
        return;
    }
    ++running->attempts;
    running->startedAt = clock.now();
    client.start(callFor(running));
}

HttpCall ServiceRunner::Private::callFor(const RunningPointer &running)
{
    const ServiceJob &job = running->job;
    const Duration left = timeLeft(running->deadline, clock.now());
    HttpCall call;
    call.method = job.request.method;
    call.url = "http://" + running->upstreams[running->at]->address + job.target;
    call.headers = { { "X-Request-Id", job.requestId }, { "X-Deadline-Ms", std::to_string(left.milliseconds()) } };
    for (const char *name : { "content-type", "accept", "authorization", "idempotency-key" }) {
        const std::string value = job.request.header(name);
        if (!value.empty()) {
            call.headers.emplace_back(name, value);
        }
    }
    call.body = job.request.body;
    call.connectTimeout = settings.duration("upstreams.connect_timeout_ms");
    call.totalTimeout = left;
    call.isRepeatable = running->isIdempotent;
    call.maySend = [self = shared_from_this(), running] { return self->maySend(running); };
    call.onHead = [running](int, const auto &headers) {
        for (const auto &[name, value] : headers) {
            if (name == "content-type") {
                running->contentType = value;
            }
        }
    };
    call.onData = [running](std::string_view data) {
        running->isTooLarge = running->isTooLarge || running->body.size() + data.size() > MaxAnswerBytes;
        if (!running->isTooLarge) {
            running->body.append(data);
        }
        return true;
    };
    call.onDone = [self = shared_from_this(), running](const CallResult &result) { self->onDone(running, result); };
    return call;
}

void ServiceRunner::Private::recordOutcome(const Running &running, const CallResult &result)
{
    const UpstreamId &id = running.upstreams[running.at]->id;
    const Time now = clock.now();
    const bool isAnswered = result.state == AttemptState::Answered;
    const bool isFault =
        isAnswered ? result.status >= FirstGatewayError && result.status <= LastGatewayError : isUpstreamFault(result.error);
    const ServiceOutcome outcome = isFault ? ServiceOutcome::Failed : isAnswered ? ServiceOutcome::Answered : ServiceOutcome::Abandoned;
    limits.onEnd(id, outcome, now - running.startedAt, now);
    if (isFault) {
        health.onFailure(id);
    } else if (isAnswered) {
        health.onSuccess(id, running.job.service.value());
    }
}

void ServiceRunner::Private::onDone(const RunningPointer &running, const CallResult &result)
{
    recordOutcome(*running, result);
    if (running->isTooLarge) {
        settleFailed(running, ErrorKind::UpstreamFailed, "the answer exceeds the size limit of this node");
        return;
    }
    if (result.state == AttemptState::Answered) {
        settle(running, { result.status, running->contentType, std::move(running->body) });
        return;
    }
    const AttemptFailure failure { result.state == AttemptState::NotSent ? AttemptPhase::Queued : AttemptPhase::Unknown, result.error };
    RetryContext retryContext;
    retryContext.idempotency = running->isIdempotent ? Idempotency::Idempotent : Idempotency::NonIdempotent;
    retryContext.attempts = running->attempts;
    retryContext.deadline = running->deadline;
    retryContext.hasOtherUpstream = running->upstreams.size() > 1;
    std::visit(Overloaded {
                   [&](const TryAgain &retryPlan) { tryAgain(running, retryPlan); },
                   [&](const GiveUp &end) { settleFailed(running, end.kind, result.detail); },
               },
        health.decide(failure, retryContext, running->job.service.value()));
}

void ServiceRunner::Private::tryAgain(const RunningPointer &running, const TryAgain &retryPlan)
{
    running->body.clear();
    const std::size_t next = running->at + (retryPlan.target == RetryTarget::OtherUpstream ? 1 : 0);
    if (retryPlan.delay > Duration(0)) {
        delayedTasks.add(clock.now() + retryPlan.delay, [this, running, next] { start(running, next); });
    } else {
        start(running, next);
    }
}

void ServiceRunner::Private::settle(const RunningPointer &running, const StoredAnswer &stored)
{
    const ServiceJob &job = running->job;
    const auto waiters = running->hasKey ? oneTimeRequests.complete(running->key, stored) : std::vector<OneTimeWaiter>();
    metrics.serviceCall(job.service.value(), stored.status, clock.now() - running->arrivedAt);
    log->info("[{}] service={} outcome=ok status={} attempts={}", job.requestId, job.service.value(), stored.status, running->attempts);
    --active;
    answer(*job.exchange, stored, job.requestId, false);
    for (const OneTimeWaiter &waiter : waiters) {
        answer(*waiter.exchange, stored, waiter.requestId, true);
    }
}

void ServiceRunner::Private::settleFailed(const RunningPointer &running, ErrorKind kind, const std::string &detail)
{
    const ServiceJob &job = running->job;
    const auto waiters = running->hasKey ? oneTimeRequests.fail(running->key) : std::vector<OneTimeWaiter>();
    metrics.serviceFailed(job.service.value(), kind);
    log->info("[{}] service={} outcome={} detail='{}' attempts={}", job.requestId, job.service.value(), errorAnswer(kind).code, detail,
        running->attempts);
    --active;
    refuse(*job.exchange, kind, job.requestId, detail);
    for (const OneTimeWaiter &waiter : waiters) {
        refuse(*waiter.exchange, kind, waiter.requestId, detail);
    }
}

ServiceRunner::ServiceRunner(NodeId self, Incarnation incarnation, const Settings &settings, HttpClient &client, const Clock &clock,
    Metrics &metrics, UpstreamHealth &health)
    : d(std::make_shared<Private>(std::move(self), incarnation, settings, client, clock, metrics, health))
{
}

ServiceRunner::~ServiceRunner() = default;

std::string ServiceRunner::mintKey()
{
    return d->oneTimeRequests.mintKey();
}

OneTimeRequests &ServiceRunner::oneTimeRequests()
{
    return d->oneTimeRequests;
}

void ServiceRunner::submit(ServiceJob job)
{
    auto running = std::make_shared<Running>();
    const ServiceSpec *service = job.catalog->service(job.service);
    running->isKnown = service != nullptr;
    for (const UpstreamId &id : service != nullptr ? service->upstreams : std::vector<UpstreamId>()) {
        if (!job.fleet->leaving.contains(id)) {
            running->upstreams.push_back(job.catalog->upstream(id));
        }
    }
    if (!running->upstreams.empty()) {
        std::rotate(running->upstreams.begin(),
            running->upstreams.begin() + static_cast<long>(d->nextUpstream.fetch_add(1) % running->upstreams.size()),
            running->upstreams.end());
    }
    running->isIdempotent = isIdempotentMethod(job.request.method);
    running->arrivedAt = d->clock.now();
    running->deadline = running->arrivedAt + d->settings.duration("upstreams.service_timeout_ms");
    running->job = std::move(job);
    if (d->admit(running)) {
        ++d->active;
        d->start(running, 0);
    }
}

int ServiceRunner::activeCount() const
{
    return d->active;
}

void ServiceRunner::tick()
{
    const Time now = d->clock.now();
    d->delayedTasks.run(now);
    d->oneTimeRequests.tick();
}

} // namespace ApricotStep
