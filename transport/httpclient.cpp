#include "transport/httpclient.h"

#include "transport/answerreader.h"
#include "transport/curlevents.h"
#include "transport/exchangehistory.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <deque>
#include <thread>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr int PollMilliseconds = 1000;
// Each round reads up to ReceiveBufferBytes of each of some connections. A peer that sends without end must not hold up the others.
constexpr int MaxReadRounds = 64;
// Buffers of a call. Answers arrive in parts of a few kilobytes; libcurl's default buffers of 16 and 64 KB would take most of the memory of
// a small node.
constexpr long ReceiveBufferBytes = 8L << 10;
constexpr long SendBufferBytes = 16L << 10;
// The system would let its buffer of a connection grow to tens of megabytes while this process does not read.
constexpr int SystemReceiveBufferBytes = 256 << 10;
// Connections kept for reuse, over all upstreams: a few to each upstream of the largest fleet.
constexpr long MaxKeptConnections = 256;
// An unresponsive peer is detected after one second without traffic and two keepalive probes one second apart.
constexpr long KeepAliveSeconds = 1;

struct Transfer
{
    CallId id = 0;
    HttpCall call;
    CURL *easy = nullptr;
    curl_slist *headerList = nullptr;
    ExchangeHistory *history = nullptr;
    /** The socket of the connection that was opened for this call; -1 if it reuses one. */
    curl_socket_t openedSocket = -1;
    AnswerConnection connection;
    bool needsNewConnection = false;
    bool isSent = false;
    bool isHeadReported = false;
    bool isPausePending = false;
    /** The connection was closed behind a whole answer, since more bytes followed. */
    bool isClosedAfterAnswer = false;
    AnswerReader reader;
    /** The client's, for the parts of a body that have to be joined. */
    std::string *bodyBuffer = nullptr;
    std::size_t bodyBytes = 0;

    ~Transfer()
    {
        curl_slist_free_all(headerList);
    }
};

void reportHead(Transfer &transfer)
{
    if (!transfer.isHeadReported) {
        transfer.isHeadReported = true;
        if (transfer.call.onHead) {
            transfer.call.onHead(transfer.reader.status(), transfer.reader.headers());
        }
    }
}

// Interim answers (1xx) are accepted here, since another head follows them.
bool acceptsHead(const Transfer &transfer)
{
    const AnswerReader &reader = transfer.reader;
    return !reader.isHeadComplete() || !transfer.call.acceptsHead
        || transfer.call.acceptsHead(reader.status(), reader.headers(), transfer.connection);
}

std::size_t onHeaderLine(char *data, std::size_t, std::size_t count, void *context)
{
    auto &transfer = *static_cast<Transfer *>(context);
    return transfer.reader.readHeadLine({ data, count }) && acceptsHead(transfer) ? count : 0;
}

bool isTooLong(const Transfer &transfer)
{
    return transfer.call.maxBodyBytes > 0 && transfer.bodyBytes > transfer.call.maxBodyBytes;
}

bool acceptsPart(Transfer &transfer, std::string_view part)
{
    if (part.empty()) {
        return true;
    }
    reportHead(transfer);
    transfer.bodyBytes += part.size();
    if (isTooLong(transfer) || (transfer.call.acceptsData && !transfer.call.acceptsData(part))) {
        return false;
    }
    if (transfer.call.onData && !transfer.call.onData(part)) {
        transfer.isPausePending = true;
    }
    return true;
}

std::size_t onBody(char *data, std::size_t, std::size_t count, void *context)
{
    auto &transfer = *static_cast<Transfer *>(context);
    // libcurl delivers refused bytes again after a pause. onData has already consumed this part, so the pause is requested with the next
    // part.
    if (transfer.isPausePending) {
        transfer.isPausePending = false;
        return CURL_WRITEFUNC_PAUSE;
    }
    const auto part = transfer.reader.readBody({ data, count }, *transfer.bodyBuffer);
    if (!part || !acceptsPart(transfer, *part)) {
        return 0;
    }
    // An error is the only way to make libcurl close the connection.
    transfer.isClosedAfterAnswer = transfer.reader.isBodyComplete() && transfer.reader.hasExcess();
    return transfer.isClosedAfterAnswer ? 0 : count;
}

