#pragma once

#include <cstdint>

namespace ApricotStep
{

/** Tracks which of the last 64 counters of one sender were seen, so that duplicated and replayed datagrams are dropped. */
class ReplayWindow
{
public:
    /** Returns false if @p counter was seen before or is too old to be tracked. */
    bool accept(std::uint32_t counter)
    {
        if (counter > m_highest) {
            const std::uint32_t step = counter - m_highest;
            m_seen = step >= Width ? 0 : m_seen << step;
            m_seen |= 1U;
            m_highest = counter;
            return true;
        }
        const std::uint32_t back = m_highest - counter;
        if (back >= Width || (m_seen & (std::uint64_t { 1 } << back)) != 0) {
            return false;
        }
        m_seen |= std::uint64_t { 1 } << back;
        return true;
    }

private:
    static constexpr std::uint32_t Width = 64;
    std::uint32_t m_highest = 0;
    std::uint64_t m_seen = 0;
};

} // namespace ApricotStep
