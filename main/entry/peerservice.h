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
 * Hands what this node has read of the store to other nodes, and fetches from them what it lacks.
 *
 * A node that the store turns away, or that starts while the store is down, would else refuse all callers though its neighbours know
 * everything that it needs.
 */
class PeerService
{
public:
    PeerService(IoLoop &loop, EventLog &log, StoreReader &store);
    ~PeerService();

    /** Answers another node. */
    void answer(const HttpRequest &request, HttpExchange &exchange) const;
    /** Fetches what @p peer has read beyond this node, unless that is on its way already; the store may bring it first. */
    void fetchFrom(const Peer &peer);
    /** The same at once. @p onDone: whether it came. */
    void fetchNow(const Peer &peer, std::function<void(bool)> onDone);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
