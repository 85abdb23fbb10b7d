#include "transport/httpserver.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <deque>
#include <thread>
#include <utility>

namespace ApricotStep
{

namespace
{

// Bytes of a stream that wait for the caller before write() asks for a pause.
constexpr std::size_t HighWaterBytes = 256U << 10U;
constexpr std::size_t StreamBlockBytes = 16U << 10U;
constexpr std::string_view TooLargeBody =
    R"({"error":{"message":"The request is larger than this node accepts.","type":"invalid_request_error","code":"request_too_large","not_run":true,"retry":"never"}})";
constexpr int TooLargeStatus = 413;
// A caller that leaves while its request waits is noticed within this time.
constexpr auto GoneCheckInterval = std::chrono::milliseconds(200);

class Exchange;

std::string peerText(MHD_Connection *connection)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    char text[INET6_ADDRSTRLEN] = {};
    if (info != nullptr && info->client_addr->sa_family == AF_INET) {
        inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in *>(info->client_addr)->sin_addr, text, sizeof text);
    }
    return text;
}

} // namespace

struct HttpServer::Private
{
    HttpServerSettings settings;
    HttpHandler handler;
    MHD_Daemon *daemon = nullptr;
    std::atomic<int> active { 0 };
    std::atomic<bool> isStopping { false };
    std::thread goneChecker;
    absl::Mutex mutex;
    absl::flat_hash_set<std::shared_ptr<Exchange>> exchanges ABSL_GUARDED_BY(mutex);

    void checkGone();
    MHD_Result onAccess(MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **state);
    void onCompleted(void **state, MHD_RequestTerminationCode code);
};

namespace
{

// Locks: m_mutex guards all below it. MHD is called with it held only for suspend and resume, which do not call back.
class Exchange final : public HttpExchange, public std::enable_shared_from_this<Exchange>
{
public:
    explicit Exchange(MHD_Connection *connection)
        : m_connection(connection)
    {
        const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        m_socket = info != nullptr ? info->connect_fd : -1;
    }

    HttpRequest request;
    bool isTooLarge = false;
    bool isHandled = false;

