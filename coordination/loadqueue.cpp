#include "coordination/loadqueue.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace ApricotStep
{

namespace
{

// Fraction of a patient request's allowance that its load may wait for sharers, at a batch share of 1.
constexpr double MaxHoldRatio = 0.1;
// A failure this long ago has no influence on the next attempt.
constexpr Duration FailureExpiry { 60'000 };

using Ranked = std::tuple<QueueLevel, Time, AdapterKey>;
using Sleeping = std::pair<Time, AdapterKey>;

struct PendingLoad
{
    AdapterDemand demand;
    // An entry is in `order`, sorted by level and rank, if wakeAt is zero, otherwise in `sleeping`.
    Time rank;
    Time wakeAt;
};

struct Failure
{
    int tries = 0;
    Time nextRetryAt;
    Time last;
};

} // namespace

struct LoadQueue::Private
{
    LoadQueueLimits limits;
    std::mt19937_64 random;
    absl::flat_hash_map<AdapterKey, PendingLoad> pending;
    absl::btree_set<Ranked> order;
    absl::btree_set<Sleeping> sleeping;
    absl::flat_hash_map<AdapterKey, Failure> failures;

    void unlink(const AdapterKey &adapter, const PendingLoad &entry);
    void link(const AdapterKey &adapter, PendingLoad &entry, Time now);
    Time wakeTimeOf(const AdapterKey &adapter, const AdapterDemand &demand) const;
    Duration sharingCredit(const AdapterDemand &demand) const;
};

void LoadQueue::Private::unlink(const AdapterKey &adapter, const PendingLoad &entry)
{
    if (entry.wakeAt == Time()) {
        order.erase({ entry.demand.level, entry.rank, adapter });
    } else {
        sleeping.erase({ entry.wakeAt, adapter });
    }
}

Time LoadQueue::Private::wakeTimeOf(const AdapterKey &adapter, const AdapterDemand &demand) const
{
    Time wake;
    const auto failure = failures.find(adapter);
    if (failure != failures.end()) {
        wake = failure->second.nextRetryAt;
    }
    if (demand.level == QueueLevel::Patient && demand.waiting < limits.targetSharers) {
        const double hold = static_cast<double>(demand.allowance.milliseconds()) * MaxHoldRatio * limits.batchShare;
        wake = std::max(wake, demand.oldest + Duration(static_cast<std::int64_t>(hold)));
    }
    return wake;
}

// Returns how much each further request that shares an adapter's load adds to its waiting time. Patient work can let adapters with more
// sharers go first, for a fraction of its allowance.
Duration LoadQueue::Private::sharingCredit(const AdapterDemand &demand) const
{
    if (demand.level != QueueLevel::Patient) {
        return limits.creditPerRequest;
    }
    const double worth = static_cast<double>(demand.allowance.milliseconds()) * MaxHoldRatio * limits.batchShare;
    return std::max(limits.creditPerRequest, Duration(static_cast<std::int64_t>(worth)));
}

void LoadQueue::Private::link(const AdapterKey &adapter, PendingLoad &entry, Time now)
{
    const Time wake = wakeTimeOf(adapter, entry.demand);
    if (wake > now) {
        entry.wakeAt = wake;
        sleeping.insert({ wake, adapter });
        return;
    }
    entry.wakeAt = Time();
    entry.rank = entry.demand.oldest - sharingCredit(entry.demand) * (entry.demand.waiting - 1);
    order.insert({ entry.demand.level, entry.rank, adapter });
}

LoadQueue::LoadQueue(LoadQueueLimits limits, std::uint64_t seed)
    : d(std::make_unique<Private>())
{
    d->limits = limits;
    d->random.seed(seed);
}

LoadQueue::~LoadQueue() = default;
LoadQueue::LoadQueue(LoadQueue &&) noexcept = default;
LoadQueue &LoadQueue::operator=(LoadQueue &&) noexcept = default;

void LoadQueue::update(const AdapterKey &adapter, const AdapterDemand &demand, Time now)
{
    if (demand.waiting == 0) {
        remove(adapter);
        return;
    }
    const auto [at, isNew] = d->pending.try_emplace(adapter);
    if (!isNew) {
        d->unlink(adapter, at->second);
    }
    at->second.demand = demand;
    d->link(adapter, at->second, now);
}

void LoadQueue::remove(const AdapterKey &adapter)
{
    const auto at = d->pending.find(adapter);
    if (at != d->pending.end()) {
        d->unlink(adapter, at->second);
        d->pending.erase(at);
    }
}

void LoadQueue::wake(Time now)
{
    while (!d->sleeping.empty() && d->sleeping.begin()->first <= now) {
        const AdapterKey adapter = d->sleeping.begin()->second;
        PendingLoad &entry = d->pending.at(adapter);
        d->unlink(adapter, entry);
        d->link(adapter, entry, now);
    }
}

std::vector<AdapterKey> LoadQueue::first(int count) const
{
    std::vector<AdapterKey> adapters;
    for (const auto &[level, rank, adapter] : d->order) {
        if (std::cmp_greater_equal(adapters.size(), count)) {
            break;
        }
        adapters.push_back(adapter);
    }
    return adapters;
}

std::optional<Time> LoadQueue::headOfLine(QueueLevel level) const
{
    const auto at = d->order.lower_bound(Ranked { level, Time(INT64_MIN), AdapterKey {} });
    if (at == d->order.end() || std::get<QueueLevel>(*at) != level) {
        return std::nullopt;
    }
    return d->pending.at(std::get<AdapterKey>(*at)).demand.oldest;
}

std::optional<AdapterDemand> LoadQueue::demand(const AdapterKey &adapter) const
{
    const auto at = d->pending.find(adapter);
    return at == d->pending.end() ? std::nullopt : std::optional(at->second.demand);
}

bool LoadQueue::isEmpty() const
{
    return d->order.empty();
}

std::optional<Time> LoadQueue::onLoadFailed(const AdapterKey &adapter, Time now)
{
    absl::erase_if(d->failures, [&](const auto &entry) { return now - entry.second.last > FailureExpiry; });
    Failure &failure = d->failures[adapter];
    const std::int64_t doubled = d->limits.firstBackoff.milliseconds() << std::min(failure.tries, 10);
    const std::int64_t longest = std::min(doubled, d->limits.maxBackoff.milliseconds());
    std::uniform_int_distribution<std::int64_t> jittered(longest / 2, longest);
    ++failure.tries;
    failure.last = now;
    failure.nextRetryAt = now + Duration(jittered(d->random));
    const auto at = d->pending.find(adapter);
    if (at != d->pending.end()) {
        d->unlink(adapter, at->second);
        d->link(adapter, at->second, now);
    }
    return failure.tries >= d->limits.maxTries ? std::nullopt : std::optional(failure.nextRetryAt);
}

void LoadQueue::onLoadSucceeded(const AdapterKey &adapter)
{
    d->failures.erase(adapter);
}

Duration LoadQueue::remainingBackoff(const AdapterKey &adapter, Time now) const
{
    const auto at = d->failures.find(adapter);
    return at == d->failures.end() || at->second.nextRetryAt <= now ? Duration() : at->second.nextRetryAt - now;
}

} // namespace ApricotStep
