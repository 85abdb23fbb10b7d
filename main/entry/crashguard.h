#pragma once

#include "coordination/contentquarantine.h"
#include "main/entry/clusterstate.h"
#include "main/entry/crashdetector.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "transport/ioloop.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ApricotStep
{

/** Whether a request may be sent, by what it holds. */
enum class ContentVerdict {
    Allowed,
    /** The content is held back, and this request may find out whether upstreams answer it now. It is sent once. */
    Trial,
    HeldBack,
};

/** Keeps requests from upstreams that would end under them: observes crashes and answers, tells peers, logs and counts. */
class CrashGuard
{
public:
    struct Callbacks
    {
        /** All nodes must know at once what this one has learned. */
        std::function<void()> onNews;
        ContentQuarantine::TrialRank trialRank;
    };

    /** @p suspicionTime: see UpstreamEndsLimits. */
    CrashGuard(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, Duration suspicionTime, Callbacks callbacks);

    /** Finds out which upstreams have ended. */
    CrashDetector &detector()
    {
        return m_detector;
    }
    /** An upstream has answered a request, or begun to, or goes on; then for @p answerAge by now. */
    void onAnswered(const RequestContent &content, AnswerProgress progress, Duration answerAge);
    void onPeerStatements(const QuarantineStatements &statements);
    /** Decides on the next attempt of the request @p id. */
    ContentVerdict decide(const RequestContent &content, const std::string &id);
    /** Whether another upstream has already ended under the request. */
    bool isAccused(const RequestContent &content) const;
    /** Whether the content is held back at this moment. */
    bool isHeld(const RequestContent &content);

private:
    Time now() const;
    void onEnded(const UpstreamEnd &end);
    /** The upstream gets no requests until it starts again. */
    void avoid(const UpstreamStart &ended);
    void reportChanges();

    IoLoop &m_loop;
    EventLog &m_log;
    EntryMetrics &m_metrics;
    ClusterState &m_clusterState;
    ContentQuarantine &m_quarantine;
    Callbacks m_callbacks;
    CrashDetector m_detector;
};

} // namespace ApricotStep
