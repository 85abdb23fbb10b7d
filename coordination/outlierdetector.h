#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <memory>
#include <vector>

namespace ApricotStep
{

// Outlier detection for the case that one upstream of many fails, hangs, flaps or returns with cold caches while the others are healthy.
// Without ejection every request of its share pays for a failed attempt for as long as the fault lasts. Without the comparison with the
// others and the maximum share, a fault that all have in common (overload, a bad adapter, a lost zone) ejects one upstream after the other
// and overloads the rest. Without the slow start a restarted engine with empty caches gets its full share at once, fails again and flaps,
// which shows as a sawtooth in its failures.
// With a tenth of the requests failing, five consecutive failures happen by chance about once in 10^5 requests. The first ejection
// lasts 5 s, about the restart of a process; each further one lasts twice as long, up to a minute, so that a flapping upstream fails only
// a few requests per minute. An outlier's failure rate exceeds the mean of the others by 0.3, which no upstream does in a fault that
// all have in common. At most a third is ejected, so that the load of the others grows by half at most.

struct OutlierLimits
{
    /** Consecutive failures that eject an upstream; at least 1. */
    int failuresToEject = 5;
    Duration baseEjectionTime = Duration::seconds(5);
    Duration maxEjectionTime = Duration::seconds(60);
    /** Time from the return of an upstream until it gets its full share. */
    Duration slowStartTime = Duration::seconds(10);
    /** Share at the beginning of the slow start; greater than 0, at most 1. */
    double slowStartShare = 0.1;
    /** Share of all upstreams that may be ejected at once, 0 to 1; of two or more upstreams one may always be ejected. */
    double maxEjectedShare = 0.34;
    /**
     * How long an upstream gets no requests after a connection attempt failed. Requests that can only go there wait meanwhile; without this
     * backoff they would connect again at each placement decision, and a crashed engine would get thousands of connection attempts.
     */
    Duration unreachableBackoff { 300 };
    /** How long an upstream that has ended gets no requests, unless it starts again or answers: about as long as it remains listed. */
    Duration endedBackoff = Duration::seconds(3);
    /** Only an upstream whose recent failure rate exceeds the mean of the others by this much is ejected. */
    double failureRateMargin = 0.3;
};

/** Tracks the outcomes of requests at upstreams and decides how much of its share each upstream gets. Not thread-safe. */
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierLimits limits);
    ~OutlierDetector();
    OutlierDetector(OutlierDetector &&) noexcept;
    OutlierDetector &operator=(OutlierDetector &&) noexcept;

    /** Sets the known upstreams and removes all others. Upstreams are also added with their first outcome. */
    void setUpstreams(const std::vector<UpstreamId> &upstreams);
    /** Removes an upstream that is gone; it would otherwise count as ejected and could prevent the ejection of a failing one. */
    void remove(const UpstreamId &upstream);
    void onSuccess(const UpstreamId &upstream, Time now);
    /** A failure that the upstream caused: unreachable, cut connection, timeout, 5xx. Not for refusals that the caller caused. */
    void onFailure(const UpstreamId &upstream, Time now);
    /** A connection attempt failed. */
    void onUnreachable(const UpstreamId &upstream, Time now);
    /** Some node has found out that the upstream has ended. */
    void onEnded(const UpstreamId &upstream, Time now);
    /** The upstream has started again. */
    void onStarted(const UpstreamId &upstream);
    /** The upstream restarted with cold caches: begins a slow start unless the upstream is ejected. */
    void onRestart(const UpstreamId &upstream, Time now);

    /** Returns false during the backoff after a failed connection attempt, or after its end. */
    bool isReachable(const UpstreamId &upstream, Time now) const;
    bool isEjected(const UpstreamId &upstream, Time now) const;
    /** 0 if ejected; during a slow start the share that it has reached; otherwise 1. */
    double share(const UpstreamId &upstream, Time now) const;
    int ejectedCount(Time now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