    void respond(int status, const HttpHeaders &headers, std::string body) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_hasAnswer || m_isClosed) {
            return;
        }
        m_hasAnswer = true;
        m_isWhole = true;
        m_status = status;
        m_headers = headers;
        m_buffer = std::move(body);
        resumeLocked();
    }

    void beginStream(int status, const HttpHeaders &headers) override
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

    bool write(std::string_view data) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_isClosed || m_isFinished) {
            return true;
        }
        m_buffer.append(data);
        resumeLocked();
        m_isFull = m_isFull || m_buffer.size() - m_offset > HighWaterBytes;
        return !m_isFull;
    }

    void finish() override
    {
        const absl::MutexLock lock(&m_mutex);
        m_isFinished = true;
        resumeLocked();
    }

    void abort() override
    {
        const absl::MutexLock lock(&m_mutex);
        m_isFinished = true;
        m_isAborted = true;
        m_hasAnswer = true;
        resumeLocked();
    }

    void onDrained(std::function<void()> callback) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_drained = std::move(callback);
    }

    void onCallerGone(std::function<void()> callback) override
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

    // From the server's thread: the answer if there is one, else suspends until there is.
    MHD_Result answerOrSuspend()
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_hasAnswer) {
            suspendLocked();
            return MHD_YES;
        }
        if (m_isAborted) {
            return MHD_NO;
        }
        MHD_Response *response = m_isWhole
            ? MHD_create_response_from_buffer(m_buffer.size(), m_buffer.data(), MHD_RESPMEM_MUST_COPY)
            : MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlockBytes, &Exchange::read, this, nullptr);
        for (const auto &[name, value] : m_headers) {
            MHD_add_response_header(response, name.c_str(), value.c_str());
        }
        const MHD_Result result = MHD_queue_response(m_connection, static_cast<unsigned int>(m_status), response);
        MHD_destroy_response(response);
        return result;
    }

    // The connection is over. isWhole tells whether the caller got everything.
    void close(bool isWhole)
    {
        std::function<void()> gone;
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_isClosed) {
                return;
            }
            m_isClosed = true;
            m_isSuspended = false;
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

    // MHD does not watch a suspended connection, so a caller that left would hold its place in the queue until it was served.
    void checkGone()
    {
        std::function<void()> gone;
        {
            const absl::MutexLock lock(&m_mutex);
            char byte = 0;
            if (!m_isSuspended || m_isGone || recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0) {
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

private:
    static ssize_t read(void *context, std::uint64_t, char *out, std::size_t max)
    {
        return static_cast<Exchange *>(context)->readSome(out, max);
    }

    ssize_t readSome(char *out, std::size_t max)
    {
        std::function<void()> drained;
        ssize_t result = 0;
        {
            const absl::MutexLock lock(&m_mutex);
            const std::size_t count = std::min(max, m_buffer.size() - m_offset);
            m_buffer.copy(out, count, m_offset);
            m_offset += count;
            result = static_cast<ssize_t>(count);
            if (m_offset == m_buffer.size()) {
                m_buffer.clear();
                m_offset = 0;
                if (m_isFull) {
                    m_isFull = false;
                    drained = m_drained;
                }
                if (count == 0) {
                    result = nothingToReadLocked();
                }
            }
        }
        if (drained) {
            drained();
        }
        return result;
    }

    ssize_t nothingToReadLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
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

    void suspendLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        m_isSuspended = true;
        MHD_suspend_connection(m_connection);
    }

    void resumeLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        if (m_isSuspended) {
            m_isSuspended = false;
            MHD_resume_connection(m_connection);
        }
    }

    MHD_Connection *m_connection;
    int m_socket = -1;
    absl::Mutex m_mutex;
    bool m_hasAnswer ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isWhole ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isFinished ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isAborted ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isClosed ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isSuspended ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isFull ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isGone ABSL_GUARDED_BY(m_mutex) = false;
    int m_status ABSL_GUARDED_BY(m_mutex) = 0;
    HttpHeaders m_headers ABSL_GUARDED_BY(m_mutex);
    std::string m_buffer ABSL_GUARDED_BY(m_mutex);
    std::size_t m_offset ABSL_GUARDED_BY(m_mutex) = 0;
    std::function<void()> m_drained ABSL_GUARDED_BY(m_mutex);
    std::function<void()> m_gone ABSL_GUARDED_BY(m_mutex);
};

MHD_Result addHeader(void *context, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<HttpRequest *>(context)->headers[absl::AsciiStrToLower(name)] = value != nullptr ? value : "";
    return MHD_YES;
}

MHD_Result addParameter(void *context, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<HttpRequest *>(context)->parameters[name] = value != nullptr ? value : "";
    return MHD_YES;
}

// Keeps the raw query beside MHD's parsed one, so that it can be passed on unchanged.
void *onUri(void *, const char *uri, MHD_Connection *connection)
{
    auto exchange = std::make_shared<Exchange>(connection);
    const char *mark = std::char_traits<char>::find(uri, std::char_traits<char>::length(uri), '?');
    if (mark != nullptr) {
        exchange->request.query = mark + 1;
    }
    return new std::shared_ptr<Exchange>(std::move(exchange));
}

} // namespace

std::string HttpRequest::header(const std::string &name) const
{
    const auto at = headers.find(name);
    return at == headers.end() ? std::string() : at->second;
}

std::string HttpRequest::parameter(const std::string &name) const
{
    const auto at = parameters.find(name);
    return at == parameters.end() ? std::string() : at->second;
}

MHD_Result HttpServer::Private::onAccess(
    MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **state)
{
    // MHD calls this several times for one request: at its headers, for each part of its body, at its end and after each resume. The
    // request is handed on once, at its end, else it would be admitted and run more than once.
    auto *exchange = static_cast<std::shared_ptr<Exchange> *>(*state)->get();
    HttpRequest &request = exchange->request;
    if (request.method.empty()) {
        request.method = method;
        request.path = url;
        request.peer = peerText(connection);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, &request);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addParameter, &request);
        active.fetch_add(1);
        const absl::MutexLock lock(&mutex);
        exchanges.insert(*static_cast<std::shared_ptr<Exchange> *>(*state));
        return MHD_YES;
    }
    if (*size > 0) {
        exchange->isTooLarge = exchange->isTooLarge || request.body.size() + *size > settings.maxBodyBytes;
        if (!exchange->isTooLarge) {
            request.body.append(data, *size);
        }
        *size = 0;
        return MHD_YES;
    }
    if (!exchange->isHandled) {
        exchange->isHandled = true;
        if (exchange->isTooLarge) {
            exchange->respond(TooLargeStatus, { { "Content-Type", "application/json" } }, std::string(TooLargeBody));
        } else {
            handler(std::exchange(request, HttpRequest { "handled" }), exchange->shared_from_this());
        }
    }
    return exchange->answerOrSuspend();
}

