#pragma once

#include "coordination/idempotencykey.h"
#include "main/metrics.h"
#include "main/onetimerequests.h"
#include "main/settings.h"
#include "main/upstreamhealth.h"
#include "state/catalog.h"
#include "state/fleetview.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <memory>
#include <string>

namespace ApricotStep
{

/** A call to a plain service that this node is processing. */
struct ServiceJob
{
    /** Forwards a call to the node that is responsible for its key. */
    using ForwardToOwner = std::function<void(const ServiceJob &, const IdempotencyKey &)>;

    HttpRequest request;
    ServiceName service;
    /** Path and query for the request to the service. */
    std::string target;
    std::string requestId;
    std::shared_ptr<HttpExchange> exchange;
    std::shared_ptr<const Catalog> catalog;
    std::shared_ptr<const FleetView> fleet;
    /** Number of times the request was forwarded between nodes. */
    int hops = 0;
    ForwardToOwner forwardToOwner;
};

/** Calls plain services. Calls with an idempotency key go through the ledger of one-time requests. Thread-safe. */
class ServiceRunner
{
public:
    /** The references must outlive the runner and every call that it has started. */
    ServiceRunner(NodeId self, Incarnation incarnation, const Settings &settings, HttpClient &client, const Clock &clock, Metrics &metrics,
        UpstreamHealth &health);
    ~ServiceRunner();

    /** Mints an idempotency key whose request only this incarnation of this node runs. */
    std::string mintKey();
    OneTimeRequests &oneTimeRequests();
    /** The number of calls in progress. A one-time call continues after its caller has disconnected. */
    int activeCount() const;
    /** Accepts a call, which ends with an answer on its exchange. */
    void submit(ServiceJob job);
    /** Runs what is due. Must be called every 20 to 100 ms. */
    void tick();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
