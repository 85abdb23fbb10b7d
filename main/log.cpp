#include "main/log.h"

#include "main/logformat.h"

#include <spdlog/sinks/stdout_sinks.h>

namespace ApricotStep
{

namespace
{

constexpr const char *TextPattern = "%Y-%m-%dT%H:%M:%S.%e %L %n: %v";

} // namespace

void startLog(const std::string &level, const std::string &format)
{
    auto main = std::make_shared<spdlog::logger>("node", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    if (format == "json") {
        main->set_formatter(std::make_unique<JsonLogFormatter>());
    } else {
        main->set_pattern(TextPattern);
    }
    main->set_level(spdlog::level::from_str(level));
    main->flush_on(spdlog::level::info);
    spdlog::set_default_logger(main);
}

Logger componentLogger(const std::string &part)
{
    return spdlog::default_logger()->clone(part);
}

} // namespace ApricotStep
