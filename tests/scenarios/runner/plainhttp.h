#pragma once

#include <map>
#include <string>
#include <vector>

namespace Scenario
{

struct HttpResponse
{
    /** 0 if no response was received. */
    int status = 0;
    /** The connection failed before the response was complete. */
    bool isIncomplete = false;
    /** The connection was never established, so no part of the request was sent. */
    bool isUnsent = false;
    /** Keyed by header name in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
};

/** Makes one blocking HTTP call on a new connection. Sends POST if @p body is not empty, otherwise GET. */
HttpResponse callHttp(const std::string &url, const std::string &body, const std::vector<std::string> &headers, int timeoutMs);

} // namespace Scenario
