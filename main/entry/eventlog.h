#pragma once

#include "core/clock.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace ApricotStep
{

/** One field of a log line. */
struct LogField
{
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/**
 * Writes one JSON line to standard output for each decision about a request and each change of the node's cluster state.
 *
 * A line is dropped if writing it would block, or if the limit of lines per second is reached. Otherwise a stalled log collector or a burst
 * of refusals would delay requests. The next line that is written contains the number of lines dropped before it.
 */
class EventLog
{
public:
    /** How important a line is. Lines about the normal course of requests are dropped first. */
    enum class Severity {
        /** A step in the normal course of a request. */
        Routine,
        /** A refusal, a failure, a change of the cluster state or an event of the process itself. */
        Important,
    };

    /** @p node is written in each line. */
    EventLog(const Clock &clock, std::string node);
    ~EventLog();

    /** Writes a line. @p part is the part of the program; @p event is what happened, one of the events in docs/LOGS.md. */
    void write(Severity severity, std::string_view part, std::string_view event, std::initializer_list<LogField> fields);
    /** Returns the number of lines dropped since the process started. */
    std::uint64_t dropped() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
