#pragma once

#include "coordination/workitem.h"
#include "main/metrics.h"
#include "state/fleetview.h"
#include "transport/peers.h"

#include <vector>

namespace ApricotStep
{

/** Maximum number of forwards per request: one for a caller with an outdated address, one more while nodes have different views. */
inline constexpr int MaxHops = 2;

/** A request to be forwarded to another node. */
struct ForwardJob
{
    HttpRequest request;
    /** Number of times the request was forwarded before. */
    int hops = 0;
    /** Target nodes, best first. Nodes without an RPC address are skipped. */
    std::vector<NodeView> targets;
    std::shared_ptr<HttpExchange> exchange;
    std::string requestId;
    /** Called if no target was reached or the hop limit is exceeded: nothing was sent, and the exchange has no answer yet. */
    std::function<void(const Error &)> onNotForwarded;
};

/**
 * Forwards requests to the nodes that own their upstreams.
 *
 * Without it, requests would be refused if the caller uses an outdated address or the nodes have different views. The next target is tried
 * only if nothing can have been sent to the previous one, so that no request reaches two nodes. Thread-safe.
 */
class Forwarder
{
public:
    Forwarder(Peers &peers, Metrics &metrics);

    /** Errors passed to onNotForwarded: TooManyHops, PeerUnreachable. */
    void forward(ForwardJob job);

private:
    void tryNext(const std::shared_ptr<ForwardJob> &job, std::size_t index, const Error &last);

    Peers &m_peers;
    Metrics &m_metrics;
};

/** Returns @p request with the headers that the owner needs: the time left until the deadline of @p work, and the caller. */
HttpRequest forwardedRequest(HttpRequest request, const WorkItem &work, Time now);

} // namespace ApricotStep
