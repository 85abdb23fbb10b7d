#pragma once

#include "coordination/loadpermits.h"
#include "core/result.h"

#include <string>
#include <string_view>
#include <variant>

namespace ApricotStep
{

/** A message about load permits between nodes. */
using PermitMessage = std::variant<PermitRequest, PermitRelease, PermitGrant, PermitWaitEstimate>;

std::string encodePermitMessage(const PermitMessage &message);
/** Errors: BadRequest if @p bytes are not a permit message. */
Result<PermitMessage> decodePermitMessage(std::string_view bytes);

} // namespace ApricotStep
