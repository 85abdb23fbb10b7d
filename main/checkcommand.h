#pragma once

#include <iosfwd>
#include <string>

namespace ApricotStep
{

/** `apricotstep check-config`: says what @p path holds, or all its faults on @p errors. Returns the exit status, 0 or 2. */
int checkConfig(const std::string &path, std::ostream &out, std::ostream &errors);

} // namespace ApricotStep
