#pragma once

#include "core/result.h"
#include "core/strongid.h"
#include "transport/httpserver.h"

#include <functional>
#include <memory>
#include <string>

namespace ApricotStep
{

/** The calls that one node can make to another over node RPC. Callbacks are called on the RPC thread and must not block. */
class Peers
{
public:
    virtual ~Peers() = default;

    /**
     * Forwards @p request to the node at @p rpcAddress and streams its answer to @p exchange. @p hops is the number of forwards so far,
     * including this one.
     *
     * When no part of the request can have been sent (PeerUnreachable), @p onNotSent is called instead and the exchange stays unanswered,
     * so that another node can be tried. When the peer is lost later, the exchange ends with StreamCut: the request may have run.
     */
    virtual void forward(const std::string &rpcAddress, const HttpRequest &request, int hops, const std::shared_ptr<HttpExchange> &exchange,
        std::function<void(const Error &)> onNotSent) = 0;

    /** Fetches the value that the peer holds under @p name, such as a page of the configuration. Errors: PeerUnreachable, NotFound. */
    virtual void fetch(const std::string &rpcAddress, const std::string &name, std::function<void(Result<std::string>)> done) = 0;

    /**
     * Sends a short message from one part of this node to the same part of the peer and receives the answer. Errors: PeerUnreachable,
     * NotFound.
     */
    virtual void sendMessage(const std::string &rpcAddress, const std::string &part, const std::string &message,
        std::function<void(Result<std::string>)> done) = 0;
};

} // namespace ApricotStep
