#pragma once

#include "core/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

namespace ApricotStep
{

/**
 * Closes connections whose requests do not arrive whole in time. Internal to transport. Thread-safe.
 *
 * A sender that drips a byte every few seconds never trips an idle timeout, and a few thousand of them hold every connection of the
 * node: callers then cannot connect. A bound on the whole request's arrival ends each drip after a known time.
 */
class ConnectionWatch
{
public:
    /** @p arrivalLimit: a request's first byte to its last, and also the wait for its first one. */
    ConnectionWatch(const Clock &clock, Duration arrivalLimit);

    void opened(int socket, bool isPlain);
    void closed(int socket);
    /**
     * A whole request has arrived: no limit until requestCompleted(). False when the connection has been ended already; the request must
     * not run then, since its caller was told that it did not.
     */
    bool requestArrived(int socket);
    void requestCompleted(int socket);
    /** Ends the overdue ones: with a 408 where nothing is encrypted, and by shutting down the socket. */
    void closeOverdue();

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
    // A socket stays valid while it is listed: MHD calls closed() before it closes it.
    absl::flat_hash_map<int, WatchedConnection> m_connections ABSL_GUARDED_BY(m_mutex);
};

} // namespace ApricotStep
