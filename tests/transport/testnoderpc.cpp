#include "transport/noderpc.h"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>

#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr auto WaitTimeout = absl::Seconds(20);

std::unique_ptr<NodeRpc> startRpc(const std::string &secret = "a secret of the fleet", Duration timeout = Duration(2000))
{
    NodeRpcSettings settings;
    settings.secret = secret;
    settings.connectTimeout = timeout;
    settings.callTimeout = timeout;
    settings.pingTimeout = timeout;
    auto rpc = NodeRpc::start(settings);
    cr_assert(rpc.isOk());
    return std::move(rpc.value());
}

std::string addressOf(const NodeRpc &rpc)
{
    return "127.0.0.1:" + std::to_string(rpc.port());
}

Result<std::string> fetch(NodeRpc &rpc, const std::string &address, const std::string &name)
{
    Result<std::string> result = std::string();
    absl::Notification done;
    rpc.fetch(address, name, [&](Result<std::string> got) {
        result = std::move(got);
        done.Notify();
    });
    cr_assert(done.WaitForNotificationWithTimeout(WaitTimeout));
    return result;
}

// A caller that reads the answer as slowly as the test demands.
class FakeCaller final : public HttpExchange
{
public:
    void respond(int status, const HttpHeaders &, std::string body) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_status = status;
        m_body = std::move(body);
        m_isEnded = true;
    }
    void beginStream(int status, const HttpHeaders &) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_status = status;
    }
    bool write(std::string_view data) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_body.append(data);
        return !m_isSlow;
    }
    void finish() override
    {
        const absl::MutexLock lock(&m_mutex);
        m_isEnded = true;
    }
    void abort() override
    {
        const absl::MutexLock lock(&m_mutex);
        m_isEnded = true;
        m_isAborted = true;
    }
    void abortNow() override
    {
        abort();
    }
    std::size_t maxAnswerHeadBytes() const override
    {
        return std::size_t(1) << 20U;
    }
    std::size_t unreadBytes() const override
    {
        return 0;
    }
    void onDrained(std::function<void()> callback) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_drained = std::move(callback);
    }
    void onCallerGone(std::function<void()> callback) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_gone = std::move(callback);
    }

    void setSlow(bool isSlow)
    {
        std::function<void()> drained;
        {
            const absl::MutexLock lock(&m_mutex);
            m_isSlow = isSlow;
            drained = isSlow ? nullptr : m_drained;
        }
        if (drained) {
            drained();
        }
    }
    void disconnect()
    {
        std::function<void()> gone;
        {
            const absl::MutexLock lock(&m_mutex);
            gone = m_gone;
        }
        gone();
    }
    void waitForEnd()
    {
        const absl::MutexLock lock(&m_mutex);
        cr_assert(m_mutex.AwaitWithTimeout(absl::Condition(&m_isEnded), WaitTimeout));
    }
    bool waitForBytes(std::size_t count)
    {
        const absl::MutexLock lock(&m_mutex);
        const auto hasBytes = [&] { return m_body.size() >= count; };
        return m_mutex.AwaitWithTimeout(absl::Condition(&hasBytes), WaitTimeout);
    }
    std::size_t size()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_body.size();
    }
    int status()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_status;
    }
    std::string body()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_body;
    }
    bool isAborted()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_isAborted;
    }

private:
    absl::Mutex m_mutex;
    int m_status = 0;
    std::string m_body;
    bool m_isEnded = false;
    bool m_isAborted = false;
    bool m_isSlow = false;
    std::function<void()> m_drained;
    std::function<void()> m_gone;
};

void failIfNotSent(const Error &error)
{
    cr_assert_fail("not sent: %s", error.detail.c_str());
}

HttpRequest sampleRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.query = "a=1";
    request.headers = { { "x-priority", "urgent" } };
    request.body = std::string("broth\0?", 7);
    request.peer = "10.0.0.9";
    return request;
}

