#include "testrequestforwarderfixture.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <optional>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

constexpr std::size_t KiB = 1024;
constexpr Duration Timeout = Duration::seconds(8);
// Long before the deadline of the requests.
constexpr Duration Soon { 800 };

/** Events with numbers in order, of at least @p size bytes together. */
std::string eventsOf(std::size_t size)
{
    std::string result;
    for (int i = 1; result.size() < size; ++i) {
        absl::StrAppend(&result, "id: ", i, "\ndata: ", std::string(300, static_cast<char>('a' + i % 26)), "\n\n");
    }
    return result;
}

/**
 * A caller of a real server that reads only when it is told to. It speaks HTTP/1.0, so its answer has no chunks and ends with the
 * connection: only a reset tells it from a complete one.
 */
class SocketCaller
{
public:
    SocketCaller(std::uint16_t port, const std::string &id, const std::string &body)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int bufferBytes = 4096;
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        cr_assert_eq(connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
        const std::string request = absl::StrCat("POST /in/a HTTP/1.0\r\nHost: host.example\r\nApricotstep-Request-Id: ", id,
            "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
        cr_assert_eq(::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL), static_cast<ssize_t>(request.size()));
    }
    ~SocketCaller()
    {
        close(m_socket);
    }
    SocketCaller(const SocketCaller &) = delete;
    SocketCaller &operator=(const SocketCaller &) = delete;

    /** Reads what has arrived; returns whether the connection has ended. */
    bool read()
    {
        char buffer[4096];
        for (;;) {
            const ssize_t count = recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
            if (count > 0) {
                m_received.append(buffer, static_cast<std::size_t>(count));
                continue;
            }
            m_isReset = m_isReset || (count < 0 && errno == ECONNRESET);
            return count == 0 || m_isReset;
        }
    }
    bool isReset() const
    {
        return m_isReset;
    }
    /** What was received after the head. */
    std::string body() const
    {
        const std::size_t end = m_received.find("\r\n\r\n");
        return end == std::string::npos ? "" : m_received.substr(end + 4);
    }

private:
    int m_socket;
    std::string m_received;
    bool m_isReset = false;
};

ForwarderSettings settingsWith(std::size_t maxUnreadBytes, std::size_t maxMemoryBytes)
{
    ForwarderSettings settings;
    settings.answers.maxUnreadBytes = maxUnreadBytes;
    settings.answers.maxMemoryBytes = maxMemoryBytes;
    return settings;
}

/**
 * A forwarder behind a real server. Its upstream sends as many KiB of events as the body of a request says and ends the answer, unless the
 * body ends with "hanging".
 */
struct SlowReaderFixture : ForwarderFixture
{
    ScriptedUpstream upstream;
    std::unique_ptr<HttpServer> server;

    explicit SlowReaderFixture(const ForwarderSettings &settings, Duration timeout = Timeout)
        : ForwarderFixture(settings)
        , upstream([](const std::string &request) {
            const std::string body = request.substr(request.find("\r\n\r\n") + 4);
            const std::string stream = StreamHead + chunk(eventsOf(std::stoul(body) * KiB));
            ScriptedAnswer answer { stream };
            answer.isHanging = absl::EndsWith(body, "hanging");
            answer.bytes += answer.isHanging ? "" : "0\r\n\r\n";
            return answer;
        })
    {
        configure(RequestKind::Stream, 1, false, timeout);
        addUpstream("u", upstream);
        HttpServerSettings serverSettings;
        serverSettings.isDriven = true;
        serverSettings.streamBufferBytes = 32 * KiB;
        auto started = HttpServer::start(serverSettings, [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
            forwarder->onRequest(std::move(request), std::move(exchange));
        });
        server = std::move(started.value());
        loop.add(server.get());
    }
    /** Runs the loop until @p isDone returns true; returns whether it did before Soon. */
    bool isSoon(const std::function<bool()> &isDone)
    {
        const Time began = clock.now();
        runUntil(isDone);
        return isDone() && clock.now() - began < Soon;
    }
    bool isUpstreamFree(int requests)
    {
        return forwarder->activeCount() == 0 && static_cast<int>(upstream.requests().size()) == requests;
    }
    bool hasCounted(const std::string &outcome, int count) const
    {
        return absl::StrContains(
            metrics.text({}), absl::StrCat("apricotstep_entry_slow_readers_total{outcome=\"", outcome, "\"} ", count, "\n"));
    }
};

} // namespace

// The upstream of a slow caller had to wait for it: it held a slot meanwhile, and cut the answer off after some seconds.
Test(slowreaders, upstreamIsReadToItsEndForASlowCaller)
{
    constexpr std::size_t AnswerKiB = 5 * KiB;
    SlowReaderFixture fixture(settingsWith(8 * KiB * KiB, 16 * KiB * KiB));
    SocketCaller slow(fixture.server->port(), "slow", absl::StrCat(AnswerKiB));
    cr_assert(fixture.isSoon([&] { return fixture.isUpstreamFree(1); }), "the upstream waits for its caller");
    cr_assert_gt(fixture.forwarder->answerBytes(), KiB * KiB);

    SocketCaller other(fixture.server->port(), "other", "1");
    cr_assert(fixture.isSoon([&] { return other.read(); }), "another caller is delayed");
    cr_assert(other.body() == eventsOf(KiB));

    fixture.runUntil([&] { return slow.read(); });
    cr_assert_not(slow.isReset());
    cr_assert(slow.body() == eventsOf(AnswerKiB * KiB), "%zu bytes", slow.body().size());
    cr_assert(fixture.hasCounted("buffered", 1));
    cr_assert_not(fixture.hasCounted("paused", 1));
    cr_assert_eq(fixture.forwarder->answerBytes(), 0);
}

