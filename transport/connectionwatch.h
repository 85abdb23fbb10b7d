#pragma once

#include "coordination/requestmemory.h"
#include "core/clock.h"
#include "transport/httpserver.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <memory>

namespace ApricotStep
{

/**
 * Closes connections whose requests do not arrive in time, and those that have to give way to others. Internal to transport. Thread-safe.
 *
 * A sender that transmits one byte every few seconds never reaches an idle timeout, and a few thousand such senders use up all connections
 * of the node, so that callers cannot connect. A limit on the arrival time of each head and each body closes each of these connections
 * after a known time.
 */
class ConnectionWatch
{
public:
    /**
     * @p arrivalLimit: longest time from the opening of the connection, or from the end of its previous request, until the next head has
     * arrived, unless setHeadLimit() says otherwise; and from there until its body has, unless limitBody() does. @p onLimit is called for
     * each connection that is closed, with the lock held; may be empty.
     */
    ConnectionWatch(const Clock &clock, Duration arrivalLimit, std::function<void(ClientLimit)> onLimit);

    void opened(int socket, bool isPlain);
    void closed(int socket);
    /** The head of a request has arrived, and its body follows. */
    void headArrived(int socket);
    /** A part of the body has arrived. */
    void bodyArrived(int socket);
    /** The body has to arrive until @p deadline. Its connection is closed if the reservation is taken back. */
    void limitBody(int socket, Time deadline, std::shared_ptr<BodyReservation> reservation);
    /** The request was answered before its body had arrived: the connection only lets its client read the answer. */
    void refused(int socket);
    /**
     * A complete request has arrived: no limit applies until requestCompleted(). Returns false when the connection was already closed as
     * overdue; the request must not run then, since the caller may have received the answer that it did not.
     */
    bool requestArrived(int socket);
    void requestCompleted(int socket);
    void setHeadLimit(Duration limit);
    /** Shuts down the sockets of overdue connections. A connection without TLS is sent a 408 or 503 answer first. */
    void closeOverdue();
    /** Shuts down the connection that others miss least, if there is one without a request in progress. */
    bool closeLeastUseful();
    /** Connections that are not shut down. */
    std::size_t openCount() const;

private:
    enum class Phase {
        AwaitingHead,
        ReceivingBody,
        Serving,
        /** Its client may still read the answer. */
        Refused,
    };
    struct WatchedConnection
    {
        Phase phase = Phase::AwaitingHead;
        /** The start of the phase, or the last part of the body. */
        Time since;
        /** Only for the body. */
        Time deadline;
        std::shared_ptr<BodyReservation> reservation;
        bool isPlain = true;
        /** A request on it has been answered. */
        bool isUsed = false;
        bool isEnded = false;
    };

    void end(int socket, WatchedConnection &watched, ClientLimit limit) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** The less useful, the smaller; negative if it must not be closed. */
    int usefulness(const WatchedConnection &watched, Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Clock &m_clock;
    const std::function<void(ClientLimit)> m_onLimit;
    const Duration m_bodyLimit;
    mutable absl::Mutex m_mutex;
    Duration m_headLimit ABSL_GUARDED_BY(m_mutex);
    std::size_t m_endedCount ABSL_GUARDED_BY(m_mutex) = 0;
    // Each listed socket is valid: MHD calls closed() before it closes the socket.
    absl::flat_hash_map<int, WatchedConnection> m_connections ABSL_GUARDED_BY(m_mutex);
};

} // namespace ApricotStep
