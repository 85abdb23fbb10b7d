#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "core/sharedbytes.h"
#include "transport/httpfields.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** How far a call to an upstream progressed. */
enum class AttemptState {
    /** No part of the request can have reached the upstream. */
    NotSent,
    /** The request may have reached the upstream, in whole or in part. */
    Sent,
    /** The upstream's answer is complete. */
    Answered,
};

struct CallResult
{
    AttemptState state = AttemptState::NotSent;
    /** HTTP status; 0 when no answer arrived. */
    int status = 0;
    /** Unset when state is Answered. */
    ErrorKind error = ErrorKind::Internal;
    std::string detail;
    /** The upstream's host answered that no process accepts connections at the address. */
    bool isConnectionRefused = false;
    /** Bytes arrived that are no valid answer. They belong to no request, and show that the upstream's process lives. */
    bool isMalformed = false;
};

/** The connection on which an answer arrives. */
struct AnswerConnection
{
    /** Number of calls that it carried before the answered one. A late second answer can only belong to one of them. */
    std::size_t earlierCalls = 0;
};

/** One call to an upstream or to the platform. The callbacks are called on the client's thread and must not block. */
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    SharedBytes body;
    /** At least 1 ms. */
    Duration connectTimeout = Duration(1000);
    /** Limit on the whole call; zero means none. */
    Duration totalTimeout = Duration(0);
    /** Longest time without data from the upstream after the request was sent, in whole seconds; zero means no limit. */
    Duration inactivityTimeout = Duration(0);
    /** PEM file of the certificate authorities that must have signed an https server's certificate; empty means the system's. */
    std::string authorityFile;
    /**
     * False for a call that must not run twice. It gets a new connection, since libcurl by itself sends a request again when a reused
     * connection fails.
     */
    bool isRepeatable = true;
    /** Reuses connections like a repeatable call, but is sent at most once: where libcurl would send it again, the call fails. */
    bool isSentOnce = false;
    /** Path and query to send unchanged, byte for byte, instead of those of the URL. May be empty. */
    std::string target;
    /** Longest body of the answer in bytes; a longer one is broken off. Zero means no limit. */
    std::size_t maxBodyBytes = 0;
    /** A kept connection that was idle for longer is not reused; in whole seconds; zero means libcurl's default of 118 s. */
    Duration maxConnectionIdle = Duration(0);
    /** The connection fails when sent bytes stay unacknowledged for this long; zero means the system's default, which is minutes. */
    Duration acknowledgeTimeout = Duration(0);
    /** Called on the open connection right before the first byte is sent; false ends the call as not sent. May be empty. */
    std::function<bool()> maySend;
    /**
     * The id by which answers name this call. The call is not sent on a connection that has carried one with the same id: a late second
     * answer to that one would be taken for its own. Empty if answers do not name it.
     */
    std::string answerId;
    /**
     * Returns whether the answer with this status and these headers belongs to this call. False ends the call and closes its connection, so
     * that an answer to an earlier request is never taken for the answer to this one. May be empty.
     */
    std::function<bool(int, const HttpHeaders &, const AnswerConnection &)> acceptsHead;
    /** Status and headers (names in lower case) of the answer. May be empty. */
    std::function<void(int, const HttpHeaders &)> onHead;
    /** Called before onData with the same part. False ends the call and closes its connection at once. May be empty. */
    std::function<bool(std::string_view)> acceptsData;
    /** Part of the answer's body. False pauses the answer until resume(); that part counts as consumed. May be empty. */
    std::function<bool(std::string_view)> onData;
    /** Called exactly once, also after cancel(). */
    std::function<void(const CallResult &)> onDone;
};

using CallId = std::uint64_t;

/** Makes concurrent HTTP calls, on one thread of its own or, when driven by an IoLoop, without a thread. */
class HttpClient
{
public:
    enum class Mode {
        OwnThread,
        Driven,
    };
    explicit HttpClient(Mode mode = Mode::OwnThread);
    /** Ends the calls in progress and calls onDone for each. */
    ~HttpClient();

    /** Starts a call. Thread-safe. */
    CallId start(HttpCall call);
    /** Ends a call early and closes its connection, which makes the upstream stop. Does nothing when the call has already ended. */
    void cancel(CallId id);
    /** Continues an answer that onData paused. */
    void resume(CallId id);

    /**
     * For a driven client: does the pending work, then waits for at most @p wait until answers arrive or one of @p descriptors is readable.
     * Returns for each descriptor, in their order, whether it is readable.
     */
    std::vector<bool> step(const std::vector<int> &descriptors, Duration wait);
    /** For a driven client: reads what had arrived at the end of step(), or, if @p isAll is set, all that has arrived. */
    void readAnswers(bool isAll);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
