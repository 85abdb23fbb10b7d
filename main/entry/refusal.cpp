#include "main/entry/refusal.h"

#include "protocol/callerapi.h"

#include <cstdio>
#include <utility>

namespace ApricotStep
{

namespace
{

std::string secondsText(Duration wait)
{
    char text[16] = {};
    std::snprintf(text, sizeof text, "%.3f", wait.toSeconds());
    return text;
}

} // namespace

void refuse(HttpExchange &exchange, ErrorKind kind, const RefusalAdvice &advice)
{
    HttpHeaders headers { { "Content-Type", "application/json" } };
    if (advice.retryAfter > Duration(0)) {
        headers.emplace_back("Retry-After", secondsText(advice.retryAfter));
    }
    ErrorDetails details;
    details.retryAfter = advice.retryAfter;
    exchange.respond(errorAnswer(kind).httpStatus, withConnection(std::move(headers), advice.isLast), errorBody(kind, details));
}

HttpHeaders withConnection(HttpHeaders headers, bool isLast)
{
    if (isLast) {
        headers.emplace_back("Connection", "close");
    }
    return headers;
}

} // namespace ApricotStep