// NOLINTNEXTLINE(bugprone-easily-swappable-parameters): libcurl's own signature.
int beforeRequest(void *context, char *peerAddress, char * /*ownAddress*/, int peerPort, int ownPort)
{
    auto &transfer = *static_cast<Transfer *>(context);
    // When a kept connection fails, libcurl calls this again before it sends the request on a new connection. The upstream may have run the
    // request by then.
    if (transfer.isSent && transfer.call.isSentOnce) {
        return CURL_PREREQFUNC_ABORT;
    }
    // A process that was suspended may resume here long after the deadline. The check right before the first byte ends the call as not
    // sent.
    if (transfer.call.maySend && !transfer.call.maySend()) {
        return CURL_PREREQFUNC_ABORT;
    }
    const ConnectionEnds ends { peerAddress, peerPort, ownPort };
    if (transfer.openedSocket != -1) {
        transfer.history->opened(std::exchange(transfer.openedSocket, -1), ends);
    }
    if (!transfer.call.answerId.empty() && !transfer.history->canCarry(ends, transfer.call.answerId)) {
        transfer.needsNewConnection = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.connection.earlierCalls = transfer.history->onSent(ends, transfer.call.answerId);
    transfer.isSent = true;
    return CURL_PREREQFUNC_OK;
}

int onSocket(void *context, curl_socket_t socket, curlsocktype)
{
    auto &transfer = *static_cast<Transfer *>(context);
    transfer.openedSocket = socket;
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &SystemReceiveBufferBytes, sizeof SystemReceiveBufferBytes);
    const auto milliseconds = static_cast<unsigned int>(transfer.call.acknowledgeTimeout.milliseconds());
    if (milliseconds > 0) {
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    }
    return CURL_SOCKOPT_OK;
}

int onSocketClosed(void *history, curl_socket_t socket)
{
    static_cast<ExchangeHistory *>(history)->closed(socket);
    return close(socket);
}

ErrorKind errorOf(CURLcode code, bool isSent)
{
    if (!isSent) {
        return code == CURLE_ABORTED_BY_CALLBACK ? ErrorKind::DeadlinePassed : ErrorKind::UpstreamUnreachable;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? ErrorKind::UpstreamTimeout : ErrorKind::UpstreamFailed;
}

// Whether libcurl has refused the bytes that arrived, before the reader saw them.
bool isRefusedAsAnswer(CURLcode code)
{
    return code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_BAD_CONTENT_ENCODING
        || code == CURLE_BAD_FUNCTION_ARGUMENT; // A folded line without a field before it.
}

bool isRefusedByHost(CURL *easy)
{
    long error = 0;
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
    return error == ECONNREFUSED;
}

// libcurl takes a connection that closes within a head for the end of an answer without a body, and guesses the end of many malformed
// bodies.
bool isWhole(const Transfer &transfer, CURLcode code)
{
    const AnswerReader &reader = transfer.reader;
    const bool isEndedByClose = reader.isHeadComplete() && reader.endsWithConnection();
    return transfer.isClosedAfterAnswer || (code == CURLE_OK && (reader.isBodyComplete() || isEndedByClose));
}

std::string failureDetail(const Transfer &transfer, CURLcode code)
{
    const AnswerReader &reader = transfer.reader;
    if (!reader.error().empty()) {
        return reader.error();
    }
    if (isTooLong(transfer)) {
        return absl::StrCat("the answer is longer than ", transfer.call.maxBodyBytes, " bytes");
    }
    if (code == CURLE_OK) {
        return absl::StrCat("the connection closed within the ", reader.isHeadComplete() ? "body" : "head", " of the answer");
    }
    return curl_easy_strerror(code);
}

CallResult resultOf(const Transfer &transfer, CURLcode code)
{
    const AnswerReader &reader = transfer.reader;
    CallResult result;
    if (isWhole(transfer, code)) {
        result.state = AttemptState::Answered;
        result.status = reader.status();
        return result;
    }
    result.state = transfer.isSent ? AttemptState::Sent : AttemptState::NotSent;
    result.error = errorOf(code, transfer.isSent);
    result.detail = failureDetail(transfer, code);
    result.isConnectionRefused = code == CURLE_COULDNT_CONNECT && isRefusedByHost(transfer.easy);
    result.isMalformed = !reader.error().empty() || (transfer.isSent && isRefusedAsAnswer(code));
    result.status = result.isMalformed ? 0 : reader.status();
    return result;
}

} // namespace

struct HttpClient::Private
{
    struct Command
    {
        enum class Kind {
            Start,
            Cancel,
            Resume,
        };
        Kind kind = Kind::Start;
        CallId id = 0;
        std::unique_ptr<Transfer> transfer;
    };

    CURLM *multi = nullptr;
    std::thread thread;
    std::atomic<CallId> nextId { 1 };
    std::atomic<bool> isStopping { false };
    absl::Mutex mutex;
    std::deque<Command> commands ABSL_GUARDED_BY(mutex);
    // Used only on the client's thread.
    ExchangeHistory history;
    absl::flat_hash_map<CallId, std::unique_ptr<Transfer>> transfers;
    std::string bodyBuffer;

