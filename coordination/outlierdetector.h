#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <memory>
#include <vector>

namespace ApricotStep
{

// Load pattern: one upstream of many fails or hangs while the others are well, flaps, or comes back cold.
// Without ejection: its share of all requests pays a failed attempt each, for as long as the fault lasts. Without the comparison with the
// others and the ceiling: a fault that all share (overload, a bad adapter, a lost zone) ejects one after the other, and the rest drowns.
// Without the slow return: a restarted engine with empty caches gets a full share at once, fails again and flaps. One would notice a
// saw-tooth in its failures. Grounds for the figures: five failures in a row happen by chance less than once in 10^5 requests at a tenth
// failing. The first ejection lasts five seconds, about a restart of a process; each next one doubles to a minute, so that a flapping
// upstream costs a few requests a minute. An outlier fails three more in ten than the others' mean: under a fault that all share no one
// does. At most a third is ejected: the rest then has half as much again to bear.

struct OutlierLimits
{
    /** Failures in a row that eject; at least 1. */
    int failuresToEject = 5;
    Duration baseEjectionTime = Duration::seconds(5);
    Duration maxEjectionTime = Duration::seconds(60);
    /** Time from the return of an upstream to its full share. */
    Duration slowStartTime = Duration::seconds(10);
    /** Share at the start of the ramp, above 0 to 1. */
    double slowStartShare = 0.1;
    /** Share of all upstreams that may be ejected at once, 0 to 1; one of two or more always may. */
    double maxEjectedShare = 0.34;
    /**
     * After a connection that could not be made, an upstream is left alone for this long. Requests that could only go there wait for
     * another place meanwhile; without it they try again at each look, and a crashed engine gets thousands of connections while its callers
     * wait.
     */
    Duration unreachableBackoff { 300 };
    /** Only an upstream whose recent share of failures exceeds the mean of the others by this is ejected. */
    double failureRateMargin = 0.3;
};

/** Watches the outcomes of upstreams and says how much of its share each should get. Not thread-safe. */
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierLimits limits);
    ~OutlierDetector();
    OutlierDetector(OutlierDetector &&) noexcept;
    OutlierDetector &operator=(OutlierDetector &&) noexcept;

    /** The upstreams that exist now; others are forgotten. Without this call an upstream is known from its first outcome. */
    void setUpstreams(const std::vector<UpstreamId> &upstreams);
    /** It is gone. Kept, it would count among those ejected, and a sick one could not be ejected any more. */
    void remove(const UpstreamId &upstream);
    void onSuccess(const UpstreamId &upstream, Time now);
    /** A failure that the upstream caused: unreachable, cut, timed out, 5xx. Never a refusal that is the caller's fault. */
    void onFailure(const UpstreamId &upstream, Time now);
    /** No connection could be made. */
    void onUnreachable(const UpstreamId &upstream, Time now);
    /** It came back cold: from here on its share grows slowly. */
    void onRestart(const UpstreamId &upstream, Time now);

    /** False right after a connection failed. */
    bool isReachable(const UpstreamId &upstream, Time now) const;
    bool isEjected(const UpstreamId &upstream, Time now) const;
    /** 0 when ejected, else from the start share of its ramp to 1. */
    double share(const UpstreamId &upstream, Time now) const;
    int ejectedCount(Time now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
