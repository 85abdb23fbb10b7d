#pragma once

#include "coordination/loadpermits.h"
#include "core/result.h"

#include <string>
#include <string_view>
#include <variant>

namespace ApricotStep
{

/** What nodes tell each other about load permits. */
using PermitMessage = std::variant<PermitRequest, PermitRelease, PermitGrant, PermitWaitEstimate>;

std::string encodePermitMessage(const PermitMessage &message);
/** Errors: BadRequest for what encodePermitMessage() does not write. */
Result<PermitMessage> decodePermitMessage(std::string_view bytes);

} // namespace ApricotStep
