#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

enum class FindingSeverity {
    /** Nodes reject the configuration. */
    Error,
    /** Nodes accept the configuration, but a part of it has no effect or contradicts another part. */
    Warning,
};

struct ConfigFinding
{
    FindingSeverity severity = FindingSeverity::Error;
    /** Path in the JSON text, for example `routes[2].gapAimMs`. */
    std::string field;
    std::string message;
};

/** How one field of a route, service or team differs. */
struct FieldChange
{
    std::string field;
    /** Empty if the field was not there. */
    std::string before;
    /** Empty if the field is no longer there. */
    std::string after;
};

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

/** A difference from the configuration in force. */
struct ConfigDifference
{
    ChangeKind change = ChangeKind::Changed;
    /** `route`, `service`, `team` or `limits`. */
    std::string type;
    /** Empty for limits. */
    std::string name;
    /** For changed entries only. Keys appear as counts. */
    std::vector<FieldChange> fields;
};

struct ConfigReport
{
    std::vector<ConfigFinding> findings;
    /** Empty if there is nothing to compare with, or if either configuration has errors. */
    std::vector<ConfigDifference> differences;
    /** The rest is 0 if there are errors. */
    std::uint64_t version = 0;
    std::size_t routes = 0;
    std::size_t services = 0;
    std::size_t teams = 0;

    std::size_t count(FindingSeverity severity) const;
};

/**
 * Checks a configuration before it is published.
 *
 * @p text is the JSON text as an operator publishes it; @p inForce is the text of the configuration in force, if there is one to compare
 * with. Errors are what Platform::decodeConfiguration() and RouteTable::make() reject, so that nodes and this check cannot disagree. Nodes
 * keep the last valid configuration when they reject one; without the check, an operator learns of an error from their logs only, and of
 * entries without effect not at all. Findings and differences never contain a key.
 */
ConfigReport checkConfiguration(std::string_view text, std::optional<std::string_view> inForce);

} // namespace ApricotStep
