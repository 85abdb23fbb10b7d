#pragma once

#include <algorithm>

namespace ApricotStep
{

/**
 * This node's estimate of its own health, after Lifeguard.
 *
 * To a node that lacks processor time or whose own link drops datagrams, every peer seems unresponsive. Without this score it would suspect
 * healthy members, and upstreams would change owners needlessly. Each sign of its own slowness lengthens its probes and suspicions; each
 * timely response shortens them. With eight steps a node waits up to nine times as long, as the authors of Lifeguard chose.
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
    /** Multiplier for timeouts, 1 to 9. */
    int factor() const
    {
        return m_score + 1;
    }

private:
    int m_score = 0;
};

} // namespace ApricotStep
