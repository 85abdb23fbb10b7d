#pragma once

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

/** What changed in the beliefs. */
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

/** What another node read of the store. */
struct PeerChanges
{
    /** As StoreReader::changesSince() gives it. */
    std::string body;
    /** Its timeSinceRecovery(). */
    std::optional<Duration> timeSinceRecovery;
    /** Its snapshotAge(); unset where it did not say. */
    std::optional<Duration> snapshotAge;
};

/**
 * Keeps the beliefs at what the platform's store holds: reads all of it once, then waits for changes.
 *
 * While the store is away the last facts stay in force. A configuration never goes back to an older version, whoever offers it.
 */
class StoreReader
{
public:
    using OnChanges = std::function<void(const ClusterStateChanges &)>;

    /** @p changeBound: a change has to be in force within this. */
    StoreReader(
        IoLoop &loop, EventLog &log, ClusterState &clusterState, std::string storeAddress, Duration changeBound, OnChanges onChanges);
    ~StoreReader();

    void start();
    /** While following, the store is not asked for changes; mergeFromPeer() brings them. */
    void setFollowing(bool isFollowing);
    /** What changed after @p revision, for other nodes; empty when deletions since then have been forgotten. */
    std::optional<std::string> changesSince(Platform::StoreRevision revision) const;
    /** Takes in what another node has read; only what is news. Whether it could be read. */
    bool mergeFromPeer(const NodeId &peer, const PeerChanges &changes);
    /** Whether all of the store has been read once. */
    bool hasReadAll() const;
    /** Up to which revision this node knows all changes; 0 before all has been read once. */
    Platform::StoreRevision revision() const;
    /** Whether this node asks the store itself, and it answers. */
    bool isReading() const;
    /** How long ago the store answered again after it was away; unset where that is over for all entries. */
    std::optional<Duration> timeSinceRecovery() const;
    /** How long ago the store held what this node knows of it; unset before all has been read once. */
    std::optional<Duration> snapshotAge() const;
    /** How long the store has not answered; zero when it does. */
    Duration timeSinceLastAnswer() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
