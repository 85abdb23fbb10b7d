#include "coordination/ledger.h"

#include "core/hash.h"

#include <absl/container/flat_hash_map.h>

#include <utility>

namespace ApricotStep
{

namespace
{

enum class EntryState : std::uint8_t {
    Accepted,
    Sent,
    Answered,
    Unknown,
};

struct Entry
{
    std::string bodyHash;
    Time mintedAt;
    std::unique_ptr<StoredAnswer> answer;
    EntryState state = EntryState::Accepted;
};

// Covers an entry, its key, its share of the empty part of the hash table, and its heap allocations; see bench/ledger.cpp.
constexpr std::size_t EntryBytes = 256;

std::size_t answerBytes(const StoredAnswer &answer)
{
    return sizeof(StoredAnswer) + answer.body.size() + answer.contentType.size() + answer.droppedHash.size();
}

void dropLargeBody(StoredAnswer &answer, std::size_t limit)
{
    if (answer.body.size() > limit) {
        answer.droppedBytes = answer.body.size();
        answer.droppedHash = sha256Hex(answer.body);
        answer.body = std::string();
    }
}

} // namespace

struct Ledger::Private
{
    Duration lifetime;
    std::size_t capacity = 1;
    LedgerMemoryLimits limits;
    std::size_t bytes = 0;
    bool isAccepting = true;
    bool isSealed = false;
    // By counter, which identifies a key within this incarnation of the node.
    absl::flat_hash_map<std::uint64_t, Entry> entries;

    // The memory charged to an entry; until the outcome is known it includes the largest answer that can be stored.
    std::size_t charge(const Entry &entry) const
    {
        switch (entry.state) {
        case EntryState::Answered:
            return EntryBytes + answerBytes(*entry.answer);
        case EntryState::Unknown:
            return EntryBytes;
        default:
            return EntryBytes + sizeof(StoredAnswer) + limits.answer;
        }
    }
    void setState(Entry &entry, EntryState state)
    {
        bytes -= charge(entry);
        entry.state = state;
        bytes += charge(entry);
    }
    RefuseKey refuseNew() const
    {
        return { isAccepting ? ErrorKind::LedgerFull : ErrorKind::Draining };
    }
};

Ledger::Ledger(Duration lifetime, std::size_t capacity, LedgerMemoryLimits limits)
    : d(std::make_unique<Private>())
{
    d->lifetime = lifetime;
    d->capacity = capacity;
    d->limits = limits;
}

Ledger::~Ledger() = default;

LedgerDecision Ledger::accept(const IdempotencyKey &key, const std::string &bodyHash, Time now)
{
    if (key.mintedAt + d->lifetime <= now) {
        return RefuseKey { ErrorKind::KeyExpired };
    }
    const auto at = d->entries.find(key.counter);
    if (at == d->entries.end()) {
        Entry entry { bodyHash, key.mintedAt, nullptr, EntryState::Accepted };
        const std::size_t charge = d->charge(entry);
        if (!d->isAccepting || d->entries.size() >= d->capacity || d->bytes + charge > d->limits.total) {
            return d->refuseNew();
        }
        d->bytes += charge;
        d->entries.emplace(key.counter, std::move(entry));
        return RunNow {};
    }
    const Entry &entry = at->second;
    if (entry.bodyHash != bodyHash) {
        return RefuseKey { ErrorKind::KeyMismatch };
    }
    switch (entry.state) {
    case EntryState::Accepted:
        if (d->isSealed) {
            return RefuseKey { ErrorKind::Draining };
        }
        return WaitForFirst {};
    case EntryState::Sent:
        return WaitForFirst {};
    case EntryState::Answered:
        return Replay { *entry.answer };
    case EntryState::Unknown:
        break;
    }
    return RefuseKey { ErrorKind::OutcomeUnknown };
}

bool Ledger::markSent(const IdempotencyKey &key)
{
    const auto at = d->entries.find(key.counter);
    if (d->isSealed || at == d->entries.end() || at->second.state != EntryState::Accepted) {
        return false;
    }
    d->setState(at->second, EntryState::Sent);
    return true;
}

void Ledger::complete(const IdempotencyKey &key, StoredAnswer answer)
{
    const auto at = d->entries.find(key.counter);
    if (at == d->entries.end()) {
        return;
    }
    dropLargeBody(answer, d->limits.answer);
    d->bytes -= d->charge(at->second);
    at->second.answer = std::make_unique<StoredAnswer>(std::move(answer));
    at->second.state = EntryState::Answered;
    d->bytes += d->charge(at->second);
}

void Ledger::fail(const IdempotencyKey &key)
{
    const auto at = d->entries.find(key.counter);
    if (at == d->entries.end()) {
        return;
    }
    if (at->second.state == EntryState::Accepted) {
        d->bytes -= d->charge(at->second);
        d->entries.erase(at);
    } else if (at->second.state == EntryState::Sent) {
        d->setState(at->second, EntryState::Unknown);
    }
}

void Ledger::expire(Time now)
{
    absl::erase_if(d->entries, [&](const auto &entry) {
        const bool isOver = entry.second.state == EntryState::Answered || entry.second.state == EntryState::Unknown;
        const bool isExpired = isOver && entry.second.mintedAt + d->lifetime <= now;
        d->bytes -= isExpired ? d->charge(entry.second) : 0;
        return isExpired;
    });
}

void Ledger::stopAccepting()
{
    d->isAccepting = false;
}

void Ledger::seal(std::vector<LedgerRecord> &records)
{
    d->isAccepting = false;
    d->isSealed = true;
    for (const auto &[counter, entry] : d->entries) {
        if (entry.state != EntryState::Accepted) {
            const bool isAnswered = entry.state == EntryState::Answered;
            records.push_back({ counter, entry.bodyHash, isAnswered, isAnswered ? *entry.answer : StoredAnswer() });
        }
    }
}

std::size_t Ledger::size() const
{
    return d->entries.size();
}

std::size_t Ledger::bytes() const
{
    return d->bytes;
}

struct InheritedLedger::Private
{
    NodeId node;
    Incarnation incarnation;
    Time sealedAt;
    Duration lifetime;
    Time receivedAt;
    std::size_t bytes = 0;
    absl::flat_hash_map<std::uint64_t, LedgerRecord> records;

