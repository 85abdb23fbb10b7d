#include "transport/httpserver.h"

#include "core/errors.h"
#include "protocol/callerapi.h"
#include "transport/connectionwatch.h"
#include "transport/memoryrefusal.h"
#include "transport/mhdexchange.h"
#include "transport/tlsgeneration.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <limits>
#include <thread>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr std::string_view LargeHeadBody =
    R"({"error":{"message":"The head of the request is larger than this node accepts.","type":"invalid_request_error","code":"head_too_large","not_run":true,"retry":"never"}})";
constexpr int LargeHeadStatus = 431;
constexpr const char *TlsPriorities = "SECURE256:SECURE128:-VERS-ALL:+VERS-TLS1.3:+VERS-TLS1.2";
// What libmicrohttpd keeps for each field, query parameter and cookie.
constexpr std::size_t EntryBytes = 64;
constexpr std::size_t MinAverageEntryBytes = 8;
// First reservation for a body in chunks.
constexpr std::size_t MinBodyReservation = 4U << 10U;
// Buffers of the system for a connection on which nothing large arrives. More than that may wait where a large body has arrived before.
constexpr std::size_t SystemBufferBytes = 64U << 10U;
constexpr int LargeBodyReceiveBytes = 256 << 10;
constexpr int OtherReceiveBytes = 32 << 10;
// A client that sends on after it was refused has its connection closed before it has read the answer.
constexpr std::size_t MaxDroppedBytes = std::size_t(4) << 20U;
// Connections beyond the limit that libmicrohttpd may have open while others close in their favour.
constexpr std::size_t ClosingConnections = 64;
// Buffers for the body, and headers that libmicrohttpd adds to an answer.
constexpr std::size_t OtherConnectionBytes = 2U << 10U;

std::string peerAddress(MHD_Connection *connection)
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
    std::size_t connectionBytes = 0;
    std::size_t maxConnections = 0;
    /** Shared with the servers that this one replaces. */
    std::shared_ptr<std::atomic<std::size_t>> maxHeaderBytes;
    std::atomic<bool> isClosingAfterAnswers { false };
    std::atomic<int> active { 0 };
    /** Set when a suspended connection was resumed: it continues at the next step, which no descriptor signals. */
    std::shared_ptr<std::atomic<bool>> isAnyResumed = std::make_shared<std::atomic<bool>>(false);
    std::atomic<bool> isStopping { false };
    SystemClock clock;
    std::unique_ptr<ConnectionWatch> watch;
    std::thread connectionChecker;
    absl::Mutex mutex;
    absl::flat_hash_set<std::shared_ptr<MhdExchange>> exchanges ABSL_GUARDED_BY(mutex);

    void checkConnections();
    /** What a connection counts in the memory that is shared. */
    std::size_t connectionCost() const
    {
        return connectionBytes + SystemBufferBytes;
    }
    /** Whether a new connection may open, if need be in place of another one. */
    bool admitsConnection();
    void report(ClientLimit limit) const;
    void refuseForMemory(MhdExchange &exchange) const;
    /** Whether the large body of a request may arrive, of which @p bytes are to be kept. Otherwise the request has been answered. */
    bool admitLargeBody(MHD_Connection *connection, MhdExchange &exchange, std::uint64_t bytes);
    /** Whether @p bytes of the body may be kept. Otherwise the request has been answered. */
    bool makeRoom(MHD_Connection *connection, MhdExchange &exchange, std::size_t bytes);
    /** Sends the answer of a request whose body has not arrived, and drops the body. */
    MHD_Result refuseBody(MHD_Connection *connection, MhdExchange &exchange);
    MHD_Result onHead(MHD_Connection *connection, const char *url, const char *method, const std::shared_ptr<MhdExchange> &exchange);
    MHD_Result onBody(MHD_Connection *connection, MhdExchange &exchange, std::string_view part);
    MHD_Result onEnd(MHD_Connection *connection, MhdExchange &exchange);
    void checkConnectionsLoop();
    MHD_Result onAccess(MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **state);
    void onCompleted(MHD_Connection *connection, void **state, MHD_RequestTerminationCode code);
    void onConnection(MHD_Connection *connection, void **socketContext, MHD_ConnectionNotificationCode code);
    static int retrieveCertificate(gnutls_session_t session, const gnutls_datum_t *authorities, int authorityCount,
        const gnutls_pk_algorithm_t *algorithms, int algorithmCount, gnutls_pcert_st **chain, unsigned int *length, gnutls_privkey_t *key);
};

