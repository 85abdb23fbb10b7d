#pragma once

#include <algorithm>

namespace ApricotStep
{

/**
 * How far this node doubts itself, after Lifeguard.
 *
 * Load pattern: a node that is short of processor time or whose own link drops datagrams sees every peer as silent. Without this it
 * suspects healthy members, which shows as upstreams that change owners for nothing. Each sign of own slowness stretches its probes and
 * suspicions; each answer in time shortens them. Eight steps let a node wait up to nine times as long, as Lifeguard's authors chose.
 */
class LocalHealth
{
public:
    static constexpr int MaxScore = 8;

    void worsen()
    {
        m_score = std::min(m_score + 1, MaxScore);
    }
    void improve()
    {
        m_score = std::max(m_score - 1, 0);
    }
    /** What to multiply waiting times by, 1 to 9. */
    int factor() const
    {
        return m_score + 1;
    }

private:
    int m_score = 0;
};

} // namespace ApricotStep
