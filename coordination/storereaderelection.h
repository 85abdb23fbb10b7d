#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ApricotStep
{

// Each change of an engine wakes every node that waits at the store, and each wait is a billed call. If all 134 nodes of a fleet read the
// store, they make 7,200 calls in 48 s, which cost an eighth of what a calm day earns, and the calls grow with the square of the fleet.
// Therefore in a large fleet two nodes of each scope read the store and the others fetch the changes from them. With two readers, the loss
// of one affects no node. A node that knows of no reader to which the store responds reads the store itself at once, so that a store that
// rejects some nodes, or dead readers, delay a change by one lost message at most.

struct StoreReaderLimits
{
    std::size_t readers = 2;
    /** How long a node reads the store itself after a reader failed to send the changes. */
    Duration directReadPeriod = Duration::seconds(3);
    /** Between two fetches; changes in between are fetched together. */
    Duration fetchInterval { 400 };
    /** A node whose state of the store is older than this fetches from a reader even without a known change; unset: it does not. */
    std::optional<Duration> maxSnapshotAge;
    /** Longest time from the beginning of an outage until a reader considers the store lost. */
    Duration maxLossDetectionTime;
};

/** A span of time in which the store did not answer a node. */
struct StoreOutage
{
    Time begin;
    Time end;
};

/** A scope peer and what it reports about its reading of the store. */
struct StorePeer
{
    NodeId id;
    /** Share of a core. */
    double capacity = 0;
    bool isLeaving = false;
    /** It reads the store itself, and the store responds. */
    bool isReading = false;
    /** The revision up to which it has read. */
    std::uint64_t revision = 0;
    Time lastReceivedAt;
    /** It reads the store itself and has seen no outage since then; never() if it did not tell. */
    Time readingSince = Time::never();
};

/** How this node gets the changes in the store now. */
struct StoreReaderDecision
{
    bool readsItself = true;
    /** The node to fetch the changes from; empty if there is nothing to fetch. */
    NodeId fetchFrom;
};

/** Decides whether this node reads the store itself or follows a reader. Not thread-safe. */
class StoreReaderElection
{
public:
    StoreReaderElection(StoreReaderLimits limits, NodeId self, double capacity);

    /**
     * @p isDivided: the fleet is large enough to be divided into scopes. @p isCurrent: this node has read the whole store once, and its
     * last call was answered. @p peers: the live scope peers. @p revision: the revision up to which this node has read or fetched.
     * @p snapshotTime: it knows everything that the store held at this time. @p requiredSnapshotTime: it needs to know everything that the
     * store held at this time or later, even if nothing has changed.
     */
    StoreReaderDecision decide(bool isDivided, bool isCurrent, std::uint64_t revision, const std::vector<StorePeer> &peers, Time now,
        Time snapshotTime = Time::never(), Time requiredSnapshotTime = Time::never());
    /**
     * Whether another peer than @p reporter has read the store throughout the outage that @p reporter saw: then the reporter was cut off,
     * and no entry has expired because of an outage.
     */
    bool isOutageDisputed(const StoreOutage &outage, const NodeId &reporter, const std::vector<StorePeer> &peers) const;
    void onFetchFailed(Time now);
    void onFetched(Time now);

private:
    bool isElectedReader(const std::vector<StorePeer> &peers) const;

    StoreReaderLimits m_limits;
    NodeId m_self;
    double m_capacity;
    Time m_directReadUntil;
    Time m_fetchedAt;
};

} // namespace ApricotStep
