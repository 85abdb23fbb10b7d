#pragma once

#include "main/entry/beliefs.h"
#include "main/entry/eventlog.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <string>

namespace ApricotStep
{

/** What changed in the beliefs. */
struct BeliefChanges
{
    bool isRoutesChanged = false;
    std::vector<UpstreamChange> upstreams;
    std::vector<AdapterRef> versions;

    bool isEmpty() const
    {
        return !isRoutesChanged && upstreams.empty() && versions.empty();
    }
};

/**
 * Keeps the beliefs at what the platform's store holds: reads all of it once, then waits for changes.
 *
 * While the store is away the last facts stay in force. A configuration never goes back to an older version, whoever offers it.
 */
class StoreReader
{
public:
    using OnChanges = std::function<void(const BeliefChanges &)>;

    StoreReader(IoLoop &loop, EventLog &log, Beliefs &beliefs, std::string storeAddress, OnChanges onChanges);
    ~StoreReader();

    void start();
    /** Everything read so far, in the store's own form, for nodes that cannot reach it. */
    std::string copyForPeers() const;
    /** Takes in what another node has read; only what is news. */
    void takeFromPeer(const NodeId &peer, const std::string &copy);
    /** Whether all of the store has been read once. */
    bool hasReadAll() const;
    /** How long the store has not answered; zero when it does. */
    Duration silence() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
