#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace ApricotStep
{

using Logger = std::shared_ptr<spdlog::logger>;

/** Sets up logs for the process. @p level: debug, info, warn or error; @p format: text or json. */
void startLog(const std::string &level, const std::string &format);

/** The log of one part; each of its lines begins with "part: ". */
Logger componentLogger(const std::string &part);

} // namespace ApricotStep
