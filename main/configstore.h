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
 * The texts of configuration values that a node can hand to its peers: the head and base in force, and the newest changes. Not
 * thread-safe.
 */
class ConfigStore
{
public:
    /** Keeps a value that was fetched; it is dropped when a head in force no longer needs it. */
    void put(const ConfigValue &value, const std::string &text);
    /** Whether the base of @p head is still to be worked out. */
    bool needsBase(const ConfigHead &head) const;
    /** @p head is in force now. @p base: its base, where it was worked out; else what was fetched stays. */
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
    // Changes by the version that they lead to.
    std::multimap<ConfigVersion, std::string> m_changes;
};

} // namespace ApricotStep