// A port that accepts connections and never sends anything, like a process under SIGSTOP.
struct UnresponsivePort
{
    UnresponsivePort()
        : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        ::bind(socket, reinterpret_cast<sockaddr *>(&address), size);
        ::listen(socket, 16);
        ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
        text = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
    ~UnresponsivePort()
    {
        ::close(socket);
    }
    int socket;
    std::string text;
};

} // namespace

Test(noderpc, valuesAndMessagesReachTheirHandlers)
{
    const auto one = startRpc();
    const auto two = startRpc();
    two->serveValue("config/", [](const std::string &name) -> Result<std::string> { return "value of " + name; });
    two->serveValue("config/page/", [](const std::string &) -> Result<std::string> { return std::string(900'000, 'p'); });
    two->servePart("permits", [](const std::string &message) -> Result<std::string> { return message + " granted"; });

    cr_assert(fetch(*one, addressOf(*two), "config/head").value() == "value of config/head");
    cr_assert_eq(fetch(*one, addressOf(*two), "config/page/7").value().size(), 900'000);
    cr_assert(fetch(*one, addressOf(*two), "other").error().kind == ErrorKind::NotFound);
    absl::Notification done;
    one->sendMessage(addressOf(*two), "permits", "load", [&](const Result<std::string> &answer) {
        cr_assert(answer.value() == "load granted");
        done.Notify();
    });
    cr_assert(done.WaitForNotificationWithTimeout(WaitTimeout));
}

Test(noderpc, peerWithoutSecretIsRefused)
{
    // Anyone on the network can connect to the node port. Without the fleet's secret a peer must neither read values nor forward requests.
    const auto unauthorizedNode = startRpc("another secret");
    const auto node = startRpc();
    std::atomic<int> served { 0 };
    node->serveValue("", [&](const std::string &) -> Result<std::string> {
        ++served;
        return std::string("secret");
    });
    cr_assert(fetch(*unauthorizedNode, addressOf(*node), "x").error().kind == ErrorKind::PeerUnreachable);
    cr_assert_eq(served, 0);
}

Test(noderpc, unresponsivePeerTimesOut)
{
    // The process of a peer is suspended. Its kernel still accepts connections, so callers would wait forever without a timeout.
    const UnresponsivePort unresponsive;
    const auto node = startRpc("a secret of the fleet", Duration(200));
    cr_assert(fetch(*node, unresponsive.text, "x").error().kind == ErrorKind::PeerUnreachable);
    absl::Notification refused;
    node->forward(unresponsive.text, sampleRequest(), 1, std::make_shared<FakeCaller>(), [&](const Error &error) {
        cr_assert(error.kind == ErrorKind::PeerUnreachable);
        refused.Notify();
    });
    cr_assert(refused.WaitForNotificationWithTimeout(WaitTimeout));
}

Test(noderpc, restartedPeerIsReachedAgain)
{
    const auto node = startRpc();
    auto peer = startRpc();
    NodeRpcSettings settings;
    settings.secret = "a secret of the fleet";
    settings.port = peer->port();
    const std::string address = addressOf(*peer);
    const auto serve = [](const std::string &) -> Result<std::string> { return std::string("here"); };
    peer->serveValue("", serve);
    cr_assert(fetch(*node, address, "x").isOk());
    peer.reset();
    cr_assert(fetch(*node, address, "x").error().kind == ErrorKind::PeerUnreachable);
    auto again = NodeRpc::start(settings);
    cr_assert(again.isOk());
    again.value()->serveValue("", serve);
    cr_assert(fetch(*node, address, "x").isOk());
}

Test(noderpc, forwardedRequestAndAnswerArriveComplete)
{
    const auto front = startRpc();
    const auto owner = startRpc();
    owner->serveForwards([](const HttpRequest &request, int hops, const std::shared_ptr<HttpExchange> &exchange) {
        cr_assert_eq(hops, 1);
        cr_assert(request.body == sampleRequest().body && request.peer == "10.0.0.9" && request.header("x-priority") == "urgent");
        exchange->beginStream(200, { { "Content-Type", "text/event-stream" } });
        for (const char *part : { "one ", "two ", "three" }) {
            exchange->write(part);
        }
        exchange->finish();
    });
    const auto caller = std::make_shared<FakeCaller>();
    front->forward(addressOf(*owner), sampleRequest(), 1, caller, failIfNotSent);
    caller->waitForEnd();
    cr_assert_eq(caller->status(), 200);
    cr_assert(caller->body() == "one two three");
    cr_assert_not(caller->isAborted());
}

Test(noderpc, slowCallerAppliesBackpressureToOwner)
{
    // A caller on a slow connection reads slowly. The answer must wait at the engine and not accumulate in the memory of two nodes.
    constexpr std::size_t Whole = 8U << 20U;
    constexpr std::size_t Bound = 1U << 20U;
    const std::string block(16U << 10U, 'x');
    const auto front = startRpc();
    const auto owner = startRpc();
    std::atomic<std::size_t> written { 0 };
    owner->serveForwards([&](const HttpRequest &, int, const std::shared_ptr<HttpExchange> &exchange) {
        const auto produce = [&, exchange] {
            while (written < Whole) {
                written += block.size();
                if (!exchange->write(block)) {
                    return;
                }
            }
            exchange->finish();
        };
        exchange->onDrained(produce);
        exchange->beginStream(200, {});
        produce();
    });
    const auto caller = std::make_shared<FakeCaller>();
    caller->setSlow(true);
    front->forward(addressOf(*owner), sampleRequest(), 1, caller, failIfNotSent);
    cr_assert(caller->waitForBytes(block.size()));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    cr_assert_lt(written, Bound, "the owner continued to write");
    caller->setSlow(false);
    caller->waitForEnd();
    cr_assert_eq(caller->size(), Whole);
}

Test(noderpc, callerDisconnectCancelsAtOwner)
{
    // A caller closes the page and disconnects. The engine at the other node must stop generating, or its batch fills with answers that
    // are never read.
    const auto front = startRpc();
    const auto owner = startRpc();
    absl::Notification gone;
    absl::Notification arrived;
    owner->serveForwards([&](const HttpRequest &, int, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->onCallerGone([&] { gone.Notify(); });
        arrived.Notify();
    });
    const auto caller = std::make_shared<FakeCaller>();
    front->forward(addressOf(*owner), sampleRequest(), 1, caller, failIfNotSent);
    cr_assert(arrived.WaitForNotificationWithTimeout(WaitTimeout));
    caller->disconnect();
    cr_assert(gone.WaitForNotificationWithTimeout(WaitTimeout));
}

Test(noderpc, ownerLostDuringAnswerIsReportedAsStreamCut)
{
    // The owner's VM is replaced without warning in the middle of an answer. The caller must see that the answer was cut and that the
    // request may have run.
    const auto front = startRpc();
    auto owner = startRpc();
    owner->serveForwards([](const HttpRequest &, int, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, { { "Content-Type", "text/event-stream" } });
        exchange->write("data: half\n\n");
    });
    const auto caller = std::make_shared<FakeCaller>();
    front->forward(addressOf(*owner), sampleRequest(), 1, caller, failIfNotSent);
    cr_assert(caller->waitForBytes(5));
    owner.reset();
    caller->waitForEnd();
    cr_assert(caller->isAborted());
    cr_assert(caller->body().find("stream_cut") != std::string::npos);
}

Test(noderpc, ownerLostBeforeAnswerIsNotReportedAsNotRun)
{
    const auto front = startRpc();
    auto owner = startRpc();
    absl::Notification arrived;
    owner->serveForwards([&](const HttpRequest &, int, const std::shared_ptr<HttpExchange> &) { arrived.Notify(); });
    const auto caller = std::make_shared<FakeCaller>();
    front->forward(addressOf(*owner), sampleRequest(), 1, caller, failIfNotSent);
    cr_assert(arrived.WaitForNotificationWithTimeout(WaitTimeout));
    owner.reset();
    caller->waitForEnd();
    cr_assert_eq(caller->status(), errorAnswer(ErrorKind::StreamCut).httpStatus);
    cr_assert(caller->body().find("\"not_run\":false") != std::string::npos);
}
