#pragma once

#include "core/clock.h"
#include "transport/peers.h"

#include <cstdint>

namespace ApricotStep
{

struct NodeRpcSettings
{
    /** IP address to listen on. */
    std::string address = "127.0.0.1";
    /** 0 picks a free port. */
    std::uint16_t port = 0;
    /** The secret that all nodes of the fleet share; both sides of a connection prove that they know it. */
    std::string secret;
    /** PEM texts; all three or none. Without them connections are authenticated but not encrypted. */
    std::string tlsCertificate;
    std::string tlsKey;
    std::string tlsAuthority;
    /** The DNS name in every node's certificate. */
    std::string tlsName = "apricotstep-node";
    /** Limit on connecting and authenticating. */
    Duration connectTimeout { 1000 };
    /** Limit on a whole fetch() or sendMessage(). */
    Duration callTimeout { 3000 };
    /**
     * While a forwarded request is in progress the peer is pinged. The connection is given up when two pings in a row are not answered
     * within this time.
     */
    Duration pingTimeout { 2000 };
    /** A forwarded answer is given up when the peer accepts no part of it for this long: its caller is gone by then. */
    Duration writeTimeout { 90'000 };
    /** Limit on the body of a request; messages may be 1 MiB longer. */
    std::size_t maxBodyBytes = 8U << 20U;
};

/** Returns the value of a name. Errors: NotFound. Called on the RPC thread; must not block. */
using ValueHandler = std::function<Result<std::string>(const std::string &name)>;
/** Answers a message to one part of this node. Called on the RPC thread; must not block. */
using PartHandler = std::function<Result<std::string>(const std::string &message)>;
/** Serves a request that a peer forwarded, as if it had arrived at this node. Called on the RPC thread; must not block. */
using ForwardHandler = std::function<void(HttpRequest request, int hops, const std::shared_ptr<HttpExchange> &exchange)>;

/**
 * Node RPC: the calls that this node makes to other nodes and the calls that it serves, over Cap'n Proto on one thread of its own.
 *
 * Connections are made on demand and kept; the next call replaces a broken connection. Thread-safe.
 */
class NodeRpc final : public Peers
{
public:
    /** Starts to listen. Errors: SettingsInvalid. */
    static Result<std::unique_ptr<NodeRpc>> start(const NodeRpcSettings &settings);
    /** Ends all calls in progress. */
    ~NodeRpc() override;

    std::uint16_t port() const;
    /** Number of requests from peers whose answers are not complete yet. */
    int servedCount() const;

    /** Serves fetch() for names that begin with @p prefix; the longest matching prefix wins. */
    void serveValue(const std::string &prefix, ValueHandler handler);
    /** Serves sendMessage() for the part @p part. */
    void servePart(const std::string &part, PartHandler handler);
    /** Serves forward(). Until it is set, forwarded requests are refused with NotReady. */
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