    /** Set only for a driven client. */
    std::unique_ptr<CurlEvents> events;
    bool areEventsReady = false;

    void post(Command command);
    void processEvents();
    bool hasCommands();
    void run();
    void execute(Command command);
    void begin(std::unique_ptr<Transfer> transfer);
    static void suppressDefaults(Transfer &transfer);
    void prepare(Transfer &transfer);
    void end(Transfer &transfer, const CallResult &result);
    void finishCompleted();
    void restartOnNewConnection(Transfer &transfer);
};

void HttpClient::Private::post(Command command)
{
    {
        const absl::MutexLock lock(&mutex);
        commands.push_back(std::move(command));
    }
    if (events == nullptr) {
        curl_multi_wakeup(multi);
    }
}

bool HttpClient::Private::hasCommands()
{
    const absl::MutexLock lock(&mutex);
    return !commands.empty();
}

void HttpClient::Private::processEvents()
{
    do {
        std::deque<Command> batch;
        {
            const absl::MutexLock lock(&mutex);
            batch.swap(commands);
        }
        for (Command &command : batch) {
            execute(std::move(command));
        }
        if (events != nullptr) {
            events->runTimeouts();
        } else {
            int running = 0;
            curl_multi_perform(multi, &running);
        }
        finishCompleted();
    } while (hasCommands());
}

void HttpClient::Private::run()
{
    while (!isStopping) {
        processEvents();
        curl_multi_poll(multi, nullptr, 0, PollMilliseconds, nullptr);
    }
    {
        const absl::MutexLock lock(&mutex);
        for (Command &command : commands) {
            if (command.transfer != nullptr) {
                transfers.emplace(command.id, std::move(command.transfer));
            }
        }
    }
    while (!transfers.empty()) {
        Transfer &transfer = *transfers.begin()->second;
        const auto state = transfer.isSent ? AttemptState::Sent : AttemptState::NotSent;
        end(transfer,
            CallResult { state, 0, transfer.isSent ? ErrorKind::UpstreamFailed : ErrorKind::Draining, "the HTTP client is shutting down" });
    }
}

void HttpClient::Private::execute(Command command)
{
    if (command.kind == Command::Kind::Start) {
        begin(std::move(command.transfer));
        return;
    }
    const auto at = transfers.find(command.id);
    if (at == transfers.end()) {
        return;
    }
    Transfer &transfer = *at->second;
    if (command.kind == Command::Kind::Resume) {
        transfer.isPausePending = false;
        curl_easy_pause(transfer.easy, CURLPAUSE_CONT);
        return;
    }
    const auto state = transfer.isSent ? AttemptState::Sent : AttemptState::NotSent;
    end(transfer, CallResult { state, transfer.reader.status(), ErrorKind::CallerGone, "cancelled" });
}

void HttpClient::Private::begin(std::unique_ptr<Transfer> transfer)
{
    prepare(*transfer);
    curl_multi_add_handle(multi, transfer->easy);
    transfers.emplace(transfer->id, std::move(transfer));
}

// A request that is passed on unchanged must not gain headers that its sender left out.
void HttpClient::Private::suppressDefaults(Transfer &transfer)
{
    for (const char *name : { "Accept", "Content-Type", "User-Agent" }) {
        const auto isSame = [name](const auto &header) { return absl::EqualsIgnoreCase(header.first, name); };
        if (std::none_of(transfer.call.headers.begin(), transfer.call.headers.end(), isSame)) {
            transfer.headerList = curl_slist_append(transfer.headerList, (std::string(name) + ':').c_str());
        }
    }
}

// Each exchange gets a handle of its own. A handle that is reset goes on pointing to the last header of its earlier answer, which it has
// freed, and writes there when the next answer begins with a folded line.
void HttpClient::Private::prepare(Transfer &transfer)
{
    transfer.easy = curl_easy_init();
    CURL *easy = transfer.easy;
    const HttpCall &call = transfer.call;
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.empty() ? "" : call.body.view().data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
    }
    for (const auto &[name, value] : call.headers) {
        // libcurl omits a header whose value is empty, unless the line ends with a semicolon.
        std::string line = name;
        line.append(value.empty() ? ";" : ": ").append(value);
        transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
    }
    if (!call.target.empty()) {
        suppressDefaults(transfer);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headerList);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout.milliseconds()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.totalTimeout.milliseconds()));
    if (call.inactivityTimeout > Duration(0)) {
        curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
        curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, static_cast<long>(call.inactivityTimeout.milliseconds() / 1000));
    }
    if (!call.authorityFile.empty()) {
        curl_easy_setopt(easy, CURLOPT_CAINFO, call.authorityFile.c_str());
    }
    if (!call.isRepeatable) {
        // When a reused connection fails before the first byte of the answer, libcurl sends the request again by itself, even a POST: a
        // payment would run twice. A new connection that is not reused prevents this.
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!call.target.empty()) {
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.target.c_str());
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    }
    if (call.maxConnectionIdle > Duration(0)) {
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(call.maxConnectionIdle.milliseconds() / 1000));
    }
    transfer.history = &history;
    transfer.reader = AnswerReader(call.method == "HEAD");
    transfer.bodyBuffer = &bodyBuffer;
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &onSocket);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &onSocketClosed);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &history);
    if (call.acknowledgeTimeout > Duration(0)) {
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KeepAliveSeconds);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KeepAliveSeconds);
    }
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, ReceiveBufferBytes);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, SendBufferBytes);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &beforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    // libcurl takes whatever begins like the size of a chunk for one.
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
}

