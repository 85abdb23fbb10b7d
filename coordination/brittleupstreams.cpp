#include "coordination/brittleupstreams.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

// The fleet may save up some requests for a limited upstream and run half more than the limit: with these, what it sends in any second
// stays below the refusals that the upstream bears.
constexpr double SavedRequests = 2;
constexpr double RequestsPerLimit = 2;
// In requests per second: an upstream that bears no refusal is still asked now and then.
constexpr double MinRate = 0.25;

double limitFor(double refusalsPerSecond)
{
    return std::max((refusalsPerSecond - SavedRequests) / RequestsPerLimit, MinRate);
}

} // namespace

BrittleUpstreams::BrittleUpstreams(BrittleUpstreamLimits limits)
    : m_limits(limits)
{
}

const BrittleUpstreams::Entry *BrittleUpstreams::findBrittle(const Key &key) const
{
    const auto at = m_entries.empty() ? m_entries.end() : m_entries.find(key);
    return at != m_entries.end() && at->second.refusalsPerSecond ? &at->second : nullptr;
}

// The latest statement holds. Returns whether it changes the bound.
bool BrittleUpstreams::put(const Key &key, std::optional<double> refusalsPerSecond, Time statedAt)
{
    const auto [at, isNew] = m_entries.try_emplace(key);
    Entry &entry = at->second;
    if (!isNew && statedAt <= entry.statedAt) {
        return false;
    }
    entry.statedAt = statedAt;
    return std::exchange(entry.refusalsPerSecond, refusalsPerSecond) != refusalsPerSecond;
}

bool BrittleUpstreams::onAnswer(const UpstreamRecord &upstream, std::optional<double> refusalsPerSecond, Time sentAt, Time now)
{
    const Key key(upstream.id, upstream.startedAt);
    if (!refusalsPerSecond && !m_entries.contains(key)) {
        return false;
    }
    // An answer without a bound is as old as its request: the upstream may have composed it before it became brittle.
    const bool isChanged = put(key, refusalsPerSecond, refusalsPerSecond ? now : sentAt);
    if (isChanged || refusalsPerSecond) {
        m_entries[key].heardAt = now;
    }
    if (isChanged) {
        absl::erase_if(m_entries, [&](const auto &entry) { return now - entry.second.statedAt > m_limits.lifetime; });
    }
    return isChanged;
}

bool BrittleUpstreams::onRefusal(const UpstreamRecord &upstream, Time now)
{
    const auto at = m_entries.find(Key(upstream.id, upstream.startedAt));
    if (at == m_entries.end() || !at->second.refusalsPerSecond) {
        return false;
    }
    // All nodes pause already if they know of a refusal a moment ago.
    const bool isNews = !at->second.refusedAt || now - *at->second.refusedAt >= Duration(m_limits.pause.milliseconds() / 2);
    at->second.refusedAt = now;
    at->second.heardAt = now;
    return isNews;
}

bool BrittleUpstreams::onPeerStatement(const BrittleStatement &statement, Time now)
{
    const Key key(statement.upstream, statement.startedAt);
    if (!statement.refusalsPerSecond && !m_entries.contains(key)) {
        return false;
    }
    const bool isChanged = put(key, statement.refusalsPerSecond, now - statement.age);
    if (statement.sinceRefusal) {
        std::optional<Time> &refusedAt = m_entries[key].refusedAt;
        refusedAt = std::max(refusedAt.value_or(Time()), now - *statement.sinceRefusal);
    }
    return isChanged;
}

std::vector<BrittleStatement> BrittleUpstreams::statements(Time now) const
{
    std::vector<BrittleStatement> result;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.heardAt || now - *entry.heardAt > m_limits.repeatTime) {
            continue;
        }
        BrittleStatement statement { key.first, key.second, entry.refusalsPerSecond, now - entry.statedAt, std::nullopt };
        if (entry.refusedAt && now - *entry.refusedAt < m_limits.caution) {
            statement.sinceRefusal = now - *entry.refusedAt;
        }
        result.push_back(std::move(statement));
    }
    return result;
}

bool BrittleUpstreams::isBrittle(const UpstreamRecord &upstream) const
{
    return findBrittle(Key(upstream.id, upstream.startedAt)) != nullptr;
}

Time BrittleUpstreams::pausedUntil(const UpstreamRecord &upstream) const
{
    const Entry *entry = findBrittle(Key(upstream.id, upstream.startedAt));
    return entry != nullptr && entry->refusedAt ? *entry->refusedAt + m_limits.pause : Time();
}

std::optional<double> BrittleUpstreams::limit(const UpstreamRecord &upstream, Time now) const
{
    const Entry *entry = findBrittle(Key(upstream.id, upstream.startedAt));
    const bool isCautious = entry != nullptr && entry->refusedAt && now - *entry->refusedAt < m_limits.caution;
    return isCautious ? std::optional(limitFor(*entry->refusalsPerSecond)) : std::nullopt;
}

std::optional<double> BrittleUpstreams::issuedLimit(const UpstreamId &upstream, std::int64_t startedAt) const
{
    const Entry *entry = findBrittle(Key(upstream, startedAt));
    return entry != nullptr ? std::optional(limitFor(*entry->refusalsPerSecond)) : std::nullopt;
}

} // namespace ApricotStep
