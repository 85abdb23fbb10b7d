#include "coordination/ledger.h"

#include <absl/container/flat_hash_map.h>

#include <utility>

namespace ApricotStep
{

namespace
{

enum class EntryState {
    Accepted,
    Sent,
    Answered,
    Unknown,
};

struct Entry
{
    EntryState state = EntryState::Accepted;
    std::string bodyHash;
    Time mintedAt;
    StoredAnswer answer;
};

} // namespace

struct Ledger::Private
{
    Duration lifetime;
    std::size_t capacity = 1;
    // Keys of this node and incarnation differ in their counters only.
    absl::flat_hash_map<std::uint64_t, Entry> entries;
};

Ledger::Ledger(Duration lifetime, std::size_t capacity)
    : d(std::make_unique<Private>())
{
    d->lifetime = lifetime;
    d->capacity = capacity;
}

Ledger::~Ledger() = default;

LedgerDecision Ledger::accept(const IdempotencyKey &key, const std::string &bodyHash, Time now)
{
    if (key.mintedAt + d->lifetime <= now) {
        return RefuseKey { ErrorKind::KeyExpired };
    }
    const auto at = d->entries.find(key.counter);
    if (at == d->entries.end()) {
        if (d->entries.size() >= d->capacity) {
            return RefuseKey { ErrorKind::LedgerFull };
        }
        d->entries.emplace(key.counter, Entry { EntryState::Accepted, bodyHash, key.mintedAt, {} });
        return RunNow {};
    }
    const Entry &entry = at->second;
    if (entry.bodyHash != bodyHash) {
        return RefuseKey { ErrorKind::KeyMismatch };
    }
    switch (entry.state) {
    case EntryState::Accepted:
    case EntryState::Sent:
        return WaitForFirst {};
    case EntryState::Answered:
        return Replay { entry.answer };
    case EntryState::Unknown:
        break;
    }
    return RefuseKey { ErrorKind::OutcomeUnknown };
}

bool Ledger::markSent(const IdempotencyKey &key)
{
    const auto at = d->entries.find(key.counter);
    if (at == d->entries.end() || at->second.state != EntryState::Accepted) {
        return false;
    }
    at->second.state = EntryState::Sent;
    return true;
}

void Ledger::complete(const IdempotencyKey &key, StoredAnswer answer)
{
    const auto at = d->entries.find(key.counter);
    if (at != d->entries.end()) {
        at->second.state = EntryState::Answered;
        at->second.answer = std::move(answer);
    }
}

void Ledger::fail(const IdempotencyKey &key)
{
    const auto at = d->entries.find(key.counter);
    if (at == d->entries.end()) {
        return;
    }
    if (at->second.state == EntryState::Accepted) {
        d->entries.erase(at);
    } else if (at->second.state == EntryState::Sent) {
        at->second.state = EntryState::Unknown;
    }
}

void Ledger::expire(Time now)
{
    absl::erase_if(d->entries, [&](const auto &entry) {
        const bool isOver = entry.second.state == EntryState::Answered || entry.second.state == EntryState::Unknown;
        return isOver && entry.second.mintedAt + d->lifetime <= now;
    });
}

std::size_t Ledger::size() const
{
    return d->entries.size();
}

} // namespace ApricotStep
