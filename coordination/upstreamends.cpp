#include "coordination/upstreamends.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ApricotStep
{

namespace
{

UpstreamStart startOf(const UpstreamRecord &record)
{
    return UpstreamStart { record.id, record.startedAt };
}

} // namespace

UpstreamEnds::UpstreamEnds(UpstreamEndsLimits limits)
    : m_limits(limits)
{
}

std::optional<UpstreamEnd> UpstreamEnds::onUnanswered(const UnansweredRequest &request, Time now)
{
    forget(now);
    const auto known = m_suspicions.find(startOf(request.upstream));
    if (known != m_suspicions.end() && known->second.sign && request.sentAt <= known->second.confirmedAt) {
        if (!isBlamed(known->second, request)) {
            return std::nullopt;
        }
        return UpstreamEnd { request.upstream, known->second.endedAt, *known->second.sign, { exposedSuspect(known->second, request) } };
    }
    add(request.upstream, request, now);
    return std::nullopt;
}

void UpstreamEnds::forget(Time now)
{
    for (auto &[start, suspicion] : m_suspicions) {
        std::erase_if(suspicion.open, [&](const OpenRequest &request) { return now - request.knownSince > m_limits.suspicionTime; });
    }
    std::erase_if(m_suspicions, [&](const auto &entry) {
        const Suspicion &suspicion = entry.second;
        return suspicion.open.empty() && (!suspicion.sign || now - suspicion.confirmedAt > m_limits.suspicionTime);
    });
}

void UpstreamEnds::add(const UpstreamRecord &upstream, const UnansweredRequest &request, Time now)
{
    Suspicion &suspicion = m_suspicions[startOf(upstream)];
    suspicion.upstream = upstream;
    if (suspicion.open.size() >= m_limits.maxOpen) {
        suspicion.open.erase(suspicion.open.begin());
    }
    suspicion.open.push_back(OpenRequest { request, now });
}

bool UpstreamEnds::isSuspected(const UpstreamStart &start) const
{
    const auto at = m_suspicions.find(start);
    return at != m_suspicions.end() && !at->second.open.empty() && !at->second.isLaterRefused;
}

std::vector<UnansweredRequest> UpstreamEnds::open() const
{
    std::vector<UnansweredRequest> result;
    for (const auto &[start, suspicion] : m_suspicions) {
        if (!suspicion.sign) {
            result.insert(result.end(), suspicion.open.begin(), suspicion.open.end());
        }
    }
    return result;
}

bool UpstreamEnds::onAnswer(const UpstreamStart &start, Time sentAt, Time now)
{
    const auto at = m_suspicions.find(start);
    if (at == m_suspicions.end() || at->second.sign || at->second.open.empty()) {
        return false;
    }
    const Time since = at->second.open.front().knownSince;
    if (sentAt >= since || now - since <= m_limits.lastAnswersTime) {
        return false;
    }
    m_suspicions.erase(at);
    return true;
}

std::optional<UpstreamEnd> UpstreamEnds::onConnectionRefused(const UpstreamStart &start, Time now)
{
    if (!isSuspected(start)) {
        return std::nullopt;
    }
    Suspicion &suspicion = m_suspicions[start];
    if (suspicion.sign) {
        suspicion.isLaterRefused = true;
        return std::nullopt;
    }
    return confirm(suspicion, EndSign::ConnectionRefused, now);
}

std::optional<UpstreamEnd> UpstreamEnds::onSilent(const UpstreamStart &start, Time now)
{
    const auto at = m_suspicions.find(start);
    if (at == m_suspicions.end() || at->second.sign || at->second.open.empty()) {
        return std::nullopt;
    }
    return confirm(at->second, EndSign::Silence, now);
}

std::vector<UpstreamEnd> UpstreamEnds::onStarted(const UpstreamRecord &record, Time now)
{
    std::vector<UpstreamEnd> result;
    std::vector<OpenRequest> later;
    bool isLaterRefused = false;
    for (auto &[start, suspicion] : m_suspicions) {
        if (start == startOf(record) || (start.upstream != record.id && suspicion.upstream.address != record.address)) {
            continue;
        }
        if (start.upstream == record.id) {
            const auto moved = takeThoseAfter(suspicion, record.startedAt);
            later.insert(later.end(), moved.begin(), moved.end());
            isLaterRefused = isLaterRefused || std::exchange(suspicion.isLaterRefused, false);
        }
        if (!suspicion.sign && !suspicion.open.empty()) {
            result.push_back(confirm(suspicion, EndSign::NewStart, now));
        }
        // What was sent after the end of this start was known, and before the new one, has reached neither.
        suspicion.open.clear();
    }
    for (const OpenRequest &request : later) {
        add(record, request, request.knownSince);
    }
    if (isLaterRefused && !later.empty()) {
        result.push_back(confirm(m_suspicions[startOf(record)], EndSign::ConnectionRefused, now));
    }
    return result;
}

// Without any request before the new start, the first one counts as such: the wall clocks of this node and the upstream may differ.
std::vector<UpstreamEnds::OpenRequest> UpstreamEnds::takeThoseAfter(Suspicion &suspicion, std::int64_t startedAt)
{
    std::vector<OpenRequest> &open = suspicion.open;
    Time firstSentAt = Time::never();
    for (const OpenRequest &request : open) {
        firstSentAt = std::min(firstSentAt, request.sentAt);
    }
    const auto isBefore = [&](const OpenRequest &request) {
        return request.sentAtWall.milliseconds() < startedAt || (!suspicion.sign && request.sentAt == firstSentAt);
    };
    const auto middle = std::stable_partition(open.begin(), open.end(), isBefore);
    std::vector<OpenRequest> later(std::make_move_iterator(middle), std::make_move_iterator(open.end()));
    open.erase(middle, open.end());
    return later;
}

std::vector<UpstreamEnd> UpstreamEnds::onLapsed(const UpstreamId &upstream, Time now)
{
    std::vector<UpstreamEnd> result;
    for (auto &[start, suspicion] : m_suspicions) {
        if (start.upstream == upstream && !suspicion.sign && !suspicion.open.empty()) {
            result.push_back(confirm(suspicion, EndSign::EntryLapsed, now));
        }
    }
    return result;
}

std::optional<Time> UpstreamEnds::lastSignAt(const Suspicion &suspicion) const
{
    std::optional<Time> result;
    for (const OpenRequest &request : suspicion.open) {
        const bool wasAliveUntilBroken = request.brokenAt && request.silence(*request.brokenAt) < m_limits.minSilence;
        result = std::max({ result, request.lastPartAt, wasAliveUntilBroken ? request.brokenAt : std::nullopt });
    }
    return result;
}

bool UpstreamEnds::isBlamed(const Suspicion &suspicion, const UnansweredRequest &request) const
{
    return suspicion.sign == EndSign::ConnectionRefused || request.sentAt <= suspicion.endedAt + m_limits.sendingTime;
}

CrashSuspect UpstreamEnds::exposedSuspect(const Suspicion &suspicion, const UnansweredRequest &request) const
{
    // A connection that breaks off while the upstream still sends shows when it ended.
    const bool isTimed =
        suspicion.sign == EndSign::ConnectionRefused || (request.brokenAt && request.silence(*request.brokenAt) < m_limits.minSilence);
    const Duration uncertainty = isTimed ? Duration() : m_limits.sendingTime;
    CrashSuspect result = request.suspect;
    result.exposure = std::max(Duration(), suspicion.endedAt + uncertainty - request.sentAt);
    return result;
}

// A refused connection shows the end when it happens. Otherwise it may have happened long before, and what was sent since is not to blame.
UpstreamEnd UpstreamEnds::confirm(Suspicion &suspicion, EndSign sign, Time now) const
{
    Time firstSentAt = now;
    Time firstKnownAt = now;
    for (const OpenRequest &request : suspicion.open) {
        firstSentAt = std::min(firstSentAt, request.sentAt);
        firstKnownAt = std::min(firstKnownAt, request.knownSince);
    }
    suspicion.endedAt = sign == EndSign::ConnectionRefused ? firstKnownAt : lastSignAt(suspicion).value_or(firstSentAt);
    suspicion.sign = sign;
    suspicion.confirmedAt = now;
    UpstreamEnd end { suspicion.upstream, suspicion.endedAt, sign, {} };
    for (const OpenRequest &request : std::exchange(suspicion.open, {})) {
        if (isBlamed(suspicion, request)) {
            end.suspects.push_back(exposedSuspect(suspicion, request));
        }
    }
    return end;
}

} // namespace ApricotStep
