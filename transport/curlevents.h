#pragma once

#include "core/clock.h"

#include <curl/curl.h>

namespace ApricotStep
{

/**
 * Drives the transfers of a libcurl multi handle by the events on their sockets. Not thread-safe.
 *
 * curl_multi_perform() checks every transfer at each call, with a system call for each. A node with thirty streams in progress would check
 * thirty sockets at each event of one of them: this would take most of its processor time and delay its callers.
 */
class CurlEvents
{
public:
    /** @p multi must outlive this object and must not be driven by anything else. */
    explicit CurlEvents(CURLM *multi);
    ~CurlEvents();
    CurlEvents(const CurlEvents &) = delete;
    CurlEvents &operator=(const CurlEvents &) = delete;

    /** Readable when a transfer can continue. */
    int descriptor() const;
    /** Time until a transfer has work to do that no socket event announces; at most @p longest. */
    Duration untilTimeout(Duration longest) const;
    /** Continues the transfers whose timeout has expired. */
    void runTimeouts();
    /** Continues the transfers whose sockets are ready, of a limited number of sockets; returns that number. */
    int runReady();

private:
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *known);

    CURLM *m_multi;
    int m_epoll;
};

} // namespace ApricotStep
