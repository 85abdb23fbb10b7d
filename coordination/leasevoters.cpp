#include "coordination/leasevoters.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

namespace
{

// Bounds the reported fleet size, so that a forged count cannot prevent all orders. No fleet is larger.
constexpr std::size_t MaxNodes = 4096;

NodeId addressId(const std::string &peerAddress)
{
    return NodeId("address " + peerAddress);
}

} // namespace

LeaseVoters::LeaseVoters(LeaseVoterLimits limits, NodeId self)
    : m_limits(limits)
    , m_self(std::move(self))
{
}

const char *fleetKnowledgeName(FleetKnowledge knowledge)
{
    switch (knowledge) {
    case FleetKnowledge::None:
        return "none";
    case FleetKnowledge::FromPeers:
        return "peers";
    case FleetKnowledge::FromSeeds:
        return "seeds";
    case FleetKnowledge::Assumed:
        return "assumed";
    }
    return "none";
}

void LeaseVoters::addAddress(const std::string &peerAddress, Time now)
{
    LeaseVoter unheard;
    unheard.lastReceivedAt = now;
    unheard.isAddress = true;
    m_unheardAddresses += m_others.emplace(addressId(peerAddress), std::move(unheard)).second ? 1 : 0;
    ++m_changes;
}

void LeaseVoters::setSeeds(const std::vector<std::string> &addresses, const std::string &ownAddress, Time now)
{
    m_startedAt = now;
    for (const std::string &address : addresses) {
        if (address == ownAddress) {
            m_isSeed = true;
        } else {
            m_seeds.emplace(address, Seed {});
            addAddress(address, now);
        }
    }
    m_knowledge = m_seeds.empty() ? FleetKnowledge::FromSeeds : FleetKnowledge::None;
}

std::size_t LeaseVoters::liveSeeds(Time now) const
{
    return static_cast<std::size_t>(std::count_if(m_seeds.begin(), m_seeds.end(), [now](const auto &entry) {
        const Seed &seed = entry.second;
        return seed.isHeard && now - seed.heardAt <= seed.heartbeatTimeout;
    })) + (m_isSeed ? 1 : 0);
}

std::size_t LeaseVoters::seedCount() const
{
    return m_seeds.size() + (m_isSeed ? 1 : 0);
}

bool LeaseVoters::reachesMostSeeds(Time now) const
{
    return 2 * liveSeeds(now) > seedCount();
}

// How long after its start a node waits, given the seeds that it has contact with.
Duration LeaseVoters::seedWait(Time now) const
{
    if (liveSeeds(now) == seedCount()) {
        return m_limits.discoveryTime;
    }
    return reachesMostSeeds(now) ? m_limits.partialSeedTimeout : m_limits.seedTimeout;
}

// A node that was told of the fleet goes on counting the nodes that it was told of while it learns of them. Otherwise the nodes of a part
// that restart one after the other would hand on the knowledge without the size.
void LeaseVoters::adoptReportedSize(const FleetMessage &message, Time now)
{
    if (m_knowledge != FleetKnowledge::FromPeers || now - m_startedAt > m_limits.partialSeedTimeout) {
        return;
    }
    const ReportedFleetSize own { message.rememberedNodes, now };
    const ReportedFleetSize told { message.reportedNodes, now - message.reportedAgo };
    for (const ReportedFleetSize &size : { own, told }) {
        const bool isValid = now - size.at <= m_limits.voterTimeout;
        const std::size_t known = reportedSize(now).nodes;
        if (isValid && (size.nodes > known || (size.nodes == known && size.at > m_reportedSize.at))) {
            m_reportedSize = ReportedFleetSize { std::min(size.nodes, MaxNodes), size.at };
        }
    }
}

void LeaseVoters::updateKnowledge(Time now)
{
    if (m_knowledge == FleetKnowledge::None && now - m_startedAt >= seedWait(now)) {
        m_knowledge = reachesMostSeeds(now) ? FleetKnowledge::FromSeeds : FleetKnowledge::Assumed;
    }
}

bool LeaseVoters::allowsHolder(Time now) const
{
    if (m_knowledge == FleetKnowledge::None) {
        return false;
    }
    if (m_seeds.empty() || liveSeeds(now) > 0) {
        return true;
    }
    Time lastHeardAt = m_startedAt;
    for (const auto &[address, seed] : m_seeds) {
        lastHeardAt = seed.isHeard ? std::max(lastHeardAt, seed.heardAt) : lastHeardAt;
    }
    return now - lastHeardAt > m_limits.partialSeedTimeout;
}

Duration LeaseVoters::fleetKnownIn(Time now) const
{
    return m_knowledge == FleetKnowledge::None ? std::max(m_startedAt + seedWait(now) - now, Duration(0)) : Duration(0);
}

FleetKnowledge LeaseVoters::knowledge() const
{
    return m_knowledge;
}

ReportedFleetSize LeaseVoters::reportedSize(Time now) const
{
    return now - m_reportedSize.at <= m_limits.voterTimeout ? m_reportedSize : ReportedFleetSize {};
}

void LeaseVoters::onMessage(const FleetMessage &message, Time now)
{
    if (message.sender == m_self) {
        return;
    }
    ++m_changes;
    if (m_unheardAddresses > 0) {
        m_unheardAddresses -= m_others.erase(addressId(message.peerAddress));
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
    if (const auto seed = m_seeds.find(message.peerAddress); seed != m_seeds.end()) {
        seed->second = Seed { true, now, voter.heartbeatTimeout };
    }
    if (m_knowledge == FleetKnowledge::None && message.isFleetKnown) {
        m_knowledge = FleetKnowledge::FromPeers;
    }
    adoptReportedSize(message, now);
    updateKnowledge(now);
}

void LeaseVoters::removeExpired(Time now)
{
    updateKnowledge(now);
    if (!reachesMajority(now)) {
        return;
    }
    for (auto at = m_others.begin(); at != m_others.end();) {
        if (isRemembered(at->second, now)) {
            ++at;
            continue;
        }
        m_unheardAddresses -= at->second.isAddress ? 1 : 0;
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
    return !voter.isAddress && now - voter.lastReceivedAt <= voter.heartbeatTimeout;
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
    return std::max({ ownCount, tally(now).maxRemembered, reportedSize(now).nodes });
}

bool LeaseVoters::areIdsKnown(Time now) const
{
    return m_unheardAddresses == 0 || std::none_of(m_others.begin(), m_others.end(), [this, now](const auto &entry) {
        return entry.second.isAddress && counts(entry.second, now);
    });
}

NodeId LeaseVoters::lowestId(Time now) const
{
    for (const auto &[id, voter] : m_others) {
        if (!voter.isAddress && counts(voter, now)) {
            return std::min(id, m_self);
        }
    }
    return m_self;
}

} // namespace ApricotStep
