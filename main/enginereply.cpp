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
// An engine says so, before it runs anything, of an adapter that it does not hold.
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
        // An answer that names another attempt belongs to another request: a caller would read someone else's answer.
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
    // Begun with the first byte and not with the head: an engine that dies in between can still be replaced unseen.
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
        return failed(AttemptPhase::Unknown, ErrorKind::UpstreamFailed, "the answer belonged to another attempt");
    }
    if (m_isTooLarge) {
        return failed(AttemptPhase::Answered, ErrorKind::Internal, "the answer is larger than this node holds");
    }
    if (result.state != AttemptState::Answered) {
        const AttemptPhase phase = result.state == AttemptState::NotSent ? AttemptPhase::Queued : AttemptPhase::Unknown;
        return failed(phase, result.error, result.detail);
    }
    // A stream that just ends looks whole to a caller; only the end event tells that it is.
    if (isStreaming() && m_tail.find(StreamEnd) == std::string::npos) {
        return failed(AttemptPhase::Unknown, ErrorKind::StreamCut, "the engine ended the stream without its end event");
    }
    if (m_status == NotLoadedStatus) {
        return failed(AttemptPhase::Answered, ErrorKind::UpstreamRefused, "the engine does not hold the adapter", true);
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
