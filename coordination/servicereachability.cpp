#include "coordination/servicereachability.h"

#include <algorithm>

namespace ApricotStep
{

ServiceReachability::ServiceReachability(ReachabilityLimits limits)
    : m_limits(limits)
{
}

void ServiceReachability::onConnected(const ServiceName &service, const UpstreamId &upstream, Time now)
{
    const auto at = m_states.find(service);
    if (at == m_states.end()) {
        return;
    }
    State &state = at->second;
    state.probes.erase(upstream);
    state.connectedAt = now;
    if (state.isUnreachable) {
        state.failures.erase(upstream);
        state.connected.insert(upstream);
    } else {
        state.failures.clear();
        state.suspectedAt = Time();
    }
}

void ServiceReachability::onUnreachable(const ServiceName &service, const UpstreamId &upstream, Time now)
{
    State &state = m_states[service];
    state.failures[upstream] = now;
    state.connected.erase(upstream);
    state.probes.erase(upstream);
}

void ServiceReachability::suspect(const ServiceName &service, Time now)
{
    m_states[service].suspectedAt = now;
}

void ServiceReachability::updateReachability(State &state, std::size_t upstreamCount) const
{
    const std::size_t toConfirm = std::min(m_limits.upstreamsToConfirm, upstreamCount);
    const std::size_t toReturn = std::min(m_limits.upstreamsToReturn, upstreamCount);
    if (!state.isUnreachable) {
        state.isUnreachable = toConfirm > 0 && state.failures.size() >= toConfirm;
    } else if (state.connected.size() >= toReturn || state.failures.empty()) {
        state.isUnreachable = false;
        state.failures.clear();
        state.connected.clear();
        state.suspectedAt = Time();
    }
}

std::size_t ServiceReachability::wantedProbes(const State &state, std::size_t upstreamCount, Time now) const
{
    const auto missing = [&state](std::size_t wanted, std::size_t known) { return wanted - std::min(wanted, known + state.probes.size()); };
    if (state.isUnreachable) {
        // The first success is followed by the other probes that the return needs at once.
        const bool isDue = now - state.probedAt >= m_limits.probeInterval;
        const std::size_t toReturn = std::min(m_limits.upstreamsToReturn, upstreamCount);
        return isDue ? 1 : state.connected.empty() ? 0 : missing(toReturn, state.connected.size());
    }
    const bool isPaused = state.connectedAt != Time() && now - state.connectedAt < m_limits.probePause;
    return isPaused ? 0 : missing(std::min(m_limits.upstreamsToConfirm, upstreamCount), state.failures.size());
}

ServiceReachability::Decision ServiceReachability::decide(
    const ServiceName &service, const std::vector<UpstreamId> &upstreams, Time now, std::mt19937_64 &random)
{
    Decision decision;
    const auto at = m_states.find(service);
    if (at == m_states.end()) {
        return decision;
    }
    State &state = at->second;
    const auto isListed = [&](const UpstreamId &id) { return std::find(upstreams.begin(), upstreams.end(), id) != upstreams.end(); };
    const auto isOutdated = [&](const auto &entry) { return now - entry.second >= m_limits.failureLifetime || !isListed(entry.first); };
    absl::erase_if(state.failures, isOutdated);
    absl::erase_if(state.probes, isOutdated);
    absl::erase_if(state.connected, [&](const UpstreamId &id) { return !isListed(id); });
    const bool wasUnreachable = state.isUnreachable;
    updateReachability(state, upstreams.size());
    decision.isChanged = state.isUnreachable != wasUnreachable;
    const bool isSuspected = state.suspectedAt != Time() && now - state.suspectedAt < m_limits.failureLifetime;
    decision.isPending = !upstreams.empty() && (isSuspected || !state.failures.empty() || !state.probes.empty());
    // Those that have not been tried come first, in random order, then those that failed longest ago.
    std::vector<std::pair<Time, UpstreamId>> candidates;
    for (const UpstreamId &upstream : upstreams) {
        const auto failure = state.failures.find(upstream);
        const bool hasFailed = failure != state.failures.end();
        if (!state.probes.contains(upstream) && !state.connected.contains(upstream) && (state.isUnreachable || !hasFailed)) {
            candidates.emplace_back(hasFailed ? failure->second : Time(), upstream);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random);
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    const std::size_t wanted = decision.isPending ? wantedProbes(state, upstreams.size(), now) : 0;
    for (std::size_t i = 0; i < std::min(wanted, candidates.size()); ++i) {
        state.probes[candidates[i].second] = now;
        decision.probes.push_back(candidates[i].second);
    }
    if (!decision.probes.empty()) {
        state.probedAt = now;
    }
    if (!decision.isPending && now - state.connectedAt >= m_limits.probePause) {
        m_states.erase(at);
    }
    return decision;
}

bool ServiceReachability::isReachable(const ServiceName &service) const
{
    const auto at = m_states.find(service);
    return at == m_states.end() || !at->second.isUnreachable;
}

std::vector<ServiceName> ServiceReachability::unreachable() const
{
    std::vector<ServiceName> result;
    for (const auto &[service, state] : m_states) {
        if (state.isUnreachable) {
            result.push_back(service);
        }
    }
    return result;
}

} // namespace ApricotStep
