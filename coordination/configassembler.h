#pragma once

#include "core/result.h"
#include "state/configvalue.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

/** A value that a ConfigAssembler still needs. */
struct MissingValue
{
    ConfigValueKind kind = ConfigValueKind::Delta;
    std::string hash;
};

/** Result of a ConfigAssembler: the catalog at the head's version, or the error that prevents its use. */
struct AssemblyResult
{
    Result<std::shared_ptr<const Catalog>> catalog;
    /** See ActivateConfig::base. */
    std::shared_ptr<const Catalog> base;
    /** The head's history does not contain the version that was active. */
    bool isForked = false;
    /** The catalog is at the base's version, because a later change could not be fetched. */
    bool isBaseOnly = false;
};

/**
 * Assembles the catalog of one configuration head. It names the missing values one at a time and then builds the snapshot. Follows the
 * chain of changes back from the newest one to the active version; if that is too far away or not on the chain, it starts from the base.
 */
class ConfigAssembler
{
public:
    /** @p current may be null. @p currentDelta is the hash of the change that led to it; empty if unknown. */
    ConfigAssembler(ConfigHead head, std::shared_ptr<const Catalog> current, std::string currentDelta);

    const ConfigHead &head() const;
    std::variant<MissingValue, AssemblyResult> next();
    /** Adds the value that next() requested. */
    void addValue(ConfigValue value);
    /**
     * Falls back to the base because the change that next() requested cannot be fetched. Returns false if this was done before or if the
     * base is not newer than the active version.
     */
    bool fallBackToBase();

private:
    std::variant<MissingValue, AssemblyResult> readBase();
    AssemblyResult build(std::shared_ptr<const Catalog> start) const;
    AssemblyResult failed(std::string detail) const;

    ConfigHead m_head;
    std::shared_ptr<const Catalog> m_current;
    std::string m_currentDelta;
    // Newest first.
    std::vector<ConfigDelta> m_deltas;
    std::optional<ConfigBase> m_base;
    std::vector<ConfigPage> m_pages;
    bool m_isFromBase = false;
    bool m_isForked = false;
    bool m_isBaseOnly = false;
};

} // namespace ApricotStep
