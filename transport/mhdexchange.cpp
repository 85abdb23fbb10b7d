#include "transport/mhdexchange.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr std::size_t StreamBlockBytes = 16U << 10U;

void freeBody(void *body)
{
    delete static_cast<std::string *>(body);
}

// Bytes that the peer sent before it closed the connection hide the end of the input from recv().
bool isClosedByPeer(int socket)
{
    char byte = 0;
    const ssize_t count = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count <= 0) {
        return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }
    pollfd state { socket, POLLRDHUP, 0 };
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

MhdExchange::MhdExchange(MHD_Connection *connection, std::shared_ptr<std::atomic<bool>> isAnyResumed, const HttpServerSettings &settings)
    : m_connection(connection)
    , m_isAnyResumed(std::move(isAnyResumed))
    , m_streamBufferBytes(settings.streamBufferBytes)
    , m_maxAnswerHeadBytes(settings.maxAnswerHeadBytes)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    m_socket = info != nullptr ? info->connect_fd : -1;
}

void MhdExchange::respond(int status, const HttpHeaders &headers, std::string body)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_hasAnswer || m_isClosed) {
        return;
    }
    m_hasAnswer = true;
    m_isWhole = true;
    m_status = status;
    m_headers = headers;
    m_body = std::move(body);
    resumeLocked();
}

void MhdExchange::beginStream(int status, const HttpHeaders &headers)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_hasAnswer || m_isClosed) {
        return;
    }
    m_hasAnswer = true;
    m_status = status;
    m_headers = headers;
    resumeLocked();
}

bool MhdExchange::write(std::string_view data)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_isClosed || m_isFinished) {
        return true;
    }
    m_buffer.Append(absl::string_view(data.data(), data.size()));
    resumeLocked();
    m_isFull = m_isFull || m_buffer.size() > m_streamBufferBytes;
    return !m_isFull;
}

void MhdExchange::finish()
{
    const absl::MutexLock lock(&m_mutex);
    m_isFinished = true;
    resumeLocked();
}

void MhdExchange::abort()
{
    const absl::MutexLock lock(&m_mutex);
    m_isFinished = true;
    m_isAborted = true;
    m_hasAnswer = true;
    resumeLocked();
}

// Without a reset a caller of HTTP/1.0, whose answers end with the connection, would take a part for a whole answer. MHD does not ask for
// more of an answer while the socket takes no bytes, so it notices the abort only by the socket.
void MhdExchange::abortNow()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_isClosed) {
        return;
    }
    m_isFinished = true;
    m_isAborted = true;
    m_hasAnswer = true;
    m_body = std::string();
    m_queuedBytes = 0;
    m_buffer.Clear();
    sockaddr none {};
    none.sa_family = AF_UNSPEC;
    // Resets the connection, which a shutdown would end only after what the system has buffered. If this fails, MHD aborts it as soon as
    // the caller reads.
    static_cast<void>(connect(m_socket, &none, sizeof none));
    resumeLocked();
}

std::size_t MhdExchange::unreadBytes() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_isClosed ? 0 : m_body.size() + m_queuedBytes + m_buffer.size();
}

std::size_t MhdExchange::maxAnswerHeadBytes() const
{
    return m_maxAnswerHeadBytes;
}

void MhdExchange::setMaxAnswerHeadBytes(std::size_t bytes)
{
    m_maxAnswerHeadBytes = bytes;
}

std::string MhdExchange::rawAnswer() const
{
    const absl::MutexLock lock(&m_mutex);
    std::string answer = absl::StrCat("HTTP/1.1 ", m_status, " ", MHD_get_reason_phrase_for(static_cast<unsigned int>(m_status)), "\r\n");
    for (const auto &[name, value] : m_headers) {
        if (!absl::EqualsIgnoreCase(name, MHD_HTTP_HEADER_CONNECTION)) {
            absl::StrAppend(&answer, name, ": ", value, "\r\n");
        }
    }
    absl::StrAppend(&answer, "Connection: close\r\nContent-Length: ", m_body.size(), "\r\n\r\n", m_body);
    return answer;
}

