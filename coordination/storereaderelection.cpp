#include "coordination/storereaderelection.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

StoreReaderElection::StoreReaderElection(StoreReaderLimits limits, NodeId self, double capacity)
    : m_limits(limits)
    , m_self(std::move(self))
    , m_capacity(capacity)
{
}

bool StoreReaderElection::isElectedReader(const std::vector<StorePeer> &peers) const
{
    const auto isBefore = [this](const StorePeer &other) {
        return !other.isLeaving && (other.capacity > m_capacity || (other.capacity == m_capacity && other.id < m_self));
    };
    return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), isBefore)) < m_limits.readers;
}

StoreReaderDecision StoreReaderElection::decide(bool isDivided, bool isCurrent, std::uint64_t revision, const std::vector<StorePeer> &peers,
    Time now, Time snapshotTime, Time requiredSnapshotTime)
{
    // A node whose own last call failed keeps reading until the store responds: only its own read shows it that there was an outage. What a
    // reader knows still tells it meanwhile that its configuration is the newest.
    const bool readsItself = !isDivided || !isCurrent || now < m_directReadUntil || isElectedReader(peers);
    const bool isOutdated = m_limits.maxSnapshotAge && now - snapshotTime >= *m_limits.maxSnapshotAge;
    const StorePeer *mostRecent = nullptr;
    for (const StorePeer &peer : peers) {
        if (peer.isReading && (mostRecent == nullptr || peer.revision > mostRecent->revision)) {
            mostRecent = &peer;
        }
    }
    if (mostRecent == nullptr) {
        return StoreReaderDecision { true, NodeId() };
    }
    const bool hasChanges = !readsItself && mostRecent->revision > revision;
    const bool isSnapshotRequired = (!readsItself || !isCurrent) && now >= requiredSnapshotTime;
    const bool isDue = (hasChanges || isOutdated || isSnapshotRequired) && now - m_fetchedAt >= m_limits.fetchInterval;
    return StoreReaderDecision { readsItself, isDue ? mostRecent->id : NodeId() };
}

bool StoreReaderElection::isOutageDisputed(const StoreOutage &outage, const NodeId &reporter, const std::vector<StorePeer> &peers) const
{
    // What a peer told earlier, it may have told before it noticed the outage itself.
    const Time noticedBy = outage.begin + m_limits.maxLossDetectionTime;
    return std::any_of(peers.begin(), peers.end(), [&](const StorePeer &peer) {
        return peer.id != reporter && peer.isReading && peer.readingSince <= outage.begin && peer.lastReceivedAt >= noticedBy;
    });
}

void StoreReaderElection::onFetchFailed(Time now)
{
    m_directReadUntil = now + m_limits.directReadPeriod;
}

void StoreReaderElection::onFetched(Time now)
{
    m_fetchedAt = now;
}

} // namespace ApricotStep
