#include "main/logformat.h"
#include "main/logratelimiter.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include <criterion/criterion.h>

using namespace ApricotStep;

Test(log, anyMessageIsOneValidJsonLine)
{
    // The error text of an upstream is logged as a detail, and may contain quotes, line breaks or bytes that are not UTF-8. If the line
    // were not valid JSON, the operator's log collector would drop exactly the lines about errors.
    std::ostringstream out;
    spdlog::logger logger("part \"x\"", std::make_shared<spdlog::sinks::ostream_sink_mt>(out));
    logger.set_formatter(std::make_unique<JsonLogFormatter>());
    const std::string message = "detail='say \"no\"' \\ back\nnext\ttab \x01";
    logger.info("{}", message);
    logger.warn("{}", std::string("not utf-8: \xff\xc3(") + '\0' + "end");
    std::istringstream lines(out.str());
    std::string line;
    cr_assert(std::getline(lines, line));
    const auto first = nlohmann::json::parse(line);
    cr_assert(first.at("message") == message);
    cr_assert(first.at("level") == "info" && first.at("part") == "part \"x\"");
    cr_assert(std::getline(lines, line));
    cr_assert(nlohmann::json::parse(line).at("message").get<std::string>().ends_with("end"));
    cr_assert_not(std::getline(lines, line));
}

Test(log, repeatedLinesAreRateLimitedAndCounted)
{
    // A node that is not ready yet refuses hundreds of requests a second. With a line for each, the cause would be lost among them.
    LogRateLimiter limit;
    const Time start(5'000);
    std::uint64_t written = 0;
    for (int i = 0; i < 500; ++i) {
        written += limit.admit("not_ready", start + Duration(i)).has_value() ? 1 : 0;
    }
    cr_assert_eq(written, LogRateLimiter::LinesPerSecond);
    cr_assert(limit.admit("overloaded", start) == 0U, "another category has its own limit");
    const auto next = limit.admit("not_ready", start + Duration(1000));
    cr_assert(next.has_value());
    cr_assert_eq(*next + written, 500, "the count includes every suppressed line");
    cr_assert(limit.admit("not_ready", start + Duration(1001)) == 0U);
}
