#pragma once

#include "state/catalog.h"

#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

// A published configuration is a small head, which names the rest by SHA-256: the newest change, which names the one before it and so
// on, and a base of pages from which a node that has nothing starts.

/** The one value that changes in place. */
struct ConfigHead
{
    ConfigVersion version;
    ConfigVersion baseVersion;
    std::string baseHash;
    /** The change that led to version; empty when there has been none. */
    std::string deltaHash;
    /** Of the head's own text. Two heads of one version with different hashes come from operators who published at the same time. */
    std::string hash;
};

/** A change and the change before it. */
struct ConfigDelta
{
    std::string hash;
    /** Empty for the first change ever. */
    std::string previous;
    CatalogDelta change;
};

/** The pages that together are the whole content of one version. */
struct ConfigBase
{
    std::string hash;
    ConfigVersion version;
    std::vector<std::string> pages;
};

/** A part of a base. */
struct ConfigPage
{
    std::string hash;
    /** Its version is unset. */
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
