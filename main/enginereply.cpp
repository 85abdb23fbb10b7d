#include "main/enginereply.h"

#include "protocol/callerapi.h"

namespace ApricotStep
{

namespace
{

constexpr std::size_t MaxWholeAnswerBytes = 64U << 20U;
constexpr std::string_view StreamEnd = "data: [DONE]";
constexpr int OkStatus = 200;
constexpr int ServerErrors = 500;
// Engines send this, before running anything, if the adapter is not loaded.
constexpr int NotLoadedStatus = 404;

ReplyEnd failed(AttemptPhase phase, ErrorKind kind, std::string detail, bool isAdapterMissing = false)
{
    return { false, { phase, kind, isAdapterMissing }, std::move(detail) };
}

} // namespace

EngineReply::EngineReply(const CompletionJob &job)
    : m_exchange(job.exchange)
    , m_headers(job.headers)
    , m_attemptId(job.attemptId())
    , m_wantsStream(job.isStream)
{
}

void EngineReply::onHead(int status, const std::vector<std::pair<std::string, std::string>> &headers)
{
    m_status = status;
    for (const auto &[name, value] : headers) {
        if (name == "content-type") {
            m_contentType = value;
        }
        // An answer with a different attempt ID belongs to another attempt, possibly of another caller's request, and must not be
        // delivered.
        if (name == "x-attempt-id" && value != m_attemptId) {
            m_isFromOtherAttempt = true;
        }
    }
}

bool EngineReply::isStreaming() const
{
    return m_wantsStream && m_status == OkStatus;
}

bool EngineReply::onData(std::string_view data, Time now)
{
    if (m_firstByteAt == Time()) {
        m_firstByteAt = now;
    }
    if (m_isFromOtherAttempt || m_isTooLarge) {
        return true;
    }
    if (!isStreaming()) {
        m_isTooLarge = m_body.size() + data.size() > MaxWholeAnswerBytes;
        if (!m_isTooLarge) {
            m_body.append(data);
        }
        return true;
    }
    // The stream to the caller starts with the first byte rather than with the head: if the engine fails in between, the attempt can still
    // be retried without the caller noticing.
    if (!m_isStreamStarted) {
        m_isStreamStarted = true;
        HttpHeaders answer = m_headers;
        answer.emplace_back("Content-Type", m_contentType);
        answer.emplace_back("Cache-Control", "no-store");
        m_exchange->beginStream(m_status, answer);
    }
    m_tail.append(data);
    if (m_tail.size() > StreamEnd.size() * 2) {
        m_tail.erase(0, m_tail.size() - StreamEnd.size() * 2);
    }
    return m_exchange->write(data);
}

ReplyEnd EngineReply::end(const CallResult &result) const
{
    if (m_isFromOtherAttempt) {
        return failed(AttemptPhase::Unknown, ErrorKind::UpstreamFailed, "the answer belongs to another attempt");
    }
    if (m_isTooLarge) {
        return failed(AttemptPhase::Answered, ErrorKind::Internal, "the answer exceeds the size limit of this node");
    }
    if (result.state != AttemptState::Answered) {
        const AttemptPhase phase = result.state == AttemptState::NotSent ? AttemptPhase::Queued : AttemptPhase::Unknown;
        return failed(phase, result.error, result.detail);
    }
    // The end of the connection does not show whether a stream is complete; only the end event does.
    if (isStreaming() && m_tail.find(StreamEnd) == std::string::npos) {
        return failed(AttemptPhase::Unknown, ErrorKind::StreamCut, "the engine closed the stream without the end event");
    }
    if (m_status == NotLoadedStatus) {
        return failed(AttemptPhase::Answered, ErrorKind::UpstreamRefused, "the adapter is not loaded on the engine", true);
    }
    if (m_status >= ServerErrors) {
        return failed(AttemptPhase::Answered, ErrorKind::UpstreamFailed, "the engine answered " + std::to_string(m_status));
    }
    return { true, {}, {} };
}

void EngineReply::deliver()
{
    if (m_isStreamStarted) {
        m_exchange->finish();
        return;
    }
    HttpHeaders headers = m_headers;
    headers.emplace_back("Content-Type", m_contentType);
    m_exchange->respond(m_status, headers, std::move(m_body));
}

void EngineReply::abortStream(const std::string &requestId, const std::string &detail)
{
    ErrorDetails details;
    details.requestId = requestId;
    details.detail = detail;
    m_exchange->write(errorEvent(ErrorKind::StreamCut, details));
    m_exchange->abort();
}

bool EngineReply::hasSentToCaller() const
{
    return m_isStreamStarted;
}

bool EngineReply::isFromOtherAttempt() const
{
    return m_isFromOtherAttempt;
}

bool EngineReply::isTooLarge() const
{
    return m_isTooLarge;
}

int EngineReply::status() const
{
    return m_status;
}

Time EngineReply::firstByteAt() const
{
    return m_firstByteAt;
}

} // namespace ApricotStep
