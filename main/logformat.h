#pragma once

#include <spdlog/formatter.h>

#include <memory>

namespace ApricotStep
{

/**
 * Writes each log message as one line of JSON.
 *
 * A pattern that puts the message between quotes writes broken JSON as soon as a message holds a quote, a backslash or a line break, such
 * as the detail of an upstream's error; the log collector then drops just the lines about faults. So the line is made by a JSON library.
 * Bytes that are not UTF-8 become U+FFFD.
 */
class JsonLogFormatter final : public spdlog::formatter
{
public:
    void format(const spdlog::details::log_msg &message, spdlog::memory_buf_t &line) override;
    std::unique_ptr<spdlog::formatter> clone() const override;
};

} // namespace ApricotStep
