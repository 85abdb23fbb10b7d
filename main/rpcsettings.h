#pragma once

#include "main/settings.h"
#include "transport/noderpc.h"

namespace ApricotStep
{

/** Node RPC as the settings say; reads the TLS files. Errors: SettingsInvalid. */
Result<NodeRpcSettings> rpcSettings(const Settings &settings);

} // namespace ApricotStep
