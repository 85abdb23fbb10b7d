#pragma once

#include "main/entry/clusterstate.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>

namespace ApricotStep
{

/** Finds out by connecting to upstreams whether this node reaches the services, once a connection attempt has failed. */
class ReachabilityProber
{
public:
    /** @p onChanged: a service became unreachable or reachable. Called from the loop. */
    ReachabilityProber(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, std::function<void()> onChanged);
    ~ReachabilityProber();

    /** The upstream did not accept a new connection. */
    void onUnreachable(const UpstreamRecord &upstream);
    /** An upstream of the service broke off or did not acknowledge what was sent. */
    void onBroken(const ServiceName &service);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