void HttpClient::Private::end(Transfer &transfer, const CallResult &result)
{
    if (transfer.easy != nullptr) {
        curl_multi_remove_handle(multi, transfer.easy);
        curl_easy_cleanup(transfer.easy);
    }
    const auto finished = std::move(transfers.extract(transfer.id).mapped());
    if (finished->call.onDone) {
        finished->call.onDone(result);
    }
}

// The connection that the call was about to reuse has been closed.
void HttpClient::Private::restartOnNewConnection(Transfer &transfer)
{
    transfer.needsNewConnection = false;
    curl_multi_remove_handle(multi, transfer.easy);
    curl_easy_cleanup(transfer.easy);
    curl_slist_free_all(std::exchange(transfer.headerList, nullptr));
    prepare(transfer);
    curl_easy_setopt(transfer.easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_multi_add_handle(multi, transfer.easy);
}

void HttpClient::Private::finishCompleted()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        void *context = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &context);
        auto &transfer = *static_cast<Transfer *>(context);
        if (transfer.needsNewConnection) {
            restartOnNewConnection(transfer);
            continue;
        }
        const CallResult result = resultOf(transfer, code);
        if (result.state == AttemptState::Answered) {
            reportHead(transfer);
        }
        end(transfer, result);
    }
}

HttpClient::HttpClient(Mode mode)
    : d(std::make_unique<Private>())
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(initialised);
    d->multi = curl_multi_init();
    curl_multi_setopt(d->multi, CURLMOPT_MAXCONNECTS, MaxKeptConnections);
    if (mode == Mode::Driven) {
        d->events = std::make_unique<CurlEvents>(d->multi);
    } else {
        d->thread = std::thread([this] { d->run(); });
    }
}

HttpClient::~HttpClient()
{
    d->isStopping = true;
    if (d->events != nullptr) {
        d->run(); // Ends the calls in progress.
    } else {
        curl_multi_wakeup(d->multi);
        d->thread.join();
    }
    d->events.reset();
    curl_multi_cleanup(d->multi);
}

CallId HttpClient::start(HttpCall call)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->id = d->nextId.fetch_add(1);
    transfer->call = std::move(call);
    const CallId id = transfer->id;
    d->post({ Private::Command::Kind::Start, id, std::move(transfer) });
    return id;
}

void HttpClient::cancel(CallId id)
{
    d->post({ Private::Command::Kind::Cancel, id, nullptr });
}

void HttpClient::resume(CallId id)
{
    d->post({ Private::Command::Kind::Resume, id, nullptr });
}

std::vector<bool> HttpClient::step(const std::vector<int> &descriptors, Duration wait)
{
    d->processEvents();
    std::vector<pollfd> pollDescriptors;
    pollDescriptors.reserve(descriptors.size() + 1);
    for (const int descriptor : descriptors) {
        pollDescriptors.push_back(pollfd { descriptor, POLLIN, 0 });
    }
    pollDescriptors.push_back(pollfd { d->events->descriptor(), POLLIN, 0 });
    poll(pollDescriptors.data(), pollDescriptors.size(), static_cast<int>(d->events->untilTimeout(wait).milliseconds()));
    d->areEventsReady = pollDescriptors.back().revents != 0;
    std::vector<bool> areReady;
    areReady.reserve(descriptors.size());
    for (std::size_t i = 0; i < descriptors.size(); ++i) {
        areReady.push_back(pollDescriptors[i].revents != 0);
    }
    return areReady;
}

void HttpClient::readAnswers(bool isAll)
{
    bool isReady = std::exchange(d->areEventsReady, false) || isAll;
    for (int round = 0; isReady && round < MaxReadRounds; ++round) {
        isReady = d->events->runReady() > 0 && isAll;
        d->finishCompleted();
    }
}

} // namespace ApricotStep
