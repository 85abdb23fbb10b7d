#pragma once

#include <spdlog/formatter.h>

#include <memory>

namespace ApricotStep
{

/**
 * Writes each log message as one line of JSON.
 *
 * The line is built by a JSON library: a format pattern that puts the message between quotes would write invalid JSON if a message contains
 * a quote, a backslash or a line break, such as the detail of an upstream's error, and the log collector would drop exactly the lines about
 * errors. Bytes that are not UTF-8 become U+FFFD.
 */
class JsonLogFormatter final : public spdlog::formatter
{
public:
    void format(const spdlog::details::log_msg &message, spdlog::memory_buf_t &line) override;
    std::unique_ptr<spdlog::formatter> clone() const override;
};

} // namespace ApricotStep
