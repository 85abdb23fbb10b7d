#pragma once

#include "coordination/fleetmessage.h"
#include "core/errors.h"
#include "main/entry/clusterstate.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ApricotStep
{

/** Figures of the fleet that the forwarding of requests depends on. */
struct ForwarderSettings
{
    ZoneId zone;
    /** Arrivals at a service beyond the first of each request: a share of the requests, and a number on top, of all nodes in a window. */
    double retryShare = 0.1;
    double retryReserve = 16;
    Duration retryWindow = Duration::seconds(10);
    /** A new adapter version is in use everywhere within this. */
    Duration adapterVersionBound = Duration::seconds(5);
};

/** What the forwarder needs from the rest of the node. */
struct ForwarderCallbacks
{
    /** Requests wait for adapters that stand nowhere, or where they would wait too long. */
    std::function<void()> onPendingAdapters;
    /** Nodes that share the retries, this one included; at least 1. */
    std::function<int()> nodeCount;
    /** The node leaves: answers end their connections. */
    std::function<bool()> isLeaving;
    /** Whether a request that may last for @p longest can be taken. */
    std::function<bool(Duration longest)> canAccept;
    /** How long until any node gives orders to engines; unset while this node is cut off from most of the others. */
    std::function<std::optional<Duration>()> ordersIn;
};

/** Takes callers' requests and forwards each to an upstream of its route, byte for byte, and the answer back. */
class RequestForwarder
{
public:
    RequestForwarder(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, ForwarderSettings settings,
        ForwarderCallbacks callbacks);
    ~RequestForwarder();

    void onRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange);
    /** Requests that wait for an adapter look again. */
    void onClusterStateChanged();
    /** Adapters that requests run on and wait for; arrivals are counted since the last call. */
    std::vector<AdapterUse> uses();
    /** Only what they wait for; counts nothing. */
    std::vector<AdapterUse> pendingAdapters() const;
    /** Requests in progress. */
    int activeCount() const;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
