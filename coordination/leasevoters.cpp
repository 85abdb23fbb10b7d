#include "coordination/leasevoters.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

namespace
{

// Bounds the reported fleet size, so that a forged count cannot prevent all orders. No fleet is larger.
constexpr std::size_t MaxNodes = 4096;

NodeId seedId(const std::string &peerAddress)
{
    return NodeId("seed " + peerAddress);
}

} // namespace

LeaseVoters::LeaseVoters(LeaseVoterLimits limits, NodeId self)
    : m_limits(limits)
    , m_self(std::move(self))
{
}

void LeaseVoters::addSeed(const std::string &peerAddress, Time now)
{
    LeaseVoter seed;
    seed.lastReceivedAt = now;
    seed.isSeed = true;
    m_seeds += m_others.emplace(seedId(peerAddress), std::move(seed)).second ? 1 : 0;
    ++m_changes;
}

void LeaseVoters::onMessage(const FleetMessage &message, Time now)
{
    if (message.sender == m_self) {
        return;
    }
    ++m_changes;
    if (m_seeds > 0) {
        m_seeds -= m_others.erase(seedId(message.peerAddress));
    }
    LeaseVoter &voter = m_others[message.sender];
    voter.lastReceivedAt = now;
    voter.heartbeatTimeout = std::max(m_limits.livenessTimeout, heartbeatTimeout(message.interval));
    voter.zone = message.zone;
    voter.capacity = message.capacity;
    voter.isLeaving = message.isLeaving;
    voter.rememberedNodes = std::min<std::size_t>(message.rememberedNodes, MaxNodes);
    voter.startedAt = now - message.uptime;
    std::erase_if(voter.claims, [&](const ReceivedClaim &known) {
        const auto isOfSameShard = [&known](const LeaseClaim &claim) { return claim.shard == known.shard; };
        const bool isReleased = std::find(message.releases.begin(), message.releases.end(), known.shard) != message.releases.end();
        return isReleased || std::any_of(message.claims.begin(), message.claims.end(), isOfSameShard)
            || now - known.receivedAt > voter.heartbeatTimeout;
    });
    for (const LeaseClaim &claim : message.claims) {
        voter.claims.push_back(ReceivedClaim { claim.shard, now });
    }
}

void LeaseVoters::removeExpired(Time now)
{
    if (!reachesMajority(now)) {
        return;
    }
    for (auto at = m_others.begin(); at != m_others.end();) {
        if (isRemembered(at->second, now)) {
            ++at;
            continue;
        }
        m_seeds -= at->second.isSeed ? 1 : 0;
        ++m_changes;
        at = m_others.erase(at);
    }
}

const absl::btree_map<NodeId, LeaseVoter> &LeaseVoters::others() const
{
    return m_others;
}

bool LeaseVoters::isLive(const LeaseVoter &voter, Time now)
{
    return !voter.isSeed && now - voter.lastReceivedAt <= voter.heartbeatTimeout;
}

bool LeaseVoters::isRemembered(const LeaseVoter &voter, Time now) const
{
    return now - voter.lastReceivedAt <= (voter.isLeaving ? m_limits.leavingVoterTimeout : m_limits.voterTimeout);
}

bool LeaseVoters::counts(const LeaseVoter &voter, Time now) const
{
    return isRemembered(voter, now) || !reachesMajority(now);
}

const LeaseVoters::Tally &LeaseVoters::tally(Time now) const
{
    if (m_tally.at == now && m_tally.change == m_changes) {
        return m_tally;
    }
    Tally tally;
    tally.at = now;
    tally.change = m_changes;
    std::size_t live = 1;
    std::size_t remembered = 1;
    for (const auto &[id, voter] : m_others) {
        remembered += isRemembered(voter, now) ? 1 : 0;
        if (isLive(voter, now)) {
            ++live;
            tally.maxRemembered = std::max(tally.maxRemembered, voter.rememberedNodes);
        }
    }
    const std::size_t all = m_others.size() + 1;
    tally.reachesMajority = 2 * live > all;
    tally.count = tally.reachesMajority ? remembered : all;
    m_tally = tally;
    return m_tally;
}

bool LeaseVoters::reachesMajority(Time now) const
{
    return tally(now).reachesMajority;
}

std::size_t LeaseVoters::count(Time now) const
{
    return tally(now).count;
}

std::size_t LeaseVoters::fleetSize(std::size_t ownCount, Time now) const
{
    return std::max(ownCount, tally(now).maxRemembered);
}

NodeId LeaseVoters::lowestId(Time now) const
{
    for (const auto &[id, voter] : m_others) {
        if (!voter.isSeed && counts(voter, now)) {
            return std::min(id, m_self);
        }
    }
    return m_self;
}

} // namespace ApricotStep
