#include "coordination/orderlease.h"

#include "core/hash.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace ApricotStep
{

namespace
{

// The low bits of a fencing token are derived from the holder's id, so that tokens of two nodes with the same count differ.
constexpr std::uint64_t NodeBits = 16;

} // namespace

struct OrderLease::Private
{
    OrderLeaseLimits limits;
    EngineShard shard;
    NodeId self;
    Incarnation incarnation;
    LeasePriority priorityInputs;
    Time startedAt;
    LeaseVoters &voters;
    /** When nodes last gave orders to this shard, of those that report it. */
    absl::flat_hash_map<NodeId, Time> lastOrders;
    /** Send times of the last claims of this node that others have granted. */
    absl::flat_hash_map<NodeId, Time> grantedClaims;
    /** When the last claim of another node arrived, its sender, and when that node starts to give orders. */
    Time lastClaimAt;
    NodeId claimant;
    Time otherHolderOrdersFrom = Time::never();
    NodeId grantedTo;
    Incarnation grantedIncarnation;
    Time grantedUntil;
    FencingToken greatestFence;
    /** Set while this node claims or holds the lease. */
    std::optional<FencingToken> fence;
    /** When a majority first granted the lease under the current token; Time::never() before. */
    Time heldSince = Time::never();
    bool isReleased = false;
    bool holdsOther = false;
    /** When this node was last allowed to give orders. */
    Time lastOrderedAt;

    explicit Private(LeaseVoters &voters)
        : voters(voters)
    {
    }
    // Priority of a node for this shard's lease. A node in the engines' own zone sees their load first and is cut off together with them. A
    // large node has enough processor time to weigh all pending adapters, which a node with a twelfth of a core has not. Among equals, each
    // shard prefers another node, so that the loss of one node affects one shard.
    std::tuple<bool, double, bool, std::uint64_t> priority(const NodeId &id, const ZoneId &zone, double capacity, bool holdsAnother) const
    {
        return { zone == priorityInputs.shardZone, capacity, !holdsAnother,
            mixHashes(stableHash(id.value()), stableHash(std::to_string(shard.value()))) };
    }
    bool hasHighestPriority(Time now) const
    {
        const auto own = priority(self, priorityInputs.zone, priorityInputs.capacity, holdsOther);
        return std::none_of(voters.others().begin(), voters.others().end(), [this, now, &own](const auto &entry) {
            const LeaseVoter &voter = entry.second;
            return LeaseVoters::isLive(voter, now) && !voter.isLeaving
                && priority(entry.first, voter.zone, voter.capacity, claimsOther(voter, now)) > own;
        });
    }
    /** Whether the node claims the lease of another shard. */
    bool claimsOther(const LeaseVoter &voter, Time now) const
    {
        return std::any_of(voter.claims.begin(), voter.claims.end(),
            [&](const ReceivedClaim &claim) { return claim.shard != shard && now - claim.receivedAt <= voter.heartbeatTimeout; });
    }
    bool hasGrantedToOther(Time now) const
    {
        return now < grantedUntil && grantedTo != self;
    }
    /** Time until which the grants of a majority are valid; Time() without a majority. */
    Time heldUntil(Time now) const
    {
        if (!fence || !voters.allowsHolder(now)) {
            return Time();
        }
        const std::size_t known = voters.count(now);
        const std::size_t all = voters.fleetSize(known, now);
        const NodeId lowest = voters.lowestId(now);
        // This node's own grant counts like any other: only while it has granted the lease to itself.
        std::vector<Time> granted;
        if (grantedTo == self && now < grantedUntil) {
            granted.push_back(grantedUntil - limits.leaseDuration);
        }
        bool hasLowest = !granted.empty() && lowest == self;
        for (const auto &[id, sentAt] : grantedClaims) {
            const auto voter = voters.others().find(id);
            const bool isVoter = voter != voters.others().end() && voters.counts(voter->second, now);
            if (isVoter && now < sentAt + limits.leaseDuration - limits.clockMargin) {
                granted.push_back(sentAt);
                hasLowest = hasLowest || id == lowest;
            }
        }
        // An exact half is enough if it contains the lowest id: of two halves only one does. A node that knows only a part of the fleet, or
        // only the addresses of some nodes, does not know the lowest id either.
        const bool isTieBroken = hasLowest && all == known && voters.areIdsKnown(now);
        const std::size_t needed = all % 2 == 0 && isTieBroken ? all / 2 : all / 2 + 1;
        if (granted.size() < needed) {
            return Time();
        }
        std::sort(granted.begin(), granted.end(), std::greater<>());
        return granted[needed - 1] + limits.leaseDuration - limits.clockMargin;
    }
    bool isStarting(Time now) const
    {
        return now - startedAt < limits.leaseDuration + limits.clockMargin;
    }
    /** The latest time at which another node may have given an order. */
    Time noPeerOrdersSince(Time now) const
    {
        // Others know of more nodes than this one does, and one of those may have held the lease until this lease began.
        const std::size_t known = voters.others().size() + 1;
        if (voters.fleetSize(known, now) > known) {
            return heldSince;
        }
        // A holder that this node never heard of may have ended just before this node started.
        Time latest = startedAt;
        for (const auto &[id, voter] : voters.others()) {
            // A message from before the start of this lease may be older than the last order of its sender.
            const bool isCurrent = voter.lastReceivedAt >= heldSince + limits.maxMessageDelay;
            latest = std::max(latest, isCurrent ? std::min(noOrdersSince(id, voter), heldSince) : heldSince);
        }
        return latest;
    }
    /** The node has given no orders to this shard since then. */
    Time noOrdersSince(const NodeId &id, const LeaseVoter &voter) const
    {
        const auto ordered = lastOrders.find(id);
        return ordered != lastOrders.end() ? std::max(voter.startedAt, ordered->second) : voter.startedAt;
    }
    Duration ownOrdersIn(Time now) const
    {
        const Duration handoverTime = limits.handoverDelay + limits.clockMargin;
        if (heldSince == Time::never()) {
            return handoverTime + voters.fleetKnownIn(now);
        }
        // No other node gives orders after the start of this lease.
        if (now >= heldSince + handoverTime) {
            return Duration(0);
        }
        return std::max(noPeerOrdersSince(now) + handoverTime - now, Duration(0));
    }
    void updateHeldSince(Time now)
    {
        if (heldSince == Time::never() && fence && greatestFence <= *fence && now < heldUntil(now)) {
            heldSince = now;
        }
    }
    void updateLastOrder(const FleetMessage &message, Time now)
    {
        const auto order = std::find_if(
            message.lastOrders.begin(), message.lastOrders.end(), [this](const LastOrder &entry) { return entry.shard == shard; });
        if (order != message.lastOrders.end()) {
            lastOrders[message.sender] = now - order->ago;
        } else if (!lastOrders.empty()) {
            lastOrders.erase(message.sender);
        }
    }
    void stopClaiming()
    {
        fence.reset();
        heldSince = Time::never();
        grantedClaims.clear();
    }
};

OrderLease::OrderLease(OrderLeaseLimits limits, EngineShard shard, NodeId self, Incarnation incarnation, LeaseVoters &voters, Time now,
    LeasePriority priorityInputs)
    : d(std::make_unique<Private>(voters))
{
    d->limits = limits;
    d->shard = shard;
    d->self = std::move(self);
    d->incarnation = incarnation;
    d->priorityInputs = std::move(priorityInputs);
    d->startedAt = now;
}

OrderLease::~OrderLease() = default;
OrderLease::OrderLease(OrderLease &&) noexcept = default;

std::optional<LeaseGrant> OrderLease::onMessage(const FleetMessage &message, Time now)
{
    if (message.sender == d->self) {
        return std::nullopt;
    }
    d->updateLastOrder(message, now);
    for (const LeaseGrant &grant : message.grants) {
        if (grant.shard != d->shard) {
            continue;
        }
        d->greatestFence = std::max(d->greatestFence, grant.greatestFence);
        if (grant.holder == d->self && grant.incarnation == d->incarnation) {
            Time &latest = d->grantedClaims[message.sender];
            latest = std::max(latest, grant.sentAt);
        }
    }
    d->updateHeldSince(now);
    const bool isRelease = std::find(message.releases.begin(), message.releases.end(), d->shard) != message.releases.end();
    if (isRelease && (d->grantedTo == message.sender || d->claimant == message.sender)) {
        d->grantedUntil = d->grantedTo == message.sender ? Time() : d->grantedUntil;
        d->lastClaimAt = Time();
        d->claimant = NodeId();
        d->otherHolderOrdersFrom = Time::never();
    }
    const auto claim =
        std::find_if(message.claims.begin(), message.claims.end(), [this](const LeaseClaim &entry) { return entry.shard == d->shard; });
    if (claim == message.claims.end()) {
        return std::nullopt;
    }
    d->lastClaimAt = now;
    d->claimant = message.sender;
    d->otherHolderOrdersFrom = now + claim->ordersIn;
    d->greatestFence = std::max(d->greatestFence, claim->fence);
    const bool isRenewal = d->grantedTo == message.sender && d->grantedIncarnation == message.incarnation && now < d->grantedUntil;
    const bool isFree = now >= d->grantedUntil && !isHolder(now);
    if (d->isReleased || d->isStarting(now) || (!isRenewal && !isFree)) {
        return std::nullopt;
    }
    d->grantedTo = message.sender;
    d->grantedIncarnation = message.incarnation;
    d->grantedUntil = now + d->limits.leaseDuration;
    return LeaseGrant { d->shard, message.sender, message.incarnation, claim->sentAt, d->greatestFence };
}

std::optional<LeaseClaim> OrderLease::claim(bool isWilling, bool holdsOther, Time now, Time wall)
{
    d->holdsOther = holdsOther;
    d->voters.removeExpired(now);
    // The token of an earlier attempt may be lower than that of a holder in between. Voters report the greatest token they know with each
    // grant, and each majority contains one of them, so a token above the greatest one known now is above those of all former holders.
    if (d->fence && d->heldSince == Time::never() && d->greatestFence > *d->fence) {
        d->stopClaiming();
    }
    const bool isHeld = isHolder(now);
    d->updateHeldSince(now);
    // Another node may have held the lease after this node lost it, even if only for a moment. What follows is a new lease with its own
    // handover delay.
    if (!isHeld && d->heldSince != Time::never()) {
        d->stopClaiming();
    }
    const bool isPeerClaiming = now - d->lastClaimAt < d->limits.leaseDuration + d->limits.livenessTimeout && d->lastClaimAt != Time();
    const bool mayClaim = isWilling && !d->isReleased && !d->isStarting(now) && !d->hasGrantedToOther(now) && d->voters.allowsHolder(now);
    if (!mayClaim || (!isHeld && (isPeerClaiming || !d->hasHighestPriority(now)))) {
        if (!isHeld) {
            d->stopClaiming();
        }
        if (!isWilling || !isHeld) {
            return std::nullopt;
        }
    }
    if (!d->fence) {
        const std::uint64_t count = std::max<std::uint64_t>(
            (d->greatestFence.value() >> NodeBits) + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(wall.milliseconds(), 0)));
        const std::uint64_t low = stableHash(d->self.value()) & ((1ULL << NodeBits) - 1);
        d->fence = FencingToken((count << NodeBits) | low);
        d->greatestFence = std::max(d->greatestFence, *d->fence);
    }
    // A claimant grants the lease to itself, so that it cannot contribute to the majority of another node.
    d->grantedTo = d->self;
    d->grantedIncarnation = d->incarnation;
    d->grantedUntil = now + d->limits.leaseDuration;
    return LeaseClaim { d->shard, *d->fence, d->ownOrdersIn(now), now };
}

