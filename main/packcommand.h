#pragma once

#include "core/clock.h"

#include <iosfwd>
#include <string>

namespace ApricotStep
{

struct PackOptions
{
    /** The operator's catalog. */
    std::string in;
    /** Directory for the values to publish; may be the same as previous. */
    std::string out;
    /** Directory of the previous publication; empty for a first one. */
    std::string previous;
};

/**
 * `apricotstep pack`: builds the values that the platform publishes. The version is the previous one plus one. A first publication uses the
 * seconds of @p wallTime as its version, which is above the versions of any lost publications. Returns the exit code, 0 or 2.
 */
int packConfig(const PackOptions &options, Time wallTime, std::ostream &out, std::ostream &errors);

} // namespace ApricotStep
