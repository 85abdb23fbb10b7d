#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ApricotStep
{

// Load pattern: each change of an engine wakes every node that waits at the store, and each wait is a call that is paid for.
// Without turns: 134 nodes make 7,200 calls in 48 s, an eighth of what a calm day earns, and the calls grow with the square of the fleet.
// So in a large fleet two nodes of each scope read the store and the others fetch from them what changed. Grounds for the figures: with
// two, the loss of one costs nobody anything; a node that hears of no reader whose store answers reads by itself at once, so that a store
// that turns some machines away, or dead readers, delay a change by one lost message at most.

struct StoreReaderLimits
{
    std::size_t readers = 2;
    /** After a reader did not hand over what changed. */
    Duration directReadPeriod = Duration::seconds(3);
    /** Between two fetches: what changed meanwhile comes together. */
    Duration fetchInterval { 400 };
};

/** A node that shares this one's engines, and what it says of its reading. */
struct StorePeer
{
    NodeId id;
    /** Share of a core. */
    double capacity = 0;
    bool isLeaving = false;
    /** It reads the store itself, and the store answers. */
    bool isReading = false;
    /** How far it has read. */
    std::uint64_t revision = 0;
};

/** What to do about the store now. */
struct StoreReaderDecision
{
    bool readsItself = true;
    /** Whom to fetch what changed from; empty when nothing is to be fetched. */
    NodeId fetchFrom;
};

/** Decides whether this node reads the store or follows another that does. Not thread-safe. */
class StoreReaderElection
{
public:
    StoreReaderElection(StoreReaderLimits limits, NodeId self, double capacity);

    /**
     * @p isDivided: the fleet is large. @p isCurrent: this node has read the whole store once, and its last call was answered.
     * @p peers: those that are alive. @p revision: how far this node has read or fetched.
     */
    StoreReaderDecision decide(bool isDivided, bool isCurrent, std::uint64_t revision, const std::vector<StorePeer> &peers, Time now);
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