std::optional<LastOrder> OrderLease::lastOrder(Time now) const
{
    if (mayOrder(now)) {
        return LastOrder { d->shard, Duration(0) };
    }
    if (d->lastOrderedAt == Time()) {
        return std::nullopt;
    }
    return LastOrder { d->shard, now - d->lastOrderedAt };
}

void OrderLease::release()
{
    d->isReleased = true;
    d->stopClaiming();
    d->grantedUntil = Time();
}

std::optional<FencingToken> OrderLease::mayOrder(Time now) const
{
    if (!isHolder(now) || d->heldSince == Time::never() || d->ownOrdersIn(now) > Duration(0)) {
        return std::nullopt;
    }
    // Recorded here, since each order checks this function. If it were recorded with claims only, a node that gave its first orders and
    // left before its next claim would report to its successor that it never gave any.
    d->lastOrderedAt = now;
    return d->fence;
}

bool OrderLease::isHolder(Time now) const
{
    return d->fence.has_value() && now < d->heldUntil(now);
}

NodeId OrderLease::holder(Time now) const
{
    if (now < d->grantedUntil) {
        return d->grantedTo;
    }
    // A node that leaves or has just started grants nothing, but it receives the claims of others.
    return d->lastClaimAt != Time() && now - d->lastClaimAt < d->limits.leaseDuration ? d->claimant : NodeId();
}

Duration OrderLease::ordersIn(Time now) const
{
    if (isHolder(now)) {
        return d->ownOrdersIn(now);
    }
    // Without a holder: the time until a claim, plus the handover delay.
    const NodeId current = holder(now);
    if (current.isEmpty() || current == d->self) {
        return d->voters.fleetKnownIn(now) + d->limits.livenessTimeout + d->limits.handoverDelay + d->limits.clockMargin;
    }
    return std::max(d->otherHolderOrdersFrom - now, Duration(0));
}

FencingToken OrderLease::greatestFence() const
{
    return d->greatestFence;
}

} // namespace ApricotStep
