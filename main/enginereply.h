#pragma once

#include "coordination/attempt.h"
#include "main/completionjob.h"
#include "transport/httpclient.h"

#include <string>
#include <string_view>

namespace ApricotStep
{

/** How an attempt at an engine ended. */
struct ReplyEnd
{
    /** The caller can have the whole answer; else @p failure says why not. */
    bool isComplete = false;
    AttemptFailure failure;
    std::string detail;
};

/**
 * What an engine answers to one attempt. A stream goes on to the caller from its first byte; anything else is held until it is whole, so
 * that a failed attempt can be made again without the caller's seeing it. For the client's thread alone.
 */
class EngineReply
{
public:
    explicit EngineReply(const CompletionJob &job);

    void onHead(int status, const std::vector<std::pair<std::string, std::string>> &headers);
    /** False when the caller reads more slowly than the engine writes. */
    bool onData(std::string_view data, Time now);
    /** Judges the end of the call. */
    ReplyEnd end(const CallResult &result) const;
    /** Gives the caller the rest of a whole answer. */
    void deliver();
    /** Ends a stream that the caller has begun to read, visibly broken. */
    void abortStream(const std::string &requestId, const std::string &detail);

    bool hasSentToCaller() const;
    bool isFromOtherAttempt() const;
    /** Larger than this node holds; the call should be cancelled. */
    bool isTooLarge() const;
    int status() const;
    /** Time() before it. */
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
