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
    /** Directory of the values published before; empty for a first publication. */
    std::string previous;
};

/**
 * `apricotstep pack`: makes the values that the platform publishes. The version is one above the previous one; a first publication takes
 * the seconds of @p wallTime, so that it lies above all that were lost. Returns the exit status, 0 or 2.
 */
int packConfig(const PackOptions &options, Time wallTime, std::ostream &out, std::ostream &errors);

} // namespace ApricotStep
