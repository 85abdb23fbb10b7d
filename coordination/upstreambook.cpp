#include "coordination/upstreambook.h"

#include <algorithm>

namespace ApricotStep
{

void UpstreamBook::onSent(const UpstreamId &upstream, std::uint32_t promptTokens)
{
    UpstreamLoad &load = m_own[upstream];
    load.upstream = upstream;
    ++load.running;
    load.pendingTokens += promptTokens;
}

void UpstreamBook::onFirstToken(const UpstreamId &upstream, std::uint32_t promptTokens)
{
    const auto at = m_own.find(upstream);
    if (at != m_own.end()) {
        at->second.pendingTokens -= std::min(at->second.pendingTokens, promptTokens);
    }
}

void UpstreamBook::onEnded(const UpstreamId &upstream, std::uint32_t unreadTokens)
{
    onFirstToken(upstream, unreadTokens);
    const auto at = m_own.find(upstream);
    if (at != m_own.end() && --at->second.running == 0) {
        m_own.erase(at);
    }
}

void UpstreamBook::onPeer(const NodeId &peer, const std::vector<UpstreamLoad> &loads, Time now)
{
    m_peers[peer] = Peer { now, loads };
}

FleetLoad UpstreamBook::load(const UpstreamId &upstream, Time now) const
{
    FleetLoad sum;
    const auto add = [&sum](const UpstreamLoad &load) {
        sum.running += load.running;
        sum.pendingTokens += load.pendingTokens;
    };
    const auto own = m_own.find(upstream);
    if (own != m_own.end()) {
        add(own->second);
    }
    for (const auto &[id, peer] : m_peers) {
        if (now - peer.heardAt > PeerMemory) {
            continue;
        }
        for (const UpstreamLoad &load : peer.loads) {
            if (load.upstream == upstream) {
                add(load);
            }
        }
    }
    return sum;
}

std::vector<UpstreamLoad> UpstreamBook::own() const
{
    std::vector<UpstreamLoad> result;
    result.reserve(m_own.size());
    for (const auto &[id, load] : m_own) {
        result.push_back(load);
    }
    return result;
}

} // namespace ApricotStep
