#include "main/entry/upstreamstatements.h"

namespace ApricotStep
{

namespace
{

constexpr EventLog::Severity Important = EventLog::Severity::Important;

} // namespace

UpstreamStatements::UpstreamStatements(EventLog &log, EntryMetrics &metrics, ClusterState &clusterState)
    : m_log(log)
    , m_metrics(metrics)
    , m_clusterState(clusterState)
{
}

void UpstreamStatements::onAnswer(const UpstreamRecord &upstream, const Platform::UpstreamAnswer &answer, Time sentAt, Time now)
{
    // Only an answer with the upstream's seal lifts a limit: a refusal may come from a part of it that does not know the limit.
    const bool statesLimit = answer.requestLimit || answer.isSealed;
    if (statesLimit && m_clusterState.upstreamLimits.onAnswer(upstream, answer.requestLimit, sentAt, now)) {
        reportLimit(upstream.id, answer.requestLimit, "answer");
    }
    const bool statesBrittleness = answer.bearableRefusals || answer.isSealed;
    if (statesBrittleness && m_clusterState.brittleUpstreams.onAnswer(upstream, answer.bearableRefusals, sentAt, now)) {
        reportBrittleness(upstream.id, answer.bearableRefusals, "answer");
    }
    if (answer.isLeaving) {
        markLeaving(UpstreamStart { upstream.id, upstream.startedAt }, true, now);
    }
    if (answer.retryAfter > Duration(0) && m_clusterState.upstreamRests.onRefusal(upstream, now + answer.retryAfter, now)) {
        m_metrics.upstreamRests();
        m_log.write(Important, "upstream", "rests", { { "upstream", upstream.id.value() }, { "forMs", answer.retryAfter.milliseconds() } });
    }
}

void UpstreamStatements::onPeerLeaving(const std::vector<UpstreamStart> &starts, Time now)
{
    for (const UpstreamStart &start : starts) {
        markLeaving(start, false, now);
    }
}

void UpstreamStatements::markLeaving(const UpstreamStart &start, bool isHeard, Time now)
{
    for (const UpstreamChange &change : m_clusterState.upstreams.markLeaving(start, isHeard, now)) {
        if (const auto *left = std::get_if<UpstreamLeft>(&change)) {
            m_clusterState.onUpstreamLeft(left->id);
            m_log.write(Important, "upstream", "left", { { "upstream", left->id.value() }, { "reason", left->reason } });
        }
    }
}

void UpstreamStatements::onPeerLimits(const NodeId &peer, const std::vector<UpstreamLimitStatement> &statements, Time now)
{
    for (const UpstreamLimitStatement &statement : statements) {
        if (m_clusterState.upstreamLimits.onPeerStatement(statement, now)) {
            reportLimit(statement.upstream, statement.requestsPerSecond, peer.value());
        }
    }
}

void UpstreamStatements::onPeerBrittleness(const NodeId &peer, const std::vector<BrittleStatement> &statements, Time now)
{
    for (const BrittleStatement &statement : statements) {
        if (m_clusterState.brittleUpstreams.onPeerStatement(statement, now)) {
            reportBrittleness(statement.upstream, statement.refusalsPerSecond, peer.value());
        }
    }
}

void UpstreamStatements::reportBrittleness(const UpstreamId &upstream, std::optional<double> refusalsPerSecond, const std::string &source)
{
    if (refusalsPerSecond) {
        m_log.write(Important, "upstream", "brittle",
            { { "upstream", upstream.value() }, { "refusalsPerSecond", *refusalsPerSecond }, { "source", source } });
    } else {
        m_log.write(Important, "upstream", "not_brittle", { { "upstream", upstream.value() }, { "source", source } });
    }
}

void UpstreamStatements::reportLimit(const UpstreamId &upstream, std::optional<double> requestsPerSecond, const std::string &source)
{
    m_metrics.upstreamLimitChanged(requestsPerSecond.has_value());
    if (requestsPerSecond) {
        m_log.write(Important, "upstream", "limit_named",
            { { "upstream", upstream.value() }, { "requestsPerSecond", *requestsPerSecond }, { "source", source } });
    } else {
        m_log.write(Important, "upstream", "limit_lifted", { { "upstream", upstream.value() }, { "source", source } });
    }
}

} // namespace ApricotStep
