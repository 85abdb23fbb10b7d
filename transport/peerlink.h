#pragma once

#include "protocol/node.capnp.h"
#include "transport/noderpc.h"
#include "transport/rpcloop.h"

#include <absl/container/flat_hash_map.h>
#include <capnp/rpc-twoparty.h>
#include <kj/compat/tls.h>

#include <memory>
#include <string>

namespace ApricotStep
{

/** Limits for reading messages. Their size is bounded, since each message is held in memory as a whole. */
capnp::ReaderOptions readerOptions(const NodeRpcSettings &settings);
/**
 * Enables TCP keepalive, so that the kernel closes a connection whose other end disappeared without closing it, such as a VM that lost
 * power. Also sets TCP_NODELAY.
 */
void enableKeepAlive(kj::AsyncIoStream &stream);

/** One connection to a peer. Used only on the loop's thread. */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(kj::Own<kj::AsyncIoStream> stream, const NodeRpcSettings &settings, kj::Timer &timer);

    /** Checks the peer's proof that it knows the secret and sends this node's own. */
    kj::Promise<void> authenticate();
    /** To be called only after authenticate(). */
    Wire::PeerNode::Client &node();
    bool isBroken() const;
    /** Fails the calls passed to monitorCall(). The next call makes a new connection. */
    void markBroken(const std::string &why);
    /**
     * Returns @p call, which fails when the connection breaks first. A peer whose process is suspended keeps its connections open but
     * answers nothing. Pings tell such a peer from one that is slow to answer; without them its callers would wait until their own
     * deadlines.
     */
    kj::Promise<void> monitorCall(kj::Promise<void> call);

private:
    kj::Promise<void> pingLoop();

    const NodeRpcSettings &m_settings;
    kj::Timer &m_timer;
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    kj::Maybe<Wire::PeerNode::Client> m_node;
    kj::Own<kj::PromiseFulfiller<void>> m_brokenFulfiller;
    kj::ForkedPromise<void> m_broken;
    bool m_isBroken = false;
    int m_monitoredCalls = 0;
    kj::Maybe<kj::Promise<void>> m_pings;
    kj::Promise<void> m_disconnectWatch;
};

/** The connections to all peers, made on demand. Used only on the loop's thread. */
class PeerLinks
{
public:
    PeerLinks(RpcLoop &loop, const NodeRpcSettings &settings, kj::Maybe<kj::TlsContext &> tls);

    /** The working connection to @p address, or a new one. Rejected when it cannot be made in time. */
    kj::Promise<std::shared_ptr<PeerLink>> get(const std::string &address);

private:
    struct Entry
    {
        kj::ForkedPromise<std::shared_ptr<PeerLink>> link { nullptr };
        std::shared_ptr<PeerLink> established;
        bool isFailed = false;
    };
    kj::Promise<std::shared_ptr<PeerLink>> connect(const std::string &address);

    RpcLoop &m_loop;
    const NodeRpcSettings &m_settings;
    kj::Maybe<kj::TlsContext &> m_tls;
    absl::flat_hash_map<std::string, std::shared_ptr<Entry>> m_entries;
};

} // namespace ApricotStep
