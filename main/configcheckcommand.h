#pragma once

#include <iosfwd>
#include <string>

namespace ApricotStep
{

struct ConfigCheckOptions
{
    /** A configuration in JSON, or a catalog if the name ends with `.ini`. */
    std::string file;
    /** The configuration in force; empty if there is nothing to compare with. */
    std::string inForceFile;
    bool isJson = false;
    bool isWarningError = false;
};

/**
 * `apricotstep check-config`: prints what an operator should know before the configuration is published. Returns the exit code: 2 if a file
 * cannot be read or has errors, 1 if there are warnings that count as errors, else 0.
 */
int runConfigCheck(const ConfigCheckOptions &options, std::ostream &out, std::ostream &errors);

} // namespace ApricotStep
