#include "transport/rpcanswer.h"

#include "protocol/callerapi.h"

#include <limits>
#include <utility>

namespace ApricotStep
{

namespace
{

capnp::Data::Reader bytesOf(std::string_view text)
{
    return { reinterpret_cast<const kj::byte *>(text.data()), text.size() };
}

std::string_view textOf(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

class SinkServer final : public Wire::AnswerSink::Server
{
public:
    SinkServer(std::shared_ptr<LiveCalls<AnswerReceiver>> receivers, std::uint64_t callId)
        : m_receivers(std::move(receivers))
        , m_callId(callId)
    {
    }

private:
    kj::Promise<void> respond(RespondContext context) override
    {
        receiver().respond(context.getParams());
        return kj::READY_NOW;
    }
    kj::Promise<void> begin(BeginContext context) override
    {
        receiver().begin(context.getParams());
        return kj::READY_NOW;
    }
    kj::Promise<void> write(WriteContext context) override
    {
        return receiver().write(context.getParams().getData());
    }
    kj::Promise<void> finish(FinishContext) override
    {
        receiver().end(false);
        return kj::READY_NOW;
    }
    kj::Promise<void> abort(AbortContext) override
    {
        receiver().end(true);
        return kj::READY_NOW;
    }

    AnswerReceiver &receiver()
    {
        AnswerReceiver *found = m_receivers->find(m_callId);
        if (found == nullptr) {
            failRpc("the caller has disconnected");
        }
        return *found;
    }

    std::shared_ptr<LiveCalls<AnswerReceiver>> m_receivers;
    std::uint64_t m_callId;
};

} // namespace

void writeHeaders(capnp::List<Wire::Header>::Builder builder, const HttpHeaders &headers)
{
    for (unsigned int i = 0; i < builder.size(); ++i) {
        builder[i].setName(headers[i].first.c_str());
        builder[i].setValue(headers[i].second.c_str());
    }
}

HttpHeaders readHeaders(capnp::List<Wire::Header>::Reader reader)
{
    HttpHeaders headers;
    for (const auto header : reader) {
        headers.emplace_back(header.getName().cStr(), header.getValue().cStr());
    }
    return headers;
}

RpcExchange::RpcExchange(std::shared_ptr<RpcLoop> loop, std::shared_ptr<LiveCalls<AnswerSender>> senders, std::uint64_t callId)
    : m_loop(std::move(loop))
    , m_senders(std::move(senders))
    , m_callId(callId)
{
}

void RpcExchange::post(std::function<void(AnswerSender &)> task)
{
    m_loop->post([senders = m_senders, callId = m_callId, task = std::move(task)] {
        AnswerSender *sender = senders->find(callId);
        if (sender != nullptr) {
            task(*sender);
        }
    });
}

void RpcExchange::respond(int status, const HttpHeaders &headers, std::string body)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_hasAnswer) {
            return;
        }
        m_hasAnswer = true;
        m_isEnded = true;
    }
    post([status, headers, body = std::move(body)](AnswerSender &sender) { sender.respond(status, headers, body); });
}

void RpcExchange::beginStream(int status, const HttpHeaders &headers)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_hasAnswer) {
            return;
        }
        m_hasAnswer = true;
    }
    post([status, headers](AnswerSender &sender) { sender.begin(status, headers); });
}

bool RpcExchange::write(std::string_view data)
{
    bool isFirst = false;
    bool isFull = false;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_isEnded || m_isClosed) {
            return true;
        }
        isFirst = m_pending.empty();
        m_pending.append(data);
        m_unacknowledged += data.size();
        m_isFull = m_isFull || m_unacknowledged > WindowBytes;
        isFull = m_isFull;
    }
    if (isFirst) {
        post([](AnswerSender &sender) { sender.flush(); });
    }
    return !isFull;
}

void RpcExchange::finish()
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (std::exchange(m_isEnded, true)) {
            return;
        }
    }
    post([](AnswerSender &sender) { sender.end(false); });
}

void RpcExchange::abort()
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (std::exchange(m_isEnded, true)) {
            return;
        }
        m_hasAnswer = true;
    }
    post([](AnswerSender &sender) { sender.end(true); });
}

