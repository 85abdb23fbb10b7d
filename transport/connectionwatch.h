#pragma once

#include "core/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

namespace ApricotStep
{

/**
 * Closes connections whose requests do not arrive completely in time. Internal to transport. Thread-safe.
 *
 * A sender that transmits one byte every few seconds never reaches an idle timeout, and a few thousand such senders use up all connections
 * of the node, so that callers cannot connect. A limit on the arrival time of the whole request closes each of these connections after a
 * known time.
 */
class ConnectionWatch
{
public:
    /**
     * @p arrivalLimit: longest time from the opening of the connection, or from the end of its previous request, until the next request has
     * arrived completely.
     */
    ConnectionWatch(const Clock &clock, Duration arrivalLimit);

    void opened(int socket, bool isPlain);
    void closed(int socket);
    /**
     * A complete request has arrived: no limit applies until requestCompleted(). Returns false when the connection was already closed as
     * overdue; the request must not run then, since the caller may have received the answer that it did not.
     */
    bool requestArrived(int socket);
    void requestCompleted(int socket);
    /**
     * Shuts down the sockets of overdue connections. A connection without TLS is sent a 408 answer first. @p isCrowded: connections without
     * a request are overdue sooner, so that other callers can connect.
     */
    void closeOverdue(bool isCrowded);

private:
    struct WatchedConnection
    {
        Time since;
        bool isServing = false;
        bool isPlain = true;
        bool isEnded = false;
    };

    const Clock &m_clock;
    const Duration m_limit;
    absl::Mutex m_mutex;
    // Each listed socket is valid: MHD calls closed() before it closes the socket.
    absl::flat_hash_map<int, WatchedConnection> m_connections ABSL_GUARDED_BY(m_mutex);
};

} // namespace ApricotStep
