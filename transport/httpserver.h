#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "transport/tlscredentials.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** A whole request as it arrived. */
struct HttpRequest
{
    std::string method;
    /** Without the query. */
    std::string path;
    /** The query as it came, without '?'. */
    std::string query;
    std::map<std::string, std::string> parameters;
    /** Path and query byte for byte as they came. */
    std::string target;
    /** Names in lower case; the last of repeated ones. */
    std::map<std::string, std::string> headers;
    /** All headers as they came, in order. */
    HttpHeaders headerList;
    std::string body;
    /** The caller's IP number. */
    std::string peer;

    /** Empty when there is none. @p name in lower case. */
    std::string header(const std::string &name) const;
    std::string parameter(const std::string &name) const;
};

/**
 * One request in progress and the answer to it. Every method may be called from any thread.
 *
 * An answer is either respond(), or beginStream(), write()... and then finish() or abort(). Only the first answer counts.
 */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /** Answers whole. */
    virtual void respond(int status, const HttpHeaders &headers, std::string body) = 0;
    /** Starts an answer of unknown length. */
    virtual void beginStream(int status, const HttpHeaders &headers) = 0;
    /** Adds to the stream. Returns false when the caller reads slower than this is written: wait for onDrained then. */
    virtual bool write(std::string_view data) = 0;
    /** Ends the stream well. */
    virtual void finish() = 0;
    /** Closes the connection so that the answer cannot look whole. */
    virtual void abort() = 0;
    /** Called each time that a full buffer has emptied, from a server thread. Set before beginStream(). */
    virtual void onDrained(std::function<void()> callback) = 0;
    /** Called once when the caller's connection has closed before the answer was whole, from a server thread. */
    virtual void onCallerGone(std::function<void()> callback) = 0;
};

/** Called once for each whole request, from a server thread; must not block. */
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

struct HttpServerSettings
{
    /** IP number to listen on. */
    std::string address = "127.0.0.1";
    /** 0 picks a free one. */
    std::uint16_t port = 0;
    /** 1 to 64. */
    int threads = 2;
    std::size_t maxBodyBytes = 8U << 20U;
    /** Header bytes at most, and the memory of a connection. */
    std::size_t maxHeaderBytes = 32U << 10U;
    /** A connection with nothing sent or received for this long is closed; 1 to 3600 s. */
    Duration idleTimeout = Duration::seconds(75);
    int maxConnections = 4096;
    /** A request that has not arrived whole after this long is ended with 408; 100 ms to 1 h. Also how long a connection may idle. */
    Duration arrivalTimeout = Duration::seconds(75);
    /** Serves TLS only when set. */
    std::shared_ptr<TlsCredentials> tls;
    /**
     * Has no threads of its own: an IoLoop drives it, and all callbacks come from there. Answers the VM with a sixth of a core, where each
     * thread costs memory and a lock saves nothing.
     */
    bool isDriven = false;
};

/** A caller that leaves while its request waits is noticed within this time; what it asked for can then be stopped. */
inline constexpr Duration GoneCheckInterval { 200 };

/** An HTTP/1.1 server. */
class HttpServer
{
public:
    /** Starts to listen. Errors: SettingsInvalid when the address cannot be had. */
    static Result<std::unique_ptr<HttpServer>> start(const HttpServerSettings &settings, HttpHandler handler);
    /** Closes all connections, those in progress too. */
    ~HttpServer();

    std::uint16_t port() const;
    /** Requests whose answers are not whole yet. */
    int activeCount() const;
    /** Takes no new connections from now on; those that exist go on. */
    void stopAccepting();

    // For a driven server.

    /** Readable when there is work for step(). */
    int pollDescriptor() const;
    /** Does the work at hand. */
    void step();
    /** Whether there is work for step() that the descriptor does not show. */
    bool hasWork() const;
    /** Notices callers that left and connections that are overdue. Call it every GoneCheckInterval. */
    void checkConnections();

    struct Private;

private:
    HttpServer();
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