void RpcExchange::abortNow()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_unacknowledged -= m_pending.size();
        m_pending.clear();
    }
    abort();
}

std::size_t RpcExchange::maxAnswerHeadBytes() const
{
    return std::numeric_limits<std::size_t>::max(); // The caller's node knows the limit.
}

std::size_t RpcExchange::unreadBytes() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_unacknowledged;
}

void RpcExchange::onDrained(std::function<void()> callback)
{
    const absl::MutexLock lock(&m_mutex);
    m_drained = std::move(callback);
}

void RpcExchange::onCallerGone(std::function<void()> callback)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_isGone) {
            m_gone = std::move(callback);
            return;
        }
    }
    callback();
}

std::string RpcExchange::takePending()
{
    const absl::MutexLock lock(&m_mutex);
    return std::exchange(m_pending, {});
}

void RpcExchange::acknowledge(std::size_t bytes)
{
    std::function<void()> drained;
    {
        const absl::MutexLock lock(&m_mutex);
        m_unacknowledged -= bytes;
        if (m_isFull && m_unacknowledged <= WindowBytes / 2) {
            m_isFull = false;
            drained = m_drained;
        }
    }
    if (drained) {
        drained();
    }
}

void RpcExchange::close()
{
    std::function<void()> gone;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        if (!m_isEnded) {
            m_isGone = true;
            gone = std::move(m_gone);
        }
        m_gone = nullptr;
        m_drained = nullptr;
    }
    if (gone) {
        gone();
    }
}

AnswerSender::AnswerSender(
    const std::shared_ptr<RpcLoop> &loop, std::shared_ptr<LiveCalls<AnswerSender>> senders, Wire::AnswerSink::Client sink, Duration timeout)
    : m_timer(loop->timer())
    , m_senders(std::move(senders))
    , m_callId(++m_senders->lastId)
    , m_sink(kj::mv(sink))
    , m_timeout(timeout)
    , m_exchange(std::make_shared<RpcExchange>(loop, m_senders, m_callId))
    , m_completion(kj::newPromiseAndFulfiller<void>())
    , m_tasks(*this)
{
    m_senders->byId[m_callId] = this;
}

AnswerSender::~AnswerSender()
{
    m_senders->byId.erase(m_callId);
    m_exchange->close();
}

const std::shared_ptr<RpcExchange> &AnswerSender::exchange() const
{
    return m_exchange;
}

kj::Promise<void> AnswerSender::completion()
{
    return kj::mv(m_completion.promise);
}

void AnswerSender::add(kj::Promise<void> promise)
{
    m_tasks.add(m_timer.timeoutAfter(m_timeout.milliseconds() * kj::MILLISECONDS, kj::mv(promise)));
}

void AnswerSender::taskFailed(kj::Exception &&exception)
{
    m_completion.fulfiller->reject(kj::mv(exception));
}

void AnswerSender::respond(int status, const HttpHeaders &headers, const std::string &body)
{
    auto request = m_sink.respondRequest();
    request.setStatus(static_cast<std::uint16_t>(status));
    writeHeaders(request.initHeaders(static_cast<unsigned int>(headers.size())), headers);
    request.setBody(bytesOf(body));
    add(request.send().ignoreResult().then([this] { m_completion.fulfiller->fulfill(); }));
}

void AnswerSender::begin(int status, const HttpHeaders &headers)
{
    auto request = m_sink.beginRequest();
    request.setStatus(static_cast<std::uint16_t>(status));
    writeHeaders(request.initHeaders(static_cast<unsigned int>(headers.size())), headers);
    add(request.send().ignoreResult());
}

void AnswerSender::flush()
{
    const std::string data = m_exchange->takePending();
    if (data.empty()) {
        return;
    }
    auto request = m_sink.writeRequest();
    request.setData(bytesOf(data));
    add(request.send().ignoreResult().then([this, size = data.size()] { m_exchange->acknowledge(size); }));
}

void AnswerSender::end(bool isAborted)
{
    flush();
    auto sent = isAborted ? m_sink.abortRequest().send().ignoreResult() : m_sink.finishRequest().send().ignoreResult();
    add(sent.then([this] { m_completion.fulfiller->fulfill(); }));
}

