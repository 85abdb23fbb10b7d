#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "transport/httpserver.h"

namespace ApricotStep
{

/** Optional parts of a refusal. */
struct RefusalOptions
{
    /** When the caller should try again; sent as Retry-After. Zero sends no such header. */
    Duration retryAfter;
    /** Closes the connection after the answer, because this node is leaving. */
    bool closesConnection = false;
};

/** Answers with the HTTP status and error body that the error table defines for @p kind. */
void refuse(HttpExchange &exchange, ErrorKind kind, const RefusalOptions &options);

/** Returns @p headers, with "Connection: close" added if @p closesConnection. */
HttpHeaders withConnectionHeader(HttpHeaders headers, bool closesConnection);

} // namespace ApricotStep
