#include "transport/rpcserver.h"

#include "core/hash.h"
#include "protocol/callerapi.h"
#include "transport/peerlink.h"
#include "transport/rpcauthentication.h"

#include <capnp/rpc-twoparty.h>
#include <spdlog/spdlog.h>

#include <utility>

namespace ApricotStep
{

namespace
{

constexpr auto AcceptRetryDelay = 100 * kj::MILLISECONDS;

capnp::Data::Reader bytesOf(const std::string &text)
{
    return { reinterpret_cast<const kj::byte *>(text.data()), text.size() };
}

std::string textOf(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

void writeResult(Wire::Value::Builder builder, const Result<std::string> &result)
{
    if (result.isOk()) {
        builder.setData(bytesOf(result.value()));
        return;
    }
    builder.setError(static_cast<std::uint16_t>(result.error().kind));
    builder.setDetail(result.error().detail.c_str());
}

HttpRequest readRequest(Wire::Request::Reader reader)
{
    HttpRequest request;
    request.method = reader.getMethod().cStr();
    request.path = reader.getPath().cStr();
    request.query = reader.getQuery().cStr();
    for (auto &[name, value] : readHeaders(reader.getParameters())) {
        request.parameters[name] = value;
    }
    for (auto &[name, value] : readHeaders(reader.getHeaders())) {
        request.headers[name] = value;
    }
    request.body = textOf(reader.getBody());
    request.peer = reader.getCaller().cStr();
    return request;
}

class NodeServer final : public Wire::PeerNode::Server
{
public:
    NodeServer(std::shared_ptr<RpcLoop> loop, const NodeRpcSettings &settings, const RpcHandlers &handlers, std::atomic<int> &served)
        : m_loop(std::move(loop))
        , m_settings(settings)
        , m_handlers(handlers)
        , m_served(served)
        , m_senders(std::make_shared<LiveCalls<AnswerSender>>())
    {
    }

private:
    kj::Promise<void> ping(PingContext) override
    {
        return kj::READY_NOW;
    }

    kj::Promise<void> fetch(FetchContext context) override
    {
        writeResult(context.getResults().initResult(), m_handlers.value(context.getParams().getName().cStr()));
        return kj::READY_NOW;
    }

    kj::Promise<void> tell(TellContext context) override
    {
        const auto params = context.getParams();
        writeResult(context.getResults().initResult(), m_handlers.part(params.getPart().cStr(), textOf(params.getMessage())));
        return kj::READY_NOW;
    }

    kj::Promise<void> forward(ForwardContext context) override
    {
        const auto params = context.getParams();
        auto sender = kj::heap<AnswerSender>(m_loop, m_senders, params.getAnswer(), m_settings.writeTimeout);
        const std::shared_ptr<RpcExchange> exchange = sender->exchange();
        auto completion = sender->completion();
        const int hops = params.getRequest().getHops();
        HttpRequest request = readRequest(params.getRequest());
        context.releaseParams();
        context.allowCancellation(); // A cancelled call destroys the sender, which closes the exchange.
        ++m_served;
        auto end = kj::defer([this] { --m_served; });
        const ForwardHandler handler = m_handlers.forward();
        if (handler) {
            handler(std::move(request), hops, exchange);
        } else {
            exchange->respond(errorAnswer(ErrorKind::NotReady).httpStatus, { { "Content-Type", "application/json" } },
                errorBody(ErrorKind::NotReady, {}));
        }
        return completion.attach(kj::mv(sender), kj::mv(end));
    }

    std::shared_ptr<RpcLoop> m_loop;
    const NodeRpcSettings &m_settings;
    const RpcHandlers &m_handlers;
    std::atomic<int> &m_served;
    std::shared_ptr<LiveCalls<AnswerSender>> m_senders;
};

// The interface for unauthenticated peers: it only lets them prove that they know the secret.
class GateServer final : public Wire::Gate::Server
{
public:
    GateServer(const std::string &secret, Wire::PeerNode::Client node, std::shared_ptr<bool> isAuthenticated)
        : m_secret(secret)
        , m_node(kj::mv(node))
        , m_isAuthenticated(std::move(isAuthenticated))
    {
    }

private:
    kj::Promise<void> hello(HelloContext context) override
    {
        if (!m_serverNonce.empty()) {
            failRpc("only one hello is allowed per connection");
        }
        m_clientNonce = context.getParams().getNonce().cStr();
        m_serverNonce = newNonce();
        auto results = context.getResults();
        results.setNonce(m_serverNonce.c_str());
        results.setProof(serverProof(m_secret, m_clientNonce, m_serverNonce).c_str());
        return kj::READY_NOW;
    }

    kj::Promise<void> authenticate(AuthenticateContext context) override
    {
        const bool isProven = !m_serverNonce.empty()
            && equalConstantTime(context.getParams().getProof().cStr(), clientProof(m_secret, m_clientNonce, m_serverNonce));
        if (!isProven) {
            failRpc("the peer does not know the fleet's secret");
        }
        *m_isAuthenticated = true;
        context.getResults().setNode(m_node);
        return kj::READY_NOW;
    }

    const std::string &m_secret;
    Wire::PeerNode::Client m_node;
    std::shared_ptr<bool> m_isAuthenticated;
    std::string m_clientNonce;
    std::string m_serverNonce;
};

// One accepted connection.
struct Connection
{
    Connection(kj::Own<kj::AsyncIoStream> accepted, const NodeRpcSettings &settings, Wire::PeerNode::Client node)
        : stream(kj::mv(accepted))
        , network(*stream, capnp::rpc::twoparty::Side::SERVER, readerOptions(settings))
        , rpc(capnp::makeRpcServer(network, kj::heap<GateServer>(settings.secret, kj::mv(node), isAuthenticated)))
    {
    }

    std::shared_ptr<bool> isAuthenticated = std::make_shared<bool>(false);
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

} // namespace

void RpcHandlers::setValue(const std::string &prefix, ValueHandler handler)
{
    const absl::MutexLock lock(&m_mutex);
    m_values[prefix] = std::move(handler);
}

void RpcHandlers::setPart(const std::string &part, PartHandler handler)
{
    const absl::MutexLock lock(&m_mutex);
    m_parts[part] = std::move(handler);
}

void RpcHandlers::setForward(ForwardHandler handler)
{
    const absl::MutexLock lock(&m_mutex);
    m_forward = std::move(handler);
}

Result<std::string> RpcHandlers::value(const std::string &name) const
{
    ValueHandler handler;
    {
        const absl::MutexLock lock(&m_mutex);
        for (const auto &[prefix, candidate] : m_values) {
            if (name.starts_with(prefix)) {
                handler = candidate; // The map is sorted: a longer prefix of the same name comes later.
            }
        }
    }
    return handler ? handler(name) : Error { ErrorKind::NotFound, "this node serves no value '" + name + "'" };
}

Result<std::string> RpcHandlers::part(const std::string &name, const std::string &message) const
{
    PartHandler handler;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto at = m_parts.find(name);
        handler = at == m_parts.end() ? PartHandler() : at->second;
    }
    return handler ? handler(message) : Error { ErrorKind::NotFound, "this node has no part '" + name + "'" };
}

ForwardHandler RpcHandlers::forward() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_forward;
}

RpcServer::RpcServer(const std::shared_ptr<RpcLoop> &loop, const NodeRpcSettings &settings, const RpcHandlers &handlers,
    kj::Maybe<kj::TlsContext &> tls, std::atomic<int> &served)
    : m_loop(loop)
    , m_settings(settings)
    , m_tls(tls)
    , m_node(kj::heap<NodeServer>(loop, settings, handlers, served))
    , m_tasks(*this)
{
}

kj::Promise<std::uint16_t> RpcServer::listen()
{
    return m_loop->network().parseAddress(m_settings.address.c_str(), m_settings.port).then([this](kj::Own<kj::NetworkAddress> &&address) {
        m_receiver = address->listen();
        m_tasks.add(acceptLoop());
        return static_cast<std::uint16_t>(m_receiver->getPort());
    });
}

kj::Promise<void> RpcServer::acceptLoop()
{
    return m_receiver->accept()
        .then(
            [this](kj::Own<kj::AsyncIoStream> &&stream) -> kj::Promise<void> {
                m_tasks.add(serve(kj::mv(stream)));
                return kj::READY_NOW;
            },
            [this](kj::Exception &&exception) -> kj::Promise<void> {
                // Accepting can fail for a while, for example with too many open files. Without the retry the node would accept no peers
                // until its restart; the delay keeps the retries from using the processor all the time.
                spdlog::warn("rpc: Could not accept a connection. {}", exception.getDescription().cStr());
                return m_loop->timer().afterDelay(AcceptRetryDelay);
            })
        .then([this] { return acceptLoop(); });
}

kj::Promise<void> RpcServer::serve(kj::Own<kj::AsyncIoStream> stream)
{
    enableKeepAlive(*stream);
    KJ_IF_MAYBE (tls, m_tls) {
        const kj::Duration limit = m_settings.connectTimeout.milliseconds() * kj::MILLISECONDS;
        return m_loop->timer().timeoutAfter(limit, tls->wrapServer(kj::mv(stream))).then([this](kj::Own<kj::AsyncIoStream> &&secure) {
            return serveConnection(kj::mv(secure));
        });
    }
    return serveConnection(kj::mv(stream));
}

kj::Promise<void> RpcServer::serveConnection(kj::Own<kj::AsyncIoStream> stream)
{
    auto connection = kj::heap<Connection>(kj::mv(stream), m_settings, m_node);
    auto closed = connection->network.onDisconnect();
    auto authenticationTimeout = m_loop->timer()
                                     .afterDelay(m_settings.connectTimeout.milliseconds() * kj::MILLISECONDS)
                                     .then([isAuthenticated = connection->isAuthenticated]() -> kj::Promise<void> {
                                         if (*isAuthenticated) {
                                             return kj::NEVER_DONE;
                                         }
                                         spdlog::warn("rpc: Closed a connection whose peer did not authenticate in time.");
                                         return kj::READY_NOW;
                                     });
    return closed.exclusiveJoin(kj::mv(authenticationTimeout)).attach(kj::mv(connection));
}

void RpcServer::taskFailed(kj::Exception &&exception)
{
    spdlog::debug("rpc: A connection ended. {}", exception.getDescription().cStr());
}

} // namespace ApricotStep
