#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <memory>

namespace ApricotStep
{

/** How a call to a service ended, as its limit sees it. */
enum class ServiceOutcome {
    Answered,
    /** Timed out, cut off, unreachable, or refused for overload. */
    Failed,
    /** Says nothing of the service. */
    Abandoned,
};

/** How many calls run at each upstream of the plain services, within its adaptive limit. Thread-safe. */
class ServiceLimits
{
public:
    /** @p maxConcurrentCalls calls at once at one upstream, at least 1. */
    explicit ServiceLimits(int maxConcurrentCalls);
    ~ServiceLimits();

    /** Takes a place at @p upstream; false when its limit is reached. */
    bool tryStart(const UpstreamId &upstream);
    /** Gives the place back; once for each tryStart() that was true. */
    void onEnd(const UpstreamId &upstream, ServiceOutcome outcome, Duration latency, Time now);
    int inFlight(const UpstreamId &upstream) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
