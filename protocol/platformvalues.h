#pragma once

#include "core/result.h"
#include "state/catalog.h"
#include "state/vmlist.h"

#include <string>
#include <string_view>

namespace ApricotStep
{

// The values that the platform's services hand out, as JSON. Their exact wire forms stand in this module alone.

/** Reads a published configuration. Errors: ConfigInvalid, naming the place. */
Result<CatalogContent> parseCatalog(std::string_view text);
std::string catalogText(const CatalogContent &content);

/** Reads the VM list. Errors: ConfigInvalid, naming the place. */
Result<VmList> parseVmList(std::string_view text);

} // namespace ApricotStep
