#pragma once

#include "coordination/upstreamscheduler.h"
#include "main/metrics.h"
#include "main/settings.h"
#include "state/catalog.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <memory>
#include <string>

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
};

/** What /status shows of an engine. */
struct EngineStatus
{
    UpstreamId id;
    int queued = 0;
    int running = 0;
    std::vector<AdapterKey> residents;
};

/** Carries out the decisions of the scheduler of one engine that this node owns. Thread-safe. */
class EngineRunner
{
public:
    /** The references must outlive the runner and every call that it started. */
    EngineRunner(const UpstreamSpec &spec, const Settings &settings, HttpClient &client, const Clock &clock, Metrics &metrics);
    ~EngineRunner();

    /** Takes a job; it ends with an answer on its exchange. */
    void submit(CompletionJob job);
    /** Lets time pass; every 20 to 100 ms. */
    void tick();
    EngineStatus status() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

/** Answers with the row of the error table for @p kind, as a whole JSON body. */
void respondError(HttpExchange &exchange, ErrorKind kind, const struct ErrorDetails &details);

} // namespace ApricotStep
