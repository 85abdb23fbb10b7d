#pragma once

#include "coordination/requestcontent.h"
#include "platform/requests.h"
#include "transport/httpserver.h"

#include <string>

namespace ApricotStep
{

RequestContent describeContent(const HttpRequest &request, const Platform::CallerRequest &decoded);

/** The form of a digest in logs. */
std::string digestName(ContentDigest digest);

} // namespace ApricotStep
