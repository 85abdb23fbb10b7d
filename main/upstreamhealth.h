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

/** What this node has seen of its upstreams: who is ejected, and which failed calls may be tried again. Thread-safe. */
class UpstreamHealth
{
public:
    /** The references must outlive it. @p seed makes pauses between attempts differ from other nodes'. */
    UpstreamHealth(const Clock &clock, Metrics &metrics, std::uint64_t seed);
    ~UpstreamHealth();

    /** The upstreams of the configuration in force. Cheap when nothing changed. */
    void setUpstreams(ConfigVersion version, const std::vector<UpstreamId> &upstreams);
    /** @p pool names the traffic that shares a retry budget: the engines, or one service. */
    void onSuccess(const UpstreamId &upstream, const std::string &pool);
    void onFailure(const UpstreamId &upstream);
    void onRestart(const UpstreamId &upstream);
    /** 0 when ejected, below 1 while it returns slowly. */
    double share(const UpstreamId &upstream) const;
    RetryDecision decide(const AttemptFailure &failure, const RetryContext &retryContext, const std::string &pool);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** The pool of all engines. */
inline const std::string EnginePool = "engines";

/** Whether a failed call of @p kind says something bad of the upstream itself. */
bool isUpstreamFault(ErrorKind kind);

} // namespace ApricotStep
