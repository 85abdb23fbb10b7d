#include "coordination/upstreamscheduler.h"

#include "core/result.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <list>

namespace ApricotStep
{

namespace
{

enum class SlotState {
    Loading,
    Loaded,
    Evicting,
};

struct Slot
{
    SlotState state = SlotState::Loading;
    int running = 0;
    int queued = 0;
    Time lastUse;
};

} // namespace

struct UpstreamScheduler::Private
{
    SchedulerLimits limits;
    std::list<WorkItem> queue;
    absl::flat_hash_map<RequestId, AdapterKey> running;
    absl::flat_hash_map<AdapterKey, Slot> slots;
    std::vector<SchedulerAction> actions;

    void on(const WorkArrived &event, Time now);
    void on(const WorkCancelled &event, Time now);
    void on(const WorkFinished &event, Time now);
    void on(const LoadFinished &event, Time now);
    void on(const EvictFinished &event, Time now);
    void on(const UpstreamRestarted &event, Time now);
    void on(const PermitGranted &event, Time now);
    void on(const LoadReport &event, Time now);
    void on(const EvictionRule &event, Time now);
    void on(const Tick &event, Time now);

    void refuseLate(Time now);
    void dispatchReady(Time now);
    void startLoads(Time now);
    bool makeRoom();
    int queuedFor(const AdapterKey &adapter) const;
};

void UpstreamScheduler::Private::on(const WorkArrived &event, Time)
{
    const auto before =
        std::find_if(queue.begin(), queue.end(), [&](const WorkItem &other) { return other.priority > event.item.priority; });
    queue.insert(before, event.item);
}

void UpstreamScheduler::Private::on(const WorkCancelled &event, Time now)
{
    queue.remove_if([&](const WorkItem &item) { return item.id == event.id; });
    on(WorkFinished { event.id }, now);
}

void UpstreamScheduler::Private::on(const WorkFinished &event, Time now)
{
    const auto at = running.find(event.id);
    if (at == running.end()) {
        return;
    }
    const auto slot = slots.find(at->second);
    if (slot != slots.end()) {
        --slot->second.running;
        slot->second.lastUse = now;
    }
    running.erase(at);
}

void UpstreamScheduler::Private::on(const LoadFinished &event, Time now)
{
    if (event.isLoaded) {
        slots[event.adapter] = Slot { SlotState::Loaded, 0, 0, now };
        return;
    }
    slots.erase(event.adapter);
    queue.remove_if([&](const WorkItem &item) {
        if (item.adapter != event.adapter) {
            return false;
        }
        actions.push_back(Refuse { item.id, ErrorKind::AdapterLoadFailed, Duration::seconds(1) });
        return true;
    });
}

void UpstreamScheduler::Private::on(const EvictFinished &event, Time now)
{
    if (event.isEvicted) {
        slots.erase(event.adapter);
    } else {
        slots[event.adapter] = Slot { SlotState::Loaded, 0, 0, now };
    }
}

void UpstreamScheduler::Private::on(const UpstreamRestarted &, Time)
{
    slots.clear();
}

void UpstreamScheduler::Private::on(const PermitGranted &, Time)
{
}

void UpstreamScheduler::Private::on(const LoadReport &, Time)
{
}

void UpstreamScheduler::Private::on(const EvictionRule &, Time)
{
}

void UpstreamScheduler::Private::on(const Tick &, Time)
{
}

void UpstreamScheduler::Private::refuseLate(Time now)
{
    queue.remove_if([&](const WorkItem &item) {
        if (item.deadline > now) {
            return false;
        }
        actions.push_back(Refuse { item.id, ErrorKind::DeadlinePassed, Duration::seconds(1) });
        return true;
    });
}

void UpstreamScheduler::Private::dispatchReady(Time now)
{
    for (auto at = queue.begin(); at != queue.end() && std::cmp_less(running.size(), limits.batch);) {
        const auto slot = slots.find(at->adapter);
        if (slot == slots.end() || slot->second.state != SlotState::Loaded) {
            ++at;
            continue;
        }
        ++slot->second.running;
        slot->second.lastUse = now;
        running.emplace(at->id, at->adapter);
        actions.push_back(Dispatch { at->id });
        at = queue.erase(at);
    }
}

int UpstreamScheduler::Private::queuedFor(const AdapterKey &adapter) const
{
    return static_cast<int>(std::count_if(queue.begin(), queue.end(), [&](const WorkItem &item) { return item.adapter == adapter; }));
}

// Starts the eviction of the least recently used adapter that nothing runs on or waits for.
bool UpstreamScheduler::Private::makeRoom()
{
    auto victim = slots.end();
    for (auto at = slots.begin(); at != slots.end(); ++at) {
        const bool isIdle = at->second.state == SlotState::Loaded && at->second.running == 0 && queuedFor(at->first) == 0;
        if (isIdle && (victim == slots.end() || at->second.lastUse < victim->second.lastUse)) {
            victim = at;
        }
    }
    if (victim == slots.end()) {
        return false;
    }
    victim->second.state = SlotState::Evicting;
    actions.push_back(StartEvict { victim->first });
    return true;
}

void UpstreamScheduler::Private::startLoads(Time now)
{
    int evicting = static_cast<int>(
        std::count_if(slots.begin(), slots.end(), [](const auto &entry) { return entry.second.state == SlotState::Evicting; }));
    for (const WorkItem &item : queue) {
        if (slots.contains(item.adapter)) {
            continue;
        }
        if (std::cmp_less(slots.size(), limits.slots)) {
            slots[item.adapter] = Slot { SlotState::Loading, 0, 0, now };
            actions.push_back(StartLoad { item.adapter });
        } else if (evicting > 0) {
            --evicting; // A slot is on its way for this one.
        } else if (!makeRoom()) {
            return;
        }
    }
}

UpstreamScheduler::UpstreamScheduler(SchedulerLimits limits)
    : d(std::make_unique<Private>())
{
    d->limits = limits;
}

UpstreamScheduler::~UpstreamScheduler() = default;
UpstreamScheduler::UpstreamScheduler(UpstreamScheduler &&) noexcept = default;
UpstreamScheduler &UpstreamScheduler::operator=(UpstreamScheduler &&) noexcept = default;

std::vector<SchedulerAction> UpstreamScheduler::handle(const SchedulerEvent &event, Time now)
{
    d->actions.clear();
    std::visit([&](const auto &what) { d->on(what, now); }, event);
    d->refuseLate(now);
    d->dispatchReady(now);
    d->startLoads(now);
    return std::move(d->actions);
}

int UpstreamScheduler::queuedCount() const
{
    return static_cast<int>(d->queue.size());
}

int UpstreamScheduler::runningCount() const
{
    return static_cast<int>(d->running.size());
}

std::vector<AdapterKey> UpstreamScheduler::residentAdapters() const
{
    std::vector<AdapterKey> resident;
    for (const auto &[adapter, slot] : d->slots) {
        resident.push_back(adapter);
    }
    std::sort(resident.begin(), resident.end());
    return resident;
}

} // namespace ApricotStep