AnswerReceiver::AnswerReceiver(
    const std::shared_ptr<RpcLoop> &loop, std::shared_ptr<LiveCalls<AnswerReceiver>> receivers, std::shared_ptr<HttpExchange> exchange)
    : m_receivers(std::move(receivers))
    , m_callId(++m_receivers->lastId)
    , m_exchange(std::move(exchange))
    , m_goneSignal(kj::newPromiseAndFulfiller<void>())
{
    m_receivers->byId[m_callId] = this;
    const auto post = [loop, all = m_receivers, callId = m_callId](void (AnswerReceiver::*method)()) {
        loop->post([all, callId, method] {
            AnswerReceiver *receiver = all->find(callId);
            if (receiver != nullptr) {
                (receiver->*method)();
            }
        });
    };
    m_exchange->onDrained([post] { post(&AnswerReceiver::drained); });
    m_exchange->onCallerGone([post] { post(&AnswerReceiver::callerGone); });
}

AnswerReceiver::~AnswerReceiver()
{
    m_receivers->byId.erase(m_callId);
    if (!m_isEnded) {
        failStreamCut("this node is shutting down");
    }
}

Wire::AnswerSink::Client AnswerReceiver::sink()
{
    return kj::heap<SinkServer>(m_receivers, m_callId);
}

kj::Promise<void> AnswerReceiver::gone()
{
    return kj::mv(m_goneSignal.promise);
}

bool AnswerReceiver::isEnded() const
{
    return m_isEnded;
}

void AnswerReceiver::respond(Wire::AnswerSink::RespondParams::Reader params)
{
    if (m_hasBegun || m_isEnded) {
        return;
    }
    m_isEnded = true;
    m_exchange->respond(params.getStatus(), readHeaders(params.getHeaders()), std::string(textOf(params.getBody())));
}

void AnswerReceiver::begin(Wire::AnswerSink::BeginParams::Reader params)
{
    if (m_hasBegun || m_isEnded) {
        return;
    }
    m_hasBegun = true;
    const HttpHeaders headers = readHeaders(params.getHeaders());
    for (const auto &[name, value] : headers) {
        m_isEventStream = m_isEventStream || value.starts_with("text/event-stream");
    }
    m_exchange->beginStream(params.getStatus(), headers);
}

kj::Promise<void> AnswerReceiver::write(capnp::Data::Reader data)
{
    if (m_isEnded) {
        return kj::READY_NOW;
    }
    m_isFull = !m_exchange->write(textOf(data));
    if (!m_isFull) {
        return kj::READY_NOW;
    }
    auto taken = kj::newPromiseAndFulfiller<void>();
    m_waiting.push_back(kj::mv(taken.fulfiller));
    return kj::mv(taken.promise);
}

void AnswerReceiver::end(bool isAborted)
{
    if (std::exchange(m_isEnded, true)) {
        return;
    }
    if (isAborted) {
        m_exchange->abort();
    } else {
        m_exchange->finish();
    }
}

void AnswerReceiver::failStreamCut(const std::string &why)
{
    if (std::exchange(m_isEnded, true)) {
        return;
    }
    ErrorDetails details;
    details.detail = "the node that served this request was lost: " + why;
    if (m_hasBegun) {
        if (m_isEventStream) {
            m_exchange->write(errorEvent(ErrorKind::StreamCut, details));
        }
        m_exchange->abort();
        return;
    }
    m_exchange->respond(
        errorAnswer(ErrorKind::StreamCut).httpStatus, { { "Content-Type", "application/json" } }, errorBody(ErrorKind::StreamCut, details));
}

void AnswerReceiver::detach()
{
    m_isEnded = true;
    m_exchange->onDrained([] {});
    m_exchange->onCallerGone([] {});
}

void AnswerReceiver::drained()
{
    m_isFull = false;
    for (auto &fulfiller : std::exchange(m_waiting, {})) {
        fulfiller->fulfill();
    }
}

void AnswerReceiver::callerGone()
{
    m_isEnded = true;
    m_goneSignal.fulfiller->fulfill();
}

} // namespace ApricotStep
