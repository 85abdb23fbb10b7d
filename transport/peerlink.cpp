#include "transport/peerlink.h"

#include "core/hash.h"
#include "transport/rpcauthentication.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ApricotStep
{

namespace
{

constexpr std::size_t MessageSlackBytes = 1U << 20U;
constexpr int KeepAliveIdleSeconds = 15;
constexpr int KeepAliveIntervalSeconds = 5;
constexpr int KeepAliveProbes = 3;
// A process that resumes after a suspension finds its timers expired before it has read what arrived meanwhile. A single missed ping
// therefore does not show that the peer is lost.
constexpr int MaxMissedPings = 2;

kj::Duration kjDuration(Duration duration)
{
    return duration.milliseconds() * kj::MILLISECONDS;
}

void setOption(kj::AsyncIoStream &stream, int level, int option, int value)
{
    stream.setsockopt(level, option, &value, sizeof(value));
}

} // namespace

capnp::ReaderOptions readerOptions(const NodeRpcSettings &settings)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 2 * (settings.maxBodyBytes + MessageSlackBytes) / sizeof(capnp::word);
    return options;
}

void enableKeepAlive(kj::AsyncIoStream &stream)
{
    setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(stream, IPPROTO_TCP, TCP_NODELAY, 1);
}

PeerLink::PeerLink(kj::Own<kj::AsyncIoStream> stream, const NodeRpcSettings &settings, kj::Timer &timer)
    : m_settings(settings)
    , m_timer(timer)
    , m_stream(kj::mv(stream))
    , m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions(settings))
    , m_rpc(capnp::makeRpcClient(m_network))
    , m_broken(nullptr)
    , m_disconnectWatch(nullptr)
{
    auto broken = kj::newPromiseAndFulfiller<void>();
    m_brokenFulfiller = kj::mv(broken.fulfiller);
    m_broken = broken.promise.fork();
    m_disconnectWatch = m_network.onDisconnect().then([this] { markBroken("the connection was closed"); }).eagerlyEvaluate(nullptr);
}

kj::Promise<void> PeerLink::authenticate()
{
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto gate = m_rpc.bootstrap(vat).castAs<Wire::Gate>();
    const std::string nonce = newNonce();
    auto hello = gate.helloRequest();
    hello.setNonce(nonce.c_str());
    return hello.send().then([this, gate, nonce](capnp::Response<Wire::Gate::HelloResults> &&answer) mutable {
        const std::string serverNonce = answer.getNonce().cStr();
        if (!equalConstantTime(answer.getProof().cStr(), serverProof(m_settings.secret, nonce, serverNonce))) {
            failRpc("the peer does not know the fleet's secret");
        }
        auto authenticate = gate.authenticateRequest();
        authenticate.setProof(clientProof(m_settings.secret, nonce, serverNonce).c_str());
        return authenticate.send().then([this](capnp::Response<Wire::Gate::AuthenticateResults> &&results) { m_node = results.getNode(); });
    });
}

Wire::PeerNode::Client &PeerLink::node()
{
    return KJ_ASSERT_NONNULL(m_node);
}

bool PeerLink::isBroken() const
{
    return m_isBroken;
}

void PeerLink::markBroken(const std::string &why)
{
    if (!m_isBroken) {
        m_isBroken = true;
        m_brokenFulfiller->reject(KJ_EXCEPTION(DISCONNECTED, why.c_str()));
    }
}

kj::Promise<void> PeerLink::monitorCall(kj::Promise<void> call)
{
    if (m_monitoredCalls++ == 0) {
        m_pings = pingLoop().eagerlyEvaluate(nullptr);
    }
    auto end = kj::defer([self = shared_from_this()] {
        if (--self->m_monitoredCalls == 0) {
            self->m_pings = nullptr;
        }
    });
    return call.exclusiveJoin(m_broken.addBranch()).attach(kj::mv(end));
}

kj::Promise<void> PeerLink::pingLoop()
{
    auto missed = std::make_shared<int>(0);
    auto ping = [this, missed] {
        return m_timer.timeoutAfter(kjDuration(m_settings.pingTimeout), node().pingRequest().send().ignoreResult())
            .then([missed] { *missed = 0; },
                [this, missed](kj::Exception &&exception) {
                    if (++*missed >= MaxMissedPings || exception.getType() == kj::Exception::Type::DISCONNECTED) {
                        markBroken("the peer does not answer pings");
                    }
                });
    };
    return m_timer.afterDelay(kjDuration(m_settings.pingTimeout)).then(kj::mv(ping)).then([this]() -> kj::Promise<void> {
        if (m_isBroken) {
            return kj::READY_NOW;
        }
        return pingLoop();
    });
}

PeerLinks::PeerLinks(RpcLoop &loop, const NodeRpcSettings &settings, kj::Maybe<kj::TlsContext &> tls)
    : m_loop(loop)
    , m_settings(settings)
    , m_tls(tls)
{
}

kj::Promise<std::shared_ptr<PeerLink>> PeerLinks::get(const std::string &address)
{
    std::shared_ptr<Entry> &entry = m_entries[address];
    if (entry == nullptr || entry->isFailed || (entry->established != nullptr && entry->established->isBroken())) {
        entry = std::make_shared<Entry>();
        entry->link = connect(address).fork();
    }
    return entry->link.addBranch().then(
        [entry = entry](std::shared_ptr<PeerLink> &&link) {
            entry->established = link;
            return kj::mv(link);
        },
        [entry = entry](kj::Exception &&exception) -> std::shared_ptr<PeerLink> {
            entry->isFailed = true;
            kj::throwFatalException(kj::mv(exception));
        });
}

kj::Promise<std::shared_ptr<PeerLink>> PeerLinks::connect(const std::string &address)
{
    auto connecting = m_loop.network()
                          .parseAddress(address.c_str())
                          .then([](kj::Own<kj::NetworkAddress> &&parsed) {
                              auto connection = parsed->connect();
                              return connection.attach(kj::mv(parsed));
                          })
                          .then([this](kj::Own<kj::AsyncIoStream> &&stream) -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
                              enableKeepAlive(*stream);
                              KJ_IF_MAYBE (tls, m_tls) {
                                  return tls->wrapClient(kj::mv(stream), m_settings.tlsName.c_str());
                              }
                              return kj::mv(stream);
                          })
                          .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
                              auto link = std::make_shared<PeerLink>(kj::mv(stream), m_settings, m_loop.timer());
                              return link->authenticate().then([link] { return link; });
                          });
    return m_loop.timer().timeoutAfter(kjDuration(m_settings.connectTimeout), kj::mv(connecting));
}

} // namespace ApricotStep
