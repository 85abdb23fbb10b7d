#include "main/onetimerequests.h"

#include "coordination/handoffs.h"
#include "protocol/ledgercodec.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>

namespace ApricotStep
{

namespace
{

constexpr std::size_t ShardCount = 16;

struct Waiting
{
    std::uint64_t number = 0;
    OneTimeWaiter waiter;
};

struct Shard
{
    Shard(Duration lifetime, std::size_t capacity, LedgerMemoryLimits bytes)
        : ledger(lifetime, capacity, bytes)
    {
    }
    mutable absl::Mutex mutex;
    Ledger ledger ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::uint64_t, std::vector<Waiting>> waiters ABSL_GUARDED_BY(mutex);
};

using NodeIncarnation = std::pair<NodeId, Incarnation>;

} // namespace

struct OneTimeRequests::Private
{
    Private(NodeId node, Incarnation start, const Settings &allSettings, const Clock &aClock)
        : self(std::move(node))
        , incarnation(start)
        , settings(allSettings)
        , clock(aClock)
        , lifetime(settings.duration("keys.lifetime_ms"))
        , maxBytes(static_cast<std::size_t>(settings.number("keys.max_bytes")))
        , handOffs(lifetime)
    {
        const auto capacity = static_cast<std::size_t>(settings.number("keys.capacity")) / ShardCount;
        const LedgerMemoryLimits limits { maxBytes / ShardCount, static_cast<std::size_t>(settings.number("keys.max_answer_bytes")) };
        for (auto &shard : shards) {
            shard = std::make_unique<Shard>(lifetime, std::max<std::size_t>(capacity, 1), limits);
        }
    }

    const NodeId self;
    const Incarnation incarnation;
    const Settings &settings;
    const Clock &clock;
    const Duration lifetime;
    const std::size_t maxBytes;
    std::atomic<std::uint64_t> keyCounter { 1 };
    std::atomic<std::uint64_t> waiterCounter { 1 };
    std::array<std::unique_ptr<Shard>, ShardCount> shards;
    mutable absl::Mutex inheritedMutex;
    std::map<NodeIncarnation, InheritedLedger> inherited ABSL_GUARDED_BY(inheritedMutex);
    std::map<NodeIncarnation, SealedLedger> incoming ABSL_GUARDED_BY(inheritedMutex);
    HandOffs handOffs ABSL_GUARDED_BY(inheritedMutex);
    bool isSealed ABSL_GUARDED_BY(inheritedMutex) = false;

    Shard &shardOf(const IdempotencyKey &key) const
    {
        return *shards[key.counter % ShardCount];
    }
    bool isOwn(const IdempotencyKey &key) const
    {
        return key.node == self && key.incarnation == incarnation;
    }
    std::size_t inheritedBytes() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(inheritedMutex);
    void dropWaiter(const IdempotencyKey &key, std::uint64_t number);
    std::vector<OneTimeWaiter> takeWaiters(Shard &shard, const IdempotencyKey &key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
};

std::size_t OneTimeRequests::Private::inheritedBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[start, ledger] : inherited) {
        bytes += ledger.bytes();
    }
    return bytes;
}

void OneTimeRequests::Private::dropWaiter(const IdempotencyKey &key, std::uint64_t number)
{
    Shard &shard = shardOf(key);
    const absl::MutexLock lock(&shard.mutex);
    const auto at = shard.waiters.find(key.counter);
    if (at != shard.waiters.end()) {
        std::erase_if(at->second, [number](const Waiting &waiting) { return waiting.number == number; });
    }
}

std::vector<OneTimeWaiter> OneTimeRequests::Private::takeWaiters(Shard &shard, const IdempotencyKey &key)
{
    std::vector<OneTimeWaiter> taken;
    const auto at = shard.waiters.find(key.counter);
    if (at != shard.waiters.end()) {
        for (Waiting &waiting : at->second) {
            taken.push_back(std::move(waiting.waiter));
        }
        shard.waiters.erase(at);
    }
    return taken;
}

OneTimeRequests::OneTimeRequests(NodeId self, Incarnation incarnation, const Settings &settings, const Clock &clock)
    : d(std::make_shared<Private>(std::move(self), incarnation, settings, clock))
{
}

OneTimeRequests::~OneTimeRequests() = default;

std::string OneTimeRequests::mintKey()
{
    return IdempotencyKey { d->self, d->incarnation, d->clock.now(), d->keyCounter.fetch_add(1) }.encode(d->settings.text("fleet.secret"));
}

bool OneTimeRequests::holds(const IdempotencyKey &key) const
{
    if (d->isOwn(key)) {
        return true;
    }
    const absl::MutexLock lock(&d->inheritedMutex);
    return d->inherited.contains({ key.node, key.incarnation });
}

