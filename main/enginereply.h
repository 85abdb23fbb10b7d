#pragma once

#include "coordination/attempt.h"
#include "main/completionjob.h"
#include "transport/httpclient.h"

#include <string>
#include <string_view>

namespace ApricotStep
{

/** The result of an attempt on an engine. */
struct ReplyEnd
{
    /** The answer is complete and can be delivered; otherwise @p failure has the reason. */
    bool isComplete = false;
    AttemptFailure failure;
    std::string detail;
};

/**
 * Receives an engine's answer to one attempt. A stream is passed to the caller from its first byte on. Any other answer is buffered until
 * it is complete, so that a failed attempt can be retried without the caller noticing. Used only on the HTTP client's thread.
 */
class EngineReply
{
public:
    explicit EngineReply(const CompletionJob &job);

    void onHead(int status, const std::vector<std::pair<std::string, std::string>> &headers);
    /** Returns false if the caller reads more slowly than the engine writes, to apply backpressure. */
    bool onData(std::string_view data, Time now);
    /** Returns the result of the attempt once the call has ended with @p result. */
    ReplyEnd end(const CallResult &result) const;
    /** Sends the buffered answer to the caller, or finishes the stream. Only for a complete answer. */
    void deliver();
    /** Sends an error event on a started stream and aborts it, so that the caller can tell that it is incomplete. */
    void abortStream(const std::string &requestId, const std::string &detail);

    bool hasSentToCaller() const;
    bool isFromOtherAttempt() const;
    /** The answer exceeds the buffer limit of this node; the call should be cancelled. */
    bool isTooLarge() const;
    int status() const;
    /** Time() until the first byte has arrived. */
    Time firstByteAt() const;

private:
    bool isStreaming() const;

    std::shared_ptr<HttpExchange> m_exchange;
    HttpHeaders m_headers;
    std::string m_attemptId;
    bool m_wantsStream = false;
    int m_status = 0;
    bool m_isStreamStarted = false;
    bool m_isFromOtherAttempt = false;
    bool m_isTooLarge = false;
    Time m_firstByteAt;
    std::string m_body;
    std::string m_tail;
    std::string m_contentType = "application/json";
};

} // namespace ApricotStep
