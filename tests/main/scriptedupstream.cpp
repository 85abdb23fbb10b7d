#include "scriptedupstream.h"

#include <absl/strings/str_replace.h>
#include <absl/time/clock.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Fixtures
{

ScriptedUpstream::ScriptedUpstream(Script script, Reading reading)
    : m_script(std::move(script))
    , m_reading(reading)
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    constexpr int Backlog = 128;
    if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(m_listener, Backlog) != 0) {
        std::abort();
    }
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

ScriptedUpstream::~ScriptedUpstream()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    {
        const absl::MutexLock lock(&m_mutex);
        for (const int socket : m_sockets) {
            shutdown(socket, SHUT_RDWR);
        }
    }
    for (std::thread &worker : m_workers) {
        worker.join();
    }
}

void ScriptedUpstream::stopListening() const
{
    shutdown(m_listener, SHUT_RDWR);
}

std::vector<std::string> ScriptedUpstream::requests() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_requests;
}

void ScriptedUpstream::accept()
{
    while (!m_isStopping) {
        const int socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0) {
            return;
        }
        ++m_connections;
        const absl::MutexLock lock(&m_mutex);
        m_sockets.push_back(socket);
        m_workers.emplace_back([this, socket] { serve(socket); });
    }
}

bool ScriptedUpstream::readRequest(int socket, std::string &request) const
{
    char buffer[4096];
    std::size_t requestSize = std::string::npos;
    while (request.size() < requestSize) {
        const ssize_t received = recv(socket, buffer, sizeof buffer, 0);
        if (received <= 0) {
            return false;
        }
        request.append(buffer, static_cast<std::size_t>(received));
        const std::size_t head = request.find("\r\n\r\n");
        if (head == std::string::npos) {
            continue;
        }
        if (m_reading == Reading::Heads) {
            return true;
        }
        const std::size_t field = request.find("Content-Length: ");
        const std::size_t body = field < head ? std::stoul(request.substr(field + 16)) : 0;
        requestSize = head + 4 + body;
    }
    return true;
}

void ScriptedUpstream::sendEndless(int socket, const std::string &bytes)
{
    std::string block;
    constexpr std::size_t BlockBytes = 64 << 10;
    while (block.size() < BlockBytes) {
        block += bytes;
    }
    for (;;) {
        const ssize_t sent = send(socket, block.data(), block.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            ++m_endedEndless;
            return;
        }
        m_endlessBytes += static_cast<std::size_t>(sent);
    }
}

void ScriptedUpstream::serve(int socket)
{
    std::string request;
    std::string lateCopy;
    while (readRequest(socket, request)) {
        {
            const absl::MutexLock lock(&m_mutex);
            m_requests.push_back(request);
        }
        constexpr std::size_t FieldSize = 24;
        const std::size_t field = request.find("Apricotstep-Request-Id: ");
        const std::string id =
            field == std::string::npos ? "" : request.substr(field + FieldSize, request.find('\r', field) - field - FieldSize);
        const ScriptedAnswer answer = m_script(request);
        const std::string bytes = lateCopy + absl::StrReplaceAll(answer.bytes, { { "{id}", id } });
        lateCopy = absl::StrReplaceAll(answer.lateCopy, { { "{id}", id } });
        static_cast<void>(!send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
        for (const std::string &part : answer.laterParts) {
            absl::SleepFor(absl::Milliseconds(answer.pause.milliseconds()));
            static_cast<void>(!send(socket, part.data(), part.size(), MSG_NOSIGNAL));
        }
        if (!answer.endless.empty()) {
            sendEndless(socket, answer.endless);
            break;
        }
        if (answer.isHanging) {
            char byte = 0;
            recv(socket, &byte, 1, 0);
            ++m_closedByPeer;
            break;
        }
        if (answer.connectionAction == ScriptedAnswer::ConnectionAction::Reset) {
            const linger now { 1, 0 };
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        if (answer.connectionAction != ScriptedAnswer::ConnectionAction::Keep) {
            break;
        }
        request.clear();
    }
    const absl::MutexLock lock(&m_mutex);
    std::erase(m_sockets, socket);
    close(socket);
}

} // namespace Fixtures
