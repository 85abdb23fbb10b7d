#pragma once

#include "coordination/workitem.h"
#include "transport/httpserver.h"

#include <memory>
#include <string>
#include <vector>

namespace ApricotStep
{

/** A completion request that this node is processing. */
struct CompletionJob
{
    WorkItem work;
    /** /v1/chat/completions or /v1/completions. */
    std::string path;
    /** The request body for the engine, with the resolved adapter as the model. */
    std::string body;
    bool isStream = false;
    /** Response headers that name the resolved adapter, the configuration version and the request ID. */
    HttpHeaders headers;
    std::string requestId;
    std::shared_ptr<HttpExchange> exchange;
    /** Number of times the request was forwarded between nodes. */
    int hops = 0;
    /** Number of attempts that have failed. */
    int attempts = 0;
    /** Engines on which an attempt failed. */
    std::vector<UpstreamId> tried;
    /** Counts the request as in progress until the last attempt has ended; see EnginePlacer::begin(). */
    std::shared_ptr<void> inProgress;

    /** Unique per attempt, so that an answer to an earlier attempt is recognised. */
    std::string attemptId() const
    {
        return requestId + "." + std::to_string(attempts);
    }
};

/** Finds another engine for a completion after a failed attempt. Thread-safe. */
class CompletionRouter
{
public:
    virtual ~CompletionRouter() = default;

    /** Whether an engine other than those in CompletionJob::tried and @p failed can take @p job. */
    virtual bool hasOther(const CompletionJob &job, const UpstreamId &failed) = 0;
    /** Sends @p job to such an engine, owned by this node or another one. The job ends with an answer on its exchange. */
    virtual void routeToOther(CompletionJob job) = 0;
};

} // namespace ApricotStep
