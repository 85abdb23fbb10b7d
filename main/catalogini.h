#pragma once

#include "core/result.h"
#include "state/catalog.h"

#include <string>

namespace ApricotStep
{

/**
 * Parses an operator's catalog (docs/operations/configuration.md); the version stays unset. @p name is the file name in error messages.
 * Errors: ConfigInvalid; the detail has one line per error: file, line and the fix.
 */
Result<CatalogContent> parseCatalogIni(const std::string &text, const std::string &name);

/** Like parseCatalogIni(), for the file at @p path. */
Result<CatalogContent> loadCatalogIni(const std::string &path);

} // namespace ApricotStep
