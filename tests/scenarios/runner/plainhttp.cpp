#include "tests/scenarios/runner/plainhttp.h"

#include <algorithm>
#include <curl/curl.h>

namespace Scenario
{

namespace
{

constexpr long ConnectTimeoutMs = 2000;

std::size_t onBody(char *data, std::size_t, std::size_t count, void *context)
{
    static_cast<HttpResponse *>(context)->body.append(data, count);
    return count;
}

std::size_t onHeader(char *data, std::size_t, std::size_t count, void *context)
{
    const std::string line(data, count);
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        static_cast<HttpResponse *>(context)->headers[name] = line.substr(colon + 2, line.find_last_not_of("\r\n") - colon - 1);
    }
    return count;
}

} // namespace

HttpResponse callHttp(const std::string &url, const std::string &body, const std::vector<std::string> &headers, int timeoutMs)
{
    HttpResponse response;
    CURL *easy = curl_easy_init();
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const std::string &header : headers) {
        list = curl_slist_append(list, header.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeoutMs));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &response);
    if (!body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    const CURLcode code = curl_easy_perform(easy);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    response.isIncomplete = code != CURLE_OK;
    response.isUnsent = code == CURLE_COULDNT_CONNECT;
    curl_slist_free_all(list);
    curl_easy_cleanup(easy);
    return response;
}

} // namespace Scenario
