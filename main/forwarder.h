#pragma once

#include "coordination/workitem.h"
#include "main/metrics.h"
#include "state/fleetview.h"
#include "transport/peers.h"

#include <vector>

namespace ApricotStep
{

/** Forwards that a request may take: one for a caller's old address, one more while the nodes' views differ. */
inline constexpr int MaxHops = 2;

/** A request that other nodes may serve. */
struct ForwardJob
{
    HttpRequest request;
    /** Forwards before it came here. */
    int hops = 0;
    /** Best first. Those without an RPC address are skipped. */
    std::vector<NodeView> targets;
    std::shared_ptr<HttpExchange> exchange;
    std::string requestId;
    /** Nothing left this node, and the exchange is unanswered. */
    std::function<void(const Error &)> onNotForwarded;
};

/**
 * Passes requests on to the nodes that own their upstreams.
 *
 * A caller that kept an old address, or came while the nodes' views differed, would be refused otherwise. The next target is asked only
 * when nothing can have left for the one before, so that no request reaches two nodes. Thread-safe.
 */
class Forwarder
{
public:
    Forwarder(Peers &peers, Metrics &metrics);

    /** Errors, through onNotForwarded: TooManyHops, PeerUnreachable. */
    void forward(ForwardJob job);

private:
    void tryNext(const std::shared_ptr<ForwardJob> &job, std::size_t index, const Error &last);

    Peers &m_peers;
    Metrics &m_metrics;
};

/** @p request as the owner shall see it: with the time left until the deadline of @p work, and its caller. */
HttpRequest forwardedRequest(HttpRequest request, const WorkItem &work, Time now);

} // namespace ApricotStep
