#pragma once

#include "coordination/workitem.h"

#include <memory>
#include <optional>
#include <vector>

// Who of the waiting requests leaves next, and who is not let in.
//
// Load pattern: short urgent questions among large patient jobs, callers that send twenty times their share, one adapter that many ask
// for, and more work than the engine can do. Without this module one queue serves in the order of arrival: a caller's flood or a row
// of long jobs is everybody's wait, and under overload every request waits until its deadline and then fails.
// Grounds for the figures: a round of 256 tokens is about a short answer, so that short requests leave in one round and a job of 4,096
// tokens in sixteen; a request is promoted when a quarter of its allowance is left, enough to wait for a running job to end.

namespace ApricotStep
{

/** Order of service: the class, and between urgent and the rest what has waited for most of its allowance. */
enum class QueueLevel {
    Urgent,
    Aged,
    Standard,
    Patient,
};
inline constexpr std::size_t QueueLevelCount = 4;

/** What waits for one adapter. */
struct AdapterDemand
{
    int waiting = 0;
    /** The first level that anything waits at, and the first arrival there. */
    QueueLevel level = QueueLevel::Patient;
    Priority priority = Priority::Patient;
    Time oldest;
    /** The allowance of that first arrival: from its arrival to its deadline. */
    Duration allowance;
};

/** The waiting requests of one engine. Not thread-safe. */
class WorkQueue
{
public:
    WorkQueue();
    ~WorkQueue();
    WorkQueue(WorkQueue &&) noexcept;
    WorkQueue &operator=(WorkQueue &&) noexcept;

    /** Takes in @p item; its id must not be waiting already. */
    void add(const WorkItem &item);
    /** Empty when it does not wait here. */
    std::optional<WorkItem> remove(RequestId id);
    /** Requests of an adapter leave only while it is ready, which is to say loaded. */
    void setReady(const AdapterKey &adapter, bool isReady);
    /** Removes and returns the next ready request of @p lowest or a more urgent level: deficit round robin over callers, then adapters. */
    std::optional<WorkItem> next(QueueLevel lowest);
    /** Removes and returns what is past its deadline. */
    std::vector<WorkItem> takeExpired(Time now);
    /** Removes and returns the requests of @p adapter whose deadline is before @p deadlineBefore. */
    std::vector<WorkItem> takeAdapter(const AdapterKey &adapter, Time deadlineBefore);
    /** Promotes what has used most of its allowance; returns the adapters that it is for. */
    std::vector<AdapterKey> promoteAged(Time now);

    AdapterDemand demand(const AdapterKey &adapter) const;
    int size() const;
    int readyCount(QueueLevel level) const;
    /** The ready patient request that arrived first; null when there is none. */
    const WorkItem *oldestReadyPatient() const;
    /** Tokens that leave before a request of @p caller at @p level would, as the round robin has it. */
    std::int64_t tokensAhead(const CallerId &caller, QueueLevel level) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** The level at which a request of class @p priority starts. */
QueueLevel levelOf(Priority priority);

} // namespace ApricotStep
