#include "transport/exchangehistory.h"

#include <xxhash.h>

#include <algorithm>

namespace ApricotStep
{

std::uint64_t ExchangeHistory::digestOf(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

void ExchangeHistory::opened(int socket, const ConnectionEnds &ends)
{
    closed(socket);
    m_sockets[socket] = ends;
    m_calls[ends].clear();
}

void ExchangeHistory::closed(int socket)
{
    const auto at = m_sockets.find(socket);
    if (at != m_sockets.end()) {
        m_calls.erase(at->second);
        m_sockets.erase(at);
    }
}

bool ExchangeHistory::canCarry(const ConnectionEnds &ends, std::string_view id) const
{
    const auto at = m_calls.find(ends);
    if (at == m_calls.end() || at->second.size() >= MaxCalls) {
        return false;
    }
    return std::find(at->second.begin(), at->second.end(), digestOf(id)) == at->second.end();
}

std::size_t ExchangeHistory::onSent(const ConnectionEnds &ends, std::string_view id)
{
    const auto at = m_calls.find(ends);
    if (at == m_calls.end()) {
        return MaxCalls;
    }
    const std::size_t earlier = at->second.size();
    if (earlier < MaxCalls) {
        at->second.push_back(digestOf(id));
    }
    return earlier;
}

} // namespace ApricotStep
