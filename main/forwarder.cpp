#include "main/forwarder.h"

#include "main/log.h"

#include <algorithm>

namespace ApricotStep
{

Forwarder::Forwarder(Peers &peers, Metrics &metrics)
    : m_peers(peers)
    , m_metrics(metrics)
{
}

void Forwarder::forward(ForwardJob job)
{
    if (job.hops >= MaxHops) {
        m_metrics.forward("too_many_hops");
        job.onNotForwarded({ ErrorKind::TooManyHops, {} });
        return;
    }
    tryNext(std::make_shared<ForwardJob>(std::move(job)), 0, { ErrorKind::PeerUnreachable, "no address of that node is known" });
}

void Forwarder::tryNext(const std::shared_ptr<ForwardJob> &job, std::size_t index, const Error &last)
{
    while (index < job->targets.size() && job->targets[index].rpcAddress.empty()) {
        ++index;
    }
    if (index >= job->targets.size()) {
        m_metrics.forward("unreachable");
        job->onNotForwarded(last);
        return;
    }
    const NodeView &target = job->targets[index];
    componentLogger("forward")->debug("[{}] to={} hops={}", job->requestId, target.id.value(), job->hops + 1);
    m_metrics.forward("tried");
    m_peers.forward(target.rpcAddress, job->request, job->hops + 1, job->exchange, [this, job, index](const Error &error) {
        componentLogger("forward")->info("[{}] to={} failed='{}'", job->requestId, job->targets[index].id.value(), error.detail);
        tryNext(job, index + 1, error);
    });
}

HttpRequest forwardedRequest(HttpRequest request, const WorkItem &work, Time now)
{
    const Duration left = std::max(work.deadline - now, Duration(1));
    request.headers["x-deadline-ms"] = std::to_string(left.milliseconds());
    request.headers["x-caller-id"] = work.caller.value();
    return request;
}

} // namespace ApricotStep
