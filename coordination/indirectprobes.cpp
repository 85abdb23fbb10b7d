#include "coordination/indirectprobes.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

namespace
{

/** How long an upstream has sent nothing to this node. */
struct Silence
{
    ZoneId zone;
    Duration longest;
    std::optional<Time> lastPartAt;
};

} // namespace

IndirectProbes::IndirectProbes(IndirectProbeLimits limits, ZoneId ownZone)
    : m_limits(limits)
    , m_ownZone(std::move(ownZone))
{
}

std::vector<ProbeAction> IndirectProbes::onAttempts(const std::vector<WaitingAttempt> &attempts, Time now)
{
    std::map<UpstreamStart, Silence> silences;
    for (const WaitingAttempt &attempt : attempts) {
        Silence &silence = silences[attempt.upstream];
        silence.zone = attempt.upstreamZone;
        silence.longest = std::max(silence.longest, now - attempt.lastPartAt.value_or(attempt.sentAt));
        silence.lastPartAt = std::max(silence.lastPartAt, attempt.lastPartAt);
    }
    std::vector<ProbeAction> result;
    for (const auto &[upstream, silence] : silences) {
        const auto known = m_upstreams.find(upstream);
        if (silence.lastPartAt && now - *silence.lastPartAt < m_limits.minSilence) {
            if (known != m_upstreams.end()) {
                onSignOfLife(known->second, *silence.lastPartAt);
            }
            continue;
        }
        if (silence.longest < m_limits.minSilence) {
            continue;
        }
        State &state = m_upstreams[upstream];
        state.zone = silence.zone;
        state.usedAt = now;
        std::vector<ProbeAction> next;
        if (state.inquiry) {
            next = conclude(upstream, state, now);
        } else if (!state.isSilent && (now - state.triedAt) * 2 >= silence.longest) {
            // An upstream that answers may work for long: it is asked at ever longer intervals.
            state.isSuspected = true;
            next = startProbe(upstream, state);
        }
        result.insert(result.end(), next.begin(), next.end());
    }
    forget(now);
    return result;
}

std::vector<ProbeAction> IndirectProbes::onProbed(const ProbeResult &result, const std::vector<ProbePeer> &peers, Time now)
{
    State &state = m_upstreams[result.upstream];
    state.usedAt = now;
    state.triedAt = now;
    state.isProbing = false;
    std::vector<ProbeAction> actions;
    for (const NodeId &peer : std::exchange(state.waiting, {})) {
        actions.emplace_back(TellProbeResult { peer, result });
    }
    if (result.isAnswered) {
        onSignOfLife(state, now);
        return actions;
    }
    state.unansweredAt = now;
    if (std::exchange(state.isSuspected, false)) {
        const Inquiry &inquiry = state.inquiry.emplace(makeInquiry(result.upstream, state.zone, peers, now));
        actions.emplace_back(RequestProbes { result.upstream, { inquiry.unanswered.begin(), inquiry.unanswered.end() } });
    }
    return actions;
}

std::vector<ProbeAction> IndirectProbes::onProbeRequest(const NodeId &from, const UpstreamStart &upstream, Time now)
{
    State &state = m_upstreams[upstream];
    state.usedAt = now;
    const auto isFresh = [&](const std::optional<Time> &at) { return at && now - *at <= m_limits.resultLifetime; };
    if (isFresh(state.answeredAt) || isFresh(state.unansweredAt)) {
        return { TellProbeResult { from, ProbeResult { upstream, isFresh(state.answeredAt) } } };
    }
    state.waiting.push_back(from);
    return startProbe(upstream, state);
}

std::vector<ProbeAction> IndirectProbes::onPeerResult(const NodeId &from, const ProbeResult &result, Time now)
{
    const auto at = m_upstreams.find(result.upstream);
    if (at == m_upstreams.end() || !at->second.inquiry || at->second.inquiry->unanswered.erase(from) == 0) {
        return {};
    }
    State &state = at->second;
    if (result.isAnswered) {
        onSignOfLife(state, now);
        return {};
    }
    state.inquiry->silent.insert(from);
    return conclude(result.upstream, state, now);
}

void IndirectProbes::forget(Time now)
{
    std::erase_if(m_upstreams, [&](const auto &entry) { return !entry.second.isProbing && now - entry.second.usedAt > m_limits.memory; });
}

void IndirectProbes::onSignOfLife(State &state, Time at)
{
    state.answeredAt = std::max(state.answeredAt.value_or(at), at);
    state.triedAt = std::max(state.triedAt, at);
    state.unansweredAt.reset();
    state.inquiry.reset();
    state.isSuspected = false;
    state.isSilent = false;
}

std::vector<ProbeAction> IndirectProbes::startProbe(const UpstreamStart &upstream, State &state)
{
    if (std::exchange(state.isProbing, true)) {
        return {};
    }
    return { ProbeUpstream { upstream } };
}

// The same nodes whoever asks, so that one probe of each serves all.
IndirectProbes::Inquiry IndirectProbes::makeInquiry(
    const UpstreamStart &upstream, const ZoneId &zone, const std::vector<ProbePeer> &peers, Time now) const
{
    const std::uint64_t key = stableHash(upstream.upstream.value());
    const auto score = [key](const ProbePeer &peer) { return mixHashes(key, stableHash(peer.id.value())); };
    std::vector<ProbePeer> sorted = peers;
    std::sort(sorted.begin(), sorted.end(), [&](const ProbePeer &a, const ProbePeer &b) { return score(a) > score(b); });
    Inquiry inquiry;
    inquiry.since = now;
    std::size_t others = 0;
    for (const ProbePeer &peer : sorted) {
        const bool isNear = peer.zone == zone && m_ownZone != zone;
        if (isNear && inquiry.near.size() < m_limits.nearPeers) {
            inquiry.near.insert(peer.id);
            inquiry.unanswered.insert(peer.id);
        } else if (!isNear && others++ < m_limits.otherPeers) {
            inquiry.unanswered.insert(peer.id);
        }
    }
    return inquiry;
}

std::vector<ProbeAction> IndirectProbes::conclude(const UpstreamStart &upstream, State &state, Time now)
{
    const Inquiry &inquiry = *state.inquiry;
    const Duration age = now - inquiry.since;
    if (!inquiry.unanswered.empty() && age < m_limits.peerTimeout) {
        return {};
    }
    const bool isNearSilent = inquiry.near.empty()
        || std::any_of(inquiry.near.begin(), inquiry.near.end(), [&](const NodeId &peer) { return inquiry.silent.contains(peer); });
    const bool isOutdated = age > m_limits.peerTimeout * 2;
    state.isSilent = inquiry.silent.size() >= m_limits.peersToConfirm && isNearSilent && !isOutdated;
    state.triedAt = now;
    state.inquiry.reset();
    return state.isSilent ? std::vector<ProbeAction> { UpstreamIsSilent { upstream } } : std::vector<ProbeAction> {};
}

} // namespace ApricotStep
