#include "coordination/upstreamlimits.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace ApricotStep
{

namespace
{

// Added to the limit, this is the number of nodes that share it. Each may have one request saved up, so that in a few seconds the nodes
// send that many requests beyond the limit at most.
constexpr double ExtraSenders = 3;
// In requests per second. An upstream that accepts none is asked now and then, or nobody would learn that it does again.
constexpr double MinRate = 0.1;
// No fleet reaches this rate at one upstream.
constexpr double MaxRate = 1e6;
// Callers use a node if its request rate, over about this time, is at least a part of the nodes' mean; once they do, a smaller part.
constexpr Duration RateMemory = Duration::seconds(5);
constexpr double UsedShare = 0.3;
constexpr double UnusedShare = 0.1;
// How long a node repeats a statement to its peers.
constexpr Duration RepeatTime = Duration::seconds(3);
// Starts of upstreams end without notice; what one of them stated this long ago is forgotten.
constexpr Duration StatementLifetime = Duration::seconds(600);

} // namespace

UpstreamLimits::UpstreamLimits(std::uint64_t seed)
    : m_random(seed)
{
}

void UpstreamLimits::setNodes(const NodeId &self, const std::vector<Node> &nodes, Time now)
{
    const double weight = 1 - std::exp((m_nodesSetAt - now).toSeconds() / RateMemory.toSeconds());
    m_nodesSetAt = now;
    absl::btree_map<NodeId, KnownNode> known;
    double sum = 0;
    for (const Node &node : nodes) {
        const auto at = m_nodes.find(node.id);
        KnownNode next = at != m_nodes.end() ? at->second : KnownNode { node.scope, node.requestRate };
        next.scope = node.scope;
        next.requestRate += (node.requestRate - next.requestRate) * weight;
        sum += next.requestRate;
        known.emplace(node.id, next);
    }
    const double mean = sum / std::max<double>(static_cast<double>(known.size()), 1);
    for (auto &[id, node] : known) {
        // Hysteresis keeps the nodes that send from changing with each fluctuation of the rates.
        node.isUsedByCallers = node.requestRate >= mean * (node.isUsedByCallers ? UnusedShare : UsedShare);
    }
    const auto isSame = [](const auto &a, const auto &b) {
        return a.first == b.first && a.second.scope == b.second.scope && a.second.isUsedByCallers == b.second.isUsedByCallers;
    };
    if (self != m_self || !std::equal(known.begin(), known.end(), m_nodes.begin(), m_nodes.end(), isSame)) {
        ++m_nodesVersion;
    }
    m_self = self;
    m_nodes = std::move(known);
    absl::erase_if(m_entries, [now](const auto &entry) { return now - entry.second.statedAt > StatementLifetime; });
}

UpstreamLimits::Entry *UpstreamLimits::find(const UpstreamRecord &upstream)
{
    const auto at = m_entries.empty() ? m_entries.end() : m_entries.find(Key(upstream.id, upstream.startedAt));
    return at != m_entries.end() ? &at->second : nullptr;
}

bool UpstreamLimits::onAnswer(const UpstreamRecord &upstream, std::optional<double> requestsPerSecond, Time sentAt, Time now)
{
    if (!requestsPerSecond && find(upstream) == nullptr) {
        return false;
    }
    const bool isChanged = put(Key(upstream.id, upstream.startedAt), requestsPerSecond, requestsPerSecond ? now : sentAt, now);
    Entry &entry = *find(upstream);
    if (isChanged || (requestsPerSecond && entry.requestsPerSecond == requestsPerSecond)) {
        entry.heardAt = now;
    }
    return isChanged;
}

bool UpstreamLimits::onPeerStatement(const UpstreamLimitStatement &statement, Time now)
{
    const Key key(statement.upstream, statement.startedAt);
    if (!statement.requestsPerSecond && !m_entries.contains(key)) {
        return false;
    }
    return put(key, statement.requestsPerSecond, now - statement.age, now);
}

// The latest statement holds. Returns whether it changes the limit.
bool UpstreamLimits::put(const Key &key, std::optional<double> requestsPerSecond, Time statedAt, Time now)
{
    const auto [at, isNew] = m_entries.try_emplace(key);
    Entry &entry = at->second;
    if (!isNew && statedAt <= entry.statedAt) {
        return false;
    }
    entry.statedAt = statedAt;
    if (entry.requestsPerSecond == requestsPerSecond) {
        return false;
    }
    if (!entry.requestsPerSecond) {
        entry = Entry {};
        entry.statedAt = statedAt;
        entry.saved = std::uniform_real_distribution<double>(0, 1)(m_random);
        entry.savedAt = now;
    }
    entry.requestsPerSecond = requestsPerSecond;
    entry.nodesVersion = 0;
    return true;
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

std::optional<double> UpstreamLimits::limit(const UpstreamRecord &upstream) const
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    const auto at = m_entries.find(Key(upstream.id, upstream.startedAt));
    return at != m_entries.end() ? at->second.requestsPerSecond : std::nullopt;
}

// The nodes that send to @p upstream: of those that callers use, and for an engine of those that use its zone's engines, if there are any.
std::vector<NodeId> UpstreamLimits::senders(const UpstreamRecord &upstream, std::size_t count) const
{
    const auto isInScope = [&upstream](const KnownNode &node) {
        return upstream.models.empty() || node.scope.isEmpty() || node.scope == upstream.zone;
    };
    const bool hasNodeInScope = std::any_of(m_nodes.begin(), m_nodes.end(),
        [&isInScope](const auto &entry) { return entry.second.isUsedByCallers && isInScope(entry.second); });
    std::vector<std::pair<double, NodeId>> ranked;
    for (const auto &[id, node] : m_nodes) {
        if (node.isUsedByCallers && (isInScope(node) || !hasNodeInScope)) {
            ranked.emplace_back(rendezvousScore(upstream.id.value(), id.value(), 1), id);
        }
    }
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), std::greater<>());
    std::vector<NodeId> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(ranked[i].second);
    }
    return result;
}

