#pragma once

#include "coordination/upstreamends.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "state/upstreamrecord.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <vector>

namespace ApricotStep
{

/**
 * Finds out whether an upstream that broke off has ended, rather than one connection to it: by connecting, and by what the store lists,
 * other requests receive and probes find afterwards.
 */
class CrashDetector
{
public:
    using OnEnded = std::function<void(const UpstreamEnd &end)>;

    CrashDetector(IoLoop &loop, EventLog &log, EntryMetrics &metrics, Duration suspicionTime, OnEnded onEnded);
    ~CrashDetector();

    /** An upstream broke off a request. */
    void onBroken(const UnansweredRequest &request);
    /** An upstream had not answered a request when the node gave it up. */
    void onSilent(const UnansweredRequest &request);
    /** Returns the requests of which it is not known whether their upstreams have ended. */
    std::vector<UnansweredRequest> suspected() const;
    /** An upstream has sent a part of the answer to a request of @p sentAt. */
    void onAnswer(const UpstreamRecord &upstream, Time sentAt);
    /** No node had a sign of life from an upstream, while it had @p unanswered. */
    void onSilenceConfirmed(const UpstreamStart &upstream, const std::vector<UnansweredRequest> &unanswered);
    /** The store lists a new start of an upstream; @p unanswered are the requests at the one that it replaces. */
    void onStarted(const UpstreamRecord &record, const std::vector<UnansweredRequest> &unanswered);
    /**
     * The store no longer lists an upstream, although it has not announced that it is leaving; @p silent are requests there without answer.
     * Some leave like that, and serve on for some time. @p canReport: it answers when it is asked for a report, unless it has ended.
     */
    void onLapsed(const UpstreamRecord &upstream, bool canReport, const std::vector<UnansweredRequest> &silent);
    /** Whether this start served on after the store no longer listed it, so that its end was planned. */
    bool hasOutlivedEntry(const UpstreamStart &start) const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
