#pragma once

#include "protocol/node.capnp.h"
#include "transport/noderpc.h"
#include "transport/rpcanswer.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <kj/compat/tls.h>

#include <atomic>
#include <map>

namespace ApricotStep
{

/** The handlers for the calls of peers. Set from any thread, used on the loop's thread. */
class RpcHandlers
{
public:
    void setValue(const std::string &prefix, ValueHandler handler);
    void setPart(const std::string &part, PartHandler handler);
    void setForward(ForwardHandler handler);

    Result<std::string> value(const std::string &name) const;
    Result<std::string> part(const std::string &name, const std::string &message) const;
    /** Empty when no handler is set. */
    ForwardHandler forward() const;

private:
    mutable absl::Mutex m_mutex;
    std::map<std::string, ValueHandler> m_values ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, PartHandler> m_parts ABSL_GUARDED_BY(m_mutex);
    ForwardHandler m_forward ABSL_GUARDED_BY(m_mutex);
};

/** Accepts the connections of peers. Used only on the loop's thread. */
class RpcServer final : private kj::TaskSet::ErrorHandler
{
public:
    RpcServer(const std::shared_ptr<RpcLoop> &loop, const NodeRpcSettings &settings, const RpcHandlers &handlers,
        kj::Maybe<kj::TlsContext &> tls, std::atomic<int> &served);

    /** Resolves to the port; rejected when the address cannot be bound. */
    kj::Promise<std::uint16_t> listen();

private:
    kj::Promise<void> acceptLoop();
    kj::Promise<void> serve(kj::Own<kj::AsyncIoStream> stream);
    kj::Promise<void> serveConnection(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception &&exception) override;

    std::shared_ptr<RpcLoop> m_loop;
    const NodeRpcSettings &m_settings;
    kj::Maybe<kj::TlsContext &> m_tls;
    Wire::PeerNode::Client m_node;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::TaskSet m_tasks;
};

} // namespace ApricotStep
