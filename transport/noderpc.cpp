#include "transport/noderpc.h"

#include "transport/peerlink.h"
#include "transport/rpcserver.h"

#include <absl/synchronization/notification.h>
#include <spdlog/spdlog.h>

#include <atomic>

namespace ApricotStep
{

namespace
{

capnp::Data::Reader bytesOf(std::string_view text)
{
    return { reinterpret_cast<const kj::byte *>(text.data()), text.size() };
}

Result<std::string> readResult(Wire::Value::Reader reader)
{
    if (reader.getError() != 0) {
        return Error { static_cast<ErrorKind>(reader.getError()), reader.getDetail().cStr() };
    }
    const capnp::Data::Reader data = reader.getData();
    return std::string(reinterpret_cast<const char *>(data.begin()), data.size());
}

HttpHeaders listOf(const std::map<std::string, std::string> &map)
{
    return { map.begin(), map.end() };
}

void writeRequest(Wire::Request::Builder builder, const HttpRequest &request, int hops)
{
    builder.setMethod(request.method.c_str());
    builder.setPath(request.path.c_str());
    builder.setQuery(request.query.c_str());
    writeHeaders(builder.initParameters(static_cast<unsigned int>(request.parameters.size())), listOf(request.parameters));
    writeHeaders(builder.initHeaders(static_cast<unsigned int>(request.headers.size())), listOf(request.headers));
    builder.setBody(bytesOf(request.body));
    builder.setCaller(request.peer.c_str());
    builder.setHops(static_cast<std::uint8_t>(hops));
}

Error unreachable(const std::string &address, const kj::Exception &exception)
{
    return { ErrorKind::PeerUnreachable, address + ": " + exception.getDescription().cStr() };
}

// The objects that belong to the loop's thread; created and destroyed there.
class LoopState final : private kj::TaskSet::ErrorHandler
{
public:
    LoopState(const std::shared_ptr<RpcLoop> &loop, const NodeRpcSettings &settings, const RpcHandlers &handlers, std::atomic<int> &served)
        : m_loop(loop)
        , m_settings(settings)
        , m_tls(makeTls(settings))
        , m_server(loop, settings, handlers, tls(), served)
        , m_links(*loop, settings, tls())
        , m_tasks(*this)
    {
    }

    RpcServer &server()
    {
        return m_server;
    }

    void add(kj::Promise<void> task)
    {
        m_tasks.add(kj::mv(task));
    }

    void forward(const std::string &address, const HttpRequest &request, int hops, const std::shared_ptr<HttpExchange> &exchange,
        const std::function<void(const Error &)> &onNotSent)
    {
        auto receiver = std::make_shared<AnswerReceiver>(m_loop, m_receivers, exchange);
        auto isSent = std::make_shared<bool>(false);
        auto call = m_links.get(address).then([receiver, isSent, request, hops](std::shared_ptr<PeerLink> &&link) {
            // From here on the peer may run the request, even if the connection breaks.
            *isSent = true;
            auto message = link->node().forwardRequest();
            writeRequest(message.initRequest(), request, hops);
            message.setAnswer(receiver->sink());
            return link->monitorCall(message.send().ignoreResult());
        });
        auto ended = call.then([receiver] { receiver->failStreamCut("the call ended without an answer"); },
            [receiver, isSent, address, onNotSent](kj::Exception &&exception) {
                if (*isSent) {
                    receiver->failStreamCut(exception.getDescription().cStr());
                    return;
                }
                receiver->detach();
                onNotSent(unreachable(address, exception));
            });
        m_tasks.add(ended.exclusiveJoin(receiver->gone()).attach(kj::mv(receiver)));
    }

    template<typename MakeRequest>
    void call(const std::string &address, MakeRequest makeRequest, const std::function<void(Result<std::string>)> &done)
    {
        auto usedLink = std::make_shared<std::shared_ptr<PeerLink>>();
        auto answered = m_links.get(address).then([makeRequest, usedLink](std::shared_ptr<PeerLink> &&link) mutable {
            *usedLink = link;
            return makeRequest(*link).send().then([](auto &&response) -> Result<std::string> { return readResult(response.getResult()); });
        });
        const kj::Duration limit = m_settings.callTimeout.milliseconds() * kj::MILLISECONDS;
        m_tasks.add(m_loop->timer()
                        .timeoutAfter(limit, kj::mv(answered))
                        .then([done](Result<std::string> &&result) { done(std::move(result)); },
                            [done, address, usedLink](kj::Exception &&exception) {
                                if (*usedLink != nullptr) {
                                    // The peer may be suspended for long. The next call then fails while it connects, which takes less
                                    // time.
                                    (*usedLink)->markBroken("a call timed out");
                                }
                                done(unreachable(address, exception));
                            }));
    }

private:
    static kj::Maybe<kj::Own<kj::TlsContext>> makeTls(const NodeRpcSettings &settings)
    {
        if (settings.tlsCertificate.empty()) {
            return nullptr;
        }
        kj::TlsContext::Options options;
        const kj::TlsCertificate authority(settings.tlsAuthority.c_str());
        const kj::TlsKeypair keypair { kj::TlsPrivateKey(settings.tlsKey.c_str()), kj::TlsCertificate(settings.tlsCertificate.c_str()) };
        options.useSystemTrustStore = false;
        options.verifyClients = true;
        options.trustedCertificates = kj::arrayPtr(&authority, 1);
        options.defaultKeypair = keypair;
        return kj::heap<kj::TlsContext>(kj::mv(options));
    }

