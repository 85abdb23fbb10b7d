#include "coordination/upstreamlimits.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

// In any window of this length an upstream gets at most half more than its limit, and a few requests.
constexpr Duration Window = Duration::seconds(4);
constexpr double Overrun = 0.5;
// What nodes without an issuer may send in a window beyond that, all together.
constexpr double Reserve = 2;
// Requests that the fleet may save up for a limited upstream: some, and those of half a second.
constexpr double SavedRequests = 2;
constexpr double SavedSeconds = 0.5;
// In requests per second. An upstream that accepts none is asked now and then, or nobody would learn that it does again.
constexpr double MinRate = 0.1;
// How long a node repeats a statement to its peers.
constexpr Duration RepeatTime = Duration::seconds(3);
// Starts of upstreams end without notice; what one of them stated this long ago is forgotten.
constexpr Duration StatementLifetime = Duration::seconds(600);

} // namespace

TeamCreditLimits upstreamCreditLimits()
{
    TeamCreditLimits limits;
    limits.window = Window;
    limits.overrun = Overrun;
    limits.reserve = Reserve;
    return limits;
}

TeamLimit upstreamCreditLimit(double requestsPerSecond)
{
    TeamLimit limit;
    limit.unit = LimitUnit::Requests;
    limit.ratePerSecond = std::max(requestsPerSecond, MinRate);
    limit.burst = (SavedRequests + SavedSeconds * limit.ratePerSecond) / (1 + Overrun);
    return limit;
}

const UpstreamLimits::Entry *UpstreamLimits::find(const Key &key) const
{
    const auto at = m_entries.empty() ? m_entries.end() : m_entries.find(key);
    return at != m_entries.end() ? &at->second : nullptr;
}

bool UpstreamLimits::onAnswer(const UpstreamRecord &upstream, std::optional<double> requestsPerSecond, Time sentAt, Time now)
{
    const Key key(upstream.id, upstream.startedAt);
    if (!requestsPerSecond && find(key) == nullptr) {
        return false;
    }
    const bool isChanged = put(key, requestsPerSecond, requestsPerSecond ? now : sentAt);
    Entry &entry = m_entries[key];
    if (isChanged || (requestsPerSecond && entry.requestsPerSecond == requestsPerSecond)) {
        entry.heardAt = now;
    }
    if (isChanged) {
        removeOld(now);
    }
    return isChanged;
}

bool UpstreamLimits::onPeerStatement(const UpstreamLimitStatement &statement, Time now)
{
    const Key key(statement.upstream, statement.startedAt);
    if (!statement.requestsPerSecond && find(key) == nullptr) {
        return false;
    }
    return put(key, statement.requestsPerSecond, now - statement.age);
}

// The latest statement holds. Returns whether it changes the limit.
bool UpstreamLimits::put(const Key &key, std::optional<double> requestsPerSecond, Time statedAt)
{
    const auto [at, isNew] = m_entries.try_emplace(key);
    Entry &entry = at->second;
    if (!isNew && statedAt <= entry.statedAt) {
        return false;
    }
    entry.statedAt = statedAt;
    return std::exchange(entry.requestsPerSecond, requestsPerSecond) != requestsPerSecond;
}

void UpstreamLimits::removeOld(Time now)
{
    absl::erase_if(m_entries, [now](const auto &entry) { return now - entry.second.statedAt > StatementLifetime; });
}

std::vector<UpstreamLimitStatement> UpstreamLimits::statements(Time now) const
{
    std::vector<UpstreamLimitStatement> result;
    for (const auto &[key, entry] : m_entries) {
        if (entry.heardAt && now - *entry.heardAt <= RepeatTime) {
            result.push_back(UpstreamLimitStatement { key.first, key.second, entry.requestsPerSecond, now - entry.statedAt });
        }
    }
    return result;
}

void UpstreamLimits::onRefused(const UpstreamRecord &upstream, Time until)
{
    const auto at = m_entries.find(Key(upstream.id, upstream.startedAt));
    if (at != m_entries.end()) {
        at->second.refusedUntil = std::max(at->second.refusedUntil, until);
    }
}

std::optional<double> UpstreamLimits::limit(const UpstreamId &upstream, std::int64_t startedAt) const
{
    const Entry *entry = find(Key(upstream, startedAt));
    return entry != nullptr ? entry->requestsPerSecond : std::nullopt;
}

Time UpstreamLimits::nextSendAt(const UpstreamRecord &upstream, Time now) const
{
    const Entry *entry = find(Key(upstream.id, upstream.startedAt));
    return entry != nullptr && entry->requestsPerSecond ? std::max(now, entry->refusedUntil) : now;
}

} // namespace ApricotStep
