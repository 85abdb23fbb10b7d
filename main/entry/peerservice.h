#pragma once

#include "main/entry/eventlog.h"
#include "main/entry/fleetlink.h"
#include "main/entry/storereader.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <string>

namespace ApricotStep
{

/**
 * Serves what this node has read from the store to other nodes, and fetches from them what it has not read itself.
 *
 * Without this, a node that the store rejects, or that starts while the store is down, would refuse all callers although its peers know
 * everything that it needs.
 */
class PeerService
{
public:
    PeerService(IoLoop &loop, EventLog &log, StoreReader &store);
    ~PeerService();

    /** Answers a request of another node. */
    void answer(const HttpRequest &request, HttpExchange &exchange) const;
    /**
     * Fetches the changes that @p peer has read and this node has not, unless a fetch is in flight. While the store is available, waits a
     * moment first, since the store may deliver them sooner.
     */
    void fetchFrom(const Peer &peer);
    /** The same without delay. @p onDone: whether the fetch succeeded; not called if another one is in flight. */
    void fetchNow(const Peer &peer, std::function<void(bool)> onDone);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
