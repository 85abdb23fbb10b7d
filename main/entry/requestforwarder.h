#pragma once

#include "coordination/answermemory.h"
#include "coordination/fleetmessage.h"
#include "coordination/relaychoice.h"
#include "coordination/revocationbound.h"
#include "coordination/upstreamchoice.h"
#include "core/errors.h"
#include "main/entry/clusterstate.h"
#include "main/entry/creditlimiter.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "main/entry/relayedrequest.h"
#include "main/entry/upstreamstatements.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ApricotStep
{

/** Settings of request forwarding that are the same for the whole fleet, and the zone of this node. */
struct ForwarderSettings
{
    ZoneId zone;
    /**
     * Limits the retries that the whole fleet may send to a service within the window: a share of its requests plus a fixed number. Each
     * arrival of a request at the service beyond its first one counts as a retry.
     */
    double retryShare = 0.1;
    double retryReserve = 16;
    Duration retryWindow = Duration::seconds(10);
    /** Time within which every node must use a new adapter version. */
    Duration adapterVersionBound = Duration::seconds(5);
    RevocationBound revocationBound { std::nullopt };
    TeamCreditLimits teamCredit;
    /** How the fleet keeps the limits that upstreams state for their requests. */
    TeamCreditLimits upstreamCredit = upstreamCreditLimits();
    AnswerLimits answers;
    PlacementPolicy placement;
    /** How long the store may list an upstream that has ended. */
    Duration upstreamLapseTime = Duration::seconds(6);
};

/** Where a request comes from. */
enum class RequestSource {
    Caller,
    /** Another node that does not reach the upstreams. It tries again itself, and its request is not sent to a third node. */
    Node,
};

/** Callbacks from the forwarder into the rest of the node. */
struct ForwarderCallbacks
{
    /** Called when requests wait for adapters that no usable engine has loaded. */
    std::function<void()> onPendingAdapters;
    /** Called when an upstream that bears few refusals has refused a request: all nodes must know. */
    std::function<void()> onBrittleRefusal;
    /** Returns the number of nodes that share the retry budget, including this one; at least 1. */
    std::function<int()> nodeCount;
    /** Returns whether the node is leaving; answers then close their connections. */
    std::function<bool()> isLeaving;
    /** Returns whether the node can accept a request that may take up to @p longest. */
    std::function<bool(Duration longest)> canAccept;
    /** Returns the time until some node may order adapter loads; unset while this node is cut off from most of the others. */
    std::function<std::optional<Duration>()> ordersIn;
    /** Returns whether callers with keys can use another node. */
    std::function<bool()> canOthersAcceptKeys;
    /** Returns the size of the fleet; empty if this node does not know it. */
    std::function<std::optional<int>()> fleetSize;
    /** Returns the nodes that reach the upstreams of @p service and have a configuration as new as @p atLeast. */
    std::function<std::vector<RelayNode>(const ServiceName &service, ConfigVersion atLeast)> relays;
    /** Called when all nodes must know at once what this one has learned of content under which upstreams end. */
    std::function<void()> onQuarantineNews;
    /** The order in which nodes may send a request with held content to see whether upstreams answer it. */
    ContentQuarantine::TrialRank trialRank;
    /** Returns the other nodes that may be asked to probe an upstream. */
    std::function<std::vector<ProbePeer>()> probePeers;
    /** Asks other nodes to probe an upstream. */
    std::function<void(const UpstreamStart &, const std::vector<NodeId> &)> requestProbes;
    /** Tells a node that has asked what the probe found. */
    std::function<void(const NodeId &, const ProbeResult &)> tellProbeResult;
    /** Asks other nodes where a stream began; returns how many were asked. */
    std::function<int(const StreamQuery &)> sendStreamQuery;
    /** Sends queries to the nodes that issue the credit of their accounts. Returns the accounts for which no such node is known. */
    std::function<std::vector<CreditAccount>(const std::vector<CreditQuery> &)> sendCreditQueries;
};

/** Forwards each caller's request unchanged to an upstream of its route, and the answer back to the caller. */
class RequestForwarder
{
public:
    RequestForwarder(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, ForwarderSettings settings,
        ForwarderCallbacks callbacks);
    ~RequestForwarder();

    /**
     * Decides on the large body of a caller's request, or of a relayed one, from its head. Answers a request that cannot be served whatever
     * its body is, and returns nothing then.
     */
    std::optional<BodyTerms> admitBody(const HttpRequest &head, HttpExchange &exchange, RequestSource source);
    /** A caller's request. */
    void onRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange);
    /** A request of another node's caller, which that node has admitted and cannot send to an upstream itself. */
    void onRelayedRequest(HttpRequest request, const RelayedRequest &relayed, std::shared_ptr<HttpExchange> exchange);
    /** Retries the placement of requests that wait for an adapter. */
    void onClusterStateChanged();
    /** Returns the adapters that requests run on or wait for. Each request is counted as new only in the first call that includes it. */
    std::vector<AdapterUse> uses();
    /** Returns only the adapters that requests wait for; counts no request as new. */
    std::vector<AdapterUse> pendingAdapters() const;
    /** Ends all requests in progress, before the node stops. */
    void endAll();
    /** Returns the number of requests in progress. */
    int activeCount() const;
    /** Memory that answers in progress hold, in bytes. */
    std::size_t answerBytes() const;
    /** Requests per second that this node receives. */
    double requestRate() const;
    /** This node holds the lease of the shard; to be called when it gets the lease, and repeatedly while it holds it. */
    void holdCreditShard(std::uint64_t shard, FencingToken term);
    /** Answers a query for an account of @p shard, whose lease this node holds now. Returns nothing if there is no answer. */
    std::optional<CreditGrant> answerCreditQuery(
        std::uint64_t shard, const NodeId &from, Incarnation incarnation, const CreditQuery &query);
    void onCreditGrants(const std::vector<CreditGrant> &grants);
    /** Another node tells what it knows of content under which upstreams end. */
    void onQuarantineStatements(const QuarantineStatements &statements);
    /** Another node asks this one to probe upstreams. */
    void onProbeRequests(const NodeId &from, const std::vector<UpstreamStart> &upstreams);
    /** Another node tells what the probes that this one asked for have found. */
    void onProbeResults(const NodeId &from, const std::vector<ProbeResult> &results);
    /** The store lists a new start of an upstream. */
    void onUpstreamStarted(const UpstreamRecord &record);
    /** The store no longer lists an upstream, although it has not announced that it is leaving. */
    void onUpstreamLapsed(const UpstreamRecord &upstream);
    /** Other nodes answer where streams began. */
    void onStreamAnswers(const std::vector<StreamAnswer> &answers);

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
