#include "tests/proxy/tcpproxy.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <list>
#include <stdexcept>
#include <thread>
#include <vector>

namespace FaultProxy
{

namespace
{

constexpr int PollMs = 20;
constexpr std::size_t PartBytes = 16384;
constexpr int ThrottleStepMs = 50;

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// Both sockets of one connection; closed when the last of its two threads has finished.
struct Connection
{
    int callerSocket = -1;
    int targetSocket = -1;
    std::string from;
    std::atomic<bool> isOver { false };

    ~Connection()
    {
        close(callerSocket);
        if (targetSocket >= 0) {
            close(targetSocket);
        }
    }
    void reset()
    {
        const linger resetOnClose { 1, 0 };
        setsockopt(callerSocket, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        if (targetSocket >= 0) {
            setsockopt(targetSocket, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        }
        isOver = true;
    }
};

} // namespace

struct TcpProxy::Private
{
    Private(std::string ip, std::uint16_t port, std::string name, const Partition &allPartition, PeerName namer)
        : targetIp(std::move(ip))
        , targetPort(port)
        , targetName(std::move(name))
        , partition(allPartition)
        , peerName(std::move(namer))
    {
    }

    const std::string targetIp;
    const std::uint16_t targetPort;
    const std::string targetName;
    const Partition &partition;
    const PeerName peerName;
    Faults faults;
    int listener = -1;
    std::atomic<bool> isStopping { false };
    std::thread acceptor;
    std::mutex mutex;
    std::list<std::thread> pumps;

    void acceptLoop();
    void open(int socket, std::uint16_t peerPort);
    // Passes bytes from one socket to the other until one of them closes or a fault ends the connection.
    void pump(const std::shared_ptr<Connection> &connection, bool isAnswer);
    bool pass(Connection &connection, int to, const char *data, std::size_t size);
    bool isBlocked(const Connection &connection) const;
};

bool TcpProxy::Private::isBlocked(const Connection &connection) const
{
    return faults.isBlackHole || partition.isBlocked(connection.from, targetName);
}

void TcpProxy::Private::acceptLoop()
{
    while (!isStopping) {
        pollfd ready { listener, POLLIN, 0 };
        if (poll(&ready, 1, PollMs) <= 0) {
            continue;
        }
        sockaddr_in peer {};
        socklen_t size = sizeof peer;
        const int socket = accept4(listener, reinterpret_cast<sockaddr *>(&peer), &size, SOCK_CLOEXEC);
        if (socket >= 0) {
            open(socket, ntohs(peer.sin_port));
        }
    }
}

void TcpProxy::Private::open(int callerSocket, std::uint16_t peerPort)
{
    auto connection = std::make_shared<Connection>();
    connection->callerSocket = callerSocket;
    connection->from = peerName ? peerName(peerPort) : "";
    if (faults.isReset) {
        connection->reset();
        return;
    }
    const int one = 1;
    setsockopt(callerSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (!faults.isHalfOpen && !isBlocked(*connection)) {
        connection->targetSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in target = addressOf(targetIp, targetPort);
        if (connect(connection->targetSocket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
            connection->reset();
            return;
        }
        setsockopt(connection->targetSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    const std::lock_guard lock(mutex);
    pumps.emplace_back([this, connection] { pump(connection, false); });
    if (connection->targetSocket >= 0) {
        pumps.emplace_back([this, connection] { pump(connection, true); });
    }
}

bool TcpProxy::Private::pass(Connection &connection, int to, const char *data, std::size_t size)
{
    std::size_t sent = 0;
    while (sent < size && !connection.isOver && !isStopping) {
        const int bytesPerSecond = faults.maxBytesPerSecond;
        std::size_t count = size - sent;
        if (bytesPerSecond > 0) {
            sleepMs(ThrottleStepMs);
            count = std::min(count, std::max<std::size_t>(1, static_cast<std::size_t>(bytesPerSecond) * ThrottleStepMs / 1000));
        }
        const ssize_t done = send(to, data + sent, count, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (done < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            pollfd ready { to, POLLOUT, 0 };
            poll(&ready, 1, PollMs);
        } else if (done < 0) {
            return false;
        } else {
            sent += static_cast<std::size_t>(done);
        }
    }
    return sent == size;
}

void TcpProxy::Private::pump(const std::shared_ptr<Connection> &connection, bool isAnswer)
{
    const int from = isAnswer ? connection->targetSocket : connection->callerSocket;
    const int to = isAnswer ? connection->callerSocket : connection->targetSocket;
    const auto &cutAfter = isAnswer ? faults.cutAnswerAfter : faults.cutRequestAfter;
    std::int64_t passed = 0;
    std::vector<char> part(PartBytes);
    while (!connection->isOver && !isStopping) {
        if (faults.isReset) {
            connection->reset();
            break;
        }
        pollfd ready { from, POLLIN, 0 };
        if (to < 0 || isBlocked(*connection) || poll(&ready, 1, PollMs) <= 0) {
            if (to < 0 || isBlocked(*connection)) {
                sleepMs(PollMs);
            }
            continue;
        }
        const ssize_t count = recv(from, part.data(), part.size(), 0);
        if (count <= 0) {
            if (!faults.isHalfOpen) {
                shutdown(to, SHUT_WR);
                connection->isOver = isAnswer;
            }
            return;
        }
        if (faults.delayMs > 0) {
            sleepMs(faults.delayMs);
        }
        std::size_t size = static_cast<std::size_t>(count);
        const std::int64_t limit = cutAfter;
        const bool isCut = limit >= 0 && passed + count > limit;
        if (isCut) {
            size = static_cast<std::size_t>(std::max<std::int64_t>(0, limit - passed));
        }
        if (!pass(*connection, to, part.data(), size)) {
            connection->isOver = true;
        }
        passed += static_cast<std::int64_t>(size);
        if (isCut) {
            connection->reset();
        }
    }
}

TcpProxy::TcpProxy(const std::string &listenIp, std::uint16_t port, std::string targetIp, std::uint16_t targetPort, std::string targetName,
    const Partition &partition, PeerName peerName)
    : d(std::make_shared<Private>(std::move(targetIp), targetPort, std::move(targetName), partition, std::move(peerName)))
{
    d->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(d->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = addressOf(listenIp, port);
    if (bind(d->listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(d->listener, 128) != 0) {
        throw std::runtime_error("proxy: cannot listen on " + listenIp + ":" + std::to_string(port));
    }
    d->acceptor = std::thread([this] { d->acceptLoop(); });
}

TcpProxy::~TcpProxy()
{
    d->isStopping = true;
    d->acceptor.join();
    for (std::thread &pump : d->pumps) {
        pump.join();
    }
    close(d->listener);
}

std::uint16_t TcpProxy::port() const
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(d->listener, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

Faults &TcpProxy::faults()
{
    return d->faults;
}

} // namespace FaultProxy
