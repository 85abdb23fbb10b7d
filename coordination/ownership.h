#pragma once

#include "coordination/upstreamscheduler.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace ApricotStep
{

// Events.

/** The ownership of the upstream according to the fleet view. Expected ten times a second; stale after OwnershipLimits::viewMaxAge. */
struct OwnerView
{
    /** This node owns the upstream. */
    bool isOwner = false;
    bool isFresh = false;
    /** A node of the VM list is not alive in the view: it may be dead or on the other side of a partition. */
    bool isNodeMissing = false;
    /** Low bits of this node's fencing tokens. */
    std::uint16_t number = 0;
};
/** The upstream's answer to RequestReport. */
struct OwnershipReport
{
    /** The earliest time that the report may describe, on this node's clock: the time of the poll minus the upstream's report lag. */
    Time takenAt;
    /** The highest fencing token that the upstream has seen; empty if it does not report tokens. */
    std::optional<FencingToken> highest;
    std::vector<AdapterKey> loaded;
    /** Adapters that requests at the upstream run on or wait for. */
    std::vector<AdapterKey> inUse;
};
/** The poll of the upstream failed. */
struct ReportFailed
{
};
/** The upstream accepted the claim. */
struct ClaimAccepted
{
    FencingToken token;
};
/** The claim was not answered; the upstream may or may not have received it. */
struct ClaimFailed
{
};
/** The upstream refused an order because it has seen a higher token. */
struct OrderFenced
{
};
using OwnershipEvent = std::variant<OwnerView, OwnershipReport, ReportFailed, ClaimAccepted, ClaimFailed, OrderFenced>;

// Actions.

/** Poll the upstream for a report; answered by OwnershipReport or ReportFailed. */
struct RequestReport
{
};
/** Send the upstream an order without effect that carries @p token, so that it learns the token. */
struct Claim
{
    FencingToken token;
};
/** The scheduler must follow this rule from now on. */
struct EvictionRuleChanged
{
    EvictionRule rule;
};
using OwnershipAction = std::variant<RequestReport, Claim, EvictionRuleChanged>;

struct OwnershipLimits
{
    /** Time between two polls for reports. */
    Duration pollInterval = Duration::seconds(1);
    /** How long this node may act as the owner after a report that shows its token as the highest. */
    Duration lease = Duration::seconds(4);
    /** Maximum time from the check before sending until arrival at the upstream, which closes connections that are idle for longer. */
    Duration dispatchDelay = Duration::seconds(5);
    /** Upper bound of the drift between the clocks of two nodes during a takeover. */
    Duration clockMargin = Duration::seconds(1);
    /** An OwnerView is stale after this time. */
    Duration viewMaxAge = Duration::seconds(1);
    /** Whether the upstream refuses orders with a lower token than the highest it has seen. */
    bool checksFencing = false;

    /** How long orders of a former owner may still arrive after the upstream has seen the token of a newer owner. */
    Duration settleTime() const
    {
        return lease + dispatchDelay + clockMargin;
    }
};

/**
 * Decides whether this node may act as the owner of one upstream, and with which fencing token.
 *
 * After a failure, in a partition or after a process was paused, the views of nodes differ for a while and two nodes consider themselves
 * the owner. Without this protocol one of them evicts an adapter that a request of the other runs on, and the answer breaks off. A node
 * that takes over reads the upstream's highest token, claims a higher one, and acts only while a recent report shows its own token as the
 * highest. A former owner thus stops within settleTime(), and the new owner evicts only after that time. On an upstream that does not
 * check tokens it does not dispatch before either, since the former owner might evict. If the owner is uncertain, the node waits.
 *
 * Not thread-safe.
 */
class UpstreamOwnership
{
public:
    UpstreamOwnership(OwnershipLimits limits, std::uint64_t seed);
    ~UpstreamOwnership();

    std::vector<OwnershipAction> handle(const OwnershipEvent &event, Time now);

    // Call these on the open connection, right before the first byte is sent.

    /** Whether a request may be sent to the upstream. */
    bool mayDispatch(Time now) const;
    /** The token for a load order; empty if no load may be ordered now. */
    std::optional<FencingToken> loadToken(Time now) const;
    /** The token for an order to evict @p adapter; empty if the eviction may not be ordered now. */
    std::optional<FencingToken> evictToken(const AdapterKey &adapter, Time now) const;
    /** Since when this node has owned the upstream without interruption; Time::never() if it does not own it. */
    Time ownedSince() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
