#pragma once

#include "coordination/requestmemory.h"
#include "core/clock.h"
#include "core/result.h"
#include "core/sharedbytes.h"
#include "transport/httpfields.h"
#include "transport/tlscredentials.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** A complete request as it arrived. */
struct HttpRequest
{
    std::string method;
    /** Without the query. */
    std::string path;
    /** The query as it arrived, without '?'. */
    std::string query;
    std::map<std::string, std::string> parameters;
    /** Path and query as they arrived, byte for byte. */
    std::string target;
    /** Names in lower case; of headers with the same name only the last. */
    std::map<std::string, std::string> headers;
    /** All headers as they arrived, in order. */
    HttpHeaders headerList;
    SharedBytes body;
    /** The caller's IP address. */
    std::string peer;

    /** Empty when there is no such header. @p name must be in lower case. */
    std::string header(const std::string &name) const;
    std::string parameter(const std::string &name) const;
};

/**
 * One request in progress and the answer to it. Thread-safe.
 *
 * An answer is either respond(), or beginStream() followed by calls of write() and then finish() or abort(). Only the first answer counts.
 */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /** Sends a complete answer. */
    virtual void respond(int status, const HttpHeaders &headers, std::string body) = 0;
    /** Starts a streamed answer of unknown length. */
    virtual void beginStream(int status, const HttpHeaders &headers) = 0;
    /** Appends to the stream. Returns false when the caller reads more slowly than the stream is written: wait for onDrained() then. */
    virtual bool write(std::string_view data) = 0;
    /** Ends the stream as complete. */
    virtual void finish() = 0;
    /** Closes the connection in such a way that the caller cannot mistake the answer for a complete one. */
    virtual void abort() = 0;
    /** Like abort(), but at once: drops what the caller has not read, also of an answer that is already complete. */
    virtual void abortNow() = 0;
    /** Bytes of the answer that are held until the caller reads them, without those in the buffers of the system. */
    virtual std::size_t unreadBytes() const = 0;
    /** Largest head of an answer, as headBytes() counts it, that can be sent. What the head of the request uses is not available. */
    virtual std::size_t maxAnswerHeadBytes() const = 0;
    /**
     * Sets the callback for each time that a full buffer has been emptied. It is called on a server thread. To be set before beginStream().
     */
    virtual void onDrained(std::function<void()> callback) = 0;
    /** Sets the callback for a caller whose connection closed before the answer was complete. It is called once, on a server thread. */
    virtual void onCallerGone(std::function<void()> callback) = 0;
};

/** Size of the head of an answer with these headers, as it is sent. */
std::size_t headBytes(const HttpHeaders &headers);

/** Called once for each complete request, on a server thread; must not block. */
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

/** What a large body may take. */
struct BodyTerms
{
    std::size_t maxBytes = 0;
    /** How long it may take to arrive. */
    Duration timeout;
};

/**
 * Called on a server thread when the head of a request with a large body has arrived, or when a body in chunks has become large; must not
 * block. May answer the request, whose body is not read then, and returns nothing in that case.
 */
using LargeBodyHandler = std::function<std::optional<BodyTerms>(const HttpRequest &head, HttpExchange &exchange)>;

/** A limit that a client has met. */
enum class ClientLimit {
    /** The body of its request is too large. */
    BodySize,
    /** There is no memory for the body of its request. */
    BodyMemory,
    /** Its request arrived too slowly for the memory that others need. */
    BodyPace,
    /** Its request, or the next one on its connection, did not arrive in time. */
    ArrivalTime,
    /** Its connection was closed in favour of a new one. */
    IdleConnection,
    /** Its connection was not accepted. */
    Connections,
};

/** The name of @p limit in metrics and logs. */
std::string_view clientLimitName(ClientLimit limit);

