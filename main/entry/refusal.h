#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "transport/httpserver.h"

namespace ApricotStep
{

/** What stands beside the error in a refusal. */
struct RefusalAdvice
{
    /** When the caller may come back; zero gives no advice. */
    Duration retryAfter;
    /** The answer ends its connection, since this node leaves. */
    bool isLast = false;
};

/** Answers with the row of the error table for @p kind. */
void refuse(HttpExchange &exchange, ErrorKind kind, const RefusalAdvice &advice);

/** @p headers, and the end of the connection where @p isLast. */
HttpHeaders withConnection(HttpHeaders headers, bool isLast);

} // namespace ApricotStep
