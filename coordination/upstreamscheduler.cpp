#include "coordination/upstreamscheduler.h"

#include "coordination/engineslots.h"
#include "coordination/loadqueue.h"
#include "coordination/workqueue.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace ApricotStep
{

namespace
{

// More permit requests at once would only delay the loads of other engines.
constexpr int MaxPermitRequests = 4;
// A permit is requested again after this time without a grant because the message or the permit issuer may be lost.
constexpr Duration PermitRequestTimeout { 2000 };
// Weight of the newest sample in a moving average.
constexpr double NewestWeight = 0.1;
constexpr double NewestIntervalWeight = 0.3;
// Part of its allowance for which a patient request is held at most for a fuller batch, at a batch share of 1.
constexpr double MaxHoldFraction = 0.1;
// The wait of a recent load is used to estimate the wait of the next one if it is no older than this.
constexpr Duration LoadWaitMaxAge { 2000 };
// Part of its allowance that an urgent request may be expected to wait for a load before it is refused, at a stall share of 1 and of 0.
// In a burst the loads serve as many requests either way; a short queue serves them sooner and refuses the others at once.
constexpr double MinLoadWaitFraction = 0.15;
constexpr double MaxLoadWaitFraction = 1.0;
constexpr Duration MinRetryAfter { 1000 };
constexpr Duration MaxRetryAfter { 60'000 };
// Retry times of callers that are refused together are spread over this part of the wait, in percent, so that they do not return together.
constexpr int RetrySpreadPercent = 25;
// An adapter is prefetched if it was requested at least twice recently and at least twice as often as the adapter evicted for it. Scores
// are base-2 logarithms, so a lead of 1 is a factor of two.
constexpr double MinPrefetchUses = 2.0;
constexpr double MinPrefetchScoreLead = 1.0;

struct Running
{
    WorkItem item;
    Time dispatchedAt;
    std::uint64_t engineStart = 0;
};

struct SentPermitRequest
{
    std::optional<Priority> urgency;
    int waiting = 0;
    Time requestedAt;
};

struct HeldPermit
{
    AdapterKey requestedFor;
    Time expiry;
};

OrderOutcome outcomeOf(bool isDone, bool isUnknown)
{
    if (isUnknown) {
        return OrderOutcome::Unknown;
    }
    return isDone ? OrderOutcome::Done : OrderOutcome::Failed;
}

EngineSlotsLimits residencyLimits(const SchedulerLimits &limits)
{
    EngineSlotsLimits engineSlots;
    engineSlots.slots = limits.slots;
    engineSlots.loadTime = limits.loadTime;
    engineSlots.minimumResidence = limits.loadTime * 4;
    return engineSlots;
}

double batchShareOf(const SchedulerLimits &limits)
{
    const int sum = limits.stallWeight + limits.batchWeight;
    return sum <= 0 ? 0.0 : static_cast<double>(limits.batchWeight) / sum;
}

LoadQueueLimits orderLimits(const SchedulerLimits &limits)
{
    LoadQueueLimits order;
    order.batchShare = batchShareOf(limits);
    order.targetSharers = std::max(2, limits.batch / 4);
    return order;
}

} // namespace

struct UpstreamScheduler::Private
{
    explicit Private(const SchedulerLimits &theLimits)
        : limits(theLimits)
        , engineSlots(residencyLimits(theLimits))
        , order(orderLimits(theLimits), theLimits.seed)
        , batchShare(batchShareOf(theLimits))
        , reservedSeats(theLimits.batch * theLimits.urgentSeatsPercent / 100)
        , publishedBatch(theLimits.batch)
        , reservedSlots(theLimits.slots * theLimits.urgentSlotsPercent / 100)
    {
    }

    SchedulerLimits limits;
    EngineSlots engineSlots;
    WorkQueue queue;
    LoadQueue order;
    absl::flat_hash_map<RequestId, Running> running;
    // Seats taken by requests dispatched since the engine's last restart; requests from before it hold no seat.
    int seats = 0;
    int nonUrgentSeats = 0;
    std::uint64_t engineStart = 0;
    double batchShare;
    int reservedSeats;
    int publishedBatch;
    int reservedSlots;
    bool isReleasingPatient = false;
    // Moving average of the tokens per millisecond that one seat serves; 0 until measured.
    double seatRate = 0;
    // How long requests had waited for the last load at each level when it started, and the time of that start.
    std::array<Duration, QueueLevelCount> lastLoadWait {};
    std::array<Time, QueueLevelCount> lastLoadStart {};
    // The last estimate of the permit issuer for the wait at each level, and when it came.
    std::array<Duration, QueueLevelCount> permitWait {};
    std::array<Time, QueueLevelCount> permitWaitAt {};
    std::vector<HeldPermit> permits;
    absl::flat_hash_map<AdapterKey, SentPermitRequest> sentPermitRequests;
    // The adapters for which the permits of loads in flight were requested, by the adapter being loaded.
    absl::flat_hash_map<AdapterKey, AdapterKey> usedPermits;
    int loadsInFlight = 0;
    std::vector<SchedulerAction> actions;

    void on(const WorkArrived &event, Time now);
    void on(const WorkCancelled &event, Time now);
    void on(const WorkFinished &event, Time now);
    void on(const LoadFinished &event, Time now);
    void on(const EvictFinished &event, Time now);
    void on(const UpstreamRestarted &event, Time now);
    void on(const PermitGranted &event, Time now);
    void on(const PermitWaitEstimated &event, Time now);
    void on(const LoadReport &event, Time now);
    void on(const EvictionRule &event, Time now);
    void on(const BatchLimited &event, Time now);
    void on(const Tick &event, Time now);

    Duration expectedWait(const WorkItem &item, Time now) const;
    Duration allowedWait(const WorkItem &item, Time now) const;
    Duration expectedLoadWait(const AdapterKey &adapter, QueueLevel level, Time now) const;
    void refuse(const WorkItem &item, ErrorKind kind, Duration wait);
    void refuseAll(const std::vector<WorkItem> &items, ErrorKind kind, Duration wait);
    void unpinQueued(const WorkItem &item);
    void refreshAdapter(const AdapterKey &adapter, Time now);
    void promoteQueue(Time now);
    void refuseExpired(Time now);
    bool mayDispatchPatient(Time now);
    std::optional<QueueLevel> lowestLevel(Time now);
    void dispatchReady(Time now);
    void returnExpiredPermits(Time now);
    int loadBudget() const;
    bool maySlotBeTaken(const AdapterKey &adapter) const;
    bool makeRoom(const AdapterKey &adapter, int &slotsBeingFreed, Time now);
    void startLoads(Time now);
    void startLoad(const AdapterKey &adapter, Time now);
    void recordLoadStart(const AdapterKey &adapter, Time now);
    void requestPermits(Time now);
    void requestPermit(const AdapterKey &adapter, const SentPermitRequest &sentRequest, Duration waited);
    std::optional<AdapterKey> prefetchTarget(Time now) const;
    void prefetch(Time now);
};

// The longest expected wait with which a request is accepted.
Duration UpstreamScheduler::Private::allowedWait(const WorkItem &item, Time now) const
{
    const Duration left = item.deadline - now;
    const bool waitsForLoad = item.priority == Priority::Urgent && !engineSlots.isLoaded(item.adapter);
    if (!waitsForLoad) {
        return left;
    }
    const double fraction = MinLoadWaitFraction + (MaxLoadWaitFraction - MinLoadWaitFraction) * batchShare;
    const Duration shortened(static_cast<std::int64_t>(static_cast<double>(left.milliseconds()) * fraction));
    return std::min(left, std::max(shortened, limits.loadTime * 2));
}

Duration UpstreamScheduler::Private::expectedLoadWait(const AdapterKey &adapter, QueueLevel level, Time now) const
{
    if (engineSlots.isLoaded(adapter)) {
        return {};
    }
    const auto state = engineSlots.state(adapter);
    const auto present = order.demand(adapter);
    // The load is in flight or queued already; this request only joins it.
    if (state == SlotState::Loading || (present.has_value() && present->level <= level)) {
        return std::max(limits.loadTime, order.remainingBackoff(adapter, now));
    }
    // Loads of one level start roughly in order of arrival across the whole fleet. The wait is therefore estimated from the load that is
    // next, the load that started last, and the permit issuer's estimate. A count of the loads ahead would not do, since it covers only
    // this engine.
    Duration wait;
    if (const auto head = order.headOfLine(level)) {
        wait = now - *head;
    }
    const auto index = static_cast<std::size_t>(level);
    if (now - lastLoadStart[index] < LoadWaitMaxAge) {
        wait = std::max(wait, lastLoadWait[index]);
    }
    if (now - permitWaitAt[index] < LoadWaitMaxAge) {
        wait = std::max(wait, permitWait[index]);
    }
    return std::max(wait + limits.loadTime, order.remainingBackoff(adapter, now));
}

// The expected wait of a request that arrives now, from the tokens ahead of it and the recent service rate.
Duration UpstreamScheduler::Private::expectedWait(const WorkItem &item, Time now) const
{
    const QueueLevel level = levelOf(item.priority);
    const Duration load = expectedLoadWait(item.adapter, level, now);
    const std::int64_t ahead = queue.tokensAhead(item.caller, level);
    if (seatRate <= 0 || (ahead == 0 && seats < limits.batch)) {
        return load;
    }
    const double tokens = static_cast<double>(ahead) + (seats >= limits.batch ? item.tokens : 0);
    const double wait = tokens / (seatRate * limits.batch);
    return std::max(load, Duration(static_cast<std::int64_t>(std::min(wait, 1e12))));
}

void UpstreamScheduler::Private::refuse(const WorkItem &item, ErrorKind kind, Duration wait)
{
    const std::int64_t base = std::clamp(wait, MinRetryAfter, MaxRetryAfter).milliseconds();
    const auto spread = static_cast<std::int64_t>(item.id.value() % RetrySpreadPercent);
    actions.emplace_back(Refuse { item.id, kind, Duration(base + base * spread / 100) });
}

void UpstreamScheduler::Private::refuseAll(const std::vector<WorkItem> &items, ErrorKind kind, Duration wait)
{
    for (const WorkItem &item : items) {
        unpinQueued(item);
        refuse(item, kind, wait);
    }
}

void UpstreamScheduler::Private::unpinQueued(const WorkItem &item)
{
    engineSlots.removeQueued(item.adapter);
}

// Updates the readiness of an adapter's requests and its place in the load order after a change of its slot or its demand.
void UpstreamScheduler::Private::refreshAdapter(const AdapterKey &adapter, Time now)
{
    const auto state = engineSlots.state(adapter);
    queue.setReady(adapter, state == SlotState::Loaded);
    const bool mayLoad = !state.has_value() || state == SlotState::Unknown;
    const AdapterDemand demand = mayLoad ? queue.demand(adapter) : AdapterDemand {};
    order.update(adapter, demand, now);
    if (demand.waiting == 0 && sentPermitRequests.erase(adapter) > 0) {
        actions.emplace_back(ReleasePermit { adapter, PermitEnd::Withdrawn });
    }
}

void UpstreamScheduler::Private::on(const WorkArrived &event, Time now)
{
    const WorkItem &item = event.item;
    engineSlots.recordRequest(item.adapter, now);
    const Duration wait = expectedWait(item, now);
    const Duration allowed = allowedWait(item, now);
    if (wait > allowed) {
        refuse(item, ErrorKind::Overloaded, wait - allowed);
        return;
    }
    queue.add(item);
    engineSlots.addQueued(item.adapter);
    refreshAdapter(item.adapter, now);
}

void UpstreamScheduler::Private::on(const WorkCancelled &event, Time now)
{
    if (const auto item = queue.remove(event.id)) {
        unpinQueued(*item);
        refreshAdapter(item->adapter, now);
    }
}

void UpstreamScheduler::Private::on(const WorkFinished &event, Time now)
{
    const auto at = running.find(event.id);
    if (at == running.end()) {
        return;
    }
    const Running &ended = at->second;
    engineSlots.removeRunning(ended.item.adapter);
    if (ended.engineStart == engineStart) {
        --seats;
        nonUrgentSeats -= ended.item.priority == Priority::Urgent ? 0 : 1;
        const double took = std::max<double>(1.0, static_cast<double>((now - ended.dispatchedAt).milliseconds()));
        const double rate = ended.item.tokens / took;
        seatRate = seatRate <= 0 ? rate : seatRate + (rate - seatRate) * NewestWeight;
    }
    running.erase(at);
}

void UpstreamScheduler::Private::on(const LoadFinished &event, Time now)
{
    loadsInFlight = std::max(0, loadsInFlight - 1);
    const auto permit = usedPermits.find(event.adapter);
    if (permit != usedPermits.end()) {
        actions.emplace_back(ReleasePermit { permit->second, PermitEnd::Used });
        usedPermits.erase(permit);
    }
    const OrderOutcome outcome = outcomeOf(event.isLoaded, event.isUnknown);
    engineSlots.endLoad(event.adapter, outcome, now);
    if (outcome == OrderOutcome::Done) {
        order.onLoadSucceeded(event.adapter);
        refreshAdapter(event.adapter, now);
        return;
    }
    // Requests that another try can still serve stay queued; the others are refused now.
    const auto nextTry = order.onLoadFailed(event.adapter, now);
    const Time minDeadline = nextTry.has_value() ? *nextTry + limits.loadTime : Time::never();
    refuseAll(queue.takeAdapter(event.adapter, minDeadline), ErrorKind::AdapterLoadFailed, order.remainingBackoff(event.adapter, now));
    refreshAdapter(event.adapter, now);
}

void UpstreamScheduler::Private::on(const EvictFinished &event, Time now)
{
    engineSlots.endEviction(event.adapter, outcomeOf(event.isEvicted, event.isUnknown), now);
    refreshAdapter(event.adapter, now);
}

// Requests from before the restart still pin their adapter until each has ended: the restart may have been inferred wrongly, and the
// eviction of an adapter that a request runs on would break off its answer. They no longer hold seats.
void UpstreamScheduler::Private::on(const UpstreamRestarted &, Time now)
{
    const std::vector<AdapterKey> before = engineSlots.residents();
    ++engineStart;
    seats = 0;
    nonUrgentSeats = 0;
    engineSlots.onRestart();
    for (const AdapterKey &adapter : before) {
        refreshAdapter(adapter, now);
    }
}

void UpstreamScheduler::Private::on(const PermitGranted &event, Time)
{
    sentPermitRequests.erase(event.adapter);
    permits.push_back({ event.adapter, event.expiry });
}

void UpstreamScheduler::Private::on(const PermitWaitEstimated &event, Time now)
{
    const auto index = static_cast<std::size_t>(levelOf(event.urgency));
    permitWait[index] = event.wait;
    permitWaitAt[index] = now;
}

void UpstreamScheduler::Private::on(const LoadReport &event, Time now)
{
    for (const AdapterKey &adapter : engineSlots.applyReport(event.takenAt, event.loaded, event.inUse, now)) {
        refreshAdapter(adapter, now);
    }
}

void UpstreamScheduler::Private::on(const BatchLimited &event, Time)
{
    limits.batch = std::clamp(event.seats, 1, publishedBatch);
    reservedSeats = limits.batch * limits.urgentSeatsPercent / 100;
}

void UpstreamScheduler::Private::on(const EvictionRule &event, Time)
{
    engineSlots.setEvictionRule(event.mayEvict, event.inUseElsewhere);
}

void UpstreamScheduler::Private::on(const Tick &, Time)
{
}

void UpstreamScheduler::Private::promoteQueue(Time now)
{
    for (const AdapterKey &adapter : queue.promoteAged(now)) {
        refreshAdapter(adapter, now);
    }
}

void UpstreamScheduler::Private::refuseExpired(Time now)
{
    const std::vector<WorkItem> expired = queue.takeExpired(now);
    refuseAll(expired, ErrorKind::DeadlinePassed, MinRetryAfter);
    for (const WorkItem &item : expired) {
        refreshAdapter(item.adapter, now);
    }
}

// Returns whether patient requests are dispatched now or wait for a fuller batch. Once released, all ready ones are dispatched.
bool UpstreamScheduler::Private::mayDispatchPatient(Time now)
{
    const int ready = queue.readyCount(QueueLevel::Patient);
    if (ready == 0) {
        isReleasingPatient = false;
        return false;
    }
    // A held request pins its adapter's slot, so no request is held while another adapter waits to be loaded.
    if (isReleasingPatient || !order.isEmpty() || seats + ready >= batchShare * limits.batch) {
        isReleasingPatient = true;
        return true;
    }
    const WorkItem &oldest = *queue.oldestReadyPatient();
    const double hold = static_cast<double>((oldest.deadline - oldest.arrival).milliseconds()) * MaxHoldFraction * batchShare;
    isReleasingPatient = now - oldest.arrival >= Duration(static_cast<std::int64_t>(hold));
    return isReleasingPatient;
}

std::optional<QueueLevel> UpstreamScheduler::Private::lowestLevel(Time now)
{
    if (seats >= limits.batch) {
        return std::nullopt;
    }
    if (nonUrgentSeats >= limits.batch - reservedSeats) {
        return QueueLevel::Urgent;
    }
    return mayDispatchPatient(now) ? QueueLevel::Patient : QueueLevel::Standard;
}

void UpstreamScheduler::Private::dispatchReady(Time now)
{
    for (auto lowest = lowestLevel(now); lowest.has_value(); lowest = lowestLevel(now)) {
        const auto item = queue.next(*lowest);
        if (!item.has_value()) {
            return;
        }
        engineSlots.addRunning(item->adapter);
        unpinQueued(*item);
        ++seats;
        nonUrgentSeats += item->priority == Priority::Urgent ? 0 : 1;
        actions.emplace_back(Dispatch { item->id });
        running.emplace(item->id, Running { *item, now, engineStart });
    }
}

void UpstreamScheduler::Private::returnExpiredPermits(Time now)
{
    std::erase_if(permits, [&](const HeldPermit &permit) {
        if (permit.expiry > now) {
            return false;
        }
        actions.emplace_back(ReleasePermit { permit.requestedFor, PermitEnd::Unused });
        return true;
    });
}

int UpstreamScheduler::Private::loadBudget() const
{
    return limits.needsPermits ? static_cast<int>(permits.size()) : limits.parallelLoads - loadsInFlight;
}

// A long request pins its slot until it ends. If such requests pinned all slots, an urgent request for another adapter would wait for one
// of them to end even if its load could start at once; the last slots are therefore reserved for urgent requests.
bool UpstreamScheduler::Private::maySlotBeTaken(const AdapterKey &adapter) const
{
    const auto demand = order.demand(adapter);
    const bool isUrgent = demand.has_value() && demand->level == QueueLevel::Urgent;
    const bool hasSlot = engineSlots.state(adapter) == SlotState::Unknown;
    return isUrgent || hasSlot || engineSlots.unpinnedSlots() + engineSlots.evictingCount() > reservedSlots;
}

// Returns whether @p adapter can be loaded at once. If not, starts an eviction if possible, unless a slot is being freed for it already.
bool UpstreamScheduler::Private::makeRoom(const AdapterKey &adapter, int &slotsBeingFreed, Time now)
{
    if (engineSlots.state(adapter) == SlotState::Unknown || engineSlots.freeSlots() > 0) {
        return true;
    }
    if (slotsBeingFreed > 0) {
        --slotsBeingFreed;
        return false;
    }
    const auto demand = order.demand(adapter);
    const bool isUrgent = demand.has_value() && demand->level <= QueueLevel::Aged;
    if (const auto victim = engineSlots.beginEviction(isUrgent, now)) {
        queue.setReady(*victim, false);
        actions.emplace_back(StartEvict { *victim });
    }
    return false;
}

void UpstreamScheduler::Private::recordLoadStart(const AdapterKey &adapter, Time now)
{
    if (const auto demand = order.demand(adapter)) {
        const auto index = static_cast<std::size_t>(demand->level);
        lastLoadWait[index] = now - demand->oldest;
        lastLoadStart[index] = now;
    }
}

void UpstreamScheduler::Private::startLoad(const AdapterKey &adapter, Time now)
{
    engineSlots.beginLoad(adapter, now);
    recordLoadStart(adapter, now);
    order.remove(adapter);
    ++loadsInFlight;
    if (limits.needsPermits) {
        // Any permit of this engine may be used; the one requested for this adapter is preferred for simple accounting at the issuer.
        auto own = std::find_if(permits.begin(), permits.end(), [&](const auto &permit) { return permit.requestedFor == adapter; });
        if (own == permits.end()) {
            own = permits.begin();
        }
        usedPermits[adapter] = own->requestedFor;
        permits.erase(own);
        if (sentPermitRequests.erase(adapter) > 0) {
            actions.emplace_back(ReleasePermit { adapter, PermitEnd::Withdrawn });
        }
    }
    actions.emplace_back(StartLoad { adapter });
}

void UpstreamScheduler::Private::startLoads(Time now)
{
    order.wake(now);
    returnExpiredPermits(now);
    const int budget = loadBudget();
    if (budget <= 0) {
        return;
    }
    int slotsBeingFreed = engineSlots.evictingCount();
    for (const AdapterKey &adapter : order.first(budget)) {
        if (!maySlotBeTaken(adapter)) {
            break;
        }
        if (makeRoom(adapter, slotsBeingFreed, now)) {
            startLoad(adapter, now);
        }
    }
    if (limits.needsPermits && order.isEmpty()) {
        prefetch(now);
    }
}

std::optional<AdapterKey> UpstreamScheduler::Private::prefetchTarget(Time now) const
{
    const auto target = engineSlots.mostPopularAbsent();
    if (!target.has_value()) {
        return std::nullopt;
    }
    const double score = engineSlots.score(*target);
    const double uses = std::exp2(score - engineSlots.singleUseScore(now));
    // Must agree with prefetch(): a permit that cannot be used would be released and requested again in an endless loop.
    const bool hasRoom = engineSlots.freeSlots() > 0 || engineSlots.evictingCount() > 0
        || engineSlots.evictionVictim(false, now, score - MinPrefetchScoreLead).has_value();
    const bool isBackingOff = order.remainingBackoff(*target, now) > Duration();
    return uses >= MinPrefetchUses && hasRoom && !isBackingOff ? target : std::nullopt;
}

// Uses a permit that no waiting request needs any more for a prefetch, or releases it so that another engine can use it.
void UpstreamScheduler::Private::prefetch(Time now)
{
    const auto target = prefetchTarget(now);
    if (target.has_value() && !permits.empty() && engineSlots.freeSlots() > 0) {
        startLoad(*target, now);
        return;
    }
    if (target.has_value() && engineSlots.evictingCount() == 0) {
        if (const auto victim = engineSlots.beginEviction(false, now, engineSlots.score(*target) - MinPrefetchScoreLead)) {
            actions.emplace_back(StartEvict { *victim });
        }
    }
    if (engineSlots.evictingCount() > 0) {
        return;
    }
    for (const HeldPermit &permit : permits) {
        actions.emplace_back(ReleasePermit { permit.requestedFor, PermitEnd::Unused });
    }
    permits.clear();
}

void UpstreamScheduler::Private::requestPermit(const AdapterKey &adapter, const SentPermitRequest &sentRequest, Duration waited)
{
    sentPermitRequests[adapter] = sentRequest;
    actions.emplace_back(RequestPermit { adapter, sentRequest.urgency, sentRequest.waiting, waited });
}

void UpstreamScheduler::Private::requestPermits(Time now)
{
    if (!limits.needsPermits) {
        return;
    }
    const int room = std::min(MaxPermitRequests, engineSlots.obtainableSlots());
    int held = static_cast<int>(permits.size());
    for (const AdapterKey &adapter : order.first(room)) {
        if (!maySlotBeTaken(adapter)) {
            break;
        }
        // The permits already held cover the first adapters.
        if (held-- > 0) {
            continue;
        }
        const AdapterDemand demand = order.demand(adapter).value_or(AdapterDemand {});
        const auto at = sentPermitRequests.find(adapter);
        const bool hasChanged = at == sentPermitRequests.end() || at->second.urgency != demand.priority
            || demand.waiting >= at->second.waiting * 2 || now - at->second.requestedAt >= PermitRequestTimeout;
        if (hasChanged) {
            requestPermit(adapter, { demand.priority, demand.waiting, now }, now - demand.oldest);
        }
    }
    if (order.isEmpty() && sentPermitRequests.empty() && permits.empty()) {
        if (const auto target = prefetchTarget(now)) {
            requestPermit(*target, { std::nullopt, 0, now }, Duration());
        }
    }
}

UpstreamScheduler::UpstreamScheduler(SchedulerLimits limits)
    : d(std::make_unique<Private>(limits))
{
}

UpstreamScheduler::~UpstreamScheduler() = default;
UpstreamScheduler::UpstreamScheduler(UpstreamScheduler &&) noexcept = default;
UpstreamScheduler &UpstreamScheduler::operator=(UpstreamScheduler &&) noexcept = default;

std::vector<SchedulerAction> UpstreamScheduler::handle(const SchedulerEvent &event, Time now)
{
    d->actions.clear();
    std::visit([&](const auto &what) { d->on(what, now); }, event);
    d->refuseExpired(now);
    d->promoteQueue(now);
    d->dispatchReady(now);
    d->startLoads(now);
    d->requestPermits(now);
    return std::move(d->actions);
}

int UpstreamScheduler::queuedCount() const
{
    return d->queue.size();
}

int UpstreamScheduler::runningCount() const
{
    return static_cast<int>(d->running.size());
}

std::vector<AdapterKey> UpstreamScheduler::residentAdapters() const
{
    return d->engineSlots.residents();
}

} // namespace ApricotStep
