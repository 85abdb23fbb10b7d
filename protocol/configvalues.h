#pragma once

#include "core/result.h"
#include "state/configvalue.h"

#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

// The published configuration as JSON. Each value stays under a megabyte.

/** The name of the head among the published values; the others are named by their hash. */
inline constexpr std::string_view ConfigHeadName = "head";
inline constexpr std::size_t MaxConfigValueBytes = 1'000'000;

/**
 * Reads a value of @p kind. @p hash: what its text must hash to; empty for a head, whose text nothing names.
 * Errors: StaleConfig when the text is not the one that was asked for, ConfigInvalid when it is but cannot be read.
 */
Result<ConfigValue> parseConfigValue(ConfigValueKind kind, const std::string &hash, std::string_view text);

/** The text of @p head; its hash is not part of it. */
std::string configHeadText(const ConfigHead &head);
/** The text of @p delta; its hash is not part of it. */
std::string configDeltaText(const ConfigDelta &delta);

/** A base as it is published. */
struct ConfigBaseTexts
{
    std::string index;
    std::vector<std::string> pages;
};

/** The base of @p content. Equal contents give equal texts, so that a node can work out the base of what it has in force. */
ConfigBaseTexts configBaseTexts(const CatalogContent &content);

} // namespace ApricotStep
