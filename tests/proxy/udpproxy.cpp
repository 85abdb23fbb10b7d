#include "tests/proxy/udpproxy.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <map>
#include <random>
#include <stdexcept>
#include <thread>
#include <vector>

namespace FaultProxy
{

namespace
{

constexpr int PollMs = 5;
constexpr int ReorderHoldMs = 60;
constexpr std::size_t DatagramBytes = 65536;

using SteadyTime = std::chrono::steady_clock::time_point;

struct PendingDatagram
{
    int socket = -1;
    sockaddr_in to {};
    std::string data;
};

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string ipOf(const sockaddr_in &address)
{
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    return text;
}

} // namespace

struct UdpProxy::Private
{
    sockaddr_in target {};
    std::string targetName;
    const Partition *partition = nullptr;
    SenderName senderName;
    Faults faults;
    std::mt19937_64 random;
    int listener = -1;
    std::atomic<bool> isStopping { false };
    std::thread thread;
    std::multimap<SteadyTime, PendingDatagram> pending;
    // One socket towards the target for each sender, so that its answers can be returned.
    std::map<std::pair<std::uint32_t, std::uint16_t>, int> relays;
    std::map<int, sockaddr_in> senders;

    void loop();
    int relayFor(const sockaddr_in &sender);
    void receiveFromSender();
    void receiveFromTarget(int relay);
    void pass(int socket, const sockaddr_in &to, std::string data, const std::string &from, const std::string &toName);
    void sendDue();
    bool chance(int percent)
    {
        return percent > 0 && static_cast<int>(random() % 100) < percent;
    }
};

int UdpProxy::Private::relayFor(const sockaddr_in &sender)
{
    int &relay = relays.try_emplace({ sender.sin_addr.s_addr, sender.sin_port }, -1).first->second;
    if (relay < 0) {
        relay = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        senders[relay] = sender;
    }
    return relay;
}

void UdpProxy::Private::pass(int socket, const sockaddr_in &to, std::string data, const std::string &from, const std::string &toName)
{
    if (faults.isBlackHole || partition->isBlocked(from, toName) || chance(faults.lossPercent)) {
        return;
    }
    const int copies = chance(faults.duplicatePercent) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const int delay = faults.delayMs + (chance(faults.reorderPercent) ? ReorderHoldMs : 0);
        pending.emplace(std::chrono::steady_clock::now() + std::chrono::milliseconds(delay), PendingDatagram { socket, to, data });
    }
}

void UdpProxy::Private::receiveFromSender()
{
    std::vector<char> data(DatagramBytes);
    sockaddr_in sender {};
    socklen_t size = sizeof sender;
    const ssize_t count = recvfrom(listener, data.data(), data.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&sender), &size);
    if (count >= 0) {
        pass(relayFor(sender), target, std::string(data.data(), static_cast<std::size_t>(count)), senderName(ipOf(sender)), targetName);
    }
}

void UdpProxy::Private::receiveFromTarget(int relay)
{
    std::vector<char> data(DatagramBytes);
    const ssize_t count = recv(relay, data.data(), data.size(), MSG_DONTWAIT);
    if (count >= 0) {
        const sockaddr_in &sender = senders[relay];
        pass(listener, sender, std::string(data.data(), static_cast<std::size_t>(count)), targetName, senderName(ipOf(sender)));
    }
}

void UdpProxy::Private::sendDue()
{
    const auto now = std::chrono::steady_clock::now();
    while (!pending.empty() && pending.begin()->first <= now) {
        const PendingDatagram &first = pending.begin()->second;
        sendto(first.socket, first.data.data(), first.data.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr *>(&first.to),
            sizeof first.to);
        pending.erase(pending.begin());
    }
}

void UdpProxy::Private::loop()
{
    while (!isStopping) {
        std::vector<pollfd> ready { { listener, POLLIN, 0 } };
        for (const auto &[key, relay] : relays) {
            ready.push_back({ relay, POLLIN, 0 });
        }
        poll(ready.data(), ready.size(), PollMs);
        if ((ready[0].revents & POLLIN) != 0) {
            receiveFromSender();
        }
        for (std::size_t i = 1; i < ready.size(); ++i) {
            if ((ready[i].revents & POLLIN) != 0) {
                receiveFromTarget(ready[i].fd);
            }
        }
        sendDue();
    }
}

UdpProxy::UdpProxy(const std::string &listenIp, std::uint16_t port, std::string targetIp, std::string targetName,
    const Partition &partition, SenderName senderName, std::uint64_t seed)
    : d(std::make_unique<Private>())
{
    d->target = addressOf(targetIp, port);
    d->targetName = std::move(targetName);
    d->partition = &partition;
    d->senderName = std::move(senderName);
    d->random.seed(seed);
    d->listener = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(listenIp, port);
    if (bind(d->listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        throw std::runtime_error("proxy: cannot receive datagrams on " + listenIp + ":" + std::to_string(port));
    }
    d->thread = std::thread([this] { d->loop(); });
}

UdpProxy::~UdpProxy()
{
    d->isStopping = true;
    d->thread.join();
    for (const auto &[key, relay] : d->relays) {
        close(relay);
    }
    close(d->listener);
}

Faults &UdpProxy::faults()
{
    return d->faults;
}

} // namespace FaultProxy
