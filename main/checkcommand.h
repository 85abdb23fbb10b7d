#pragma once

#include <iosfwd>
#include <string>

namespace ApricotStep
{

/** `apricotstep check-config`: prints a summary of the catalog at @p path, or its errors to @p errors. Returns the exit code, 0 or 2. */
int checkConfig(const std::string &path, std::ostream &out, std::ostream &errors);

} // namespace ApricotStep
