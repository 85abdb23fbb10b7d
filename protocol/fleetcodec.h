#pragma once

#include "coordination/fleetmessage.h"
#include "core/result.h"

#include <string>
#include <string_view>

namespace ApricotStep
{

/** The bytes of @p message, a packed Cap'n Proto message. */
std::string encodeFleetMessage(const FleetMessage &message);

/** Errors: BadRequest for bytes that encodeFleetMessage() did not make, or that name no sender. */
Result<FleetMessage> decodeFleetMessage(std::string_view bytes);

} // namespace ApricotStep
