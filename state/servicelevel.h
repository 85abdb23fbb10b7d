#pragma once

#include "core/clock.h"
#include "core/errors.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** What objectives are set for: the three classes of completions, and calls to plain services. */
enum class ServiceClass {
    Urgent,
    Standard,
    Patient,
    Service,
};
inline constexpr std::size_t ServiceClassCount = 4;
inline constexpr std::array<std::string_view, ServiceClassCount> ServiceClassNames { "urgent", "standard", "patient", "service" };

/** Events of one minute or of a window. */
struct EventCounts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    std::uint64_t total() const
    {
        return good + bad;
    }
};

/** An objective: this share of the events is good, and a good one is answered within the limit. */
struct Objective
{
    /** Share of good events, 0 to 1, exclusive. */
    double target = 0.99;
    /** To the first byte of the answer; zero sets no limit. */
    Duration limit;
};

/**
 * Burn rate of @p counts: the share of bad events over the share that the objective allows. 1 spends the error budget exactly by the end of
 * its period; 0 when there were no events.
 */
double burnRate(const EventCounts &counts, const Objective &objective);

/** Whether a failure of @p kind spends the error budget: those that a caller brought about itself do not. */
bool spendsErrorBudget(ErrorKind kind);

/**
 * Counts of good and bad events by class and minute over the last six hours, kept in memory: about 35 KB. Thread-safe; each class has a
 * lock of its own.
 */
class ServiceLevels
{
public:
    static constexpr Duration Minute = Duration::seconds(60);
    /** Minutes remembered, the current one included. */
    static constexpr std::size_t MinuteCount = 360;

    explicit ServiceLevels(const std::array<Objective, ServiceClassCount> &objectives);
    ~ServiceLevels();

    const Objective &objective(ServiceClass serviceClass) const;
    /** An event was answered after @p latency; it is bad when that is over the limit. */
    void recordAnswer(ServiceClass serviceClass, Duration latency, Time now);
    /** An event failed; it counts only when spendsErrorBudget(). */
    void recordFailure(ServiceClass serviceClass, ErrorKind kind, Time now);
    /** The events of the last @p minutes, 1 to MinuteCount, the current one included. */
    EventCounts window(ServiceClass serviceClass, std::size_t minutes, Time now) const;
    /** The same minute by minute, the oldest first. */
    std::vector<EventCounts> series(ServiceClass serviceClass, std::size_t minutes, Time now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
