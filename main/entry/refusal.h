#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "transport/httpserver.h"

namespace ApricotStep
{

/** What stands beside the error in a refusal. */
struct RefusalOptions
{
    /** When the caller may come back; zero gives no advice. */
    Duration retryAfter;
    /** The answer ends its connection, since this node leaves. */
    bool closesConnection = false;
};

/** Answers with the row of the error table for @p kind. */
void refuse(HttpExchange &exchange, ErrorKind kind, const RefusalOptions &options);

/** @p headers, and the end of the connection where @p closesConnection. */
HttpHeaders withConnectionHeader(HttpHeaders headers, bool closesConnection);

} // namespace ApricotStep
