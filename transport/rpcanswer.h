#pragma once

#include "protocol/node.capnp.h"
#include "transport/httpserver.h"
#include "transport/rpcloop.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <vector>

namespace ApricotStep
{

class AnswerSender;
class AnswerReceiver;

/**
 * The calls of one kind that exist on the loop, by id. Other threads hold only the id: the call itself must not be used or destroyed
 * outside the loop's thread, and may have ended meanwhile.
 */
template<typename T>
struct LiveCalls
{
    std::uint64_t lastId = 0;
    absl::flat_hash_map<std::uint64_t, T *> byId;

    T *find(std::uint64_t callId) const
    {
        const auto at = byId.find(callId);
        return at == byId.end() ? nullptr : at->second;
    }
};

/**
 * At the owner: an answer that is being sent to the node of the caller. Thread-safe.
 *
 * Backpressure: at most WindowBytes plus one write are unacknowledged. When they exceed WindowBytes, write() returns false until at most
 * half of WindowBytes are left. Without this limit one slow caller could make one or more whole answers accumulate in this node's memory.
 */
class RpcExchange final : public HttpExchange, public std::enable_shared_from_this<RpcExchange>
{
public:
    static constexpr std::size_t WindowBytes = 256U << 10U;

    RpcExchange(std::shared_ptr<RpcLoop> loop, std::shared_ptr<LiveCalls<AnswerSender>> senders, std::uint64_t callId);

    void respond(int status, const HttpHeaders &headers, std::string body) override;
    void beginStream(int status, const HttpHeaders &headers) override;
    bool write(std::string_view data) override;
    void finish() override;
    void abort() override;
    void abortNow() override;
    std::size_t unreadBytes() const override;
    std::size_t maxAnswerHeadBytes() const override;
    void onDrained(std::function<void()> callback) override;
    void onCallerGone(std::function<void()> callback) override;

    // Called on the loop's thread.
    std::string takePending();
    void acknowledge(std::size_t bytes);
    /** The call is over. Calls the callback of onCallerGone() when the answer was not complete. */
    void close();

private:
    void post(std::function<void(AnswerSender &)> task);

    const std::shared_ptr<RpcLoop> m_loop;
    const std::shared_ptr<LiveCalls<AnswerSender>> m_senders;
    const std::uint64_t m_callId;
    mutable absl::Mutex m_mutex;
    bool m_hasAnswer ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isEnded ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isClosed ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isGone ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isFull ABSL_GUARDED_BY(m_mutex) = false;
    std::size_t m_unacknowledged ABSL_GUARDED_BY(m_mutex) = 0;
    std::string m_pending ABSL_GUARDED_BY(m_mutex);
    std::function<void()> m_drained ABSL_GUARDED_BY(m_mutex);
    std::function<void()> m_gone ABSL_GUARDED_BY(m_mutex);
};

/** At the owner, on the loop's thread: sends the answer of one RpcExchange to the caller's node. Exists as long as the call. */
class AnswerSender final : private kj::TaskSet::ErrorHandler
{
public:
    AnswerSender(const std::shared_ptr<RpcLoop> &loop, std::shared_ptr<LiveCalls<AnswerSender>> senders, Wire::AnswerSink::Client sink,
        Duration timeout);
    ~AnswerSender();

    const std::shared_ptr<RpcExchange> &exchange() const;
    /**
     * Resolves when the other node has received the complete answer; rejected when that node accepts nothing for the timeout. To be called
     * once.
     */
    kj::Promise<void> completion();

    void respond(int status, const HttpHeaders &headers, const std::string &body);
    void begin(int status, const HttpHeaders &headers);
    void flush();
    void end(bool isAborted);

private:
    void taskFailed(kj::Exception &&exception) override;
    void add(kj::Promise<void> promise);

    kj::Timer &m_timer;
    std::shared_ptr<LiveCalls<AnswerSender>> m_senders;
    std::uint64_t m_callId;
    Wire::AnswerSink::Client m_sink;
    Duration m_timeout;
    std::shared_ptr<RpcExchange> m_exchange;
    kj::PromiseFulfillerPair<void> m_completion;
    kj::TaskSet m_tasks;
};

/** At the caller's node, on the loop's thread: passes an answer from the owner on to the caller. */
class AnswerReceiver
{
public:
    AnswerReceiver(
        const std::shared_ptr<RpcLoop> &loop, std::shared_ptr<LiveCalls<AnswerReceiver>> receivers, std::shared_ptr<HttpExchange> exchange);
    ~AnswerReceiver();

    /** The object that the owner sends the answer to; may outlive this one. */
    Wire::AnswerSink::Client sink();
    /** Resolves when the caller has disconnected. To be called once. */
    kj::Promise<void> gone();
    bool isEnded() const;

    void respond(Wire::AnswerSink::RespondParams::Reader params);
    void begin(Wire::AnswerSink::BeginParams::Reader params);
    kj::Promise<void> write(capnp::Data::Reader data);
    void end(bool isAborted);
    /**
     * Ends the answer with StreamCut after the owner was lost or when this node stops, so that the caller does not treat the part that it
     * received as a complete answer.
     */
    void failStreamCut(const std::string &why);
    /** The request was not sent: stops using the exchange, so that the caller of NodeRpc::forward() can answer it. */
    void detach();
    void drained();
    void callerGone();

private:
    std::shared_ptr<LiveCalls<AnswerReceiver>> m_receivers;
    std::uint64_t m_callId;
    std::shared_ptr<HttpExchange> m_exchange;
    bool m_hasBegun = false;
    bool m_isEnded = false;
    bool m_isFull = false;
    bool m_isEventStream = false;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_waiting;
    kj::PromiseFulfillerPair<void> m_goneSignal;
};

void writeHeaders(capnp::List<Wire::Header>::Builder builder, const HttpHeaders &headers);
HttpHeaders readHeaders(capnp::List<Wire::Header>::Reader reader);

} // namespace ApricotStep
