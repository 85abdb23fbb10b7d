#include "transport/memoryrefusal.h"

#include "core/errors.h"
#include "protocol/callerapi.h"

#include <absl/strings/str_cat.h>

#include <random>

namespace ApricotStep
{

namespace
{

constexpr Duration MinRetryDelay { 200 };
constexpr Duration MaxRetryDelay { 800 };

} // namespace

Duration retryDelayForMemory()
{
    thread_local std::minstd_rand random { std::random_device {}() };
    return Duration(std::uniform_int_distribution(MinRetryDelay.milliseconds(), MaxRetryDelay.milliseconds())(random));
}

std::string memoryRefusal()
{
    ErrorDetails details;
    details.retryAfter = retryDelayForMemory();
    const std::string body = errorBody(ErrorKind::NoMemory, details);
    return absl::StrCat("HTTP/1.1 ", errorAnswer(ErrorKind::NoMemory).httpStatus, " Service Unavailable\r\nConnection: close\r\n",
        "Content-Type: application/json\r\nRetry-After: ", retryAfterText(details.retryAfter), "\r\nContent-Length: ", body.size(),
        "\r\n\r\n", body);
}

} // namespace ApricotStep
