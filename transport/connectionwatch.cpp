#include "transport/connectionwatch.h"

#include "transport/memoryrefusal.h"

#include <sys/socket.h>

#include <string>
#include <string_view>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr std::string_view TimeoutAnswer =
    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: 159\r\n\r\n"
    R"({"error":{"message":"The request did not arrive whole in time.","type":"invalid_request_error","code":"request_timeout","not_run":true,"retry":"same_request"}})";

// How long a client may read an answer that it got before it had sent its body.
constexpr Duration RefusedLimit { 2000 };
// A body of which no part has arrived for so long may give way to other connections.
constexpr Duration StallLimit { 1000 };

// A connection with unread bytes is not silent: its request is about to be read.
bool hasUnreadBytes(int socket)
{
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace

ConnectionWatch::ConnectionWatch(const Clock &clock, Duration arrivalLimit, std::function<void(ClientLimit)> onLimit)
    : m_clock(clock)
    , m_onLimit(std::move(onLimit))
    , m_bodyLimit(arrivalLimit)
    , m_headLimit(arrivalLimit)
{
}

void ConnectionWatch::opened(int socket, bool isPlain)
{
    WatchedConnection watched;
    watched.since = m_clock.now();
    watched.isPlain = isPlain;
    const absl::MutexLock lock(&m_mutex);
    m_connections[socket] = std::move(watched);
}

void ConnectionWatch::closed(int socket)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_connections.find(socket);
    if (at != m_connections.end()) {
        m_endedCount -= at->second.isEnded ? 1 : 0;
        m_connections.erase(at);
    }
}

void ConnectionWatch::headArrived(int socket)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_connections.find(socket);
    if (at != m_connections.end()) {
        at->second.phase = Phase::ReceivingBody;
        at->second.since = m_clock.now();
        at->second.deadline = at->second.since + m_bodyLimit;
    }
}

void ConnectionWatch::bodyArrived(int socket)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_connections.find(socket);
    if (at != m_connections.end()) {
        at->second.since = m_clock.now();
    }
}

void ConnectionWatch::limitBody(int socket, Time deadline, std::shared_ptr<BodyReservation> reservation)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_connections.find(socket);
    if (at != m_connections.end()) {
        at->second.deadline = deadline;
        at->second.reservation = std::move(reservation);
    }
}

void ConnectionWatch::refused(int socket)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_connections.find(socket);
    if (at != m_connections.end()) {
        at->second.phase = Phase::Refused;
        at->second.since = m_clock.now();
        at->second.reservation.reset();
    }
}

bool ConnectionWatch::requestArrived(int socket)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_connections.find(socket);
    if (at == m_connections.end()) {
        return true;
    }
    at->second.phase = Phase::Serving;
    at->second.reservation.reset();
    return !at->second.isEnded;
}

void ConnectionWatch::requestCompleted(int socket)
{
    const absl::MutexLock lock(&m_mutex);
    const auto at = m_connections.find(socket);
    if (at != m_connections.end()) {
        at->second.phase = Phase::AwaitingHead;
        at->second.since = m_clock.now();
        at->second.reservation.reset();
        at->second.isUsed = true;
    }
}

void ConnectionWatch::setHeadLimit(Duration limit)
{
    const absl::MutexLock lock(&m_mutex);
    m_headLimit = limit;
}

void ConnectionWatch::end(int socket, WatchedConnection &watched, ClientLimit limit)
{
    // That a client leaves its connection idle until it is closed is usual.
    const bool isUsual = watched.phase == Phase::Refused || (watched.phase == Phase::AwaitingHead && limit == ClientLimit::ArrivalTime);
    if (m_onLimit && !isUsual) {
        m_onLimit(limit);
    }
    if (watched.isPlain && watched.phase != Phase::Refused) {
        const std::string answer = limit == ClientLimit::BodyPace ? memoryRefusal() : std::string(TimeoutAnswer);
        send(socket, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    shutdown(socket, SHUT_RDWR);
    watched.isEnded = true; // MHD closes the connection when it reads the end of the input.
    ++m_endedCount;
}

void ConnectionWatch::closeOverdue()
{
    const Time now = m_clock.now();
    const absl::MutexLock lock(&m_mutex);
    for (auto &[socket, watched] : m_connections) {
        if (watched.isEnded || watched.phase == Phase::Serving) {
            continue;
        }
        const bool isReceiving = watched.phase == Phase::ReceivingBody;
        const Duration limit = watched.phase == Phase::Refused ? RefusedLimit : m_headLimit;
        if (isReceiving && watched.reservation != nullptr && watched.reservation->isTakenBack()) {
            end(socket, watched, ClientLimit::BodyPace);
        } else if (isReceiving ? now > watched.deadline : now - watched.since > limit) {
            end(socket, watched, ClientLimit::ArrivalTime);
        }
    }
}

int ConnectionWatch::usefulness(const WatchedConnection &watched, Time now) const
{
    if (watched.isEnded || watched.phase == Phase::Serving) {
        return -1;
    }
    if (watched.phase == Phase::Refused) {
        return 0;
    }
    if (watched.phase == Phase::AwaitingHead) {
        return watched.isUsed ? 2 : 1;
    }
    return now - watched.since > StallLimit ? 3 : -1;
}

bool ConnectionWatch::closeLeastUseful()
{
    const Time now = m_clock.now();
    const absl::MutexLock lock(&m_mutex);
    int leastSocket = -1;
    std::pair<int, Time> least;
    for (const auto &[socket, watched] : m_connections) {
        const std::pair<int, Time> rank { usefulness(watched, now), watched.since };
        if (rank.first >= 0 && (leastSocket < 0 || rank < least) && (watched.phase != Phase::AwaitingHead || !hasUnreadBytes(socket))) {
            leastSocket = socket;
            least = rank;
        }
    }
    if (leastSocket < 0) {
        return false;
    }
    end(leastSocket, m_connections[leastSocket], ClientLimit::IdleConnection);
    return true;
}

std::size_t ConnectionWatch::openCount() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_connections.size() - m_endedCount;
}

} // namespace ApricotStep