// A caller beyond its own bound slows its upstream down, and nothing is lost when it reads again.
Test(slowreaders, pausedUpstreamGoesOnWithoutLoss)
{
    constexpr std::size_t AnswerKiB = 3 * KiB;
    constexpr std::size_t MaxUnreadBytes = 128 * KiB;
    SlowReaderFixture fixture(settingsWith(MaxUnreadBytes, 16 * KiB * KiB));
    SocketCaller slow(fixture.server->port(), "slow", absl::StrCat(AnswerKiB));
    cr_assert(fixture.isSoon([&] { return fixture.hasCounted("paused", 1); }));
    cr_assert_lt(fixture.forwarder->answerBytes(), MaxUnreadBytes + 16 * KiB);
    cr_assert_eq(fixture.forwarder->activeCount(), 1);
    fixture.runUntil([&] { return slow.read(); });
    cr_assert_not(slow.isReset());
    cr_assert(slow.body() == eventsOf(AnswerKiB * KiB), "%zu bytes", slow.body().size());
}

// Callers that read slowly used more memory than the node has: the process ended with all of its answers.
Test(slowreaders, answerWithMostUnreadBytesEndsWhenMemoryIsUsedUp)
{
    // The buffers of the system take up to 3 MiB of each answer.
    constexpr std::size_t SmallKiB = 5 * KiB;
    constexpr std::size_t MaxMemoryBytes = 6 * KiB * KiB;
    SlowReaderFixture fixture(settingsWith(16 * KiB * KiB, MaxMemoryBytes));
    SocketCaller small(fixture.server->port(), "small", absl::StrCat(SmallKiB));
    cr_assert(fixture.isSoon([&] { return fixture.isUpstreamFree(1); }));
    cr_assert_gt(fixture.forwarder->answerBytes(), KiB * KiB);
    SocketCaller large(fixture.server->port(), "large", absl::StrCat(12 * KiB, " hanging"));
    fixture.runUntil([&] { return fixture.hasCounted("ended", 1); });
    cr_assert(fixture.hasCounted("ended", 1));
    cr_assert_leq(fixture.forwarder->answerBytes(), MaxMemoryBytes);
    cr_assert(fixture.isSoon([&] { return fixture.upstream.closedByPeer() == 1; }), "the upstream is not told to stop");

    cr_assert(fixture.isSoon([&] { return large.read(); }));
    cr_assert(large.isReset(), "a part of an answer looks complete");
    fixture.runUntil([&] { return small.read(); });
    cr_assert_not(small.isReset());
    cr_assert(small.body() == eventsOf(SmallKiB * KiB), "%zu bytes", small.body().size());
    cr_assert(fixture.hasCounted("ended", 1));
    cr_assert_eq(fixture.forwarder->answerBytes(), 0);
}

// A caller that stopped reading a complete answer held its memory for as long as its connection lasted.
Test(slowreaders, deliveryEndsAtTheDeadline)
{
    SlowReaderFixture fixture(settingsWith(4 * KiB * KiB, 16 * KiB * KiB), Duration(1200));
    SocketCaller stopped(fixture.server->port(), "stopped", absl::StrCat(3 * KiB));
    cr_assert(fixture.isSoon([&] { return fixture.isUpstreamFree(1); }));
    cr_assert_not(fixture.hasCounted("ended", 1));
    fixture.runUntil([&] { return fixture.forwarder->answerBytes() == 0; });
    cr_assert(fixture.hasCounted("ended", 1));
    fixture.runUntil([&] { return stopped.read(); });
    cr_assert(stopped.isReset(), "a part of an answer looks complete");
}

// Guards against callers that never read an answer that was sent to them as a whole, and hold its memory and their connections for good.
Test(slowreaders, answerThatWasSentAsAWholeIsBrokenOffWhenNobodyReadsIt)
{
    constexpr std::size_t AnswerKiB = 3 * KiB;
    ForwarderSettings settings = settingsWith(4 * KiB * KiB, 16 * KiB * KiB);
    settings.answers.maxDeliveryTime = Duration(1200);
    SlowReaderFixture fixture(settings);
    fixture.configure(RequestKind::Idempotent, 1, false, Timeout);
    SocketCaller stopped(fixture.server->port(), "stopped", absl::StrCat(AnswerKiB));
    cr_assert(fixture.isSoon([&] { return fixture.isUpstreamFree(1); }));
    cr_assert_not(fixture.hasCounted("ended", 1));
    fixture.runUntil([&] { return fixture.forwarder->answerBytes() == 0; });
    cr_assert(fixture.hasCounted("ended", 1));
    fixture.runUntil([&] { return stopped.read(); });
    cr_assert(stopped.isReset(), "a part of an answer looks complete");
}
