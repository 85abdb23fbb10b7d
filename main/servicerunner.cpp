#include "main/servicerunner.h"

#include "coordination/ledger.h"
#include "core/hash.h"
#include "core/result.h"
#include "main/enginerunner.h"
#include "main/log.h"
#include "protocol/callerapi.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>

namespace ApricotStep
{

namespace
{

constexpr std::size_t ShardCount = 16;
constexpr std::size_t MaxAnswerBytes = 8U << 20U;
constexpr int MaxAttempts = 3;

struct Waiter
{
    std::shared_ptr<HttpExchange> exchange;
    std::string requestId;
};

struct Shard
{
    Shard(Duration lifetime, std::size_t capacity)
        : ledger(lifetime, capacity)
    {
    }
    absl::Mutex mutex;
    Ledger ledger ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::uint64_t, std::vector<Waiter>> waiters ABSL_GUARDED_BY(mutex);
};

// One call from its arrival to its end.
struct Running
{
    ServiceJob job;
    std::vector<const UpstreamSpec *> upstreams;
    std::size_t attempt = 0;
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

std::string requestHash(const ServiceJob &job)
{
    return sha256Hex(job.request.method + '\n' + job.service.value() + '\n' + job.target + '\n' + job.request.body);
}

void answer(HttpExchange &exchange, const StoredAnswer &stored, const std::string &requestId, bool isReplay)
{
    HttpHeaders headers { { "Content-Type", stored.contentType }, { "X-Request-Id", requestId } };
    if (isReplay) {
        headers.emplace_back("Idempotent-Replayed", "true");
    }
    exchange.respond(stored.status, headers, stored.body);
}

void refuse(HttpExchange &exchange, ErrorKind kind, const std::string &requestId, const std::string &detail = {})
{
    ErrorDetails details;
    details.requestId = requestId;
    details.detail = detail;
    if (errorAnswer(kind).retry == RetryAdvice::AfterDelay) {
        details.retryAfter = Duration::seconds(1);
    }
    respondError(exchange, kind, details);
}

} // namespace

struct ServiceRunner::Private : std::enable_shared_from_this<Private>
{
    Private(NodeId node, Incarnation start, const Settings &allSettings, HttpClient &httpClient, const Clock &aClock, Metrics &allMetrics)
        : self(std::move(node))
        , incarnation(start)
        , settings(allSettings)
        , client(httpClient)
        , clock(aClock)
        , metrics(allMetrics)
        , log(partLog("service"))
    {
        const auto capacity = static_cast<std::size_t>(settings.number("keys.capacity")) / ShardCount;
        for (auto &shard : shards) {
            shard = std::make_unique<Shard>(settings.duration("keys.lifetime_ms"), std::max<std::size_t>(capacity, 1));
        }
    }

    const NodeId self;
    const Incarnation incarnation;
    const Settings &settings;
    HttpClient &client;
    const Clock &clock;
    Metrics &metrics;
    Logger log;
    std::atomic<std::uint64_t> keyCounter { 1 };
    std::atomic<std::uint64_t> turn { 0 };
    std::array<std::unique_ptr<Shard>, ShardCount> shards;

