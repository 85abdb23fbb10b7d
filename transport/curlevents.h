#pragma once

#include "core/clock.h"

#include <curl/curl.h>

namespace ApricotStep
{

/**
 * Drives the transfers of a libcurl multi handle by what happens on their sockets. Not thread-safe.
 *
 * curl_multi_perform() looks at every transfer at each call, with a system call for each. A node with thirty streams under way wakes for
 * each event of one and would ask thirty sockets; most of its processor time goes there, and its callers wait.
 */
class CurlEvents
{
public:
    /** @p multi must outlive this, and be driven by nothing else. */
    explicit CurlEvents(CURLM *multi);
    ~CurlEvents();
    CurlEvents(const CurlEvents &) = delete;
    CurlEvents &operator=(const CurlEvents &) = delete;

    /** Readable when a transfer can go on. */
    int descriptor() const;
    /** Until a transfer has something to do without its socket: at most @p longest. */
    Duration untilTimeout(Duration longest) const;
    /** Goes on with transfers whose timeout has come. */
    void runTimeouts();
    /** Goes on with transfers whose sockets are ready; call it when descriptor() is readable. */
    void runReady();

private:
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *known);

    CURLM *m_multi;
    int m_epoll;
};

} // namespace ApricotStep
