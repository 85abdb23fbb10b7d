#pragma once

#include "coordination/fleetmessage.h"
#include "core/result.h"

#include <string>
#include <string_view>

namespace ApricotStep
{

/** Encodes @p message as a packed Cap'n Proto message. */
std::string encodeFleetMessage(const FleetMessage &message);

/** Errors: BadRequest if @p bytes are not a fleet message, or if the message names no sender. */
Result<FleetMessage> decodeFleetMessage(std::string_view bytes);

} // namespace ApricotStep
