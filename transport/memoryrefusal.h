#pragma once

#include "core/clock.h"

#include <string>

namespace ApricotStep
{

/** Retry-After of a refusal for lack of memory. Clients that are refused together return spread over some time. */
Duration retryDelayForMemory();

/** The bytes of an answer, outside of libmicrohttpd, to a request for which there is no memory. It closes the connection. */
std::string memoryRefusal();

} // namespace ApricotStep