namespace
{

struct EntryCount
{
    std::size_t entries = 0;
    std::size_t cookieBytes = 0;
};

MHD_Result countEntry(void *context, MHD_ValueKind kind, const char *name, const char *value)
{
    auto &count = *static_cast<EntryCount *>(context);
    ++count.entries;
    if (kind == MHD_HEADER_KIND && value != nullptr && absl::EqualsIgnoreCase(name, "Cookie")) {
        count.cookieBytes += std::char_traits<char>::length(value) + 1; // The values of cookies are parsed in a copy.
    }
    return MHD_YES;
}

std::size_t headBytesOf(MHD_Connection *connection)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    return info != nullptr ? info->header_size : 0;
}

/** Memory of the connection that the head of its request uses. */
std::size_t usedMemory(MHD_Connection *connection)
{
    EntryCount count;
    for (const MHD_ValueKind kind : { MHD_HEADER_KIND, MHD_GET_ARGUMENT_KIND, MHD_COOKIE_KIND }) {
        MHD_get_connection_values(connection, kind, countEntry, &count);
    }
    return headBytesOf(connection) + count.entries * EntryBytes + count.cookieBytes + OtherConnectionBytes;
}

MHD_Result addHeader(void *context, MHD_ValueKind, const char *name, const char *value)
{
    auto &request = *static_cast<HttpRequest *>(context);
    request.headers[absl::AsciiStrToLower(name)] = value != nullptr ? value : "";
    request.headerList.emplace_back(name, value != nullptr ? value : "");
    return MHD_YES;
}

MHD_Result addParameter(void *context, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<HttpRequest *>(context)->parameters[name] = value != nullptr ? value : "";
    return MHD_YES;
}

int socketOf(MHD_Connection *connection)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info != nullptr ? info->connect_fd : -1;
}

// Prevents request smuggling: a sender and a receiver that disagree on where a body ends see different requests in the same bytes, and the
// receiver runs a request that was never sent. Such a request is refused and its connection closed, so that nothing after it is read.
bool hasAmbiguousLength(const HttpRequest &request)
{
    int lengths = 0;
    int encodings = 0;
    bool isOnlyChunked = true;
    for (const auto &[name, value] : request.headerList) {
        // A space before the colon: some take "Content-Length " for the length, others do not know it.
        if (!isToken(name)) {
            return true;
        }
        if (absl::EqualsIgnoreCase(name, "Content-Length")) {
            ++lengths;
            isOnlyChunked = isOnlyChunked && parseContentLength(value).has_value();
        } else if (absl::EqualsIgnoreCase(name, "Transfer-Encoding")) {
            ++encodings;
            isOnlyChunked = isOnlyChunked && absl::EqualsIgnoreCase(value, "chunked");
        }
    }
    return lengths + encodings > 1 || !isOnlyChunked;
}

// libmicrohttpd never answers a request whose query parameters do not fit into the memory of its connection.
bool doParametersFit(std::string_view target, std::size_t connectionBytes)
{
    const auto entries = static_cast<std::size_t>(std::count(target.begin(), target.end(), '&')) + 1;
    return target.size() + entries * EntryBytes + OtherConnectionBytes <= connectionBytes;
}

