#pragma once

#include "coordination/storereaderelection.h"
#include "main/entry/clusterstate.h"
#include "main/entry/eventlog.h"
#include "platform/store.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ApricotStep
{

/** What changed in the cluster state. */
struct ClusterStateChanges
{
    bool isRoutesChanged = false;
    std::vector<UpstreamChange> upstreams;
    std::vector<AdapterRef> versions;

    bool isEmpty() const
    {
        return !isRoutesChanged && upstreams.empty() && versions.empty();
    }
};

/** Changes that another node has read from the store. */
struct PeerChanges
{
    /** The result of its StoreReader::changesSince(). */
    std::string body;
    /** Time since the end of its lastOutage(). */
    std::optional<Duration> timeSinceRecovery;
    /** Its snapshotAge(); unset if it did not report it. */
    std::optional<Duration> snapshotAge;
    /** When this node sent its request. The ages refer to a later time, since the other node answered after that. */
    Time requestedAt;
    /** How long its lastOutage() took; zero if it did not report it. */
    Duration outageDuration;
};

/**
 * Keeps the cluster state up to date with the platform's store: reads the whole store once, then watches it for changes.
 *
 * During an outage of the store the last known state stays in use. A configuration is never replaced by an older version, whether that
 * comes from the store or from a peer.
 */
class StoreReader
{
public:
    using OnChanges = std::function<void(const ClusterStateChanges &)>;
    /** Whether other nodes have read the store throughout an outage that the node saw. */
    using OutageDispute = std::function<bool(const StoreOutage &, const NodeId &)>;

    /** @p changeBound: the time within which a change has to be active. */
    StoreReader(
        IoLoop &loop, EventLog &log, ClusterState &clusterState, std::string storeAddress, Duration changeBound, OnChanges onChanges);
    ~StoreReader();

    /** By default the outages that peers report are not disputed. */
    void setOutageDispute(OutageDispute dispute);
    void start();
    /** A follower does not watch the store; it gets the changes through mergeFromPeer(). */
    void setFollowing(bool isFollowing);
    /**
     * The changes after @p revision, for other nodes; empty if tombstones of later revisions have expired. @p isCompressed: the other node
     * can read compressed values.
     */
    std::optional<std::string> changesSince(Platform::StoreRevision revision, bool isCompressed) const;
    /** Merges what another node has read, as far as it is newer. Returns whether the body of @p changes could be decoded. */
    bool mergeFromPeer(const NodeId &peer, const PeerChanges &changes);
    /** Whether the whole store has been read; false again while it is read anew because the store has dropped its history. */
    bool hasReadAll() const;
    /** The revision up to which this node knows all changes; 0 unless hasReadAll(). */
    Platform::StoreRevision revision() const;
    /** Whether this node polls the store itself, and the store answers. */
    bool isReading() const;
    /** For how long this node has read the store itself without an outage; zero unless isReading(). */
    Duration readingTime() const;
    /** The last outage of the store; unset once the grace period of its entries is over. */
    std::optional<StoreOutage> lastOutage() const;
    /** Age of the latest state of the store that this node knows completely; unset unless hasReadAll(). */
    std::optional<Duration> snapshotAge() const;
    /** Time since the last answer of the store while it counts as lost, otherwise zero. */
    Duration timeSinceLastAnswer() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
