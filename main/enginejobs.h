#pragma once

#include "main/enginereply.h"
#include "transport/httpclient.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <memory>
#include <vector>

namespace ApricotStep
{

/** One attempt at an engine from its arrival in the queue to its end. */
struct EngineJob
{
    explicit EngineJob(CompletionJob job)
        : what(std::move(job))
        , reply(what)
    {
    }

    CompletionJob what;
    /** Belongs to the client's thread once the job is dispatched. */
    EngineReply reply;
    Time dispatchedAt;
    /** How often the engine was known to have lost its adapters when this was dispatched. */
    std::uint64_t adapterLossCount = 0;
    /** Requests that ran there when this was dispatched, itself included. */
    int inFlight = 0;
    std::atomic<CallId> call { 0 };
    std::atomic<bool> isCallerGone { false };
};

using EngineJobPointer = std::shared_ptr<EngineJob>;

/**
 * The jobs of one engine. Thread-safe.
 *
 * A job is either claimed for dispatch or taken away while it waits, never both: two engines would write into one answer.
 */
class EngineJobs
{
public:
    void add(const EngineJobPointer &job);
    /** Null when there is none. */
    EngineJobPointer find(RequestId id) const;
    /** Removes it; null when there is none. */
    EngineJobPointer take(RequestId id);
    /** From now on it doesn't wait any more; null when there is none. */
    EngineJobPointer claimForDispatch(RequestId id);
    /** Removes it if it still waits; false when it does not. */
    bool takeWaiting(RequestId id);
    std::vector<EngineJobPointer> waitingFor(const AdapterKey &adapter) const;

private:
    struct Entry
    {
        EngineJobPointer job;
        bool isDispatched = false;
    };

    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<RequestId, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
};

} // namespace ApricotStep