LedgerDecision OneTimeRequests::accept(const IdempotencyKey &key, const std::string &requestHash, OneTimeWaiter waiter)
{
    if (!d->isOwn(key)) {
        const absl::MutexLock lock(&d->inheritedMutex);
        const auto at = d->inherited.find({ key.node, key.incarnation });
        return at == d->inherited.end() ? RefuseKey { ErrorKind::OutcomeUnknown } : at->second.accept(key, requestHash, d->clock.now());
    }
    const std::uint64_t number = d->waiterCounter.fetch_add(1);
    const std::shared_ptr<HttpExchange> exchange = waiter.exchange;
    LedgerDecision decision;
    {
        Shard &shard = d->shardOf(key);
        const absl::MutexLock lock(&shard.mutex);
        decision = shard.ledger.accept(key, requestHash, d->clock.now());
        if (std::holds_alternative<WaitForFirst>(decision)) {
            shard.waiters[key.counter].push_back({ number, std::move(waiter) });
        }
    }
    if (std::holds_alternative<WaitForFirst>(decision)) {
        // Otherwise a caller that disconnects and repeats its request while a service hangs would leave one waiter behind each time.
        exchange->onCallerGone([weak = std::weak_ptr<Private>(d), key, number] {
            if (const auto self = weak.lock()) {
                self->dropWaiter(key, number);
            }
        });
    }
    return decision;
}

bool OneTimeRequests::markSent(const IdempotencyKey &key)
{
    Shard &shard = d->shardOf(key);
    const absl::MutexLock lock(&shard.mutex);
    return shard.ledger.markSent(key);
}

std::vector<OneTimeWaiter> OneTimeRequests::complete(const IdempotencyKey &key, const StoredAnswer &answer)
{
    Shard &shard = d->shardOf(key);
    const absl::MutexLock lock(&shard.mutex);
    shard.ledger.complete(key, answer);
    return d->takeWaiters(shard, key);
}

std::vector<OneTimeWaiter> OneTimeRequests::fail(const IdempotencyKey &key)
{
    Shard &shard = d->shardOf(key);
    const absl::MutexLock lock(&shard.mutex);
    shard.ledger.fail(key);
    return d->takeWaiters(shard, key);
}

void OneTimeRequests::stopAccepting()
{
    for (const auto &shard : d->shards) {
        const absl::MutexLock lock(&shard->mutex);
        shard->ledger.stopAccepting();
    }
}

std::vector<SealedLedger> OneTimeRequests::seal()
{
    SealedLedger own { d->self, d->incarnation, Time(), d->lifetime, {} };
    for (const auto &shard : d->shards) {
        const absl::MutexLock lock(&shard->mutex);
        shard->ledger.seal(own.records);
    }
    own.sealedAt = d->clock.now();
    std::vector<SealedLedger> all { std::move(own) };
    const absl::MutexLock lock(&d->inheritedMutex);
    d->isSealed = true;
    for (const auto &[start, ledger] : d->inherited) {
        all.push_back(ledger.handOver(d->clock.now()));
    }
    return all;
}

Result<bool> OneTimeRequests::receiveBatch(const std::string &bytes, HandOffFact *fact)
{
    auto batch = decodeLedgerBatch(bytes);
    if (!batch.isOk()) {
        return batch.error();
    }
    SealedLedger &part = batch.value().part;
    const NodeIncarnation start { part.node, part.incarnation };
    const absl::MutexLock lock(&d->inheritedMutex);
    if (d->isSealed) {
        return Error { ErrorKind::Draining, "this node is leaving as well" };
    }
    if (batch.value().first == 0) {
        d->incoming.erase(start);
    }
    SealedLedger &whole = d->incoming[start];
    if (whole.records.size() != batch.value().first) {
        return Error { ErrorKind::BadRequest, "a batch of the ledger is missing" };
    }
    std::vector<LedgerRecord> records = std::move(whole.records);
    std::move(part.records.begin(), part.records.end(), std::back_inserter(records));
    whole = std::move(part);
    whole.records = std::move(records);
    if (whole.records.size() < batch.value().count) {
        return false;
    }
    InheritedLedger ledger(std::move(whole), d->clock.now());
    d->incoming.erase(start);
    if (d->inheritedBytes() + ledger.bytes() > d->maxBytes) {
        return Error { ErrorKind::LedgerFull, "no room for another node's one-time requests" };
    }
    d->inherited.insert_or_assign(start, std::move(ledger));
    *fact = { start.first, start.second, d->self };
    return true;
}

void OneTimeRequests::learn(const HandOffFact &fact)
{
    const absl::MutexLock lock(&d->inheritedMutex);
    d->handOffs.learn(fact, d->clock.now());
}

std::vector<NodeId> OneTimeRequests::successors(const IdempotencyKey &key) const
{
    const absl::MutexLock lock(&d->inheritedMutex);
    return d->handOffs.successors(key.node, key.incarnation);
}

void OneTimeRequests::tick()
{
    const Time now = d->clock.now();
    for (const auto &shard : d->shards) {
        const absl::MutexLock lock(&shard->mutex);
        shard->ledger.expire(now);
    }
    const absl::MutexLock lock(&d->inheritedMutex);
    std::erase_if(d->inherited, [now](const auto &entry) { return entry.second.isOver(now); });
    d->handOffs.expire(now);
}

std::size_t OneTimeRequests::size() const
{
    std::size_t size = 0;
    for (const auto &shard : d->shards) {
        const absl::MutexLock lock(&shard->mutex);
        size += shard->ledger.size();
    }
    const absl::MutexLock lock(&d->inheritedMutex);
    for (const auto &[start, ledger] : d->inherited) {
        size += ledger.size();
    }
    return size;
}

std::size_t OneTimeRequests::bytes() const
{
    std::size_t bytes = 0;
    for (const auto &shard : d->shards) {
        const absl::MutexLock lock(&shard->mutex);
        bytes += shard->ledger.bytes();
    }
    const absl::MutexLock lock(&d->inheritedMutex);
    return bytes + d->inheritedBytes();
}

} // namespace ApricotStep
