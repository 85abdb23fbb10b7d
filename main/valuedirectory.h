#pragma once

#include "core/result.h"
#include "state/configvalue.h"

#include <memory>
#include <string>

namespace ApricotStep
{

/** A directory of published configuration values, one file each, as `apricotstep pack` writes them. */
class ValueDirectory
{
public:
    explicit ValueDirectory(std::string path);

    /** Returns whether the directory has a head. */
    bool hasHead() const;
    /** Errors: NotFound, StaleConfig, ConfigInvalid. */
    Result<ConfigValue> read(ConfigValueKind kind, const std::string &hash) const;
    /** The configuration that the head describes. Errors: as for read(). */
    Result<std::shared_ptr<const Catalog>> catalog() const;
    /** The hashes of all values that the head needs. Errors: as for read(). */
    Result<std::vector<std::string>> names() const;

    /** Errors: Internal when the file cannot be written. */
    Result<bool> write(const std::string &name, const std::string &text) const;
    Result<std::string> text(const std::string &name) const;

private:
    std::string m_path;
};

} // namespace ApricotStep
