#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace ApricotStep
{

using Logger = std::shared_ptr<spdlog::logger>;

/** Sets up logging for the process. @p level: debug, info, warn or error; @p format: text or json. */
void startLog(const std::string &level, const std::string &format);

/** Returns the logger of one component; each of its lines contains the name @p part. */
Logger componentLogger(const std::string &part);

} // namespace ApricotStep
