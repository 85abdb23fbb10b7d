#pragma once

#include "coordination/contentquarantine.h"
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
    /** The upstream ended at @p at, while it had requests with @p suspects. */
    using OnEnded = std::function<void(const UpstreamRecord &upstream, const std::vector<CrashSuspect> &suspects, Time at)>;

    CrashDetector(IoLoop &loop, EventLog &log, EntryMetrics &metrics, OnEnded onEnded);
    ~CrashDetector();

    /** @p upstream broke off a request. */
    void onBroken(const UpstreamRecord &upstream, const CrashSuspect &suspect);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
