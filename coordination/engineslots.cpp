#include "coordination/engineslots.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace ApricotStep
{

namespace
{

// An engine that refused an eviction gets the order again after this delay, not in a tight loop.
constexpr Duration EvictionRetryDelay { 1000 };
// How long an eviction is recorded, to recognise older reports that still list the adapter. Reports lag by seconds at most.
constexpr Duration EvictionRecordLifetime { 60'000 };
// A slow load is more expensive to repeat, but a store under pressure must not make one adapter unevictable.
constexpr double MaxCostFactor = 4.0;

struct Slot
{
    SlotState state = SlotState::Loading;
    Time since;
    Time noEvictionBefore;
    double cost = 1.0;
    bool hasSpannedRestart = false;
};

struct Pins
{
    int queued = 0;
    int running = 0;
};

using Ranked = std::pair<double, AdapterKey>;

// Adds one request at @p at to a decayed count. Both values are logarithms relative to a fixed origin, so the order of two adapters does
// not change with time, and no count needs to be updated for its decay.
double addLogCount(double score, double at)
{
    const double high = std::max(score, at);
    const double low = std::min(score, at);
    return high + std::log2(1.0 + std::exp2(low - high));
}

} // namespace

struct EngineSlots::Private
{
    EngineSlotsLimits limits;
    absl::flat_hash_map<AdapterKey, Slot> slots;
    absl::flat_hash_map<AdapterKey, Pins> pins;
    absl::flat_hash_map<AdapterKey, double> scores;
    // Adapters without a slot, least popular first.
    absl::btree_set<Ranked> absent;
    // Slots that no request of this node needs, least valuable first.
    absl::btree_set<Ranked> idle;
    absl::flat_hash_map<AdapterKey, double> idleRank;
    absl::flat_hash_map<AdapterKey, Time> evictedAt;
    absl::flat_hash_set<AdapterKey> reportedInUse;
    absl::flat_hash_set<AdapterKey> inUseElsewhere;
    bool mayEvict = true;
    int evicting = 0;

    double scoreOf(const AdapterKey &adapter) const;
    void refreshIdle(const AdapterKey &adapter);
    void setState(const AdapterKey &adapter, SlotState state, Time now);
    void erase(const AdapterKey &adapter);
    void setScore(const AdapterKey &adapter, double score);
    void removeLeastPopular();
    void unpin(const AdapterKey &adapter, int Pins::*count);
    bool isEvictable(const AdapterKey &adapter, const Slot &slot, bool isUrgent, Time now) const;
    bool applyToSlot(const AdapterKey &adapter, bool isListed, Time takenAt, Time now);
};

double EngineSlots::Private::scoreOf(const AdapterKey &adapter) const
{
    const auto at = scores.find(adapter);
    return at == scores.end() ? NoScore : at->second;
}

// Updates the position of one slot among the idle ones.
void EngineSlots::Private::refreshIdle(const AdapterKey &adapter)
{
    const auto ranked = idleRank.find(adapter);
    if (ranked != idleRank.end()) {
        idle.erase({ ranked->second, adapter });
        idleRank.erase(ranked);
    }
    const auto slot = slots.find(adapter);
    const bool isSettled = slot != slots.end() && (slot->second.state == SlotState::Loaded || slot->second.state == SlotState::Unknown);
    if (isSettled && !pins.contains(adapter)) {
        const double rank = scoreOf(adapter) + std::log2(slot->second.cost);
        idle.insert({ rank, adapter });
        idleRank[adapter] = rank;
    }
}

void EngineSlots::Private::setState(const AdapterKey &adapter, SlotState state, Time now)
{
    const auto [at, isNew] = slots.try_emplace(adapter);
    if (isNew) {
        absent.erase({ scoreOf(adapter), adapter });
    }
    evicting += (state == SlotState::Evicting ? 1 : 0) - (!isNew && at->second.state == SlotState::Evicting ? 1 : 0);
    at->second.state = state;
    at->second.since = now;
    refreshIdle(adapter);
}

void EngineSlots::Private::erase(const AdapterKey &adapter)
{
    const auto at = slots.find(adapter);
    if (at == slots.end()) {
        return;
    }
    evicting -= at->second.state == SlotState::Evicting ? 1 : 0;
    slots.erase(at);
    refreshIdle(adapter);
    const auto score = scores.find(adapter);
    if (score != scores.end()) {
        absent.insert({ score->second, adapter });
    }
}

void EngineSlots::Private::setScore(const AdapterKey &adapter, double score)
{
    const bool isAbsent = !slots.contains(adapter);
    if (isAbsent) {
        absent.erase({ scoreOf(adapter), adapter });
        absent.insert({ score, adapter });
    }
    scores[adapter] = score;
    if (isAbsent) {
        removeLeastPopular();
    } else {
        refreshIdle(adapter);
    }
}

void EngineSlots::Private::removeLeastPopular()
{
    while (std::cmp_greater(absent.size(), limits.maxTrackedAbsent)) {
        scores.erase(absent.begin()->second);
        absent.erase(absent.begin());
    }
}

void EngineSlots::Private::unpin(const AdapterKey &adapter, int Pins::*count)
{
    const auto at = pins.find(adapter);
    if (at == pins.end() || at->second.*count == 0) {
        return;
    }
    --(at->second.*count);
    if (at->second.queued == 0 && at->second.running == 0) {
        pins.erase(at);
        refreshIdle(adapter);
    }
}

bool EngineSlots::Private::isEvictable(const AdapterKey &adapter, const Slot &slot, bool isUrgent, Time now) const
{
    // Another node may have a request on the adapter that this node does not count; evicting it would break off the answer.
    if (inUseElsewhere.contains(adapter) || reportedInUse.contains(adapter)) {
        return false;
    }
    return now >= slot.noEvictionBefore && (isUrgent || now - slot.since >= limits.minimumResidence);
}

// Updates one slot from a report; returns true when its state changed. Reports lag, so a change after @p takenAt takes precedence.
bool EngineSlots::Private::applyToSlot(const AdapterKey &adapter, bool isListed, Time takenAt, Time now)
{
    const auto at = slots.find(adapter);
    if (at == slots.end()) {
        const auto gone = evictedAt.find(adapter);
        if (!isListed || (gone != evictedAt.end() && takenAt <= gone->second)) {
            return false;
        }
        setState(adapter, SlotState::Loaded, now);
        return true;
    }
    if (takenAt <= at->second.since || at->second.state == SlotState::Loading || at->second.state == SlotState::Evicting) {
        return false;
    }
    if (isListed && at->second.state == SlotState::Unknown) {
        setState(adapter, SlotState::Loaded, now);
        return true;
    }
    if (!isListed) {
        erase(adapter);
        return true;
    }
    return false;
}

EngineSlots::EngineSlots(EngineSlotsLimits limits)
    : d(std::make_unique<Private>())
{
    d->limits = limits;
}

EngineSlots::~EngineSlots() = default;
EngineSlots::EngineSlots(EngineSlots &&) noexcept = default;
EngineSlots &EngineSlots::operator=(EngineSlots &&) noexcept = default;

void EngineSlots::recordRequest(const AdapterKey &adapter, Time now)
{
    d->setScore(adapter, addLogCount(d->scoreOf(adapter), singleUseScore(now)));
}

void EngineSlots::addQueued(const AdapterKey &adapter)
{
    ++d->pins[adapter].queued;
    d->refreshIdle(adapter);
}

void EngineSlots::removeQueued(const AdapterKey &adapter)
{
    d->unpin(adapter, &Pins::queued);
}

void EngineSlots::addRunning(const AdapterKey &adapter)
{
    ++d->pins[adapter].running;
    d->refreshIdle(adapter);
}

void EngineSlots::removeRunning(const AdapterKey &adapter)
{
    d->unpin(adapter, &Pins::running);
}

std::optional<SlotState> EngineSlots::state(const AdapterKey &adapter) const
{
    const auto at = d->slots.find(adapter);
    return at == d->slots.end() ? std::nullopt : std::optional(at->second.state);
}

bool EngineSlots::isLoaded(const AdapterKey &adapter) const
{
    return state(adapter) == SlotState::Loaded;
}

int EngineSlots::freeSlots() const
{
    return std::max(0, d->limits.slots - static_cast<int>(d->slots.size()));
}

int EngineSlots::evictingCount() const
{
    return d->evicting;
}

int EngineSlots::unpinnedSlots() const
{
    return freeSlots() + static_cast<int>(d->idle.size());
}

int EngineSlots::obtainableSlots() const
{
    return freeSlots() + d->evicting + (d->mayEvict ? static_cast<int>(d->idle.size()) : 0);
}

void EngineSlots::beginLoad(const AdapterKey &adapter, Time now)
{
    d->setState(adapter, SlotState::Loading, now);
    d->slots[adapter].hasSpannedRestart = false;
}

void EngineSlots::endLoad(const AdapterKey &adapter, OrderOutcome outcome, Time now)
{
    const auto at = d->slots.find(adapter);
    if (at == d->slots.end() || at->second.state != SlotState::Loading) {
        return;
    }
    if (outcome == OrderOutcome::Failed) {
        d->erase(adapter);
        return;
    }
    // A timeout says nothing about the engine: if the adapter were taken for absent, its slot would be filled twice and the next load would
    // fail. The same holds for an answer after a restart, which may come from either start.
    if (outcome == OrderOutcome::Unknown || at->second.hasSpannedRestart) {
        d->setState(adapter, SlotState::Unknown, now);
        return;
    }
    const double expected = std::max<double>(1.0, static_cast<double>(d->limits.loadTime.milliseconds()));
    at->second.cost = std::clamp(static_cast<double>((now - at->second.since).milliseconds()) / expected, 1.0, MaxCostFactor);
    d->setState(adapter, SlotState::Loaded, now);
}

std::optional<AdapterKey> EngineSlots::evictionVictim(bool isUrgent, Time now, double belowScore) const
{
    if (!d->mayEvict) {
        return std::nullopt;
    }
    for (const auto &[rank, adapter] : d->idle) {
        if (rank >= belowScore) {
            return std::nullopt;
        }
        if (d->isEvictable(adapter, d->slots.at(adapter), isUrgent, now)) {
            return adapter;
        }
    }
    return std::nullopt;
}

std::optional<AdapterKey> EngineSlots::beginEviction(bool isUrgent, Time now, double belowScore)
{
    auto victim = evictionVictim(isUrgent, now, belowScore);
    if (victim.has_value()) {
        d->setState(*victim, SlotState::Evicting, now);
    }
    return victim;
}

void EngineSlots::endEviction(const AdapterKey &adapter, OrderOutcome outcome, Time now)
{
    const auto at = d->slots.find(adapter);
    if (at == d->slots.end() || at->second.state != SlotState::Evicting) {
        return;
    }
    at->second.noEvictionBefore = now + EvictionRetryDelay;
    switch (outcome) {
    case OrderOutcome::Done:
        d->erase(adapter);
        absl::erase_if(d->evictedAt, [&](const auto &entry) { return now - entry.second > EvictionRecordLifetime; });
        d->evictedAt[adapter] = now;
        break;
    case OrderOutcome::Failed:
        d->setState(adapter, SlotState::Loaded, now);
        break;
    case OrderOutcome::Unknown:
        d->setState(adapter, SlotState::Unknown, now);
        break;
    }
}

void EngineSlots::onRestart()
{
    std::vector<AdapterKey> gone;
    for (auto &[adapter, slot] : d->slots) {
        if (slot.state == SlotState::Loading) {
            slot.hasSpannedRestart = true;
        } else {
            gone.push_back(adapter);
        }
    }
    for (const AdapterKey &adapter : gone) {
        d->erase(adapter);
    }
    d->reportedInUse.clear();
}

std::vector<AdapterKey> EngineSlots::applyReport(
    Time takenAt, const std::vector<AdapterKey> &loaded, const std::vector<AdapterKey> &inUse, Time now)
{
    std::vector<AdapterKey> known;
    for (const auto &[adapter, slot] : d->slots) {
        known.push_back(adapter);
    }
    const absl::flat_hash_set<AdapterKey> listed(loaded.begin(), loaded.end());
    std::vector<AdapterKey> changed;
    for (const AdapterKey &adapter : known) {
        if (d->applyToSlot(adapter, listed.contains(adapter), takenAt, now)) {
            changed.push_back(adapter);
        }
    }
    for (const AdapterKey &adapter : loaded) {
        if (!d->slots.contains(adapter) && d->applyToSlot(adapter, true, takenAt, now)) {
            changed.push_back(adapter);
        }
    }
    d->reportedInUse = absl::flat_hash_set<AdapterKey>(inUse.begin(), inUse.end());
    return changed;
}

void EngineSlots::setEvictionRule(bool mayEvict, const std::vector<AdapterKey> &inUseElsewhere)
{
    d->mayEvict = mayEvict;
    d->inUseElsewhere = absl::flat_hash_set<AdapterKey>(inUseElsewhere.begin(), inUseElsewhere.end());
}

double EngineSlots::score(const AdapterKey &adapter) const
{
    return d->scoreOf(adapter);
}

double EngineSlots::singleUseScore(Time now) const
{
    return static_cast<double>(now.milliseconds()) / static_cast<double>(d->limits.halfLife.milliseconds());
}

std::optional<AdapterKey> EngineSlots::mostPopularAbsent() const
{
    return d->absent.empty() ? std::nullopt : std::optional(d->absent.rbegin()->second);
}

std::vector<AdapterKey> EngineSlots::residents() const
{
    std::vector<AdapterKey> all;
    all.reserve(d->slots.size());
    for (const auto &[adapter, slot] : d->slots) {
        all.push_back(adapter);
    }
    std::sort(all.begin(), all.end());
    return all;
}

} // namespace ApricotStep
