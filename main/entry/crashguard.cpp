#include "main/entry/crashguard.h"

#include "core/result.h"
#include "main/entry/contentdigest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr EventLog::Severity Important = EventLog::Severity::Important;
constexpr std::size_t MaxLoggedUpstreams = 8;

std::string kindName(const std::optional<ContentElement::Kind> &kind)
{
    if (!kind) {
        return "";
    }
    switch (*kind) {
    case ContentElement::Kind::Request:
        return "request";
    case ContentElement::Kind::Part:
        return "part";
    case ContentElement::Kind::PartOnAdapter:
        return "part_on_adapter";
    }
    return "";
}

} // namespace

CrashGuard::CrashGuard(
    IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, Duration suspicionTime, Callbacks callbacks)
    : m_loop(loop)
    , m_log(log)
    , m_metrics(metrics)
    , m_clusterState(clusterState)
    , m_quarantine(clusterState.quarantine)
    , m_callbacks(std::move(callbacks))
    , m_detector(loop, log, metrics, suspicionTime, [this](const UpstreamEnd &end) { onEnded(end); })
{
    m_quarantine.setPlannedEnds([this](const UpstreamStart &start) {
        return m_clusterState.upstreams.hasAnnouncedLeaving(start) || m_detector.hasOutlivedEntry(start);
    });
}

// Not the loop's time: a process that was suspended must not take old crashes for new ones.
Time CrashGuard::now() const
{
    return m_loop.clock().now();
}

void CrashGuard::avoid(const UpstreamStart &ended)
{
    const UpstreamRecord *record = m_clusterState.upstreams.usable(ended.upstream);
    if (record != nullptr && record->startedAt == ended.startedAt) {
        m_clusterState.outliers.onEnded(ended.upstream, now());
    }
}

void CrashGuard::onEnded(const UpstreamEnd &end)
{
    avoid(UpstreamStart { end.upstream.id, end.upstream.startedAt });
    const UpstreamGroup group { end.upstream.service, static_cast<int>(m_clusterState.upstreams.usable(end.upstream.service).size()) };
    if (m_quarantine.onCrash(UpstreamStart { end.upstream.id, end.upstream.startedAt }, end.suspects, end.at, now(), group)) {
        m_callbacks.onNews();
    }
    reportChanges();
}

void CrashGuard::onAnswered(const RequestContent &content, AnswerProgress progress, Duration answerAge)
{
    if (m_quarantine.onAnswered(content, progress, now(), answerAge)) {
        m_callbacks.onNews();
    }
    reportChanges();
}

void CrashGuard::onPeerStatements(const QuarantineStatements &statements)
{
    for (const CrashReport &report : statements.crashes) {
        avoid(report.upstream);
    }
    m_quarantine.onPeerStatements(statements, now());
    reportChanges();
}

bool CrashGuard::isAccused(const RequestContent &content) const
{
    return m_quarantine.isAccused(content.request);
}

bool CrashGuard::isHeld(const RequestContent &content)
{
    const bool result = m_quarantine.heldBy(content, now()).has_value();
    reportChanges();
    return result;
}

ContentVerdict CrashGuard::decide(const RequestContent &content, const std::string &id)
{
    const auto held = m_quarantine.heldBy(content, now());
    reportChanges();
    if (!held) {
        return ContentVerdict::Allowed;
    }
    if (!m_quarantine.beginTrial(content, m_callbacks.trialRank, now())) {
        m_metrics.quarantine("refused");
        m_log.write(EventLog::Severity::Routine, "quarantine", "refused", { { "content", digestName(*held) }, { "request", id } });
        return ContentVerdict::HeldBack;
    }
    m_metrics.quarantine("trial");
    m_log.write(Important, "quarantine", "trial", { { "content", digestName(*held) }, { "request", id } });
    m_callbacks.onNews();
    return ContentVerdict::Trial;
}

void CrashGuard::reportChanges()
{
    for (const QuarantineChange &change : m_quarantine.takeChanges()) {
        std::visit(Overloaded {
                       [this](const ContentHeldBack &held) {
                           std::string upstreams;
                           for (std::size_t i = 0; i < std::min(held.upstreams.size(), MaxLoggedUpstreams); ++i) {
                               upstreams += (i > 0 ? " " : "") + held.upstreams[i].value();
                           }
                           m_metrics.quarantine("held");
                           m_log.write(Important, "quarantine", "held",
                               { { "content", digestName(held.content) }, { "kind", kindName(held.kind) },
                                   { "crashes", std::int64_t(held.crashes) }, { "upstreams", upstreams },
                                   { "exposureMs", held.exposure.milliseconds() },
                                   { "expectedMilli", std::llround(held.expectedCrashes * 1000) } });
                       },
                       [this](const ContentReleased &released) {
                           m_metrics.quarantine("released");
                           m_log.write(Important, "quarantine", "released",
                               { { "content", digestName(released.content) },
                                   { "reason", released.reason == ContentReleased::Reason::Answered ? "answered" : "lapsed" } });
                       },
                   },
            change);
    }
}

} // namespace ApricotStep
