#pragma once

#include "coordination/attempt.h"
#include "coordination/outlierdetector.h"
#include "core/clock.h"
#include "core/strongid.h"
#include "main/metrics.h"

#include <memory>
#include <string>
#include <vector>

namespace ApricotStep
{

/** Tracks the health of upstreams as seen by this node: which are ejected, and which failed calls may be retried. Thread-safe. */
class UpstreamHealth
{
public:
    /** The references must outlive it. @p seed makes the retry jitter differ between nodes. */
    UpstreamHealth(const Clock &clock, Metrics &metrics, std::uint64_t seed);
    ~UpstreamHealth();

    /** Sets the upstreams of the active configuration. Cheap if @p version is unchanged. */
    void setUpstreams(ConfigVersion version, const std::vector<UpstreamId> &upstreams);
    /** @p pool names the traffic that shares a retry budget: all engines, or one service. */
    void onSuccess(const UpstreamId &upstream, const std::string &pool);
    void onFailure(const UpstreamId &upstream);
    void onRestart(const UpstreamId &upstream);
    /** The share of normal traffic for @p upstream: 0 while ejected, below 1 during slow start, otherwise 1. */
    double share(const UpstreamId &upstream) const;
    RetryDecision decide(const AttemptFailure &failure, const RetryContext &retryContext, const std::string &pool);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** The retry budget pool that all engines share. */
inline const std::string EnginePool = "engines";

/** Whether a failure of @p kind counts against the upstream. */
bool isUpstreamFault(ErrorKind kind);

} // namespace ApricotStep
