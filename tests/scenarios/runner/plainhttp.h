#pragma once

#include <map>
#include <string>
#include <vector>

namespace Scenario
{

struct HttpResponse
{
    /** 0 when no answer came. */
    int status = 0;
    /** The connection broke before the answer was whole. */
    bool isIncomplete = false;
    /** Nothing of the request can have left. */
    bool isUnsent = false;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
};

/** One blocking HTTP call on a connection of its own; POST when there is a body. */
HttpResponse callHttp(const std::string &url, const std::string &body, const std::vector<std::string> &headers, int timeoutMs);

} // namespace Scenario
