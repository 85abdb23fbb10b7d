#pragma once

#include "coordination/upstreamscheduler.h"
#include "main/completionjob.h"
#include "main/metrics.h"
#include "main/ownershiprunner.h"
#include "main/settings.h"
#include "main/upstreamhealth.h"
#include "state/catalog.h"
#include "transport/httpclient.h"

#include <memory>

namespace ApricotStep
{

class PermitRunner;

/** The status of an engine as shown by /status. */
struct EngineStatus
{
    UpstreamId id;
    int queued = 0;
    int running = 0;
    std::vector<AdapterKey> residentAdapters;
};

/** The parts of the node that engine runners share. All must outlive the runners and every call that these have started. */
struct EngineContext
{
    const Settings &settings;
    HttpClient &client;
    const Clock &clock;
    Metrics &metrics;
    UpstreamHealth &health;
    CompletionRouter &router;
    /** Decides which node owns an engine; null if this process is the only one that uses the engines. */
    const OwnershipSource *ownership = nullptr;
    /** Null if loads need no load permits. */
    PermitRunner *permits = nullptr;
};

/** Carries out the decisions of the scheduler of one engine that this node owns. Thread-safe. */
class EngineRunner
{
public:
    EngineRunner(const UpstreamSpec &spec, const EngineContext &context);
    ~EngineRunner();

    /** Handles the result of a load permit request: PermitGranted or PermitWaitEstimated. */
    void onPermitEvent(const SchedulerEvent &event);
    /** Accepts a job, which ends with an answer on its exchange. */
    void submit(CompletionJob job);
    /** Runs what is due. Must be called every 20 to 100 ms. */
    void tick();
    EngineStatus status() const;
    /** The number of requests queued and running. */
    int depth() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

/**
 * Responds with the status code and JSON body that the error table has for @p kind. A kind that advises a retry after a delay gets a
 * Retry-After header, of one second unless @p details has a value.
 */
void respondError(HttpExchange &exchange, ErrorKind kind, const struct ErrorDetails &details);

} // namespace ApricotStep
