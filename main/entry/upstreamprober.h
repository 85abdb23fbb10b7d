#pragma once

#include "coordination/indirectprobes.h"
#include "main/entry/clusterstate.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <vector>

namespace ApricotStep
{

/** Asks upstreams that send nothing, itself and through other nodes, whether they live; see IndirectProbes. */
class UpstreamProber
{
public:
    struct Callbacks
    {
        /** Returns the attempts of this node that wait for an upstream, and those that did in vain. */
        std::function<std::vector<WaitingAttempt>()> attempts;
        /** Returns the other nodes that may be asked to probe an upstream. */
        std::function<std::vector<ProbePeer>()> peers;
        std::function<void(const UpstreamStart &upstream, const std::vector<NodeId> &peers)> requestProbes;
        std::function<void(const NodeId &peer, const ProbeResult &result)> tellResult;
        /** No node had a sign of life from the upstream. */
        std::function<void(const UpstreamStart &upstream)> onSilent;
    };

    UpstreamProber(
        IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, const ZoneId &ownZone, Callbacks callbacks);
    ~UpstreamProber();

    /** Another node asks for probes. */
    void onProbeRequests(const NodeId &from, const std::vector<UpstreamStart> &upstreams);
    /** Another node tells what its probes have found. */
    void onPeerResults(const NodeId &from, const std::vector<ProbeResult> &results);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
