#include "main/logformat.h"

#include <nlohmann/json.hpp>
#include <spdlog/details/log_msg.h>
#include <spdlog/fmt/chrono.h>

namespace ApricotStep
{

void JsonLogFormatter::format(const spdlog::details::log_msg &message, spdlog::memory_buf_t &line)
{
    constexpr int MillisecondsPerSecond = 1000;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(message.time.time_since_epoch()).count();
    nlohmann::ordered_json json;
    json["time"] = fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(spdlog::log_clock::to_time_t(message.time)), milliseconds % MillisecondsPerSecond);
    const auto level = spdlog::level::to_string_view(message.level);
    json["level"] = std::string(level.data(), level.size());
    json["part"] = std::string(message.logger_name.data(), message.logger_name.size());
    json["message"] = std::string(message.payload.data(), message.payload.size());
    const std::string text = json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    line.append(text.data(), text.data() + text.size());
}

std::unique_ptr<spdlog::formatter> JsonLogFormatter::clone() const
{
    return std::make_unique<JsonLogFormatter>();
}

} // namespace ApricotStep
