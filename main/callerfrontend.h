#pragma once

#include "main/enginerunner.h"
#include "main/forwarder.h"
#include "main/servicerunner.h"
#include "state/fleetview.h"
#include "state/sharedsnapshot.h"

#include <memory>

namespace ApricotStep
{

/** What the caller interface needs of the rest of the node. All must outlive it. */
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
    /** Who owns engines; null when nobody but this node uses them. */
    const OwnershipSource *ownership = nullptr;
    /** Null where loads need no permit of the fleet. */
    PermitRunner *permits = nullptr;
};

/** The caller interface: reads requests, resolves selectors and hands the work on. Thread-safe. */
class CallerFrontend
{
public:
    explicit CallerFrontend(const FrontendContext &context);
    ~CallerFrontend();

    /** Takes a request of the caller port, or one that another node forwarded; @p hops: forwards so far. */
    void handle(HttpRequest request, const std::shared_ptr<HttpExchange> &exchange, int hops = 0);
    /** From now on this node is not named in address answers and takes no new work after @p lingerUntil. */
    void drain(Time lingerUntil);
    void tick();
    /** What became of an engine's wish for a load permit. */
    void onPermitEvent(const UpstreamId &upstream, const SchedulerEvent &event);
    /** The engines that this node has run work on. */
    std::vector<EngineStatus> engineStatus() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
