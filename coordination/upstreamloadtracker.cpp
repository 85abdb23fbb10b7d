#include "coordination/upstreamloadtracker.h"

#include <algorithm>
#include <cmath>

namespace ApricotStep
{

namespace
{

// Time between two checks for stale peers; short compared with UpstreamLoadTracker::PeerTimeout.
constexpr Duration SweepInterval { 100 };
// Time constant of the average of what an upstream has to prefill.
constexpr Duration PrefillMemory { 2000 };
// An upstream with a smaller share than this, and nothing to prefill, is forgotten.
constexpr double MinPrefillShare = 0.001;
// With this many prompt tokens to process, an engine's steps are as long as they get.
constexpr double LongPromptTokens = 2048;

// Nodes of older versions report no reservations, so their pending tokens count.
std::uint32_t reservedBy(const UpstreamLoad &load)
{
    return std::max(load.reservedTokens, load.pendingTokens);
}

} // namespace

void UpstreamLoadTracker::trackPrefill()
{
    m_isTrackingPrefill = true;
}

void UpstreamLoadTracker::onSent(const UpstreamId &upstream, std::uint32_t promptTokens, Time now)
{
    UpstreamLoad &load = m_own[upstream];
    load.upstream = upstream;
    ++load.running;
    load.pendingTokens += promptTokens;
    updatePrefill(upstream, now);
}

void UpstreamLoadTracker::onFirstToken(const UpstreamId &upstream, std::uint32_t promptTokens, Time now)
{
    const auto at = m_own.find(upstream);
    if (at != m_own.end()) {
        at->second.pendingTokens -= std::min(at->second.pendingTokens, promptTokens);
        updatePrefill(upstream, now);
    }
}

void UpstreamLoadTracker::onEnded(const UpstreamId &upstream, std::uint32_t unreadTokens, Time now)
{
    onFirstToken(upstream, unreadTokens, now);
    const auto at = m_own.find(upstream);
    if (at != m_own.end() && --at->second.running == 0) {
        m_own.erase(at);
    }
}

void UpstreamLoadTracker::reserve(const UpstreamId &upstream, std::uint32_t tokens)
{
    m_own[upstream].reservedTokens += tokens;
}

void UpstreamLoadTracker::release(const UpstreamId &upstream, std::uint32_t tokens)
{
    const auto at = m_own.find(upstream);
    if (at != m_own.end()) {
        at->second.reservedTokens -= std::min(at->second.reservedTokens, tokens);
    }
}

void UpstreamLoadTracker::onPeerLoads(const NodeId &peer, const std::vector<UpstreamLoad> &loads, Time now)
{
    Peer &known = m_peers[peer];
    subtract(known.loads);
    known = Peer { now, loads };
    add(known.loads, now);
}

double UpstreamLoadTracker::pendingTokens(const UpstreamId &upstream) const
{
    const auto own = m_own.find(upstream);
    const auto peerTotal = m_peerTotals.find(upstream);
    return (own != m_own.end() ? own->second.pendingTokens : 0) + (peerTotal != m_peerTotals.end() ? peerTotal->second.pendingTokens : 0);
}

double UpstreamLoadTracker::averageAt(const PrefillAverage &prefill, Time now)
{
    const double elapsed = static_cast<double>(std::max(now - prefill.updatedAt, Duration()).milliseconds());
    const double weight = std::exp(-elapsed / static_cast<double>(PrefillMemory.milliseconds()));
    return prefill.average * weight + prefill.current * (1 - weight);
}

void UpstreamLoadTracker::updatePrefill(const UpstreamId &upstream, Time now)
{
    if (!m_isTrackingPrefill) {
        return;
    }
    PrefillAverage &prefill = m_prefill[upstream];
    prefill.average = averageAt(prefill, now);
    prefill.updatedAt = now;
    prefill.current = std::min(pendingTokens(upstream) / LongPromptTokens, 1.0);
}

void UpstreamLoadTracker::add(const std::vector<UpstreamLoad> &loads, Time now)
{
    for (const UpstreamLoad &load : loads) {
        FleetLoad &sum = m_peerTotals[load.upstream];
        sum.running += load.running;
        sum.pendingTokens += load.pendingTokens;
        sum.reservedTokens += reservedBy(load);
        updatePrefill(load.upstream, now);
    }
}

void UpstreamLoadTracker::subtract(const std::vector<UpstreamLoad> &loads)
{
    for (const UpstreamLoad &load : loads) {
        const auto at = m_peerTotals.find(load.upstream);
        if (at == m_peerTotals.end()) {
            continue; // Removed already by another entry that names this upstream with no load.
        }
        at->second.running -= load.running;
        at->second.pendingTokens -= load.pendingTokens;
        at->second.reservedTokens -= reservedBy(load);
        // Whole numbers below 2^53 are added and subtracted exactly, so the sum of no loads is exactly zero.
        if (at->second.running == 0 && at->second.pendingTokens == 0 && at->second.reservedTokens == 0) {
            m_peerTotals.erase(at);
        }
    }
}

void UpstreamLoadTracker::removeStalePeers(Time now)
{
    if (now - m_sweptAt < SweepInterval) {
        return;
    }
    m_sweptAt = now;
    absl::erase_if(
        m_prefill, [now](const auto &entry) { return entry.second.current == 0 && averageAt(entry.second, now) < MinPrefillShare; });
    for (auto at = m_peers.begin(); at != m_peers.end();) {
        const auto current = at++;
        if (now - current->second.receivedAt > PeerTimeout) {
            subtract(current->second.loads);
            m_peers.erase(current);
        }
    }
}

FleetLoad UpstreamLoadTracker::load(const UpstreamId &upstream, Time now)
{
    removeStalePeers(now);
    FleetLoad sum;
    const auto peerTotal = m_peerTotals.find(upstream);
    if (peerTotal != m_peerTotals.end()) {
        sum = peerTotal->second;
    }
    const auto own = m_own.find(upstream);
    if (own != m_own.end()) {
        sum.running += own->second.running;
        sum.pendingTokens += own->second.pendingTokens;
        sum.reservedTokens += reservedBy(own->second);
    }
    const auto prefill = m_prefill.find(upstream);
    if (prefill != m_prefill.end()) {
        sum.prefillShare = averageAt(prefill->second, now);
    }
    return sum;
}

std::vector<UpstreamLoad> UpstreamLoadTracker::own() const
{
    std::vector<UpstreamLoad> result;
    result.reserve(m_own.size());
    for (const auto &[id, load] : m_own) {
        result.push_back(load);
    }
    return result;
}

} // namespace ApricotStep