    Shard &shardOf(const IdempotencyKey &key)
    {
        return *shards[key.counter % ShardCount];
    }
    std::string mintKey();
    // True when the call is to be started now; otherwise it has been answered or waits for the first one under its key.
    bool admit(const RunningPointer &running);
    bool admitKeyed(const RunningPointer &running);
    void start(const RunningPointer &running);
    bool maySend(const RunningPointer &running);
    void onDone(const RunningPointer &running, const CallResult &result);
    void settle(const RunningPointer &running, const StoredAnswer &stored);
    void settleFailed(const RunningPointer &running, ErrorKind kind, const std::string &detail);
    std::vector<Waiter> takeWaiters(Shard &shard, const IdempotencyKey &key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
};

std::string ServiceRunner::Private::mintKey()
{
    return IdempotencyKey { self, incarnation, clock.now(), keyCounter.fetch_add(1) }.encode(settings.text("fleet.secret"));
}

bool ServiceRunner::Private::admit(const RunningPointer &running)
{
    const ServiceJob &job = running->job;
    const std::string text = job.request.header("idempotency-key");
    if (text.empty()) {
        return true;
    }
    const auto key = IdempotencyKey::decode(text, settings.text("fleet.secret"));
    if (!key.isOk()) {
        const bool isCheckedThere = !running->upstreams.empty()
            && std::all_of(running->upstreams.begin(), running->upstreams.end(), [](const auto *upstream) { return upstream->checksKeys; });
        if (isCheckedThere) {
            return true;
        }
        ErrorDetails details;
        details.requestId = job.requestId;
        details.key = mintKey();
        respondError(*job.exchange, ErrorKind::KeyRequired, details);
        return false;
    }
    running->key = key.value();
    return admitKeyed(running);
}

bool ServiceRunner::Private::admitKeyed(const RunningPointer &running)
{
    const ServiceJob &job = running->job;
    const IdempotencyKey &key = running->key;
    if (key.node != self || key.incarnation != incarnation) {
        // Only the start that minted the key knows whether it ran. Running it here would double it.
        const NodeView *owner = key.node == self ? nullptr : job.fleet->node(key.node);
        ErrorDetails details;
        details.requestId = job.requestId;
        details.address = owner != nullptr ? owner->callerAddress : "";
        respondError(*job.exchange, owner != nullptr ? ErrorKind::WrongNode : ErrorKind::OutcomeUnknown, details);
        return false;
    }
    Shard &shard = shardOf(key);
    LedgerDecision decision;
    {
        const absl::MutexLock lock(&shard.mutex);
        decision = shard.ledger.accept(key, requestHash(job), clock.now());
        if (std::holds_alternative<WaitForFirst>(decision)) {
            shard.waiters[key.counter].push_back({ job.exchange, job.requestId });
        }
    }
    return std::visit(Overloaded {
                          [&](const RunNow &) {
                              running->hasKey = true;
                              return true;
                          },
                          [&](const WaitForFirst &) { return false; },
                          [&](const Replay &replay) {
                              answer(*job.exchange, replay.answer, job.requestId, true);
                              return false;
                          },
                          [&](const RefuseKey &refusal) {
                              refuse(*job.exchange, refusal.kind, job.requestId);
                              return false;
                          },
                      },
        decision);
}

bool ServiceRunner::Private::maySend(const RunningPointer &running)
{
    if (clock.now() >= running->deadline) {
        return false;
    }
    if (!running->hasKey) {
        return true;
    }
    Shard &shard = shardOf(running->key);
    const absl::MutexLock lock(&shard.mutex);
    return shard.ledger.markSent(running->key);
}

void ServiceRunner::Private::start(const RunningPointer &running)
{
    const ServiceJob &job = running->job;
    const UpstreamSpec &upstream = *running->upstreams[running->attempt % running->upstreams.size()];
    HttpCall call;
    call.method = job.request.method;
    call.url = "http://" + upstream.address + job.target;
    call.headers = { { "X-Request-Id", job.requestId } };
    for (const char *name : { "content-type", "accept", "authorization", "idempotency-key" }) {
        const std::string value = job.request.header(name);
        if (!value.empty()) {
            call.headers.emplace_back(name, value);
        }
    }
    call.body = job.request.body;
    call.connectTimeout = settings.duration("upstreams.connect_timeout_ms");
    call.totalTimeout = std::max(running->deadline - clock.now(), Duration(1));
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
    client.start(std::move(call));
}

void ServiceRunner::Private::onDone(const RunningPointer &running, const CallResult &result)
{
    const bool isAnswered = result.state == AttemptState::Answered && !running->isTooLarge;
    if (isAnswered) {
        settle(running, { result.status, running->contentType, std::move(running->body) });
        return;
    }
    // Sent again only when nothing left, or when running twice does no harm.
    const bool mayRepeat = result.state == AttemptState::NotSent || running->isIdempotent;
    ++running->attempt;
    if (mayRepeat && !running->isTooLarge && running->attempt < MaxAttempts && clock.now() < running->deadline) {
        running->body.clear();
        start(running);
        return;
    }
    settleFailed(running, running->isTooLarge ? ErrorKind::UpstreamFailed : result.error, result.detail);
}

std::vector<Waiter> ServiceRunner::Private::takeWaiters(Shard &shard, const IdempotencyKey &key)
{
    const auto at = shard.waiters.find(key.counter);
    if (at == shard.waiters.end()) {
        return {};
    }
    std::vector<Waiter> waiters = std::move(at->second);
    shard.waiters.erase(at);
    return waiters;
}

void ServiceRunner::Private::settle(const RunningPointer &running, const StoredAnswer &stored)
{
    const ServiceJob &job = running->job;
    std::vector<Waiter> waiters;
    if (running->hasKey) {
        Shard &shard = shardOf(running->key);
        const absl::MutexLock lock(&shard.mutex);
        shard.ledger.complete(running->key, stored);
        waiters = takeWaiters(shard, running->key);
    }
    metrics.serviceCall(job.service.value(), stored.status);
    log->info("[{}] service={} outcome=ok status={} attempts={}", job.requestId, job.service.value(), stored.status, running->attempt + 1);
    answer(*job.exchange, stored, job.requestId, false);
    for (const Waiter &waiter : waiters) {
        answer(*waiter.exchange, stored, waiter.requestId, true);
    }
}

void ServiceRunner::Private::settleFailed(const RunningPointer &running, ErrorKind kind, const std::string &detail)
{
    const ServiceJob &job = running->job;
    std::vector<Waiter> waiters;
    if (running->hasKey) {
        Shard &shard = shardOf(running->key);
        const absl::MutexLock lock(&shard.mutex);
        shard.ledger.fail(running->key);
        waiters = takeWaiters(shard, running->key);
    }
    metrics.serviceCall(job.service.value(), errorAnswer(kind).httpStatus);
    log->info("[{}] service={} outcome={} detail='{}' attempts={}", job.requestId, job.service.value(), errorAnswer(kind).word, detail,
        running->attempt);
    refuse(*job.exchange, kind, job.requestId, detail);
    for (const Waiter &waiter : waiters) {
        refuse(*waiter.exchange, kind, waiter.requestId, detail);
    }
}

ServiceRunner::ServiceRunner(
    NodeId self, Incarnation incarnation, const Settings &settings, HttpClient &client, const Clock &clock, Metrics &metrics)
    : d(std::make_shared<Private>(std::move(self), incarnation, settings, client, clock, metrics))
{
}

ServiceRunner::~ServiceRunner() = default;

std::string ServiceRunner::mintKey()
{
    return d->mintKey();
}

void ServiceRunner::submit(ServiceJob job)
{
    const ServiceSpec *service = job.catalog->service(job.service);
    if (service == nullptr) {
        refuse(*job.exchange, ErrorKind::UnknownService, job.requestId);
        return;
    }
    auto running = std::make_shared<Running>();
    for (const UpstreamId &id : service->upstreams) {
        if (!job.fleet->leaving.contains(id)) {
            running->upstreams.push_back(job.catalog->upstream(id));
        }
    }
    if (running->upstreams.empty()) {
        refuse(*job.exchange, ErrorKind::NoUpstream, job.requestId);
        return;
    }
    std::rotate(running->upstreams.begin(),
        running->upstreams.begin() + static_cast<long>(d->turn.fetch_add(1) % running->upstreams.size()), running->upstreams.end());
    running->isIdempotent = isIdempotentMethod(job.request.method);
    running->deadline = d->clock.now() + d->settings.duration("upstreams.service_timeout_ms");
    running->job = std::move(job);
    if (d->admit(running)) {
        d->start(running);
    }
}

void ServiceRunner::tick()
{
    const Time now = d->clock.now();
    for (auto &shard : d->shards) {
        const absl::MutexLock lock(&shard->mutex);
        shard->ledger.expire(now);
    }
}

std::size_t ServiceRunner::ledgerSize() const
{
    std::size_t size = 0;
    for (auto &shard : d->shards) {
        const absl::MutexLock lock(&shard->mutex);
        size += shard->ledger.size();
    }
    return size;
}

} // namespace ApricotStep