void refuseLargeHead(int socket, bool isPlain)
{
    if (isPlain) {
        const std::string answer = absl::StrCat("HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n",
            "Content-Type: application/json\r\nContent-Length: ", LargeHeadBody.size(), "\r\n\r\n", std::string(LargeHeadBody));
        send(socket, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    shutdown(socket, SHUT_RDWR);
}

// Keeps the raw target in addition to the one that MHD parses, so that it can be passed on unchanged.
void *onUri(void *context, const char *uri, MHD_Connection *connection)
{
    const auto *server = static_cast<const HttpServer::Private *>(context);
    if (!doParametersFit(uri, server->connectionBytes)) {
        refuseLargeHead(socketOf(connection), server->settings.tls == nullptr);
    }
    auto exchange = std::make_shared<MhdExchange>(connection, server->isAnyResumed, server->settings);
    exchange->request.target = uri;
    const char *mark = std::char_traits<char>::find(uri, std::char_traits<char>::length(uri), '?');
    if (mark != nullptr) {
        exchange->request.query = mark + 1;
    }
    return new std::shared_ptr<MhdExchange>(std::move(exchange));
}

} // namespace

std::size_t headBytes(const HttpHeaders &headers)
{
    constexpr std::size_t FirstLineBytes = 64;
    constexpr std::size_t SeparatorBytes = 4;
    std::size_t bytes = FirstLineBytes;
    for (const auto &[name, value] : headers) {
        bytes += name.size() + value.size() + SeparatorBytes;
    }
    return bytes;
}

std::size_t connectionMemory(const HttpServerSettings &settings)
{
    const std::size_t entries = settings.maxHeaderBytes / MinAverageEntryBytes;
    const std::size_t needed = settings.maxHeaderBytes + entries * EntryBytes + settings.maxAnswerHeadBytes + OtherConnectionBytes;
    return settings.maxMemory > 0 ? std::min(needed, settings.maxMemory / MinConnections) : needed;
}

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

namespace
{

std::optional<std::uint64_t> announcedLength(const HttpRequest &request)
{
    if (!request.header("transfer-encoding").empty()) {
        return std::nullopt;
    }
    const std::string length = request.header("content-length");
    std::uint64_t bytes = 0;
    if (!length.empty() && !absl::SimpleAtoi(length, &bytes)) {
        return std::numeric_limits<std::uint64_t>::max(); // More digits than any length that can be kept.
    }
    return bytes;
}

void setReceiveBuffer(MHD_Connection *connection, int bytes)
{
    // Without it a peer that sends more than is read could fill megabytes. A system that does not obey has buffers of its own size.
    static_cast<void>(setsockopt(socketOf(connection), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes));
}

void refuse(MhdExchange &exchange, ErrorKind kind, Duration retryAfter = Duration())
{
    HttpHeaders headers { { "Content-Type", "application/json" }, { "Connection", "close" } };
    ErrorDetails details;
    details.retryAfter = retryAfter;
    if (retryAfter > Duration()) {
        headers.emplace_back("Retry-After", retryAfterText(retryAfter));
    }
    exchange.respond(errorAnswer(kind).httpStatus, headers, errorBody(kind, details));
}

} // namespace

std::string_view clientLimitName(ClientLimit limit)
{
    switch (limit) {
    case ClientLimit::BodySize:
        return "body_size";
    case ClientLimit::BodyMemory:
        return "body_memory";
    case ClientLimit::BodyPace:
        return "body_pace";
    case ClientLimit::ArrivalTime:
        return "arrival_time";
    case ClientLimit::IdleConnection:
        return "idle_connection";
    case ClientLimit::Connections:
        return "connections";
    }
    return "unknown";
}

void HttpServer::Private::report(ClientLimit limit) const
{
    if (settings.onClientLimit) {
        settings.onClientLimit(limit);
    }
}

bool HttpServer::Private::admitsConnection()
{
    const bool isBelowLimit = watch->openCount() < maxConnections;
    if (isBelowLimit && (settings.memory == nullptr || settings.memory->hasRoomForConnection(connectionCost()))) {
        return true;
    }
    if (watch->closeLeastUseful()) {
        return true;
    }
    report(ClientLimit::Connections);
    return false;
}

void HttpServer::Private::refuseForMemory(MhdExchange &exchange) const
{
    report(ClientLimit::BodyMemory);
    refuse(exchange, ErrorKind::NoMemory, retryDelayForMemory());
}

bool HttpServer::Private::admitLargeBody(MHD_Connection *connection, MhdExchange &exchange, std::uint64_t bytes)
{
    BodyTerms terms { settings.maxBodyBytes, settings.arrivalTimeout };
    if (settings.onLargeBody) {
        const auto decided = settings.onLargeBody(exchange.request, exchange);
        if (!decided) {
            return false;
        }
        terms = *decided;
    }
    if (bytes > terms.maxBytes) {
        report(ClientLimit::BodySize);
        refuse(exchange, ErrorKind::RequestTooLarge);
        return false;
    }
    const Time now = clock.now();
    if (settings.memory != nullptr) {
        exchange.reservedBytes = exchange.announcedBytes ? bytes : std::min<std::size_t>(bytes * 2, terms.maxBytes);
        const std::size_t reserved = exchange.reservedBytes + LargeBodyReceiveBytes;
        exchange.reservation.reset();
        exchange.reservation = settings.memory->reserve(reserved, now + terms.timeout, now);
        if (exchange.reservation == nullptr) {
            refuseForMemory(exchange);
            return false;
        }
    }
    exchange.terms = terms;
    watch->limitBody(socketOf(connection), now + terms.timeout, exchange.reservation);
    setReceiveBuffer(connection, LargeBodyReceiveBytes);
    return true;
}

bool HttpServer::Private::makeRoom(MHD_Connection *connection, MhdExchange &exchange, std::size_t bytes)
{
    if (!exchange.terms && bytes > std::min(SmallBodyBytes, settings.maxBodyBytes)) {
        return admitLargeBody(connection, exchange, bytes);
    }
    const std::size_t maxBytes = exchange.terms ? exchange.terms->maxBytes : settings.maxBodyBytes;
    if (bytes > maxBytes) {
        report(ClientLimit::BodySize);
        refuse(exchange, ErrorKind::RequestTooLarge);
        return false;
    }
    if (settings.memory == nullptr || bytes <= exchange.reservedBytes) {
        return true;
    }
    const std::size_t announced = exchange.announcedBytes ? static_cast<std::size_t>(*exchange.announcedBytes) : 0;
    const std::size_t wanted = std::min(std::max({ bytes, announced, exchange.reservedBytes * 2, MinBodyReservation }), maxBytes);
    const std::size_t systemBytes = exchange.terms ? LargeBodyReceiveBytes : 0;
    if (exchange.reservation == nullptr) {
        const Time now = clock.now();
        exchange.reservation = settings.memory->reserve(wanted, now + settings.arrivalTimeout, now);
        watch->limitBody(socketOf(connection), now + settings.arrivalTimeout, exchange.reservation);
    } else if (!exchange.reservation->resize(wanted + systemBytes)) {
        exchange.reservation.reset();
    }
    if (exchange.reservation == nullptr) {
        refuseForMemory(exchange);
        return false;
    }
    exchange.reservedBytes = wanted;
    return true;
}

MHD_Result HttpServer::Private::refuseBody(MHD_Connection *connection, MhdExchange &exchange)
{
    exchange.isHandled = true;
    exchange.body = ByteBuffer();
    exchange.reservation.reset();
    exchange.isRefused = true;
    const int socket = socketOf(connection);
    watch->refused(socket);
    if (settings.tls != nullptr) {
        return MHD_NO;
    }
    // libmicrohttpd cannot answer within a body. A connection that closes while bytes arrive is reset, which can destroy the answer before
    // its client reads it, so the rest of the body is read for a while.
    const std::string answer = exchange.rawAnswer();
    send(socket, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    shutdown(socket, SHUT_WR);
    setReceiveBuffer(connection, OtherReceiveBytes);
    return MHD_YES;
}

MHD_Result HttpServer::Private::onHead(
    MHD_Connection *connection, const char *url, const char *method, const std::shared_ptr<MhdExchange> &exchange)
{
    HttpRequest &request = exchange->request;
    request.method = method;
    request.path = url;
    request.peer = peerAddress(connection);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, &request);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addParameter, &request);
    active.fetch_add(1);
    {
        const absl::MutexLock lock(&mutex);
        exchanges.insert(exchange);
    }
    watch->headArrived(socketOf(connection));
    const std::size_t used = usedMemory(connection);
    const std::size_t available = connectionBytes > used ? connectionBytes - used : 0;
    exchange->setMaxAnswerHeadBytes(available);
    const bool isHeadTooLarge = headBytesOf(connection) > *maxHeaderBytes || available < settings.maxAnswerHeadBytes;
    if (isHeadTooLarge || hasAmbiguousLength(request)) {
        exchange->isHandled = true;
        if (isHeadTooLarge) {
            exchange->respond(
                LargeHeadStatus, { { "Content-Type", "application/json" }, { "Connection", "close" } }, std::string(LargeHeadBody));
        } else {
            refuse(*exchange, ErrorKind::BadRequest);
        }
        return exchange->answerOrSuspend();
    }
    exchange->closesConnection = isClosingAfterAnswers;
    exchange->announcedBytes = announcedLength(request);
    const std::uint64_t announced = exchange->announcedBytes.value_or(0);
    if (announced <= std::min(SmallBodyBytes, settings.maxBodyBytes) || admitLargeBody(connection, *exchange, announced)) {
        return MHD_YES;
    }
    if (settings.tls == nullptr && request.header("expect").empty()) {
        return refuseBody(connection, *exchange);
    }
    exchange->isHandled = true;
    return exchange->answerOrSuspend();
}