int MhdExchange::pendingStatus() const
{
    const absl::MutexLock lock(&m_mutex);
    char byte = 0;
    const bool isConnected = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0 || errno == EAGAIN;
    return m_isQueued && !m_isAborted && isConnected ? m_status : 0;
}

void MhdExchange::onDrained(std::function<void()> callback)
{
    const absl::MutexLock lock(&m_mutex);
    m_drained = std::move(callback);
}

void MhdExchange::onCallerGone(std::function<void()> callback)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_isGone) {
            m_gone = std::move(callback);
            return;
        }
    }
    callback();
}

MHD_Result MhdExchange::answerOrSuspend()
{
    const absl::MutexLock lock(&m_mutex);
    if (!m_hasAnswer) {
        suspendLocked();
        return MHD_YES;
    }
    if (m_isAborted) {
        return MHD_NO;
    }
    MHD_Response *response = nullptr;
    if (m_isWhole) {
        m_queuedBytes = m_body.size();
        auto *body = new std::string(std::exchange(m_body, {}));
        response = MHD_create_response_from_buffer_with_free_callback_cls(body->size(), body->data(), &freeBody, body);
    } else {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlockBytes, &MhdExchange::read, this, nullptr);
    }
    for (const auto &[name, value] : m_headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (closesConnection) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(m_connection, static_cast<unsigned int>(m_status), response);
    m_isQueued = true;
    MHD_destroy_response(response);
    return result;
}

void MhdExchange::close(bool isWhole)
{
    std::function<void()> gone;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        m_isSuspended = false;
        m_body = std::string();
        m_buffer.Clear();
        if (!isWhole && !m_isAborted && !m_isGone) {
            m_isGone = true;
            gone = std::move(m_gone);
        }
        m_gone = nullptr;
        m_drained = nullptr;
    }
    if (gone) {
        gone();
    }
}

// MHD does not watch a suspended connection. Without this check the request of a caller that disconnected would keep its place in the queue
// until it was served.
void MhdExchange::checkCallerGone()
{
    std::function<void()> gone;
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_isSuspended || m_isGone || !isClosedByPeer(m_socket)) {
            return;
        }
        m_isGone = true;
        gone = std::move(m_gone);
        m_hasAnswer = true;
        m_isAborted = true;
        m_isFinished = true;
        resumeLocked();
    }
    if (gone) {
        gone();
    }
}

ssize_t MhdExchange::read(void *context, std::uint64_t, char *out, std::size_t max)
{
    return static_cast<MhdExchange *>(context)->readSome(out, max);
}

ssize_t MhdExchange::readSome(char *out, std::size_t max)
{
    std::function<void()> drained;
    ssize_t result = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        std::size_t count = 0;
        for (auto part = m_buffer.chunk_begin(); part != m_buffer.chunk_end() && count < max; ++part) {
            count += part->copy(out + count, max - count);
        }
        m_buffer.RemovePrefix(count);
        result = static_cast<ssize_t>(count);
        if (m_buffer.empty()) {
            if (m_isFull) {
                m_isFull = false;
                drained = m_drained;
            }
            if (count == 0) {
                result = emptyBufferResultLocked();
            }
        }
    }
    if (drained) {
        drained();
    }
    return result;
}

ssize_t MhdExchange::emptyBufferResultLocked()
{
    if (m_isAborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (m_isFinished) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    suspendLocked();
    return 0;
}

void MhdExchange::suspendLocked()
{
    m_isSuspended = true;
    MHD_suspend_connection(m_connection);
}

void MhdExchange::resumeLocked()
{
    if (m_isSuspended) {
        m_isSuspended = false;
        MHD_resume_connection(m_connection);
        *m_isAnyResumed = true;
    }
}

} // namespace ApricotStep
