#pragma once

#include "core/result.h"
#include "state/vmlist.h"

#include <string_view>

namespace ApricotStep
{

// The VM list that the platform's service provides as JSON. No other module depends on its wire format.

/** Parses the VM list. Errors: ConfigInvalid; the detail says where the problem is. */
Result<VmList> parseVmList(std::string_view text);

} // namespace ApricotStep
