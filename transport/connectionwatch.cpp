#include "transport/connectionwatch.h"

#include <sys/socket.h>

#include <algorithm>
#include <string_view>

namespace ApricotStep
{

namespace
{

constexpr std::string_view TimeoutAnswer =
    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: 159\r\n\r\n"
    R"({"error":{"message":"The request did not arrive whole in time.","type":"invalid_request_error","code":"request_timeout","not_run":true,"retry":"same_request"}})";

// Callers reuse a connection within this time when they send several requests in a row.
constexpr Duration CrowdedLimit { 2000 };

} // namespace

ConnectionWatch::ConnectionWatch(const Clock &clock, Duration arrivalLimit)
    : m_clock(clock)
    , m_limit(arrivalLimit)
{
}

void ConnectionWatch::opened(int socket, bool isPlain)
{
    const absl::MutexLock lock(&m_mutex);
    m_connections[socket] = WatchedConnection { m_clock.now(), false, isPlain };
}

void ConnectionWatch::closed(int socket)
{
    const absl::MutexLock lock(&m_mutex);
    m_connections.erase(socket);
}

bool ConnectionWatch::requestArrived(int socket)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_connections.find(socket);
    if (at == m_connections.end()) {
        return true;
    }
    at->second.isServing = true;
    return !at->second.isEnded;
}

void ConnectionWatch::requestCompleted(int socket)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_connections.find(socket);
    if (at != m_connections.end()) {
        at->second.isServing = false;
        at->second.since = m_clock.now();
    }
}

void ConnectionWatch::closeOverdue(bool isCrowded)
{
    const Time now = m_clock.now();
    const Duration limit = isCrowded ? std::min(m_limit, CrowdedLimit) : m_limit;
    const absl::MutexLock lock(&m_mutex);
    for (auto &[socket, watched] : m_connections) {
        if (watched.isServing || watched.isEnded || now - watched.since <= limit) {
            continue;
        }
        if (watched.isPlain) {
            send(socket, TimeoutAnswer.data(), TimeoutAnswer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        }
        shutdown(socket, SHUT_RDWR);
        watched.isEnded = true; // MHD closes the connection when it reads the end of the input.
    }
}

} // namespace ApricotStep
