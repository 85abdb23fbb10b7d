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

/** What the fleet's view says of this upstream now; at least ten times a second, else it counts as stale. */
struct OwnerView
{
    bool isOwner = false;
    bool isFresh = false;
    /** A node that the VM list names does not live in the view: it may be dead, or on the other side of a partition. */
    bool isNodeMissing = false;
    /** Low bits of this node's fencing tokens. */
    std::uint16_t number = 0;
};
/** The upstream's answer to RequestReport. */
struct OwnershipReport
{
    /** The earliest moment that the report may speak of, on this node's clock: when it was asked for, less the upstream's lag. */
    Time takenAt;
    /** The highest fencing token that the upstream has seen; empty when it does not tell. */
    std::optional<FencingToken> highest;
    std::vector<AdapterKey> loaded;
    /** Adapters that some request runs or waits on there. */
    std::vector<AdapterKey> inUse;
};
struct ReportFailed
{
};
/** The upstream took the claim. */
struct ClaimAccepted
{
    FencingToken token;
};
/** The claim had no answer; the upstream may or may not have seen it. */
struct ClaimFailed
{
};
/** The upstream refused an order because it has seen a higher token. */
struct OrderFenced
{
};
using OwnershipEvent = std::variant<OwnerView, OwnershipReport, ReportFailed, ClaimAccepted, ClaimFailed, OrderFenced>;

// Actions.

/** Ask the upstream for a report; answered by OwnershipReport or ReportFailed. */
struct RequestReport
{
};
/** Give the upstream an order without effect under @p token, so that it knows it. */
struct Claim
{
    FencingToken token;
};
/** What the scheduler must keep to from now on. */
struct EvictionRuleChanged
{
    EvictionRule rule;
};
using OwnershipAction = std::variant<RequestReport, Claim, EvictionRuleChanged>;

struct OwnershipLimits
{
    /** Between two reports. */
    Duration pollInterval = Duration::seconds(1);
    /** A report under which this node's token was the highest allows it to act for this long. */
    Duration lease = Duration::seconds(4);
    /** From the check before sending to the arrival at the upstream, at most: an upstream closes a connection that stays silent longer. */
    Duration dispatchDelay = Duration::seconds(5);
    /** Clocks of two nodes run apart by less than this over a takeover. */
    Duration clockMargin = Duration::seconds(1);
    /** An OwnerView is good for this long. */
    Duration viewMaxAge = Duration::seconds(1);
    /** The upstream refuses orders under a lower token than it has seen. */
    bool checksFencing = false;

    /** How long a former owner may still act after the upstream has seen a newer owner's token. */
    Duration settleTime() const
    {
        return lease + dispatchDelay + clockMargin;
    }
};

/**
 * Whether this node may act as the owner of one upstream, and under which fencing token.
 *
 * Load pattern: views differ for a while after a failure, in a partition, or when a process wakes late, so two nodes take themselves for
 * the owner. Without this one of them evicts an adapter that the other's request runs on, which shows as an answer that breaks off. A node
 * that takes over reads the upstream's highest token, claims a higher one, and acts only while a recent report shows its own token as the
 * highest. A former owner thus stops within settleTime(), and only after that does the new one evict; on an upstream that does not check
 * tokens it does not even dispatch before, since the former one might evict. In doubt it waits.
 *
 * Not thread-safe.
 */
class UpstreamOwnership
{
public:
    UpstreamOwnership(OwnershipLimits limits, std::uint64_t seed);
    ~UpstreamOwnership();

    std::vector<OwnershipAction> handle(const OwnershipEvent &event, Time now);

    // Ask these at the moment of the deed, on the open connection right before the first byte leaves.

    /** Whether a request may be sent to the upstream. */
    bool mayDispatch(Time now) const;
    /** The token for a load; empty when it may not be ordered now. */
    std::optional<FencingToken> loadToken(Time now) const;
    /** The token for an eviction of @p adapter; empty when it may not be ordered now. */
    std::optional<FencingToken> evictToken(const AdapterKey &adapter, Time now) const;
    /** When this node took the upstream over without a break since; Time::never() when it does not own it. */
    Time ownedSince() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
