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

/** One call to a plain service on its way through this node. */
struct ServiceJob
{
    /** Passes a call on whose key another node answers for. */
    using ForwardToOwner = std::function<void(const ServiceJob &, const IdempotencyKey &)>;

    HttpRequest request;
    ServiceName service;
    /** Path at the service, with its query. */
    std::string target;
    std::string requestId;
    std::shared_ptr<HttpExchange> exchange;
    std::shared_ptr<const Catalog> catalog;
    std::shared_ptr<const FleetView> fleet;
    /** Forwards before it came here. */
    int hops = 0;
    ForwardToOwner forwardToOwner;
};

/** Calls plain services; one-time calls through the ledger of minted keys. Thread-safe. */
class ServiceRunner
{
public:
    /** The references must outlive the runner and every call that it started. */
    ServiceRunner(NodeId self, Incarnation incarnation, const Settings &settings, HttpClient &client, const Clock &clock, Metrics &metrics,
        UpstreamHealth &health);
    ~ServiceRunner();

    /** A fresh idempotency key that only this start of this node runs. */
    std::string mintKey();
    OneTimeRequests &oneTimeRequests();
    /** Calls in progress; a one-time call goes on when its caller has left. */
    int activeCount() const;
    /** Takes a call; it ends with an answer on its exchange. */
    void submit(ServiceJob job);
    /** Lets time pass; every 20 to 100 ms. */
    void tick();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