MHD_Result HttpServer::Private::onBody(MHD_Connection *connection, MhdExchange &exchange, std::string_view part)
{
    if (exchange.isRefused) {
        exchange.droppedBytes += part.size();
        return exchange.droppedBytes <= MaxDroppedBytes ? MHD_YES : MHD_NO;
    }
    const std::size_t bytes = exchange.body.size() + part.size();
    if (!makeRoom(connection, exchange, bytes)) {
        return refuseBody(connection, exchange);
    }
    if (exchange.body.size() == 0 && exchange.announcedBytes) {
        exchange.body.reserve(static_cast<std::size_t>(*exchange.announcedBytes));
    }
    exchange.body.append(part);
    if (exchange.reservation != nullptr) {
        exchange.reservation->onArrived(bytes);
    }
    watch->bodyArrived(socketOf(connection));
    return MHD_YES;
}

MHD_Result HttpServer::Private::onEnd(MHD_Connection *connection, MhdExchange &exchange)
{
    exchange.isHandled = true;
    if (!watch->requestArrived(socketOf(connection))) {
        return MHD_NO;
    }
    if (exchange.terms) {
        setReceiveBuffer(connection, OtherReceiveBytes);
    }
    if (exchange.body.size() > 0) {
        if (exchange.reservation != nullptr) {
            exchange.reservation->onComplete(exchange.body.size());
        }
        exchange.request.body = SharedBytes(std::move(exchange.body), std::exchange(exchange.reservation, nullptr));
    }
    HttpRequest handled;
    handled.method = "handled";
    handler(std::exchange(exchange.request, std::move(handled)), exchange.shared_from_this());
    return exchange.answerOrSuspend();
}

