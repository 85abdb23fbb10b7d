#pragma once

#include "core/clock.h"
#include "core/errors.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ApricotStep
{

/** How far a call to an upstream came. */
enum class AttemptState {
    /** Nothing can have reached the upstream. */
    NotSent,
    /** The request may have reached the upstream, in whole or in part. */
    Sent,
    /** The upstream's answer is whole. */
    Answered,
};

struct CallResult
{
    AttemptState state = AttemptState::NotSent;
    /** HTTP status, 0 when none came. */
    int status = 0;
    /** Unset when state is Answered. */
    ErrorKind error = ErrorKind::Internal;
    std::string detail;
};

/** One call to an upstream or to the platform. The callbacks come from the client's thread and must not block. */
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** 1 ms at least. */
    Duration connectTimeout = Duration(1000);
    /** For the whole call; zero means none. */
    Duration totalTimeout = Duration(0);
    /** Longest silence of the upstream after the request was sent; whole seconds; zero means none. */
    Duration inactivityTimeout = Duration(0);
    /** PEM file of the authorities that an https server's certificate must come from; empty takes the system's. */
    std::string authorityFile;
    /** False for a call that must not run twice: it gets a connection of its own, since libcurl by itself sends again on a reused one. */
    bool isRepeatable = true;
    /** Reuses connections like a repeatable call, but its bytes leave at most once: where libcurl would send again, the call fails. */
    bool isSentOnce = false;
    /** Path and query to send byte for byte in place of those of the URL. May be empty. */
    std::string target;
    /** A kept connection that was idle for longer is not reused; whole seconds; zero means libcurl's 118 s. */
    Duration maxConnectionIdle = Duration(0);
    /** Bytes that the other side leaves unacknowledged for this long break the connection; zero means the system's minutes. */
    Duration acknowledgeTimeout = Duration(0);
    /** Asked on the open connection right before the first byte leaves; false stops the call as not sent. May be empty. */
    std::function<bool()> maySend;
    /**
     * Whether the answer with this status and these headers is one to this call; false ends the call and its connection, so that an answer
     * to an earlier request never counts as this one's. May be empty.
     */
    std::function<bool(int, const std::vector<std::pair<std::string, std::string>> &)> acceptsHead;
    /** Status and headers (names in lower case) of the answer. May be empty. */
    std::function<void(int, const std::vector<std::pair<std::string, std::string>> &)> onHead;
    /** Part of the answer's body. False pauses the answer until resume(); that part counts as taken. May be empty. */
    std::function<bool(std::string_view)> onData;
    /** Called exactly once, also after cancel(). */
    std::function<void(const CallResult &)> onDone;
};

using CallId = std::uint64_t;

/** Makes many HTTP calls at once, each client on one thread of its own, or driven by an IoLoop without any. */
class HttpClient
{
public:
    enum class Mode {
        OwnThread,
        Driven,
    };
    explicit HttpClient(Mode mode = Mode::OwnThread);
    /** Ends the calls in progress; each gets its onDone. */
    ~HttpClient();

    /** Starts a call; from any thread. */
    CallId start(HttpCall call);
    /** Ends a call early; its connection is closed, which tells the upstream to stop. Nothing happens when it has ended already. */
    void cancel(CallId id);
    /** Goes on with an answer that onData paused. */
    void resume(CallId id);

    /**
     * For a driven client: does the work at hand, then waits up to @p wait for more or until one of @p descriptors is readable. Returns
     * which of them are, by their order.
     */
    std::vector<bool> step(const std::vector<int> &descriptors, Duration wait);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
