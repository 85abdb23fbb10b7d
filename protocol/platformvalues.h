#pragma once

#include "core/result.h"
#include "state/vmlist.h"

#include <string_view>

namespace ApricotStep
{

// The VM list as the platform's service hands it out, as JSON. Its exact wire form stands in this module alone.

/** Reads the VM list. Errors: ConfigInvalid, naming the place. */
Result<VmList> parseVmList(std::string_view text);

} // namespace ApricotStep
