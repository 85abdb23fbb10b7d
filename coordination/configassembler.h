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

/** A value that a ConfigAssembler lacks. */
struct MissingValue
{
    ConfigValueKind kind = ConfigValueKind::Delta;
    std::string hash;
};

/** The job's end: the snapshot of its head's version, or the reason why the head cannot be taken. */
struct AssemblyResult
{
    Result<std::shared_ptr<const Catalog>> catalog;
    /** As ActivateConfig::base. */
    std::shared_ptr<const Catalog> base;
    /** The head's history does not contain the version that was in force. */
    bool isForked = false;
    /** Only the base could be had; the changes after it are missing. */
    bool isBaseOnly = false;
};

/**
 * The way from what is in force to one head: it names the values it lacks one after the other and then builds the snapshot. Walks back
 * from the newest change to the version in force; where that is too far or not on the way, it starts from the base.
 */
class ConfigAssembler
{
public:
    /** @p current may be null; @p currentDelta is the hash of the change that led to it, empty when that is not known. */
    ConfigAssembler(ConfigHead head, std::shared_ptr<const Catalog> current, std::string currentDelta);

    const ConfigHead &head() const;
    std::variant<MissingValue, AssemblyResult> next();
    /** The value that next() asked for. */
    void addValue(ConfigValue value);
    /** The change that next() asked for is nowhere to be had: goes for the base alone. False when that would not lead forward. */
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
