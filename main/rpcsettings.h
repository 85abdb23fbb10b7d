#pragma once

#include "main/settings.h"
#include "transport/noderpc.h"

namespace ApricotStep
{

/** Returns the settings of node RPC with the contents of the TLS files. Errors: SettingsInvalid. */
Result<NodeRpcSettings> rpcSettings(const Settings &settings);

} // namespace ApricotStep
