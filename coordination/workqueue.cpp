#include "coordination/workqueue.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>

#include <algorithm>
#include <array>
#include <list>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr int RoundTokens = 256;
// Upper bound of the tokens charged for one request, so that choosing the next one takes a bounded number of rounds.
constexpr int MaxChargedTokens = 4096;
// Part of its allowance, in percent, that a request waits before it is promoted.
constexpr int PromotionPercent = 75;

using TimedId = std::pair<Time, RequestId>;

struct Entry
{
    WorkItem item;
    QueueLevel level = QueueLevel::Standard;
    std::list<RequestId>::iterator position;
};

// The requests of one caller for one adapter at one level, in the order in which they were queued.
struct Flow
{
    std::list<RequestId> ids;
    bool isInRing = false;
};

struct CallerQueue
{
    absl::node_hash_map<AdapterKey, Flow> flows;
    // Adapters in round-robin order. May contain adapters that are no longer ready; readyFlow() removes them.
    std::list<AdapterKey> ring;
    std::int64_t tokens = 0;
    int deficit = 0;
    bool isInRing = false;
};

struct LevelQueue
{
    absl::node_hash_map<CallerId, CallerQueue> callers;
    std::list<CallerId> ring;
    int ready = 0;
    std::int64_t readyTokens = 0;
};

struct AdapterQueue
{
    std::array<absl::btree_set<TimedId>, QueueLevelCount> arrivals;
    std::array<absl::flat_hash_map<CallerId, int>, QueueLevelCount> callers;

    bool isEmpty() const
    {
        return std::all_of(arrivals.begin(), arrivals.end(), [](const auto &level) { return level.empty(); });
    }
};

Time promotionTime(const WorkItem &item)
{
    return item.arrival + Duration((item.deadline - item.arrival).milliseconds() * PromotionPercent / 100);
}

constexpr std::size_t index(QueueLevel level)
{
    return static_cast<std::size_t>(level);
}

} // namespace

QueueLevel levelOf(Priority priority)
{
    switch (priority) {
    case Priority::Urgent:
        return QueueLevel::Urgent;
    case Priority::Standard:
        return QueueLevel::Standard;
    case Priority::Patient:
        return QueueLevel::Patient;
    }
    return QueueLevel::Standard;
}

struct WorkQueue::Private
{
    absl::node_hash_map<RequestId, Entry> entries;
    std::array<LevelQueue, QueueLevelCount> levels;
    absl::node_hash_map<AdapterKey, AdapterQueue> adapters;
    absl::flat_hash_set<AdapterKey> readyAdapters;
    absl::btree_set<TimedId> deadlines;
    absl::btree_set<TimedId> promotions;
    absl::btree_set<TimedId> readyPatient;

    void insert(const WorkItem &item, QueueLevel level);
    WorkItem erase(RequestId id);
    void enterRing(LevelQueue &level, const CallerId &callerId, const AdapterKey &adapter);
    void countReady(const Entry &entry, int sign);
    std::optional<RequestId> pick(LevelQueue &level);
    Flow *readyFlow(CallerQueue &caller);
};

void WorkQueue::Private::enterRing(LevelQueue &level, const CallerId &callerId, const AdapterKey &adapter)
{
    CallerQueue &caller = level.callers[callerId];
    Flow &flow = caller.flows[adapter];
    if (!flow.isInRing) {
        flow.isInRing = true;
        caller.ring.push_back(adapter);
    }
    if (!caller.isInRing) {
        caller.isInRing = true;
        level.ring.push_back(callerId);
    }
}

void WorkQueue::Private::countReady(const Entry &entry, int sign)
{
    LevelQueue &level = levels[index(entry.level)];
    level.ready += sign;
    level.readyTokens += static_cast<std::int64_t>(sign) * entry.item.tokens;
    if (entry.level != QueueLevel::Patient) {
        return;
    }
    if (sign > 0) {
        readyPatient.insert({ entry.item.arrival, entry.item.id });
    } else {
        readyPatient.erase({ entry.item.arrival, entry.item.id });
    }
}

