#pragma once

#include "core/result.h"
#include "protocol/configvalues.h"
#include "state/configvalue.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace ApricotStep
{

/**
 * The texts of configuration values that a node serves to its peers: the active head and base, and the newest changes. Not thread-safe.
 */
class ConfigStore
{
public:
    /** Stores a fetched value until the active head no longer needs it. */
    void put(const ConfigValue &value, const std::string &text);
    /** Returns whether the base of @p head has not been computed yet. */
    bool needsBase(const ConfigHead &head) const;
    /** Makes @p head the active head. @p base: its base, if it was computed; otherwise the fetched values stay. */
    void activate(const ConfigHead &head, const std::optional<ConfigBaseTexts> &base);

    /** @p name: `head` or a hash. Errors: NotFound. */
    Result<std::string> find(const std::string &name) const;
    std::size_t count() const;
    std::size_t bytes() const;

private:
    void replaceBase(const ConfigHead &head, const ConfigBaseTexts &base);
    void dropOldChanges(ConfigVersion base);

    std::string m_head;
    std::string m_baseHash;
    absl::flat_hash_map<std::string, std::string> m_values;
    // Hashes of changes by the version that they lead to.
    std::multimap<ConfigVersion, std::string> m_changes;
};

} // namespace ApricotStep