struct HttpServerSettings
{
    /** IPv4 address to listen on. */
    std::string address = "127.0.0.1";
    /** 0 picks a free port. */
    std::uint16_t port = 0;
    /** 1 to 64. */
    int threads = 2;
    /** Largest body of a request, unless onLargeBody says otherwise. A larger one is refused with 413, at the head if that announces it. */
    std::size_t maxBodyBytes = 8U << 20U;
    /** Decides on requests with large bodies before these arrive. May be empty. */
    LargeBodyHandler onLargeBody;
    /** The memory that connections and bodies share, also those of other servers. Null means no limit. */
    std::shared_ptr<RequestMemory> memory;
    /** Called for each client that meets a limit, on a server thread. May be empty. */
    std::function<void(ClientLimit)> onClientLimit;
    /** Limit on the head of a request: its first line and its header fields as they arrive. A larger one is refused with 431. */
    std::size_t maxHeaderBytes = 32U << 10U;
    /** Room for the head of an answer, whatever the head of its request. */
    std::size_t maxAnswerHeadBytes = 16U << 10U;
    /** A connection on which nothing is sent or received for this long is closed; 1 to 3600 s. */
    Duration idleTimeout = Duration::seconds(75);
    /** A new connection beyond this takes the place of one without a request, or is closed if there is none. */
    int maxConnections = 4096;
    /**
     * Limit on the memory of all connections together; 0 means none. It reduces the number of connections down to MinConnections, and then
     * the memory of each.
     */
    std::size_t maxMemory = 0;
    /** Unread bytes of a stream above which write() returns false. */
    std::size_t streamBufferBytes = 256U << 10U;
    /**
     * A connection on which the next head has not arrived within this time is closed, over plain HTTP with a 408 answer; 100 ms to 1 h. The
     * time starts when the connection opens or its previous request ends, so that it also limits how long a connection may be idle. The
     * same time applies from the head to the end of the body, unless onLargeBody says otherwise.
     */
    Duration arrivalTimeout = Duration::seconds(75);
    /** The server uses TLS when this is set. */
    std::shared_ptr<TlsCredentials> tls;
    /**
     * The server has no threads of its own: an IoLoop drives it and calls all callbacks. Meant for a VM with a sixth of a core, where each
     * thread costs memory and parallel threads gain nothing.
     */
    bool isDriven = false;
    /** A socket that listens already, which is used instead of @c address and @c port; -1 for none. */
    int listener = -1;
    /** Called with the status of an answer that could not be sent whole to a caller that is still connected. May be empty. */
    std::function<void(int status)> onAnswerNotDelivered;
};

/** Number of connections that a server accepts however little memory it has. */
inline constexpr int MinConnections = 64;

/**
 * Memory of a connection, in bytes. It holds the head of a request, an entry for each of its fields, query parameters and cookies, and
 * the head of the answer. Heads up to the limit fit if their entries are 8 bytes long or more on average; others are refused with 431.
 */
std::size_t connectionMemory(const HttpServerSettings &settings);

/** A caller that disconnects while its request waits is detected within this time, so that the work for it can be stopped. */
inline constexpr Duration GoneCheckInterval { 200 };

/** An HTTP/1.1 server. */
class HttpServer
{
public:
    /** Starts to listen. Errors: SettingsInvalid when the address cannot be bound. */
    static Result<std::unique_ptr<HttpServer>> start(const HttpServerSettings &settings, HttpHandler handler);
    /** Closes all connections, including those with requests in progress. */
    ~HttpServer();

    std::uint16_t port() const;
    /** Number of requests whose answers are not complete yet. */
    int activeCount() const;
    /** Accepts no new connections from now on; existing connections continue. */
    void stopAccepting();
    int connectionCount() const;

    /**
     * Applies another limit to the heads of the requests that arrive from now on. Returns false if the connections have too little memory
     * for it; then handOver() is needed.
     */
    bool setMaxHeaderBytes(std::size_t bytes);
    std::size_t maxHeaderBytes() const;
    /** Applies another limit than the arrival timeout to the arrival of heads, and so to idle connections. */
    void setHeadTimeout(Duration timeout);
    /**
     * Starts a server that takes the place of this one, with another limit on the heads of requests. This one accepts no new connections,
     * and closes each of its own after the next answer. Errors: SettingsInvalid when the server cannot be started.
     */
    Result<std::unique_ptr<HttpServer>> handOver(std::size_t maxHeaderBytes);

    // For a driven server.

    /** Readable when there is work for step(). */
    int pollDescriptor() const;
    /** Does the pending work. */
    void step();
    /** Whether there is work for step() that the descriptor does not signal. */
    bool hasWork() const;
    /** Detects callers that disconnected and connections that are overdue. To be called every GoneCheckInterval. */
    void checkConnections();

    struct Private;

private:
    static Result<std::unique_ptr<HttpServer>> start(
        const HttpServerSettings &settings, HttpHandler handler, std::shared_ptr<std::atomic<std::size_t>> maxHeaderBytes);

    HttpServer();
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
