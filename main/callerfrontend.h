#pragma once

#include "main/enginerunner.h"
#include "main/forwarder.h"
#include "main/servicerunner.h"
#include "state/fleetview.h"
#include "state/sharedsnapshot.h"

#include <memory>

namespace ApricotStep
{

/** The parts of the node that the caller frontend uses. All must outlive it. */
struct FrontendContext
{
    NodeId self;
    Incarnation incarnation;
    ZoneId zone;
    const Settings &settings;
    const Clock &clock;
    HttpClient &client;
    Metrics &metrics;
    SharedSnapshot<Catalog> &catalog;
    SharedSnapshot<FleetView> &fleet;
    ServiceRunner &services;
    UpstreamHealth &health;
    Peers &peers;
    /** Decides which node owns an engine; null if this node is the only one that uses the engines. */
    const OwnershipSource *ownership = nullptr;
    /** Null if loads need no load permits. */
    PermitRunner *permits = nullptr;
};

/** Handles requests on the caller port: parses them, resolves selectors and dispatches them to runners or other nodes. Thread-safe. */
class CallerFrontend
{
public:
    explicit CallerFrontend(const FrontendContext &context);
    ~CallerFrontend();

    /** Handles a request from the caller port, or one that another node forwarded. @p hops is the number of forwards so far. */
    void handle(HttpRequest request, const std::shared_ptr<HttpExchange> &exchange, int hops = 0);
    /** Starts draining: address answers omit this node from now on, and new work is refused after @p lingerUntil. */
    void drain(Time lingerUntil);
    void tick();
    /** Passes a permit event (PermitGranted or PermitWaitEstimated) to the runner of @p upstream. */
    void onPermitEvent(const UpstreamId &upstream, const SchedulerEvent &event);
    /** The status of each engine that has a runner on this node. */
    std::vector<EngineStatus> engineStatus() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
