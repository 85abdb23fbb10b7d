#pragma once

#include "coordination/workitem.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

// Decides which engine may load from the weight store now.
//
// All engines load from one store that serves about two loads a second, and popularity shifts for all of them at once. Without permits each
// engine would send its loads at once, and since they share the store's rate, the load that an urgent request waits for would take as long
// as the dozens of loads for patient work beside it.
//
// The rate and the number of loads in flight are the store's own limits. A permit lives for two seconds, eight load times, so that a lost
// engine holds back little. A request for a permit is repeated every second and expires after three, so that a restarted issuer knows the
// whole demand within a second and does not serve the requests of a lost client.
//
// Permits limit speed and are not needed for safety: two issuers at once, or none, only cost time.

namespace ApricotStep
{

/** The limits of the weight store for the whole deployment. */
struct LoadBudget
{
    /** Loads per second; above 0. */
    double ratePerSecond = 2.0;
    /** Loads in flight at once; at least 1. */
    int parallel = 8;
    /** How long a permit is valid; also ends a load whose completion is never reported. */
    Duration permitLifetime { 2000 };
    /** A request for a permit expires after this long unless it is repeated. */
    Duration requestTimeout { 3000 };
    Duration requestInterval { 1000 };
};

// Messages between permit clients and the permit issuer. Times are durations, since the clocks of nodes differ.

/** Identifies a permit: one adapter on one upstream, requested by one node. */
struct PermitName
{
    NodeId node;
    UpstreamId upstream;
    AdapterKey adapter;

    auto operator<=>(const PermitName &) const = default;
};
struct PermitRequest
{
    PermitName name;
    /** The most urgent class that waits; empty for a prefetch. */
    std::optional<Priority> urgency;
    /** Requests that would share the load. */
    int waiting = 0;
    /** How long the first of them has waited. */
    Duration waited;
};
struct PermitGrant
{
    PermitName name;
    Duration lifetime;
};
/**
 * Answer to a request: how long a request that is made now at this urgency will wait, as estimated by the issuer from all nodes' requests.
 */
struct PermitWaitEstimate
{
    PermitName name;
    std::optional<Priority> urgency;
    Duration wait;
};
/** The load ended, or the request or permit is no longer needed. */
struct PermitRelease
{
    PermitName name;
    PermitEnd end = PermitEnd::Used;
};

/** Returns the node that issues permits; all nodes with the same live nodes choose the same one. Empty when there are none. */
NodeId permitIssuerOf(const std::vector<NodeId> &live);

/** Issues permits from the budget, most urgent first. Not thread-safe. */
class PermitIssuer
{
public:
    explicit PermitIssuer(LoadBudget budget);
    ~PermitIssuer();
    PermitIssuer(PermitIssuer &&) noexcept;
    PermitIssuer &operator=(PermitIssuer &&) noexcept;

    /** Sets this issuer's fraction of the budget, 0 to 1: the fraction of the listed nodes that it can reach. */
    void setShare(double share, Time now);
    void request(const PermitRequest &request, Time now);
    void release(const PermitRelease &released, Time now);
    /** Returns the permits that may be issued now; to be called after each message and every 20 to 100 ms. */
    std::vector<PermitGrant> grant(Time now);

    /** Estimated wait of a request that arrives now with this urgency. */
    Duration expectedWait(const std::optional<Priority> &urgency) const;

    int waitingCount() const;
    int inFlightCount() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** Send this message to the issuer. */
struct SendToIssuer
{
    NodeId issuer;
    std::variant<PermitRequest, PermitRelease> message;
};
/** An engine of this node may load until the expiry. */
struct PermitReceived
{
    UpstreamId upstream;
    AdapterKey adapter;
    Time expiry;
};
using PermitAction = std::variant<SendToIssuer, PermitReceived>;

/** Requests permits for a node. While no issuer answers, it uses an equal part of the budget for each node. Not thread-safe. */
class PermitClient
{
public:
    PermitClient(NodeId self, LoadBudget budget);
    ~PermitClient();
    PermitClient(PermitClient &&) noexcept;
    PermitClient &operator=(PermitClient &&) noexcept;

    /** Sets the live nodes and the number of nodes in the VM list. A node that is the issuer itself sends itself the same messages. */
    void setFleet(const std::vector<NodeId> &live, int listed, Time now);
    std::vector<PermitAction> requestPermit(const PermitRequest &request, Time now);
    std::vector<PermitAction> release(const PermitRelease &released, Time now);
    std::vector<PermitAction> granted(const PermitGrant &grant, Time now);
    /** Reports whether a message reached the issuer. */
    void onIssuerReply(bool isReached, Time now);
    std::vector<PermitAction> tick(Time now);

    const NodeId &issuer() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
