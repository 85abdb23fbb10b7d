#include "transport/udpsocket.h"

#include <absl/strings/numbers.h>

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace ApricotStep
{

namespace
{

constexpr std::size_t MaxDatagramBytes = 16U << 10U;
// Without this limit a thread under a flood of datagrams would read forever and never notice that it is to stop.
constexpr int MaxReadsPerRound = 256;

bool parseAddress(const std::string &text, sockaddr_in &address)
{
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    address = {};
    address.sin_family = AF_INET;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > UINT16_MAX) {
        return false;
    }
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
}

std::string addressText(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> host {};
    inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
    return std::string(host.data()) + ':' + std::to_string(ntohs(address.sin_port));
}

} // namespace

Endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &port) || port > UINT16_MAX) {
        port = 0;
    }
    return Endpoint { address.substr(0, colon), static_cast<std::uint16_t>(port) };
}

struct UdpSocket::Private
{
    int socket = -1;
    int wake = -1;
    std::uint16_t port = 0;
    Handler handler;
    std::thread thread;

    void run();
    void readAll(const Handler &to) const;
};

void UdpSocket::Private::readAll(const Handler &to) const
{
    std::array<char, MaxDatagramBytes> buffer; // Not zeroed: it is far larger than most datagrams.
    for (int i = 0; i < MaxReadsPerRound; ++i) {
        sockaddr_in from {};
        socklen_t length = sizeof from;
        const ssize_t count = recvfrom(socket, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&from), &length);
        if (count < 0) {
            return;
        }
        to(std::string_view(buffer.data(), static_cast<std::size_t>(count)), addressText(from));
    }
}

void UdpSocket::Private::run()
{
    std::array<pollfd, 2> pollDescriptors { pollfd { socket, POLLIN, 0 }, pollfd { wake, POLLIN, 0 } };
    for (;;) {
        poll(pollDescriptors.data(), pollDescriptors.size(), -1);
        if ((pollDescriptors[1].revents & POLLIN) != 0) {
            return;
        }
        readAll(handler);
    }
}

UdpSocket::UdpSocket()
    : d(std::make_unique<Private>())
{
}

Result<std::unique_ptr<UdpSocket>> UdpSocket::open(const std::string &address, std::uint16_t port)
{
    std::unique_ptr<UdpSocket> udp(new UdpSocket);
    sockaddr_in local {};
    if (!parseAddress(address + ':' + std::to_string(port), local)) {
        return Error { ErrorKind::SettingsInvalid,
            "'" + address + "' is not an IPv4 address; set membership.address to an address of this VM" };
    }
    udp->d->socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    udp->d->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (bind(udp->d->socket, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0) {
        return Error { ErrorKind::SettingsInvalid, "cannot bind UDP " + addressText(local) + "; set membership.port to a free port" };
    }
    socklen_t length = sizeof local;
    getsockname(udp->d->socket, reinterpret_cast<sockaddr *>(&local), &length);
    udp->d->port = ntohs(local.sin_port);
    return udp;
}

UdpSocket::~UdpSocket()
{
    if (d->thread.joinable()) {
        const std::uint64_t one = 1;
        static_cast<void>(!write(d->wake, &one, sizeof one));
        d->thread.join();
    }
    if (d->socket >= 0) {
        close(d->socket);
        close(d->wake);
    }
}

std::uint16_t UdpSocket::port() const
{
    return d->port;
}

void UdpSocket::start(Handler handler)
{
    d->handler = std::move(handler);
    d->thread = std::thread([this] { d->run(); });
}

int UdpSocket::descriptor() const
{
    return d->socket;
}

void UdpSocket::receive(const Handler &handler)
{
    d->readAll(handler);
}

bool UdpSocket::send(const std::string &to, std::string_view bytes)
{
    sockaddr_in address {};
    if (!parseAddress(to, address)) {
        return false;
    }
    const ssize_t count = sendto(d->socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    return count == static_cast<ssize_t>(bytes.size());
}

} // namespace ApricotStep
