#pragma once

#include "coordination/requestcontent.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "state/upstreamrecord.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <vector>

namespace ApricotStep
{

/** Finds out by connecting whether an upstream that broke off has ended, rather than one connection to it. */
class CrashDetector
{
public:
    /** The upstream ended at @p at, before it began to answer requests with @p suspects. */
    using OnEnded = std::function<void(const UpstreamRecord &upstream, const std::vector<RequestContent> &suspects, Time at)>;

    CrashDetector(IoLoop &loop, EventLog &log, EntryMetrics &metrics, OnEnded onEnded);
    ~CrashDetector();

    /** @p upstream broke off a request that it had not begun to answer. */
    void onBroken(const UpstreamRecord &upstream, const RequestContent &content);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
