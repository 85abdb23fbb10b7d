#pragma once

#include "coordination/workitem.h"
#include "transport/httpserver.h"

#include <memory>
#include <string>
#include <vector>

namespace ApricotStep
{

/** One completion on its way through this node. */
struct CompletionJob
{
    WorkItem work;
    /** /v1/chat/completions or /v1/completions. */
    std::string path;
    /** The body for the engine, with the resolved adapter as its model. */
    std::string body;
    bool isStream = false;
    /** Headers of the answer that tell what the request resolved to. */
    HttpHeaders headers;
    std::string requestId;
    std::shared_ptr<HttpExchange> exchange;
    /** Forwards between nodes before it came here. */
    int hops = 0;
    /** Attempts made so far. */
    int attempts = 0;
    /** Engines that failed it. */
    std::vector<UpstreamId> tried;
    /** Released when the last attempt has ended; whoever counts requests in progress sets it. */
    std::shared_ptr<void> inProgress;

    /** Unique for each attempt, so that an answer to an earlier one is told apart. */
    std::string attemptId() const
    {
        return requestId + "." + std::to_string(attempts);
    }
};

/** Finds another engine for a completion that one failed. Thread-safe. */
class CompletionRouter
{
public:
    virtual ~CompletionRouter() = default;

    /** Whether there is an engine for @p job besides those that it tried and @p failed. */
    virtual bool hasOther(const CompletionJob &job, const UpstreamId &failed) = 0;
    /** Hands it to such an engine, of this node or another; it ends with an answer on its exchange. */
    virtual void routeToOther(CompletionJob job) = 0;
};

} // namespace ApricotStep
