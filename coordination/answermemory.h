#pragma once

#include <cstddef>

namespace ApricotStep
{

/** What upstreams may make a node keep. An answer beyond a limit is broken off. All in bytes, at least 1. */
struct AnswerLimits
{
    /** One answer that is delivered as a whole. */
    std::size_t maxAnswerBytes = std::size_t(4) << 20U;
    /** One event of a stream, which is delivered event by event. */
    std::size_t maxEventBytes = std::size_t(1) << 20U;
    /** All answers in progress together. */
    std::size_t maxMemoryBytes = std::size_t(16) << 20U;
};

/**
 * Shares the memory for answers in progress. Once all of it is in use, only answers that hold less than an equal share may grow, so long
 * answers give way to short ones, and all together hold less than twice the limit. Not thread-safe.
 */
class AnswerMemory
{
public:
    explicit AnswerMemory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /** One answer holds @p to bytes instead of @p from. Returns false if it must be broken off for that; it is counted until it is. */
    bool resize(std::size_t from, std::size_t to);
    std::size_t usedBytes() const
    {
        return m_usedBytes;
    }

private:
    std::size_t m_maxBytes;
    std::size_t m_usedBytes = 0;
    /** Answers that hold any bytes. */
    std::size_t m_holders = 0;
};

} // namespace ApricotStep
