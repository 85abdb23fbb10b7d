#include "main/entry/eventlog.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <poll.h>
#include <unistd.h>

namespace ApricotStep
{

namespace
{

// A node serves some tens of requests per second and writes three lines for each; the limit allows bursts of five times that rate. Lines
// about requests may use four fifths of it, so that refusals and changes of the cluster state are still written during a burst.
constexpr int LinesPerSecond = 500;
constexpr int RequestLinesPerSecond = 400;

bool isWritable()
{
    pollfd wait { STDOUT_FILENO, POLLOUT, 0 };
    return poll(&wait, 1, 0) == 1 && (wait.revents & POLLOUT) != 0;
}

} // namespace

struct EventLog::Private
{
    const Clock &clock;
    std::string node;
    std::shared_ptr<spdlog::logger> logger;
    Time windowStart;
    int written = 0;
    std::uint64_t dropped = 0;
    std::uint64_t droppedSinceLine = 0;

    bool mayWrite(Severity severity)
    {
        const Time now = clock.now();
        if (now - windowStart >= Duration::seconds(1)) {
            windowStart = now;
            written = 0;
        }
        const int limit = severity == Severity::Routine ? RequestLinesPerSecond : LinesPerSecond;
        return written < limit && isWritable();
    }
};

EventLog::EventLog(const Clock &clock, std::string node)
    : d(new Private { clock, std::move(node), {}, {}, 0, 0, 0 })
{
    d->logger = std::make_shared<spdlog::logger>("events", std::make_shared<spdlog::sinks::stdout_sink_st>());
    d->logger->set_pattern("%v");
    d->logger->flush_on(spdlog::level::info);
}

EventLog::~EventLog() = default;

void EventLog::write(Severity severity, std::string_view part, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!d->mayWrite(severity)) {
        ++d->dropped;
        ++d->droppedSinceLine;
        return;
    }
    ++d->written;
    nlohmann::ordered_json line;
    line["at"] = d->clock.wallTime().milliseconds();
    line["node"] = d->node;
    line["part"] = part;
    line["event"] = event;
    for (const LogField &field : fields) {
        std::visit([&line, &field](const auto &value) { line[std::string(field.name)] = value; }, field.value);
    }
    if (d->droppedSinceLine > 0) {
        line["dropped"] = std::exchange(d->droppedSinceLine, 0);
    }
    d->logger->info("{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::uint64_t EventLog::dropped() const
{
    return d->dropped;
}

} // namespace ApricotStep
