#pragma once

#include "core/keydigest.h"
#include "core/strongid.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ApricotStep
{

/** What a team's limit counts. */
enum class LimitUnit {
    Requests,
    /** Prompt tokens plus the maximum number of answer tokens. */
    Tokens,
};

/** How much of a team's work the fleet runs. */
struct TeamLimit
{
    LimitUnit unit = LimitUnit::Requests;
    /** Sustained rate in units per second, over the whole fleet; above 0. */
    double ratePerSecond = 0;
    /** Units that may exceed the rate for a moment. */
    double burst = 0;
    /** The cost of a request that states no number of tokens. */
    double plainRequestTokens = 0;

    bool operator==(const TeamLimit &) const = default;
};

/** A team whose callers identify themselves with keys. */
struct Team
{
    TeamName name;
    std::vector<KeyDigest> keys;
    /** Replaces the priority of the routes; 0 is the highest. */
    std::optional<int> priority;
    /** Empty if the team's work is not limited. */
    std::optional<TeamLimit> limit;
};

/** Returns the cost of a request in units of @p limit. @p tokens: prompt and answer tokens, if the request states them. */
inline double requestCost(const TeamLimit &limit, std::optional<std::uint64_t> tokens)
{
    if (limit.unit == LimitUnit::Requests) {
        return 1;
    }
    return tokens ? static_cast<double>(*tokens) : limit.plainRequestTokens;
}

} // namespace ApricotStep
