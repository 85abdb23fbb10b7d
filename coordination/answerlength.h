#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace ApricotStep
{

struct AnswerLengthLimits
{
    /** Maximum number of routes; beyond it, the route whose last whole answer is the oldest is forgotten. At least 1. */
    std::size_t maxRoutes = 256;
    /** An answer's weight falls to 1/e after this many later answers on its route; above 1. */
    double memoryAnswers = 100;
};

/** The length that an answer will probably have, in events. */
struct AnswerLength
{
    double expected = 0;
    /** 90 of 100 answers are shorter. */
    double high = 0;
};

/**
 * Learns per route how long answers are, in events and in time, for the placement of requests whose answers have very different lengths.
 *
 * Without it, all requests count the same, so engines with many long answers look as free as those with short ones. Callers' hints can be
 * wrong by any factor. So an estimate uses a hint only within the range of lengths seen on the route, and only as far as hints have lately
 * predicted lengths there better than the route alone. Answers that were cut off are not seen, so a deadline shortens what is learned. Not
 * thread-safe.
 */
class AnswerLengthModel
{
public:
    explicit AnswerLengthModel(AnswerLengthLimits limits);
    ~AnswerLengthModel();
    AnswerLengthModel(AnswerLengthModel &&) noexcept;
    AnswerLengthModel &operator=(AnswerLengthModel &&) noexcept;

    /**
     * A whole answer on @p route had @p events and took @p time from the first to the last of them. @p hint and @p maximum are what its
     * request stated, as for estimate(). Answers without events are ignored.
     */
    void onAnswer(const std::string &route, std::optional<std::uint32_t> hint, std::uint32_t maximum, std::uint64_t events, Duration time);
    /**
     * Estimates the length of an answer on @p route, to a request with a @p hint and a @p maximum in tokens (0: unknown). Unset before the
     * first whole answer on the route.
     */
    std::optional<AnswerLength> estimate(const std::string &route, std::optional<std::uint32_t> hint, std::uint32_t maximum) const;
    /** The mean time from the first to the last event of whole answers on @p route; unset before the first one. */
    std::optional<Duration> expectedAnswerTime(const std::string &route) const;
    std::size_t routeCount() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
