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

/** What /status shows of an engine. */
struct EngineStatus
{
    UpstreamId id;
    int queued = 0;
    int running = 0;
    std::vector<AdapterKey> residentAdapters;
};

/** What the runners of engines share. All must outlive them and every call that they started. */
struct EngineContext
{
    const Settings &settings;
    HttpClient &client;
    const Clock &clock;
    Metrics &metrics;
    UpstreamHealth &health;
    CompletionRouter &router;
    /** Who owns engines; null when nobody but this process uses them. */
    const OwnershipSource *ownership = nullptr;
    /** Null where loads need no permit of the fleet. */
    PermitRunner *permits = nullptr;
};

/** Carries out the decisions of the scheduler of one engine that this node owns. Thread-safe. */
class EngineRunner
{
public:
    EngineRunner(const UpstreamSpec &spec, const EngineContext &context);
    ~EngineRunner();

    /** An answer to a wish for a load permit: PermitGranted or PermitWaitEstimated. */
    void onPermitEvent(const SchedulerEvent &event);
    /** Takes a job; it ends with an answer on its exchange. */
    void submit(CompletionJob job);
    /** Lets time pass; every 20 to 100 ms. */
    void tick();
    EngineStatus status() const;
    /** Requests queued and running. */
    int depth() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

/**
 * Answers with the row of the error table for @p kind, as a whole JSON body. A kind that advises to come back later says when, in one
 * second unless @p details knows better.
 */
void respondError(HttpExchange &exchange, ErrorKind kind, const struct ErrorDetails &details);

} // namespace ApricotStep
