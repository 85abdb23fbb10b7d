#include "coordination/orderlease.h"

#include "core/hash.h"

#include <absl/container/btree_map.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace ApricotStep
{

namespace
{

// The low bits of a fencing token are derived from the holder's id, so that tokens of two nodes with the same count differ.
constexpr std::uint64_t NodeBits = 16;

// Bounds the reported fleet size, so that a forged count cannot prevent all orders. No fleet is larger.
constexpr std::size_t MaxNodes = 4096;

struct Peer
{
    Time lastReceivedAt;
    /** It counts as live for this long after its last message. */
    Duration heartbeatTimeout;
    ZoneId zone;
    double capacity = 0;
    bool isLeaving = false;
    /** It holds the lease of another shard. */
    bool holdsOther = false;
    /** Number of nodes that it knows of. */
    std::size_t rememberedNodes = 0;
    /** It has given no orders to this shard since then. */
    Time noOrdersSince = Time::never();
    /** Only an address that was passed to addSeed(). */
    bool isSeed = false;
    /** Send time of the last claim of this node that it has granted. */
    std::optional<Time> grantedClaim;
};

} // namespace

struct OrderLease::Private
{
    OrderLeaseLimits limits;
    EngineShard shard;
    NodeId self;
    Incarnation incarnation;
    LeasePriority priorityInputs;
    Time startedAt;
    absl::btree_map<NodeId, Peer> peers;
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

    /** Whether more than half of all known nodes, this one included, are live. */
    bool reachesMajority(Time now) const
    {
        std::size_t all = 1;
        std::size_t live = 1;
        for (const auto &[id, peer] : peers) {
            ++all;
            live += isAlive(peer, now) ? 1 : 0;
        }
        return 2 * live > all;
    }
    static bool isAlive(const Peer &peer, Time now)
    {
        return !peer.isSeed && now - peer.lastReceivedAt <= peer.heartbeatTimeout;
    }
    bool isVoter(const Peer &peer, Time now) const
    {
        return isRemembered(peer, now) || !reachesMajority(now);
    }
    bool isRemembered(const Peer &peer, Time now) const
    {
        return now - peer.lastReceivedAt <= (peer.isLeaving ? limits.leavingVoterTimeout : limits.voterTimeout);
    }
    /**
     * The largest size of the fleet that any live node reports. A node that has just started counts only the nodes from which it receives
     * messages; behind a partition that is a part of the fleet, and a majority of that part would elect a second holder.
     */
    std::size_t fleetSize(std::size_t ownCount, Time now) const
    {
        std::size_t size = ownCount;
        for (const auto &[id, peer] : peers) {
            if (isAlive(peer, now)) {
                size = std::max(size, peer.rememberedNodes);
            }
        }
        return size;
    }
    std::vector<std::pair<NodeId, const Peer *>> voters(Time now) const
    {
        std::vector<std::pair<NodeId, const Peer *>> result;
        for (const auto &[id, peer] : peers) {
            if (isVoter(peer, now)) {
                result.emplace_back(id, &peer);
            }
        }
        return result;
    }
    NodeId lowestOf(const std::vector<std::pair<NodeId, const Peer *>> &members) const
    {
        NodeId lowest = self;
        for (const auto &[id, peer] : members) {
            if (!peer->isSeed) {
                lowest = std::min(lowest, id);
            }
        }
        return lowest;
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
        return std::none_of(peers.begin(), peers.end(), [this, now, &own](const auto &entry) {
            const Peer &peer = entry.second;
            return isAlive(peer, now) && !peer.isLeaving && priority(entry.first, peer.zone, peer.capacity, peer.holdsOther) > own;
        });
    }
    bool hasGrantedToOther(Time now) const
    {
        return now < grantedUntil && grantedTo != self;
    }
    /** Time until which the grants of a majority are valid; Time() without a majority. */
    Time heldUntil(Time now) const
    {
        if (!fence) {
            return Time();
        }
        const auto members = voters(now);
        const std::size_t all = fleetSize(members.size() + 1, now);
        // This node's own grant counts like any other: only while it has granted the lease to itself.
        std::vector<Time> granted;
        if (grantedTo == self && now < grantedUntil) {
            granted.push_back(grantedUntil - limits.leaseDuration);
        }
        const NodeId lowest = lowestOf(members);
        bool hasLowest = !granted.empty() && lowest == self;
        for (const auto &[id, peer] : members) {
            if (peer->grantedClaim && now < *peer->grantedClaim + limits.leaseDuration - limits.clockMargin) {
                granted.push_back(*peer->grantedClaim);
                hasLowest = hasLowest || id == lowest;
            }
        }
        // An exact half is enough if it contains the lowest id: of two halves only one does. A node that knows only a part of the fleet
        // does not know the lowest id either.
        const bool isTieBroken = hasLowest && all == members.size() + 1;
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
        if (fleetSize(peers.size() + 1, now) > peers.size() + 1) {
            return heldSince;
        }
        Time latest;
        for (const auto &[id, peer] : peers) {
            // A message from before the start of this lease may be older than the last order of its sender.
            const bool isCurrent = peer.lastReceivedAt >= heldSince + limits.maxMessageDelay;
            latest = std::max(latest, isCurrent ? std::min(peer.noOrdersSince, heldSince) : heldSince);
        }
        return latest;
    }
    Duration ownOrdersIn(Time now) const
    {
        const Duration handoverTime = limits.handoverDelay + limits.clockMargin;
        return heldSince == Time::never() ? handoverTime : std::max(noPeerOrdersSince(now) + handoverTime - now, Duration(0));
    }
    void updateHeldSince(Time now)
    {
        if (heldSince == Time::never() && fence && greatestFence <= *fence && now < heldUntil(now)) {
            heldSince = now;
        }
    }
    void updateNoOrdersSince(Peer &peer, const FleetMessage &message, Time now) const
    {
        Time since = now - message.uptime;
        for (const LastOrder &order : message.lastOrders) {
            if (order.shard == shard) {
                since = std::max(since, now - order.ago);
            }
        }
        peer.noOrdersSince = since;
    }
    void removeExpiredPeers(Time now)
    {
        if (!reachesMajority(now)) {
            return;
        }
        absl::erase_if(peers, [this, now](const auto &entry) { return !isRemembered(entry.second, now); });
    }
    void stopClaiming()
    {
        fence.reset();
        heldSince = Time::never();
        for (auto &[id, peer] : peers) {
            peer.grantedClaim.reset();
        }
    }
};

OrderLease::OrderLease(
    OrderLeaseLimits limits, EngineShard shard, NodeId self, Incarnation incarnation, Time now, LeasePriority priorityInputs)
    : d(std::make_unique<Private>())
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

void OrderLease::addSeed(const std::string &peerAddress, Time now)
{
    Peer seed;
    seed.lastReceivedAt = now;
    seed.isSeed = true;
    d->peers.emplace(NodeId("seed " + peerAddress), seed);
}

std::optional<LeaseGrant> OrderLease::onMessage(const FleetMessage &message, Time now)
{
    if (message.sender == d->self) {
        return std::nullopt;
    }
    d->peers.erase(NodeId("seed " + message.peerAddress));
    Peer &peer = d->peers[message.sender];
    peer.lastReceivedAt = now;
    peer.heartbeatTimeout = std::max(d->limits.livenessTimeout, heartbeatTimeout(message.interval));
    peer.zone = message.zone;
    peer.capacity = message.capacity;
    peer.isLeaving = message.isLeaving;
    peer.rememberedNodes = std::min<std::size_t>(message.rememberedNodes, MaxNodes);
    d->updateNoOrdersSince(peer, message, now);
    peer.holdsOther =
        std::any_of(message.claims.begin(), message.claims.end(), [this](const LeaseClaim &entry) { return entry.shard != d->shard; });
    for (const LeaseGrant &grant : message.grants) {
        if (grant.shard != d->shard) {
            continue;
        }
        d->greatestFence = std::max(d->greatestFence, grant.greatestFence);
        if (grant.holder == d->self && grant.incarnation == d->incarnation) {
            peer.grantedClaim = std::max(peer.grantedClaim.value_or(Time()), grant.sentAt);
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
    d->removeExpiredPeers(now);
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
    const bool mayClaim = isWilling && !d->isReleased && !d->isStarting(now) && !d->hasGrantedToOther(now);
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
    if (holder(now).isEmpty()) {
        return d->limits.livenessTimeout + d->limits.handoverDelay + d->limits.clockMargin;
    }
    return std::max(d->otherHolderOrdersFrom - now, Duration(0));
}

bool OrderLease::reachesMajority(Time now) const
{
    return d->reachesMajority(now);
}

FencingToken OrderLease::greatestFence() const
{
    return d->greatestFence;
}

int OrderLease::voterCount(Time now) const
{
    return static_cast<int>(d->voters(now).size()) + 1;
}

} // namespace ApricotStep