MHD_Result HttpServer::Private::onAccess(
    MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **state)
{
    // MHD calls this several times for one request: at its headers, for each part of its body, at its end and after each resume. The
    // handler is called only once, at the end of the request; otherwise the request would be admitted and run more than once.
    const std::shared_ptr<MhdExchange> exchange = *static_cast<std::shared_ptr<MhdExchange> *>(*state);
    if (exchange->request.method.empty()) {
        return onHead(connection, url, method, exchange);
    }
    if (*size > 0) {
        return onBody(connection, *exchange, { data, std::exchange(*size, 0) });
    }
    if (exchange->isRefused) {
        return MHD_NO;
    }
    return exchange->isHandled ? exchange->answerOrSuspend() : onEnd(connection, *exchange);
}

void HttpServer::Private::onCompleted(MHD_Connection *connection, void **state, MHD_RequestTerminationCode code)
{
    watch->requestCompleted(socketOf(connection));
    auto *held = static_cast<std::shared_ptr<MhdExchange> *>(*state);
    if (held == nullptr) {
        return;
    }
    (*held)->close(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    const int status = code == MHD_REQUEST_TERMINATED_WITH_ERROR ? (*held)->pendingStatus() : 0;
    if (status != 0 && settings.onAnswerNotDelivered) {
        settings.onAnswerNotDelivered(status);
    }
    {
        const absl::MutexLock lock(&mutex);
        if (exchanges.erase(*held) > 0) {
            active.fetch_sub(1);
        }
    }
    delete held;
    *state = nullptr;
}

void HttpServer::Private::checkConnections()
{
    std::vector<std::shared_ptr<MhdExchange>> current;
    {
        const absl::MutexLock lock(&mutex);
        current.assign(exchanges.begin(), exchanges.end());
    }
    for (const auto &exchange : current) {
        exchange->checkCallerGone();
    }
    if (settings.memory != nullptr) {
        settings.memory->takeBack(clock.now());
    }
    watch->closeOverdue();
}

void HttpServer::Private::checkConnectionsLoop()
{
    while (!isStopping) {
        std::this_thread::sleep_for(std::chrono::milliseconds(GoneCheckInterval.milliseconds()));
        checkConnections();
    }
}

// GnuTLS asks for the certificate at each handshake, so a reload needs no new listener and interrupts no connection.
int HttpServer::Private::retrieveCertificate(gnutls_session_t session, const gnutls_datum_t *, int, const gnutls_pk_algorithm_t *, int,
    gnutls_pcert_st **chain, unsigned int *length, gnutls_privkey_t *key)
{
    auto *connection = static_cast<MHD_Connection *>(gnutls_session_get_ptr(session));
    if (connection == nullptr) {
        return -1;
    }
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    if (info == nullptr || info->socket_context == nullptr) {
        return -1;
    }
    const TlsCredentials::Generation *generation = static_cast<Private *>(info->socket_context)->settings.tls->current();
    *chain = const_cast<gnutls_pcert_st *>(generation->chain.data());
    *length = generation->chainLength;
    *key = generation->key;
    return 0;
}

void HttpServer::Private::onConnection(MHD_Connection *connection, void **socketContext, MHD_ConnectionNotificationCode code)
{
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *socketContext = this;
        watch->opened(socketOf(connection), settings.tls == nullptr);
        if (settings.memory != nullptr) {
            settings.memory->onConnectionOpened(connectionCost());
        }
    } else {
        watch->closed(socketOf(connection));
        if (settings.memory != nullptr) {
            settings.memory->onConnectionClosed(connectionCost());
        }
    }
}