void WorkQueue::Private::insert(const WorkItem &item, QueueLevel level)
{
    LevelQueue &queue = levels[index(level)];
    CallerQueue &caller = queue.callers[item.caller];
    Flow &flow = caller.flows[item.adapter];
    flow.ids.push_back(item.id);
    caller.tokens += item.tokens;
    const auto entry = entries.emplace(item.id, Entry { item, level, std::prev(flow.ids.end()) }).first;
    AdapterQueue &adapter = adapters[item.adapter];
    adapter.arrivals[index(level)].insert({ item.arrival, item.id });
    ++adapter.callers[index(level)][item.caller];
    deadlines.insert({ item.deadline, item.id });
    if (level == QueueLevel::Standard || level == QueueLevel::Patient) {
        promotions.insert({ promotionTime(item), item.id });
    }
    if (readyAdapters.contains(item.adapter)) {
        countReady(entry->second, 1);
        enterRing(queue, item.caller, item.adapter);
    }
}

WorkItem WorkQueue::Private::erase(RequestId id)
{
    const auto at = entries.find(id);
    const Entry entry = at->second;
    const WorkItem &item = entry.item;
    const std::size_t level = index(entry.level);
    if (readyAdapters.contains(item.adapter)) {
        countReady(entry, -1);
    }
    const auto caller = levels[level].callers.find(item.caller);
    const auto flow = caller->second.flows.find(item.adapter);
    flow->second.ids.erase(entry.position);
    caller->second.tokens -= item.tokens;
    if (flow->second.ids.empty() && !flow->second.isInRing) {
        caller->second.flows.erase(flow);
    }
    if (caller->second.flows.empty() && !caller->second.isInRing) {
        levels[level].callers.erase(caller);
    }
    const auto adapter = adapters.find(item.adapter);
    adapter->second.arrivals[level].erase({ item.arrival, id });
    const auto count = adapter->second.callers[level].find(item.caller);
    if (--count->second == 0) {
        adapter->second.callers[level].erase(count);
    }
    if (adapter->second.isEmpty()) {
        adapters.erase(adapter);
    }
    deadlines.erase({ item.deadline, id });
    promotions.erase({ promotionTime(item), id });
    entries.erase(at);
    return item;
}

// Returns the first ready flow in the caller's ring, null if there is none; removes the flows before it from the ring.
Flow *WorkQueue::Private::readyFlow(CallerQueue &caller)
{
    while (!caller.ring.empty()) {
        const auto at = caller.flows.find(caller.ring.front());
        if (!at->second.ids.empty() && readyAdapters.contains(at->first)) {
            return &at->second;
        }
        at->second.isInRing = false;
        if (at->second.ids.empty()) {
            caller.flows.erase(at);
        }
        caller.ring.pop_front();
    }
    return nullptr;
}

std::optional<RequestId> WorkQueue::Private::pick(LevelQueue &level)
{
    while (!level.ring.empty()) {
        const auto at = level.callers.find(level.ring.front());
        CallerQueue &caller = at->second;
        const Flow *flow = readyFlow(caller);
        if (flow == nullptr) {
            caller.isInRing = false;
            caller.deficit = 0;
            if (caller.flows.empty()) {
                level.callers.erase(at);
            }
            level.ring.pop_front();
            continue;
        }
        const RequestId id = flow->ids.front();
        const int charge = std::min(entries.at(id).item.tokens, MaxChargedTokens);
        if (caller.deficit < charge) {
            caller.deficit += RoundTokens;
            level.ring.splice(level.ring.end(), level.ring, level.ring.begin());
            continue;
        }
        caller.deficit -= charge;
        caller.ring.splice(caller.ring.end(), caller.ring, caller.ring.begin());
        return id;
    }
    return std::nullopt;
}

WorkQueue::WorkQueue()
    : d(std::make_unique<Private>())
{
}

WorkQueue::~WorkQueue() = default;
WorkQueue::WorkQueue(WorkQueue &&) noexcept = default;
WorkQueue &WorkQueue::operator=(WorkQueue &&) noexcept = default;

void WorkQueue::add(const WorkItem &item)
{
    if (!d->entries.contains(item.id)) {
        d->insert(item, levelOf(item.priority));
    }
}

std::optional<WorkItem> WorkQueue::remove(RequestId id)
{
    return d->entries.contains(id) ? std::optional(d->erase(id)) : std::nullopt;
}