    kj::Maybe<kj::TlsContext &> tls()
    {
        KJ_IF_MAYBE (context, m_tls) {
            return **context;
        }
        return nullptr;
    }

    void taskFailed(kj::Exception &&exception) override
    {
        spdlog::warn("rpc: A call to a peer failed. {}", exception.getDescription().cStr());
    }

    std::shared_ptr<RpcLoop> m_loop;
    const NodeRpcSettings &m_settings;
    kj::Maybe<kj::Own<kj::TlsContext>> m_tls;
    std::shared_ptr<LiveCalls<AnswerReceiver>> m_receivers = std::make_shared<LiveCalls<AnswerReceiver>>();
    RpcServer m_server;
    PeerLinks m_links;
    kj::TaskSet m_tasks;
};

} // namespace

struct NodeRpc::Private
{
    NodeRpcSettings settings;
    RpcHandlers handlers;
    std::atomic<int> served { 0 };
    std::uint16_t port = 0;
    std::shared_ptr<RpcLoop> loop = std::make_shared<RpcLoop>();
    std::unique_ptr<LoopState> loopState; // Created, used and destroyed on the loop's thread.

    Result<std::uint16_t> listen();
};

Result<std::uint16_t> NodeRpc::Private::listen()
{
    Result<std::uint16_t> result = std::uint16_t(0);
    absl::Notification done;
    const auto fail = [&](const kj::Exception &exception) {
        result = Error { ErrorKind::SettingsInvalid,
            "cannot serve node RPC on " + settings.address + ":" + std::to_string(settings.port) + ": "
                + exception.getDescription().cStr() };
        done.Notify();
    };
    loop->post([&] {
        KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] {
                         loopState = std::make_unique<LoopState>(loop, settings, handlers, served);
                         loopState->add(loopState->server().listen().then(
                             [&](std::uint16_t bound) {
                                 result = bound;
                                 done.Notify();
                             },
                             [&](kj::Exception &&refused) { fail(refused); }));
                     })) {
            fail(*exception);
        }
    });
    done.WaitForNotification();
    return result;
}

NodeRpc::NodeRpc()
    : d(std::make_unique<Private>())
{
}

NodeRpc::~NodeRpc()
{
    d->loop->stop([this] { d->loopState.reset(); });
}

Result<std::unique_ptr<NodeRpc>> NodeRpc::start(const NodeRpcSettings &settings)
{
    std::unique_ptr<NodeRpc> rpc(new NodeRpc);
    rpc->d->settings = settings;
    const auto port = rpc->d->listen();
    if (!port.isOk()) {
        return port.error();
    }
    rpc->d->port = port.value();
    return rpc;
}

std::uint16_t NodeRpc::port() const
{
    return d->port;
}

int NodeRpc::servedCount() const
{
    return d->served;
}

void NodeRpc::serveValue(const std::string &prefix, ValueHandler handler)
{
    d->handlers.setValue(prefix, std::move(handler));
}

void NodeRpc::servePart(const std::string &part, PartHandler handler)
{
    d->handlers.setPart(part, std::move(handler));
}

void NodeRpc::serveForwards(ForwardHandler handler)
{
    d->handlers.setForward(std::move(handler));
}

void NodeRpc::forward(const std::string &rpcAddress, const HttpRequest &request, int hops, const std::shared_ptr<HttpExchange> &exchange,
    std::function<void(const Error &)> onNotSent)
{
    d->loop->post([d = d.get(), rpcAddress, request, hops, exchange, onNotSent = std::move(onNotSent)] {
        d->loopState->forward(rpcAddress, request, hops, exchange, onNotSent);
    });
}

void NodeRpc::fetch(const std::string &rpcAddress, const std::string &name, std::function<void(Result<std::string>)> done)
{
    d->loop->post([d = d.get(), rpcAddress, name, done = std::move(done)] {
        const auto makeRequest = [name](PeerLink &link) {
            auto request = link.node().fetchRequest();
            request.setName(name.c_str());
            return request;
        };
        d->loopState->call(rpcAddress, makeRequest, done);
    });
}

void NodeRpc::sendMessage(
    const std::string &rpcAddress, const std::string &part, const std::string &message, std::function<void(Result<std::string>)> done)
{
    d->loop->post([d = d.get(), rpcAddress, part, message, done = std::move(done)] {
        const auto makeRequest = [part, message](PeerLink &link) {
            auto request = link.node().tellRequest();
            request.setPart(part.c_str());
            request.setMessage(bytesOf(message));
            return request;
        };
        d->loopState->call(rpcAddress, makeRequest, done);
    });
}

} // namespace ApricotStep
