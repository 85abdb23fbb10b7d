#include "transport/httpserver.h"

#include <absl/strings/match.h>
#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

/** A caller that uses its socket directly. */
class RawCaller
{
public:
    explicit RawCaller(const HttpServer &server)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(server.port());
        cr_assert_eq(connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
        const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
        cr_assert_eq(send(m_socket, request.data(), request.size(), MSG_NOSIGNAL), static_cast<ssize_t>(request.size()));
    }
    ~RawCaller()
    {
        leave();
    }
    void closeSendingSide() const
    {
        shutdown(m_socket, SHUT_WR);
    }
    void leave()
    {
        if (m_socket >= 0) {
            close(m_socket);
            m_socket = -1;
        }
    }
    /** Returns all bytes until the server closes the connection. */
    std::string receiveAll() const
    {
        std::string result;
        char buffer[4096];
        ssize_t count = 0;
        while ((count = recv(m_socket, buffer, sizeof buffer, 0)) > 0) {
            result.append(buffer, static_cast<std::size_t>(count));
        }
        return result;
    }

private:
    int m_socket;
};

/** A server that answers each request from a thread of its own, and tells when a caller has left. */
struct Server
{
    absl::Notification arrived;
    absl::Notification gone;
    std::unique_ptr<HttpServer> server;

    explicit Server(std::function<void(HttpExchange &)> answer = {})
    {
        server = std::move(HttpServer::start({}, [this, answer](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
            exchange->onCallerGone([this] { gone.Notify(); });
            if (answer) {
                std::thread([answer, exchange] { answer(*exchange); }).detach();
            }
            arrived.Notify();
        }).value());
    }
    bool noticesLeaving()
    {
        return gone.WaitForNotificationWithTimeout(absl::Milliseconds(5000));
    }
};

void streamForAWhile(HttpExchange &exchange)
{
    exchange.beginStream(200, {});
    for (int i = 0; i < 15; ++i) {
        absl::SleepFor(absl::Milliseconds(80));
        exchange.write("event;");
    }
    exchange.finish();
}

} // namespace

// Guards against a request that is given up because its caller, which waits for the answer, has closed its sending side.
Test(knownred, callerThatClosesItsSendingSideGetsItsAnswer)
{
    const Server server([](HttpExchange &exchange) {
        absl::SleepFor(absl::Milliseconds(900));
        exchange.respond(200, {}, "whole");
    });
    const RawCaller caller(*server.server);
    caller.closeSendingSide();
    const std::string answer = caller.receiveAll();
    cr_assert(absl::StrContains(answer, "HTTP/1.1 200"), "%s", answer.c_str());
    cr_assert(absl::EndsWith(answer, "\r\n\r\nwhole"), "%s", answer.c_str());
}

// Guards against a stream that is cut because its caller, which reads it, has closed its sending side.
Test(knownred, callerThatClosesItsSendingSideGetsItsWholeStream)
{
    const Server server(&streamForAWhile);
    const RawCaller caller(*server.server);
    caller.closeSendingSide();
    const std::string answer = caller.receiveAll();
    cr_assert(absl::EndsWith(answer, "\r\n0\r\n\r\n"), "%s", answer.c_str());
}

// Guards against work for a caller that has closed its sending side, waits, and then leaves.
Test(halfclosedcallers, callerThatLeavesAfterClosingItsSendingSideIsNoticed)
{
    Server server;
    RawCaller caller(*server.server);
    server.arrived.WaitForNotification();
    caller.closeSendingSide();
    absl::SleepFor(absl::Milliseconds(500));
    caller.leave();
    cr_assert(server.noticesLeaving());
}

// Guards against work for a caller that leaves without an answer, or in the middle of a stream.
Test(halfclosedcallers, callerThatLeavesIsNoticed)
{
    Server waiting;
    RawCaller first(*waiting.server);
    waiting.arrived.WaitForNotification();
    first.leave();
    cr_assert(waiting.noticesLeaving());

    Server streaming(&streamForAWhile);
    RawCaller second(*streaming.server);
    streaming.arrived.WaitForNotification();
    absl::SleepFor(absl::Milliseconds(200));
    second.leave();
    cr_assert(streaming.noticesLeaving());
}
