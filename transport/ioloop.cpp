#include "transport/ioloop.h"

#include <absl/container/btree_map.h>

#include <algorithm>
#include <atomic>
#include <utility>
#include <vector>

namespace ApricotStep
{

namespace
{

// A signal that arrives between two waits is handled within this time.
constexpr Duration MaxWait { 100 };
// Datagrams wait this long so that several are read together. In a fleet of 134 nodes each node receives some 400 datagrams a second. If
// each of them woke the thread, a node with a twelfth of a core would spend more time on wakeups than on the messages; a request for an
// adapter takes 250 ms anyway.
constexpr Duration DatagramBatchDelay { 8 };

struct Socket
{
    UdpSocket *socket = nullptr;
    UdpSocket::Handler handler;
};

} // namespace

struct IoLoop::Private
{
    const Clock &clock;
    Time now = clock.now();
    HttpClient client { HttpClient::Mode::Driven };
    std::vector<HttpServer *> servers;
    std::vector<Socket> sockets;
    Time datagramsReadAt;
    // Ordered by due time, then by the order in which they were set.
    absl::btree_map<std::pair<Time, TimerId>, std::function<void()>> timers;
    absl::btree_map<TimerId, Time> dueTimes;
    TimerId lastTimer = 0;
    std::function<void(Duration)> delayed;
    std::atomic<bool> isStopping { false };

    explicit Private(const Clock &clock)
        : clock(clock)
    {
    }

    Duration untilNextTimer() const
    {
        if (timers.empty()) {
            return MaxWait;
        }
        return std::clamp(timers.begin()->first.first - now, Duration(0), MaxWait);
    }

    void callDueTimers()
    {
        while (!timers.empty() && timers.begin()->first.first <= now) {
            const auto function = std::move(timers.begin()->second);
            dueTimes.erase(timers.begin()->first.second);
            timers.erase(timers.begin());
            function();
        }
    }

    bool haveServersWork() const
    {
        return std::any_of(servers.begin(), servers.end(), [](const HttpServer *server) { return server->hasWork(); });
    }

    /** @p areReady: in the order of the servers. Each step of a server without work costs a system call. */
    void stepServers(const std::vector<bool> &areReady)
    {
        for (std::size_t i = 0; i < servers.size(); ++i) {
            if (areReady[i] || servers[i]->hasWork()) {
                servers[i]->step();
            }
        }
    }

    void receiveDatagrams()
    {
        datagramsReadAt = now;
        for (const Socket &entry : sockets) {
            entry.socket->receive(entry.handler);
        }
    }
};

IoLoop::IoLoop(const Clock &clock)
    : d(std::make_unique<Private>(clock))
{
}

IoLoop::~IoLoop() = default;

HttpClient &IoLoop::client()
{
    return d->client;
}

const Clock &IoLoop::clock() const
{
    return d->clock;
}

void IoLoop::add(HttpServer *server)
{
    d->servers.push_back(server);
}

void IoLoop::remove(const HttpServer *server)
{
    std::erase(d->servers, server);
}

void IoLoop::add(UdpSocket *socket, UdpSocket::Handler handler)
{
    d->sockets.push_back(Socket { socket, std::move(handler) });
}

Time IoLoop::now() const
{
    return d->now;
}

TimerId IoLoop::after(Duration wait, std::function<void()> function)
{
    const TimerId id = ++d->lastTimer;
    const Time at = d->now + wait;
    d->timers.emplace(std::pair(at, id), std::move(function));
    d->dueTimes.emplace(id, at);
    return id;
}

void IoLoop::cancel(TimerId id)
{
    const auto at = d->dueTimes.find(id);
    if (at != d->dueTimes.end()) {
        d->timers.erase(std::pair(at->second, id));
        d->dueTimes.erase(at);
    }
}

void IoLoop::onDelayed(std::function<void(Duration delay)> callback)
{
    d->delayed = std::move(callback);
}

void IoLoop::run()
{
    std::vector<int> descriptors;
    while (!d->isStopping) {
        descriptors.clear();
        for (const HttpServer *server : d->servers) {
            descriptors.push_back(server->pollDescriptor());
        }
        const Duration untilDatagramRead = d->datagramsReadAt + DatagramBatchDelay - d->now;
        const bool areDatagramsDue = untilDatagramRead <= Duration(0);
        if (areDatagramsDue) {
            for (const Socket &entry : d->sockets) {
                descriptors.push_back(entry.socket->descriptor());
            }
        }
        Duration wait = d->haveServersWork() ? Duration(0) : d->untilNextTimer();
        wait = areDatagramsDue || d->sockets.empty() ? wait : std::min(wait, untilDatagramRead);
        const std::vector<bool> areReady = d->client.step(descriptors, wait);
        const Time due = d->now + wait;
        d->now = d->clock.now();
        const bool isDelayed = d->now - due >= MinReportedDelay;
        if (isDelayed && d->delayed) {
            d->delayed(d->now - due);
        }
        // Answers are read before timers judge that they are missing.
        d->client.readAnswers(isDelayed || d->untilNextTimer() <= Duration(0));
        d->stepServers(areReady);
        if (std::find(areReady.begin() + static_cast<std::ptrdiff_t>(d->servers.size()), areReady.end(), true) != areReady.end()) {
            d->receiveDatagrams();
        }
        d->callDueTimers();
    }
    d->isStopping = false;
}

void IoLoop::stop()
{
    d->isStopping = true;
}

} // namespace ApricotStep