HttpServer::HttpServer()
    : d(std::make_unique<Private>())
{
}

Result<std::unique_ptr<HttpServer>> HttpServer::start(const HttpServerSettings &settings, HttpHandler handler)
{
    return start(settings, std::move(handler), std::make_shared<std::atomic<std::size_t>>(settings.maxHeaderBytes));
}

Result<std::unique_ptr<HttpServer>> HttpServer::start(
    const HttpServerSettings &settings, HttpHandler handler, std::shared_ptr<std::atomic<std::size_t>> maxHeaderBytes)
{
    std::unique_ptr<HttpServer> server(new HttpServer);
    Private *d = server->d.get();
    d->settings = settings;
    d->handler = std::move(handler);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings.port);
    if (inet_pton(AF_INET, settings.address.c_str(), &address.sin_addr) != 1) {
        return Error { ErrorKind::SettingsInvalid, "'" + settings.address + "' is not an IPv4 address" };
    }
    const auto access = [](void *context, MHD_Connection *connection, const char *url, const char *method, const char *, const char *data,
                            std::size_t *size, void **state) -> MHD_Result {
        return static_cast<Private *>(context)->onAccess(connection, url, method, data, size, state);
    };
    const auto completed = [](void *context, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code) {
        static_cast<Private *>(context)->onCompleted(connection, state, code);
    };
    const auto notify = [](void *context, MHD_Connection *connection, void **socketContext, MHD_ConnectionNotificationCode code) {
        static_cast<Private *>(context)->onConnection(connection, socketContext, code);
    };
    d->watch = std::make_unique<ConnectionWatch>(d->clock, settings.arrivalTimeout, settings.onClientLimit);
    d->connectionBytes = connectionMemory(settings);
    d->maxHeaderBytes = std::move(maxHeaderBytes);
    d->maxConnections = static_cast<std::size_t>(settings.maxConnections);
    if (settings.maxMemory > 0) {
        const std::size_t affordable = std::max<std::size_t>(settings.maxMemory / d->connectionBytes, MinConnections);
        d->maxConnections = std::min(d->maxConnections, affordable);
    }
    std::vector<MHD_OptionItem> options {
        { MHD_OPTION_SOCK_ADDR, 0, &address },
        { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(static_cast<MHD_RequestCompletedCallback>(+completed)), d },
        { MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<std::intptr_t>(static_cast<MHD_NotifyConnectionCallback>(+notify)), d },
        { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&onUri), d },
        { MHD_OPTION_THREAD_POOL_SIZE, settings.threads > 1 && !settings.isDriven ? settings.threads : 0, nullptr },
        { MHD_OPTION_CONNECTION_LIMIT, static_cast<std::intptr_t>(d->maxConnections + ClosingConnections), nullptr },
        { MHD_OPTION_CONNECTION_TIMEOUT, settings.idleTimeout.milliseconds() / 1000, nullptr },
        { MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<std::intptr_t>(d->connectionBytes), nullptr },
    };
    if (settings.listener >= 0) {
        options.push_back({ MHD_OPTION_LISTEN_SOCKET, settings.listener, nullptr });
    }
    if (settings.tls != nullptr) {
        options.push_back({ MHD_OPTION_HTTPS_CERT_CALLBACK, 0, reinterpret_cast<void *>(&Private::retrieveCertificate) });
        options.push_back({ MHD_OPTION_HTTPS_PRIORITIES, 0, const_cast<char *>(TlsPriorities) });
    }
    options.push_back({ MHD_OPTION_END, 0, nullptr });
    const unsigned int polling = settings.isDriven ? MHD_USE_EPOLL : MHD_USE_EPOLL_INTERNAL_THREAD;
    const unsigned int flags =
        polling | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | (settings.tls != nullptr ? static_cast<unsigned int>(MHD_USE_TLS) : 0U);
    const auto accept = [](void *context, const sockaddr *, socklen_t) -> MHD_Result {
        return static_cast<Private *>(context)->admitsConnection() ? MHD_YES : MHD_NO;
    };
    d->daemon = MHD_start_daemon(flags, settings.port, +accept, d, +access, d, MHD_OPTION_ARRAY, options.data(), MHD_OPTION_END);
    if (d->daemon == nullptr) {
        return Error { ErrorKind::SettingsInvalid, "cannot listen on " + settings.address + ":" + std::to_string(settings.port) };
    }
    if (!settings.isDriven) {
        d->connectionChecker = std::thread([d] { d->checkConnectionsLoop(); });
    }
    return server;
}

