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

/** How messages are read: their size is bounded, since each is held in memory whole. */
capnp::ReaderOptions readerOptions(const NodeRpcSettings &settings);
/** Has the kernel give up a connection whose other end vanished without a word, such as a VM that lost its power. */
void enableKeepAlive(kj::AsyncIoStream &stream);

/** One connection to a peer. Only on the loop's thread. */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(kj::Own<kj::AsyncIoStream> stream, const NodeRpcSettings &settings, kj::Timer &timer);

    /** Shows this node's knowledge of the secret and checks the peer's. */
    kj::Promise<void> authenticate();
    /** Only after authenticate(). */
    Wire::PeerNode::Client &node();
    bool isBroken() const;
    /** The next call makes a new connection. */
    void markBroken(const std::string &why);
    /**
     * Passes on @p call, or fails when the connection dies first. A peer whose process is paused keeps its connections open and answers
     * nothing: pings tell it from one whose answer just takes long, else its callers would hang until their own deadlines.
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

/** The connections to all peers, made when needed. Only on the loop's thread. */
class PeerLinks
{
public:
    PeerLinks(RpcLoop &loop, const NodeRpcSettings &settings, kj::Maybe<kj::TlsContext &> tls);

    /** The live connection to @p address, a new one if need be. Rejected when it cannot be made in time. */
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
