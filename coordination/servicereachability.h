#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstddef>
#include <random>
#include <vector>

namespace ApricotStep
{

// A node can lose its links to all upstreams while callers and other nodes still reach it. Each failed connection then looks like the fault
// of one upstream: the node tries them one after the other, each request anew, and the caller's time is over before it is refused. Only
// connection attempts count. An upstream may fall silent for a second and continue, and connections that exist may live on while new ones
// fail. One upstream that fails is not enough either: as soon as one does, a few others are probed, and the service counts as unreachable
// if none of them accepts a connection. Whether other nodes reach it is not decided here.

struct ReachabilityLimits
{
    /** A service is unreachable when this many different upstreams of it, or all if it has fewer, accept no connection. At least 1. */
    std::size_t upstreamsToConfirm = 3;
    /**
     * An unreachable service is reachable again when this many different upstreams of it, or all if it has fewer, accept a connection. At
     * least 1. A node that reaches one of many would otherwise send all its requests there.
     */
    std::size_t upstreamsToReturn = 2;
    /** How long a failed connection attempt counts. */
    Duration failureLifetime = Duration::seconds(3);
    /** Interval between probes of an unreachable service. */
    Duration probeInterval { 250 };
    /** After a connection was accepted, further failures start no probes for this long. */
    Duration probePause { 500 };
};

/** Whether this node can connect to the upstreams of each service. Not thread-safe. */
class ServiceReachability
{
public:
    explicit ServiceReachability(ReachabilityLimits limits);

    /** An upstream accepted a new connection. */
    void onConnected(const ServiceName &service, const UpstreamId &upstream, Time now);
    /** An upstream did not accept a new connection, or not in time. */
    void onUnreachable(const ServiceName &service, const UpstreamId &upstream, Time now);
    /** Something other than a connection attempt suggests that the service may be unreachable. */
    void suspect(const ServiceName &service, Time now);

    /** What is to be done for a service. */
    struct Decision
    {
        /** Whether the service has become unreachable or reachable since the last decision. */
        bool isChanged = false;
        /** The upstreams to connect to; their outcomes are expected by onConnected() and onUnreachable(). */
        std::vector<UpstreamId> probes;
        /** Whether decide() is to be called again after the probe interval. */
        bool isPending = false;
    };
    /** To be called after each event above. @p upstreams: those of the service that may get work. */
    Decision decide(const ServiceName &service, const std::vector<UpstreamId> &upstreams, Time now, std::mt19937_64 &random);

    /** Whether this node reaches the service, as of the last decision. */
    bool isReachable(const ServiceName &service) const;
    /** The services that this node does not reach. */
    std::vector<ServiceName> unreachable() const;

private:
    struct State
    {
        /** When connections to upstreams last failed, since one was accepted. */
        absl::btree_map<UpstreamId, Time> failures;
        /** The upstreams that have accepted a connection while the service is unreachable. */
        absl::btree_set<UpstreamId> connected;
        /** The probes in progress and when they began. */
        absl::btree_map<UpstreamId, Time> probes;
        Time suspectedAt;
        Time connectedAt;
        Time probedAt;
        bool isUnreachable = false;
    };

    void updateReachability(State &state, std::size_t upstreamCount) const;
    std::size_t wantedProbes(const State &state, std::size_t upstreamCount, Time now) const;

    ReachabilityLimits m_limits;
    absl::btree_map<ServiceName, State> m_states;
};

} // namespace ApricotStep
