#pragma once

#include "core/clock.h"
#include "transport/peers.h"

#include <cstdint>

namespace ApricotStep
{

struct NodeRpcSettings
{
    /** IP number to listen on. */
    std::string address = "127.0.0.1";
    /** 0 picks a free one. */
    std::uint16_t port = 0;
    /** What all nodes of the fleet share; both sides of a connection prove that they know it. */
    std::string secret;
    /** PEM texts; all three or none. Without them connections are plain: authenticated, but open to readers on the network. */
    std::string tlsCertificate;
    std::string tlsKey;
    std::string tlsAuthority;
    /** The DNS name that every node's certificate carries. */
    std::string tlsName = "apricotstep-node";
    /** To connect and authenticate. */
    Duration connectTimeout { 1000 };
    /** For a whole fetch() or sendMessage(). */
    Duration callTimeout { 3000 };
    /** While a forward is in progress the peer must answer a ping within this, twice. */
    Duration pingTimeout { 2000 };
    /** A peer that takes no part of an answer for this long has lost its caller. */
    Duration writeTimeout { 90'000 };
    /** Longest body of a request; messages may be this and 1 MiB long. */
    std::size_t maxBodyBytes = 8U << 20U;
};

/** Gives the value that stands under a name. Errors: NotFound. Called on the RPC's thread; must not block. */
using ValueHandler = std::function<Result<std::string>(const std::string &name)>;
/** Answers a message of one part. Called on the RPC's thread; must not block. */
using PartHandler = std::function<Result<std::string>(const std::string &message)>;
/** Serves a request that a peer forwarded, as if it had arrived here. Called on the RPC's thread; must not block. */
using ForwardHandler = std::function<void(HttpRequest request, int hops, const std::shared_ptr<HttpExchange> &exchange)>;

/**
 * Node RPC: what this node asks of others and what it does for them, over Cap'n Proto on one thread of its own.
 *
 * Connections are made when needed and kept; one that broke is made again at the next call. Thread-safe.
 */
class NodeRpc final : public Peers
{
public:
    /** Starts to listen. Errors: SettingsInvalid. */
    static Result<std::unique_ptr<NodeRpc>> start(const NodeRpcSettings &settings);
    /** Ends all calls in progress. */
    ~NodeRpc() override;

    std::uint16_t port() const;
    /** Requests of peers whose answers are not whole yet. */
    int servedCount() const;

    /** Serves fetch() of the names that begin with @p prefix; the longest prefix wins. */
    void serveValue(const std::string &prefix, ValueHandler handler);
    /** Serves sendMessage() to @p part. */
    void servePart(const std::string &part, PartHandler handler);
    /** Serves forward(). Until it is set, forwarded requests are refused as NotReady. */
    void serveForwards(ForwardHandler handler);

    void forward(const std::string &rpcAddress, const HttpRequest &request, int hops, const std::shared_ptr<HttpExchange> &exchange,
        std::function<void(const Error &)> onNotSent) override;
    void fetch(const std::string &rpcAddress, const std::string &name, std::function<void(Result<std::string>)> done) override;
    void sendMessage(const std::string &rpcAddress, const std::string &part, const std::string &message,
        std::function<void(Result<std::string>)> done) override;

private:
    NodeRpc();
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
