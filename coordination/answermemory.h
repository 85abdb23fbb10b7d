#pragma once

#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>

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
    /** What is kept of one stream for a caller that reads slowly. A caller beyond it slows its upstream down. */
    std::size_t maxUnreadBytes = std::size_t(256) << 10U;
    /** How long a caller may read an answer that was sent to it as a whole. */
    Duration maxDeliveryTime = Duration::seconds(30);
};

/**
 * Shares the memory for answers in progress. Once all of it is in use, only answers that hold less than an equal share may grow, so long
 * answers give way to short ones, and all together hold less than twice the limit. Not thread-safe.
 *
 * What callers have not read counts too. With hundreds of callers that read slowly it would exceed the memory of a small node, and the
 * process would end with all its answers; instead the answer with the most unread bytes ends.
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
    /** The caller of @p answer has @p bytes of it still to read. */
    void setUnread(std::uint64_t answer, std::size_t bytes);
    /** Returns 0 for an unknown answer. */
    std::size_t unreadBytes(std::uint64_t answer) const;
    /**
     * Returns the answer that has to end because all memory is in use: the one with the most unread bytes, the oldest of equals. None if it
     * has no more than an equal share: then an answer that grows is to be broken off.
     */
    std::optional<std::uint64_t> answerToEnd() const;
    /** Whether an answer that holds @p bytes may go on. */
    bool mayHold(std::size_t bytes) const
    {
        return m_usedBytes <= m_maxBytes || bytes <= m_maxBytes / m_holders;
    }
    std::size_t usedBytes() const
    {
        return m_usedBytes;
    }

private:
    std::size_t m_maxBytes;
    std::size_t m_usedBytes = 0;
    /** Answers that hold any bytes; one of which parts are also unread counts twice. */
    std::size_t m_holders = 0;
    absl::flat_hash_map<std::uint64_t, std::size_t> m_unread;
};

} // namespace ApricotStep
