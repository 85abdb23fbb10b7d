#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <memory>

namespace ApricotStep
{

/** The result of a call to a service, as counted by the concurrency limit. */
enum class ServiceOutcome {
    Answered,
    /** Timed out, aborted, unreachable, or answered with 502, 503 or 504. */
    Failed,
    /** Counts neither for nor against the service. */
    Abandoned,
};

/** Limits the calls in flight at each upstream of the plain services, with one adaptive limit per upstream. Thread-safe. */
class ServiceLimits
{
public:
    /** @p maxConcurrentCalls is the upper bound of the limit of each upstream, at least 1. */
    explicit ServiceLimits(int maxConcurrentCalls);
    ~ServiceLimits();

    /** Counts a call to @p upstream as in flight. Returns false if the limit is reached. */
    bool tryStart(const UpstreamId &upstream);
    /** Ends a call in flight. Must be called once for each tryStart() that returned true. */
    void onEnd(const UpstreamId &upstream, ServiceOutcome outcome, Duration latency, Time now);
    int inFlight(const UpstreamId &upstream) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
