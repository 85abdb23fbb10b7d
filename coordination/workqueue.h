#pragma once

#include "coordination/workitem.h"

#include <memory>
#include <optional>
#include <vector>

// Selects which waiting request is dispatched next, and counts the work ahead of a new request so that it can be refused in time.
//
// Handles short urgent requests among large patient ones, callers that send twenty times their share, an adapter that many requests need,
// and more work than the engine can do. With one queue in order of arrival, the flood of one caller or a series of long requests would
// delay all other requests, and under overload every request would wait until its deadline and then fail.
// A round of 256 tokens is about a short answer, so that short requests are dispatched in one round and a request of 4,096 tokens in
// sixteen. A request is promoted when a quarter of its allowance is left, which is enough to wait for a running request to end.

namespace ApricotStep
{

/** The order of dispatch: by class, with a level below urgent for requests that have waited for most of their allowance. */
enum class QueueLevel {
    Urgent,
    Aged,
    Standard,
    Patient,
};
inline constexpr std::size_t QueueLevelCount = 4;

/** The requests that wait for one adapter. */
struct AdapterDemand
{
    int waiting = 0;
    /** The most urgent level with a waiting request; priority, oldest and allowance are of the first arrival at that level. */
    QueueLevel level = QueueLevel::Patient;
    Priority priority = Priority::Patient;
    Time oldest;
    /** Time from the arrival to the deadline. */
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

    /** Adds @p item; ignored if a request with its id is waiting already. */
    void add(const WorkItem &item);
    /** Removes and returns the request; empty if it is not waiting here. */
    std::optional<WorkItem> remove(RequestId id);
    /** Requests of an adapter are dispatched only while it is ready, that is, loaded. */
    void setReady(const AdapterKey &adapter, bool isReady);
    /** Removes and returns the next ready request of @p lowest or a more urgent level: deficit round robin over callers, then adapters. */
    std::optional<WorkItem> next(QueueLevel lowest);
    /** Removes and returns the requests whose deadline has passed. */
    std::vector<WorkItem> takeExpired(Time now);
    /** Removes and returns the requests of @p adapter whose deadline is before @p deadlineBefore. */
    std::vector<WorkItem> takeAdapter(const AdapterKey &adapter, Time deadlineBefore);
    /** Promotes requests that have used most of their allowance to QueueLevel::Aged; returns the adapters of these requests. */
    std::vector<AdapterKey> promoteAged(Time now);

    AdapterDemand demand(const AdapterKey &adapter) const;
    int size() const;
    int readyCount(QueueLevel level) const;
    /** The ready patient request that arrived first; null if there is none. */
    const WorkItem *oldestReadyPatient() const;
    /** Tokens that the round robin would dispatch before a new request of @p caller at @p level. */
    std::int64_t tokensAhead(const CallerId &caller, QueueLevel level) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** The level at which a request of class @p priority is queued. */
QueueLevel levelOf(Priority priority);

} // namespace ApricotStep