    // The present time on the steady clock of the incarnation that left.
    Time originTime(Time now) const
    {
        return sealedAt + (now - receivedAt);
    }
};

InheritedLedger::InheritedLedger(SealedLedger ledger, Time now)
    : d(std::make_unique<Private>())
{
    d->node = std::move(ledger.node);
    d->incarnation = ledger.incarnation;
    d->sealedAt = ledger.sealedAt;
    d->lifetime = ledger.lifetime;
    d->receivedAt = now;
    for (LedgerRecord &record : ledger.records) {
        d->bytes += EntryBytes + answerBytes(record.answer);
        d->records.emplace(record.counter, std::move(record));
    }
}

InheritedLedger::~InheritedLedger() = default;
InheritedLedger::InheritedLedger(InheritedLedger &&) noexcept = default;
InheritedLedger &InheritedLedger::operator=(InheritedLedger &&) noexcept = default;

LedgerDecision InheritedLedger::accept(const IdempotencyKey &key, const std::string &bodyHash, Time now) const
{
    if (key.mintedAt + d->lifetime <= d->originTime(now)) {
        return RefuseKey { ErrorKind::KeyExpired };
    }
    const auto at = d->records.find(key.counter);
    if (at == d->records.end()) {
        return RefuseKey { ErrorKind::KeyRequired };
    }
    if (at->second.bodyHash != bodyHash) {
        return RefuseKey { ErrorKind::KeyMismatch };
    }
    if (at->second.isAnswered) {
        return Replay { at->second.answer };
    }
    return RefuseKey { ErrorKind::OutcomeUnknown };
}

bool InheritedLedger::isOver(Time now) const
{
    return now - d->receivedAt >= d->lifetime;
}

SealedLedger InheritedLedger::handOver(Time now) const
{
    SealedLedger ledger { d->node, d->incarnation, d->originTime(now), d->lifetime, {} };
    for (const auto &[counter, record] : d->records) {
        ledger.records.push_back(record);
    }
    return ledger;
}

std::size_t InheritedLedger::size() const
{
    return d->records.size();
}

std::size_t InheritedLedger::bytes() const
{
    return d->bytes;
}

} // namespace ApricotStep
