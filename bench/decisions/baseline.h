#pragma once

#include "coordination/upstreamscheduler.h"

#include <list>
#include <unordered_map>

namespace DecisionBench
{

/**
 * A simple scheduler for one engine to compare with: one queue and eviction of the least recently used adapter.
 * Requests that wait for the same adapter share its load, an adapter in use is not evicted, and a request past its deadline is refused.
 * Handles the same events as UpstreamScheduler.
 */
class BaselineScheduler
{
public:
    /** With @p isFifo, requests run strictly in order of arrival, so the first in the queue blocks the rest; otherwise in order of class.
     */
    BaselineScheduler(const ApricotStep::SchedulerLimits &limits, bool isFifo)
        : m_limits(limits)
        , m_isFifo(isFifo)
    {
    }
    std::vector<ApricotStep::SchedulerAction> handle(const ApricotStep::SchedulerEvent &event, ApricotStep::Time now);
    int load() const
    {
        return static_cast<int>(m_queue.size() + m_running.size());
    }

private:
    struct Slot
    {
        bool isLoaded = false;
        bool isEvicting = false;
        int running = 0;
        ApricotStep::Time lastUse;
    };
    void on(const ApricotStep::WorkArrived &event);
    void on(const ApricotStep::WorkFinished &event, ApricotStep::Time now);
    void on(const ApricotStep::LoadFinished &event, ApricotStep::Time now);
    void on(const ApricotStep::EvictFinished &event);
    void onRestart();
    void refuseExpired(ApricotStep::Time now);
    void dispatch(ApricotStep::Time now);
    void startLoads(ApricotStep::Time now);
    bool evictLeastRecentlyUsed();

    ApricotStep::SchedulerLimits m_limits;
    bool m_isFifo;
    std::list<ApricotStep::WorkItem> m_queue;
    std::unordered_map<std::string, int> m_waiting;
    std::unordered_map<std::uint64_t, ApricotStep::AdapterKey> m_running;
    std::unordered_map<std::string, Slot> m_slots;
    std::vector<ApricotStep::SchedulerAction> m_actions;
    ApricotStep::Time m_nextDeadline = ApricotStep::Time::never();
};

} // namespace DecisionBench