HttpServer::~HttpServer()
{
    d->isStopping = true;
    if (d->connectionChecker.joinable()) {
        d->connectionChecker.join();
    }
    if (d->daemon == nullptr) {
        return;
    }
    std::vector<std::shared_ptr<MhdExchange>> current;
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

int HttpServer::connectionCount() const
{
    const auto *info = MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info != nullptr ? static_cast<int>(info->num_connections) : 0;
}

bool HttpServer::setMaxHeaderBytes(std::size_t bytes)
{
    HttpServerSettings wanted = d->settings;
    wanted.maxHeaderBytes = bytes;
    if (connectionMemory(wanted) > d->connectionBytes) {
        return false;
    }
    *d->maxHeaderBytes = bytes;
    return true;
}

void HttpServer::setHeadTimeout(Duration timeout)
{
    d->watch->setHeadLimit(timeout);
}

std::size_t HttpServer::maxHeaderBytes() const
{
    return *d->maxHeaderBytes;
}

Result<std::unique_ptr<HttpServer>> HttpServer::handOver(std::size_t maxHeaderBytes)
{
    HttpServerSettings settings = d->settings;
    settings.maxHeaderBytes = maxHeaderBytes;
    settings.listener = MHD_quiesce_daemon(d->daemon);
    d->isClosingAfterAnswers = true;
    *d->maxHeaderBytes = maxHeaderBytes;
    return start(settings, d->handler, d->maxHeaderBytes);
}

int HttpServer::pollDescriptor() const
{
    const auto *info = MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    return info != nullptr ? info->epoll_fd : -1;
}

void HttpServer::step()
{
    *d->isAnyResumed = false;
    MHD_run(d->daemon);
}

bool HttpServer::hasWork() const
{
    MHD_UNSIGNED_LONG_LONG milliseconds = 0;
    return *d->isAnyResumed || (MHD_get_timeout(d->daemon, &milliseconds) == MHD_YES && milliseconds == 0);
}

void HttpServer::checkConnections()
{
    d->checkConnections();
}

} // namespace ApricotStep
