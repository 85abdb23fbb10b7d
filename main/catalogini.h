#pragma once

#include "core/result.h"
#include "state/catalog.h"

#include <string>

namespace ApricotStep
{

/**
 * Reads an operator's catalog (docs/operations/configuration.md); its version is unset. @p name stands for the file in errors.
 * Errors: ConfigInvalid; the detail has one line for each fault: file, line and the fix.
 */
Result<CatalogContent> parseCatalogIni(const std::string &text, const std::string &name);

/** The same from a file. */
Result<CatalogContent> loadCatalogIni(const std::string &path);

} // namespace ApricotStep
