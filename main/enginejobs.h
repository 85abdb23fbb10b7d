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

/** One attempt on an engine, from entering the queue to its end. */
struct EngineJob
{
    explicit EngineJob(CompletionJob job)
        : completion(std::move(job))
        , reply(completion)
    {
    }

    CompletionJob completion;
    /** Accessed only by the HTTP client's thread once the job is dispatched. */
    EngineReply reply;
    Time dispatchedAt;
    /** How many times the engine had been seen to lose its adapters when this job was dispatched. */
    std::uint64_t adapterLossCount = 0;
    /** Requests running on the engine when this job was dispatched, including this one. */
    int inFlight = 0;
    std::atomic<CallId> call { 0 };
    std::atomic<bool> isCallerGone { false };
};

using EngineJobPointer = std::shared_ptr<EngineJob>;

/**
 * The jobs of one engine. Thread-safe.
 *
 * A job is either claimed for dispatch or removed while it waits, never both. Otherwise two engines could write to the same response.
 */
class EngineJobs
{
public:
    void add(const EngineJobPointer &job);
    /** Returns the job, or null if there is none. */
    EngineJobPointer find(RequestId id) const;
    /** Removes and returns the job, or null if there is none. */
    EngineJobPointer take(RequestId id);
    /** Marks the job as dispatched, so that takeWaiting() fails for it. Returns null if there is no such job. */
    EngineJobPointer claimForDispatch(RequestId id);
    /** Removes the job if it has not been dispatched. Returns whether it was removed. */
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
