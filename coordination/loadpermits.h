#pragma once

#include "coordination/workitem.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

// Who in the fleet may load from the weight store now.
//
// Load pattern: every engine of the fleet loads from one store that gives about two loads a second, and popularity shifts for all of
// them at once. Without this module each engine sends its loads at once; they share the store's rate, so that the one an urgent
// request waits for takes as long as the dozens that patient work asked for beside it.
// Grounds for the figures: the rate and the number in flight are the store's own limits; a permit lives two seconds, eight load times,
// so that a lost engine holds back little; a request for a permit is repeated every second and forgotten after three, so that a giver
// that starts anew knows the whole demand within a second and one that lost an asker does not serve its ghost.
// It is a limit for speed, never for safety: two givers at once, or none, cost time and nothing else.

namespace ApricotStep
{

/** What the weight store gives to the whole deployment. */
struct LoadBudget
{
    /** Loads a second; above 0. */
    double ratePerSecond = 2.0;
    /** Loads in flight at once; at least 1. */
    int parallel = 8;
    /** How long a permit is good for; it also stands for a load whose end is never heard of. */
    Duration permitLifetime { 2000 };
    /** A request for a permit that is not repeated is forgotten after this long. */
    Duration requestTimeout { 3000 };
    Duration requestInterval { 1000 };
};

// Messages between askers and the giver. Times are spans, since nodes' clocks differ.

/** Names a permit: one adapter on one upstream, asked for by one node. */
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
/** The answer to a request: how long one that is asked for now at this urgency will wait, as the giver sees the whole fleet. */
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

/** The node that hands out permits: the same at all nodes that see the same live ones; empty when there are none. */
NodeId permitIssuerOf(const std::vector<NodeId> &live);

/** Hands out the budget, most urgent first. Not thread-safe. */
class PermitIssuer
{
public:
    explicit PermitIssuer(LoadBudget budget);
    ~PermitIssuer();
    PermitIssuer(PermitIssuer &&) noexcept;
    PermitIssuer &operator=(PermitIssuer &&) noexcept;

    /** The part of the budget that is this giver's, 0 to 1: the share of the listed nodes that it can reach. */
    void setShare(double share, Time now);
    void request(const PermitRequest &request, Time now);
    void release(const PermitRelease &released, Time now);
    /** The permits that may be given now; call it after each message and every 20 to 100 ms. */
    std::vector<PermitGrant> grant(Time now);

    /** How long a request that comes now with this urgency will wait. */
    Duration expectedWait(const std::optional<Priority> &urgency) const;

    int waitingCount() const;
    int inFlightCount() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** Sends this message to the giver. */
struct SendToIssuer
{
    NodeId issuer;
    std::variant<PermitRequest, PermitRelease> message;
};
/** An engine of this node may load, until the expiry. */
struct PermitReceived
{
    UpstreamId upstream;
    AdapterKey adapter;
    Time expiry;
};
using PermitAction = std::variant<SendToIssuer, PermitReceived>;

/**
 * The side of a node that needs permits. While there is no giver that answers, it goes by an even part of the budget, budget / nodes.
 * Not thread-safe.
 */
class PermitClient
{
public:
    PermitClient(NodeId self, LoadBudget budget);
    ~PermitClient();
    PermitClient(PermitClient &&) noexcept;
    PermitClient &operator=(PermitClient &&) noexcept;

    /** Nodes that live, and how many the VM list has; a node of its own giving asks itself through the same messages. */
    void setFleet(const std::vector<NodeId> &live, int listed, Time now);
    std::vector<PermitAction> requestPermit(const PermitRequest &request, Time now);
    std::vector<PermitAction> release(const PermitRelease &released, Time now);
    std::vector<PermitAction> granted(const PermitGrant &grant, Time now);
    /** A message to the giver was taken by it, or could not be brought to it. */
    void onIssuerReply(bool isReached, Time now);
    std::vector<PermitAction> tick(Time now);

    const NodeId &issuer() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
