#pragma once

#include "main/entry/clusterstate.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "platform/requests.h"

#include <vector>

namespace ApricotStep
{

/** Takes in what upstreams state about themselves in their answers, and what peers repeat of it; logs and counts the changes. */
class UpstreamStatements
{
public:
    UpstreamStatements(EventLog &log, EntryMetrics &metrics, ClusterState &clusterState);

    /** @p sentAt: when the request was sent to @p upstream. */
    void onAnswer(const UpstreamRecord &upstream, const Platform::UpstreamAnswer &answer, Time sentAt, Time now);
    /** Peers repeat that upstreams are leaving. */
    void onPeerLeaving(const std::vector<UpstreamStart> &starts, Time now);
    void onPeerBrittleness(const NodeId &peer, const std::vector<BrittleStatement> &statements, Time now);
    void onPeerLimits(const NodeId &peer, const std::vector<UpstreamLimitStatement> &statements, Time now);

private:
    void markLeaving(const UpstreamStart &start, bool isHeard, Time now);
    void reportBrittleness(const UpstreamId &upstream, std::optional<double> refusalsPerSecond, const std::string &source);
    void reportLimit(const UpstreamId &upstream, std::optional<double> requestsPerSecond, const std::string &source);

    EventLog &m_log;
    EntryMetrics &m_metrics;
    ClusterState &m_clusterState;
};

} // namespace ApricotStep
