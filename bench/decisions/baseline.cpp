#include "bench/decisions/baseline.h"

#include "core/result.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace DecisionBench
{

using namespace ApricotStep;

namespace
{

AdapterKey keyOf(const std::string &id)
{
    return { AdapterId(id), AdapterVersion("1") };
}

} // namespace

void BaselineScheduler::on(const WorkArrived &event)
{
    const auto before = m_isFifo
        ? m_queue.end()
        : std::find_if(m_queue.begin(), m_queue.end(), [&](const WorkItem &other) { return other.priority > event.item.priority; });
    m_queue.insert(before, event.item);
    ++m_waiting[event.item.adapter.id.value()];
    m_nextDeadline = std::min(m_nextDeadline, event.item.deadline);
}

void BaselineScheduler::on(const WorkFinished &event, Time now)
{
    const auto at = m_running.find(event.id.value());
    if (at == m_running.end()) {
        return;
    }
    const auto slot = m_slots.find(at->second.id.value());
    if (slot != m_slots.end()) {
        slot->second.running = std::max(0, slot->second.running - 1);
        slot->second.lastUse = now;
    }
    m_running.erase(at);
}

void BaselineScheduler::on(const LoadFinished &event, Time now)
{
    const std::string &id = event.adapter.id.value();
    if (event.isLoaded) {
        m_slots[id] = { true, false, 0, now };
        return;
    }
    m_slots.erase(id);
    m_queue.remove_if([&](const WorkItem &item) {
        if (item.adapter != event.adapter) {
            return false;
        }
        --m_waiting[id];
        m_actions.emplace_back(Refuse { item.id, ErrorKind::AdapterLoadFailed, Duration::seconds(1) });
        return true;
    });
}

void BaselineScheduler::on(const EvictFinished &event)
{
    m_slots.erase(event.adapter.id.value());
}

void BaselineScheduler::onRestart()
{
    std::erase_if(m_slots, [](const auto &entry) { return entry.second.isLoaded; });
}

void BaselineScheduler::refuseExpired(Time now)
{
    if (now < m_nextDeadline) {
        return;
    }
    m_nextDeadline = Time::never();
    m_queue.remove_if([&](const WorkItem &item) {
        if (item.deadline > now) {
            m_nextDeadline = std::min(m_nextDeadline, item.deadline);
            return false;
        }
        --m_waiting[item.adapter.id.value()];
        m_actions.emplace_back(Refuse { item.id, ErrorKind::DeadlinePassed, Duration::seconds(1) });
        return true;
    });
}

void BaselineScheduler::dispatch(Time now)
{
    for (auto at = m_queue.begin(); at != m_queue.end() && std::cmp_less(m_running.size(), m_limits.batch);) {
        const auto slot = m_slots.find(at->adapter.id.value());
        if (slot == m_slots.end() || !slot->second.isLoaded || slot->second.isEvicting) {
            if (m_isFifo) {
                return;
            }
            ++at;
            continue;
        }
        ++slot->second.running;
        slot->second.lastUse = now;
        --m_waiting[at->adapter.id.value()];
        m_running.emplace(at->id.value(), at->adapter);
        m_actions.emplace_back(Dispatch { at->id });
        at = m_queue.erase(at);
    }
}

bool BaselineScheduler::evictLeastRecentlyUsed()
{
    auto victim = m_slots.end();
    for (auto at = m_slots.begin(); at != m_slots.end(); ++at) {
        const Slot &slot = at->second;
        const bool isIdle = slot.isLoaded && !slot.isEvicting && slot.running == 0 && m_waiting[at->first] == 0;
        if (isIdle && (victim == m_slots.end() || slot.lastUse < victim->second.lastUse)) {
            victim = at;
        }
    }
    if (victim == m_slots.end()) {
        return false;
    }
    victim->second.isEvicting = true;
    m_actions.emplace_back(StartEvict { keyOf(victim->first) });
    return true;
}

void BaselineScheduler::startLoads(Time now)
{
    auto evicting = std::count_if(m_slots.begin(), m_slots.end(), [](const auto &entry) { return entry.second.isEvicting; });
    for (const WorkItem &item : m_queue) {
        if (m_slots.contains(item.adapter.id.value())) {
            continue;
        }
        if (std::cmp_less(m_slots.size(), m_limits.slots)) {
            m_slots[item.adapter.id.value()] = { false, false, 0, now };
            m_actions.emplace_back(StartLoad { item.adapter });
        } else if (evicting > 0) {
            --evicting;
        } else if (!evictLeastRecentlyUsed()) {
            return;
        }
    }
}

std::vector<SchedulerAction> BaselineScheduler::handle(const SchedulerEvent &event, Time now)
{
    m_actions.clear();
    std::visit(Overloaded { [&](const WorkArrived &concreteEvent) { on(concreteEvent); },
                   [&](const WorkFinished &concreteEvent) { on(concreteEvent, now); },
                   [&](const LoadFinished &concreteEvent) { on(concreteEvent, now); },
                   [&](const EvictFinished &concreteEvent) { on(concreteEvent); }, [&](const UpstreamRestarted &) { onRestart(); },
                   [](const auto &) {} },
        event);
    refuseExpired(now);
    dispatch(now);
    startLoads(now);
    return std::move(m_actions);
}

} // namespace DecisionBench
