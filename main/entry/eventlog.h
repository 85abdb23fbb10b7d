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
 * Writes one line of JSON to standard output for each decision that touches a request or changes what the process believes.
 *
 * A line that standard output would block on is dropped, and so are lines beyond a bound a second: a collector that stands still, or a
 * burst of refusals, must not make callers wait. Dropped lines are counted, and the count stands in the next line that is written.
 */
class EventLog
{
public:
    /** What a line is about; lines on requests are dropped before the others. */
    enum class Severity {
        /** One step of a request that goes well. */
        Routine,
        /** A refusal, a failure, a change of belief, the process itself. */
        Important,
    };

    /** @p node stands in each line. */
    EventLog(const Clock &clock, std::string node);
    ~EventLog();

    /** @p part: the part of the program; @p event: what happened, a word of docs/LOGS.md. */
    void write(Severity severity, std::string_view part, std::string_view event, std::initializer_list<LogField> fields);
    /** Lines dropped since the start. */
    std::uint64_t dropped() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
