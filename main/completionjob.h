#pragma once

#include "coordination/work.h"
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

    /** Whether this node has an engine for @p adapter besides those in @p tried. */
    virtual bool hasOther(const AdapterKey &adapter, const std::vector<UpstreamId> &tried) = 0;
    /** Hands it to such an engine; it ends with an answer on its exchange. */
    virtual void routeToOther(CompletionJob job) = 0;
};

} // namespace ApricotStep