void HttpServer::Private::onCompleted(void **state, MHD_RequestTerminationCode code)
{
    auto *held = static_cast<std::shared_ptr<Exchange> *>(*state);
    if (held == nullptr) {
        return;
    }
    (*held)->close(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    {
        const absl::MutexLock lock(&mutex);
        if (exchanges.erase(*held) > 0) {
            active.fetch_sub(1);
        }
    }
    delete held;
    *state = nullptr;
}

void HttpServer::Private::checkGone()
{
    while (!isStopping) {
        std::this_thread::sleep_for(GoneCheckInterval);
        std::vector<std::shared_ptr<Exchange>> current;
        {
            const absl::MutexLock lock(&mutex);
            current.assign(exchanges.begin(), exchanges.end());
        }
        for (const auto &exchange : current) {
            exchange->checkGone();
        }
    }
}

HttpServer::HttpServer()
    : d(std::make_unique<Private>())
{
}

Result<std::unique_ptr<HttpServer>> HttpServer::start(const HttpServerSettings &settings, HttpHandler handler)
{
    std::unique_ptr<HttpServer> server(new HttpServer);
    Private *d = server->d.get();
    d->settings = settings;
    d->handler = std::move(handler);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings.port);
    if (inet_pton(AF_INET, settings.address.c_str(), &address.sin_addr) != 1) {
        return Error { ErrorKind::SettingsInvalid, "'" + settings.address + "' is not an IP number" };
    }
    const auto access = [](void *context, MHD_Connection *connection, const char *url, const char *method, const char *, const char *data,
                            std::size_t *size, void **state) -> MHD_Result {
        return static_cast<Private *>(context)->onAccess(connection, url, method, data, size, state);
    };
    const auto completed = [](void *context, MHD_Connection *, void **state, MHD_RequestTerminationCode code) {
        static_cast<Private *>(context)->onCompleted(state, code);
    };
    d->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, settings.port, nullptr, nullptr,
        +access, d, MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&address), MHD_OPTION_NOTIFY_COMPLETED,
        static_cast<MHD_RequestCompletedCallback>(+completed), d, MHD_OPTION_URI_LOG_CALLBACK, &onUri, d, MHD_OPTION_THREAD_POOL_SIZE,
        static_cast<unsigned int>(settings.threads > 1 ? settings.threads : 0), MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned int>(settings.maxConnections), MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned int>(settings.idleTimeout.milliseconds() / 1000), MHD_OPTION_CONNECTION_MEMORY_LIMIT, settings.maxHeaderBytes,
        MHD_OPTION_END);
    if (d->daemon == nullptr) {
        return Error { ErrorKind::SettingsInvalid, "cannot listen on " + settings.address + ":" + std::to_string(settings.port) };
    }
    d->goneChecker = std::thread([d] { d->checkGone(); });
    return server;
}

HttpServer::~HttpServer()
{
    d->isStopping = true;
    if (d->goneChecker.joinable()) {
        d->goneChecker.join();
    }
    if (d->daemon == nullptr) {
        return;
    }
    std::vector<std::shared_ptr<Exchange>> current;
    {
        const absl::MutexLock lock(&d->mutex);
        current.assign(d->exchanges.begin(), d->exchanges.end());
    }
    for (const auto &exchange : current) {
        exchange->abort(); // MHD does not stop while a connection is suspended.
    }
    MHD_stop_daemon(d->daemon);
}

std::uint16_t HttpServer::port() const
{
    const auto *info = MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info != nullptr ? info->port : 0;
}

int HttpServer::activeCount() const
{
    return d->active;
}

void HttpServer::stopAccepting()
{
    const MHD_socket socket = MHD_quiesce_daemon(d->daemon);
    if (socket != MHD_INVALID_SOCKET) {
        ::close(socket);
    }
}

} // namespace ApricotStep