// Brings this node's share of the limit and what it has saved up to date.
void UpstreamLimits::update(Entry &entry, const UpstreamRecord &upstream, Time now)
{
    entry.saved = std::min(entry.saved + std::max((now - entry.savedAt).toSeconds(), 0.0) * entry.share, entry.capacity);
    entry.savedAt = std::max(entry.savedAt, now);
    if (entry.nodesVersion == m_nodesVersion) {
        return;
    }
    entry.nodesVersion = m_nodesVersion;
    const double rate = std::clamp(*entry.requestsPerSecond, MinRate, MaxRate);
    const double burst = std::floor(rate + ExtraSenders);
    const auto chosen = senders(upstream, static_cast<std::size_t>(burst));
    const auto count = static_cast<double>(chosen.size());
    const bool wasSender = entry.share > 0;
    const bool isSender = std::find(chosen.begin(), chosen.end(), m_self) != chosen.end();
    entry.share = isSender ? rate / count : 0;
    entry.capacity = isSender ? std::floor(burst / count) : 1;
    if (std::exchange(entry.hasBeenShared, true) && !wasSender) {
        entry.saved = 0;
    }
}

Time UpstreamLimits::nextSendAt(const UpstreamRecord &upstream, Time now)
{
    Entry *entry = find(upstream);
    if (entry == nullptr || !entry->requestsPerSecond) {
        return now;
    }
    update(*entry, upstream, now);
    if (entry->share <= 0) {
        return Time::never();
    }
    const double missing = std::max(1 - entry->saved, 0.0);
    return now + Duration(static_cast<std::int64_t>(std::ceil(missing / entry->share * 1000)));
}

bool UpstreamLimits::take(const UpstreamRecord &upstream, Time now)
{
    if (nextSendAt(upstream, now) > now) {
        return false;
    }
    if (Entry *entry = find(upstream); entry != nullptr && entry->requestsPerSecond) {
        entry->saved = std::max(entry->saved - 1, 0.0);
    }
    return true;
}

} // namespace ApricotStep
