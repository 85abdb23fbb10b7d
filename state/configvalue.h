#pragma once

#include "state/catalog.h"

#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

// A published configuration consists of values that refer to each other by SHA-256. A small head names the newest delta and a base. Each
// delta names the delta before it. The base lists pages that together hold a whole version, for nodes that have no configuration yet.

/** The only value that is overwritten; all others are immutable. */
struct ConfigHead
{
    ConfigVersion version;
    ConfigVersion baseVersion;
    std::string baseHash;
    /** The delta that leads to version; empty if there has been none. */
    std::string deltaHash;
    /** Hash of the head's own text. Heads of one version with different hashes come from operators who published at the same time. */
    std::string hash;
};

/** A change of the catalog, with the hash of the delta before it. */
struct ConfigDelta
{
    std::string hash;
    /** Hash of the delta before this one; empty for the first one. */
    std::string previous;
    CatalogDelta change;
};

/** The hashes of the pages that together hold the whole content of one version. */
struct ConfigBase
{
    std::string hash;
    ConfigVersion version;
    std::vector<std::string> pages;
};

/** A part of the content of a base. */
struct ConfigPage
{
    std::string hash;
    /** The version in it is unset. */
    CatalogContent content;
};

using ConfigValue = std::variant<ConfigHead, ConfigDelta, ConfigBase, ConfigPage>;

enum class ConfigValueKind {
    Head,
    Delta,
    Base,
    Page,
};

} // namespace ApricotStep
