#pragma once

#include "core/result.h"
#include "state/configvalue.h"

#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

// Conversion of the published configuration to and from JSON. Each value is at most one megabyte.

/** The name under which the head is published; the other values are published under their hashes. */
inline constexpr std::string_view ConfigHeadName = "head";
inline constexpr std::size_t MaxConfigValueBytes = 1'000'000;

/**
 * Parses a value of @p kind. @p hash is the expected SHA-256 of @p text; it is ignored for a head, which no other value refers to.
 * Errors: StaleConfig if the text does not match the hash, ConfigInvalid if it matches but cannot be parsed or is too large.
 */
Result<ConfigValue> parseConfigValue(ConfigValueKind kind, const std::string &hash, std::string_view text);

/** Serialises @p head without its hash. */
std::string configHeadText(const ConfigHead &head);
/** Serialises @p delta without its hash. */
std::string configDeltaText(const ConfigDelta &delta);

/** The published texts of a base: its index and its pages. */
struct ConfigBaseTexts
{
    std::string index;
    std::vector<std::string> pages;
};

/** Serialises @p content as a base. Equal contents give equal texts, so that a node can compute the base of its active configuration. */
ConfigBaseTexts configBaseTexts(const CatalogContent &content);

} // namespace ApricotStep
