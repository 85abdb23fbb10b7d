#pragma once

#include "core/result.h"
#include "core/strongid.h"
#include "transport/httpserver.h"

#include <functional>
#include <memory>
#include <string>

namespace ApricotStep
{

/** What one node may ask of another over node RPC. Callbacks come from the RPC's thread and must not block. */
class Peers
{
public:
    virtual ~Peers() = default;

    /**
     * Has the node at @p rpcAddress serve @p request and streams its answer to @p exchange. @p hops: forwards so far, this one included.
     *
     * When nothing can have left (PeerUnreachable), @p onNotSent is called instead and the exchange stays unanswered, so that another
     * node may be asked. A peer that is lost later ends the exchange with StreamCut: the request may have run.
     */
    virtual void forward(const std::string &rpcAddress, const HttpRequest &request, int hops, const std::shared_ptr<HttpExchange> &exchange,
        std::function<void(const Error &)> onNotSent) = 0;

    /** Fetches the value that the peer holds under @p name, such as a page of the configuration. Errors: PeerUnreachable, NotFound. */
    virtual void fetch(const std::string &rpcAddress, const std::string &name, std::function<void(Result<std::string>)> done) = 0;

    /** Sends a short message of one part to the same part of the peer and gets its answer. Errors: PeerUnreachable, NotFound. */
    virtual void sendMessage(const std::string &rpcAddress, const std::string &part, const std::string &message,
        std::function<void(Result<std::string>)> done) = 0;
};

} // namespace ApricotStep
