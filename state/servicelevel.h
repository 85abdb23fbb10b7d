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

/** What has an objective of its own: each of the three priorities of completions, and calls to plain services. */
enum class ServiceClass {
    Urgent,
    Standard,
    Patient,
    Service,
};
inline constexpr std::size_t ServiceClassCount = 4;
inline constexpr std::array<std::string_view, ServiceClassCount> ServiceClassNames { "urgent", "standard", "patient", "service" };

/** Numbers of events in one minute or in a window. */
struct EventCounts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    std::uint64_t total() const
    {
        return good + bad;
    }
};

/** A service level objective: the share of events that must be good, and the time within which a good event is answered. */
struct Objective
{
    /** Share of good events, 0 to 1, exclusive. */
    double target = 0.99;
    /** Time to the first byte of the answer; zero means no limit. */
    Duration limit;
};

/**
 * Burn rate of @p counts: the share of bad events divided by the share that the objective allows. A constant rate of 1 spends the error
 * budget exactly by the end of its period. 0 if there were no events.
 */
double burnRate(const EventCounts &counts, const Objective &objective);

/** Returns whether a failure of @p kind counts against the error budget. Failures that callers cause themselves do not. */
bool spendsErrorBudget(ErrorKind kind);

/**
 * Counts good and bad events by class and minute over the last six hours, in about 35 KB of memory. Thread-safe; each class has its own
 * lock.
 */
class ServiceLevels
{
public:
    static constexpr Duration Minute = Duration::seconds(60);
    /** Number of minutes that are kept, including the current one. */
    static constexpr std::size_t MinuteCount = 360;

    explicit ServiceLevels(const std::array<Objective, ServiceClassCount> &objectives);
    ~ServiceLevels();

    const Objective &objective(ServiceClass serviceClass) const;
    /** Counts an event that was answered after @p latency; it is bad if that exceeds the limit. */
    void recordAnswer(ServiceClass serviceClass, Duration latency, Time now);
    /** Counts a failed event, unless failures of this kind do not count against the error budget: see spendsErrorBudget(). */
    void recordFailure(ServiceClass serviceClass, ErrorKind kind, Time now);
    /** The events of the last @p minutes, 1 to MinuteCount, including the current one. */
    EventCounts window(ServiceClass serviceClass, std::size_t minutes, Time now) const;
    /** The same as window(), but one entry per minute, oldest first. */
    std::vector<EventCounts> series(ServiceClass serviceClass, std::size_t minutes, Time now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
