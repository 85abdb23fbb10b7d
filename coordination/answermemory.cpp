#include "coordination/answermemory.h"

#include <algorithm>

namespace ApricotStep
{

bool AnswerMemory::resize(std::size_t from, std::size_t to)
{
    m_usedBytes = m_usedBytes - from + to;
    m_holders = m_holders - (from > 0 ? 1 : 0) + (to > 0 ? 1 : 0);
    return to <= from || mayHold(to);
}

void AnswerMemory::setUnread(std::uint64_t answer, std::size_t bytes)
{
    resize(unreadBytes(answer), bytes);
    if (bytes > 0) {
        m_unread[answer] = bytes;
    } else {
        m_unread.erase(answer);
    }
}

std::size_t AnswerMemory::unreadBytes(std::uint64_t answer) const
{
    const auto at = m_unread.find(answer);
    return at == m_unread.end() ? 0 : at->second;
}

std::optional<std::uint64_t> AnswerMemory::answerToEnd() const
{
    if (m_usedBytes <= m_maxBytes || m_unread.empty()) {
        return std::nullopt;
    }
    const auto most = std::min_element(m_unread.begin(), m_unread.end(),
        [](const auto &a, const auto &b) { return a.second != b.second ? a.second > b.second : a.first < b.first; });
    return mayHold(most->second) ? std::nullopt : std::optional(most->first);
}

} // namespace ApricotStep