void WorkQueue::setReady(const AdapterKey &adapter, bool isReady)
{
    if (isReady == d->readyAdapters.contains(adapter)) {
        return;
    }
    if (isReady) {
        d->readyAdapters.insert(adapter);
    } else {
        d->readyAdapters.erase(adapter);
    }
    const auto at = d->adapters.find(adapter);
    if (at == d->adapters.end()) {
        return;
    }
    for (std::size_t level = 0; level < QueueLevelCount; ++level) {
        for (const auto &[arrival, id] : at->second.arrivals[level]) {
            d->countReady(d->entries.at(id), isReady ? 1 : -1);
        }
        if (isReady) {
            for (const auto &[caller, count] : at->second.callers[level]) {
                d->enterRing(d->levels[level], caller, adapter);
            }
        }
    }
}

std::optional<WorkItem> WorkQueue::next(QueueLevel lowest)
{
    for (std::size_t level = 0; level <= index(lowest); ++level) {
        if (d->levels[level].ready == 0) {
            continue;
        }
        if (const auto id = d->pick(d->levels[level])) {
            return d->erase(*id);
        }
    }
    return std::nullopt;
}

std::vector<WorkItem> WorkQueue::takeExpired(Time now)
{
    std::vector<WorkItem> expired;
    while (!d->deadlines.empty() && d->deadlines.begin()->first <= now) {
        expired.push_back(d->erase(d->deadlines.begin()->second));
    }
    return expired;
}

std::vector<WorkItem> WorkQueue::takeAdapter(const AdapterKey &adapter, Time deadlineBefore)
{
    std::vector<RequestId> ids;
    const auto at = d->adapters.find(adapter);
    if (at == d->adapters.end()) {
        return {};
    }
    for (const auto &arrivals : at->second.arrivals) {
        for (const auto &[arrival, id] : arrivals) {
            if (d->entries.at(id).item.deadline < deadlineBefore) {
                ids.push_back(id);
            }
        }
    }
    std::vector<WorkItem> taken;
    taken.reserve(ids.size());
    for (const RequestId id : ids) {
        taken.push_back(d->erase(id));
    }
    return taken;
}

std::vector<AdapterKey> WorkQueue::promoteAged(Time now)
{
    std::vector<AdapterKey> promoted;
    while (!d->promotions.empty() && d->promotions.begin()->first <= now) {
        const WorkItem item = d->erase(d->promotions.begin()->second);
        d->insert(item, QueueLevel::Aged);
        promoted.push_back(item.adapter);
    }
    return promoted;
}

AdapterDemand WorkQueue::demand(const AdapterKey &adapter) const
{
    AdapterDemand demand;
    const auto at = d->adapters.find(adapter);
    if (at == d->adapters.end()) {
        return demand;
    }
    for (std::size_t level = QueueLevelCount; level-- > 0;) {
        const auto &arrivals = at->second.arrivals[level];
        if (arrivals.empty()) {
            continue;
        }
        demand.waiting += static_cast<int>(arrivals.size());
        demand.level = static_cast<QueueLevel>(level);
        const WorkItem &first = d->entries.at(arrivals.begin()->second).item;
        demand.priority = first.priority;
        demand.oldest = first.arrival;
        demand.allowance = first.deadline - first.arrival;
    }
    return demand;
}

int WorkQueue::size() const
{
    return static_cast<int>(d->entries.size());
}

int WorkQueue::readyCount(QueueLevel level) const
{
    return d->levels[index(level)].ready;
}

const WorkItem *WorkQueue::oldestReadyPatient() const
{
    return d->readyPatient.empty() ? nullptr : &d->entries.at(d->readyPatient.begin()->second).item;
}

std::int64_t WorkQueue::tokensAhead(const CallerId &caller, QueueLevel level) const
{
    std::int64_t before = 0;
    for (std::size_t at = 0; at < index(level); ++at) {
        before += d->levels[at].readyTokens;
    }
    const LevelQueue &own = d->levels[index(level)];
    const auto queue = own.callers.find(caller);
    const std::int64_t ownTokens = queue == own.callers.end() ? 0 : queue->second.tokens;
    // Each caller gets as many tokens per round as this one, so the queue of another caller counts at most as much as this caller's own.
    const auto sharers = static_cast<std::int64_t>(own.ring.size()) + 1;
    return before + std::min(own.readyTokens, (ownTokens + RoundTokens) * sharers);
}

} // namespace ApricotStep
