#include "main/entry/refusal.h"

#include "protocol/callerapi.h"

#include <utility>

namespace ApricotStep
{

void refuse(HttpExchange &exchange, ErrorKind kind, const RefusalOptions &options)
{
    HttpHeaders headers { { "Content-Type", "application/json" } };
    if (options.retryAfter > Duration(0)) {
        headers.emplace_back("Retry-After", retryAfterText(options.retryAfter));
    }
    ErrorDetails details;
    details.retryAfter = options.retryAfter;
    exchange.respond(
        errorAnswer(kind).httpStatus, withConnectionHeader(std::move(headers), options.closesConnection), errorBody(kind, details));
}

HttpHeaders withConnectionHeader(HttpHeaders headers, bool closesConnection)
{
    if (closesConnection) {
        headers.emplace_back("Connection", "close");
    }
    return headers;
}

} // namespace ApricotStep
