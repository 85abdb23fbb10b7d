#pragma once

#include "transport/httpserver.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/cord.h>
#include <absl/synchronization/mutex.h>
#include <microhttpd.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace ApricotStep
{

/**
 * The exchange of one request of a libmicrohttpd connection. Internal to transport.
 *
 * m_mutex guards all state. The MHD functions that are called while it is held do not call back.
 */
class MhdExchange final : public HttpExchange, public std::enable_shared_from_this<MhdExchange>
{
public:
    /**
     * @p isAnyResumed is set each time that the connection is resumed. Of @p settings the limits on the answer apply.
     */
    MhdExchange(MHD_Connection *connection, std::shared_ptr<std::atomic<bool>> isAnyResumed, const HttpServerSettings &settings);

    // Used only on the connection's server thread.
    HttpRequest request;
    bool isHandled = false;
    /** What has arrived of the body. */
    ByteBuffer body;
    /** The length of the body by the head; unset if it comes in chunks. */
    std::optional<std::uint64_t> announcedBytes;
    std::shared_ptr<BodyReservation> reservation;
    std::size_t reservedBytes = 0;
    /** Set once a large body has been admitted. */
    std::optional<BodyTerms> terms;
    /** The request was answered before its body had arrived. The rest of the body is read and dropped. */
    bool isRefused = false;
    std::size_t droppedBytes = 0;
    /** The answer announces that the connection closes after it. */
    bool closesConnection = false;

    void respond(int status, const HttpHeaders &headers, std::string body) override;
    void beginStream(int status, const HttpHeaders &headers) override;
    bool write(std::string_view data) override;
    void finish() override;
    void abort() override;
    void abortNow() override;
    std::size_t unreadBytes() const override;
    std::size_t maxAnswerHeadBytes() const override;
    void onDrained(std::function<void()> callback) override;
    void onCallerGone(std::function<void()> callback) override;

    /** The bytes of an answer that was given by respond(), which closes the connection. Nothing else is sent for it. */
    std::string rawAnswer() const;
    /** To be called before the request is handled. */
    void setMaxAnswerHeadBytes(std::size_t bytes);
    /** The status of an answer that is queued although its caller is still connected; 0 otherwise. */
    int pendingStatus() const;
    /** On the server's thread: queues the answer if there is one, otherwise suspends the connection until there is. */
    MHD_Result answerOrSuspend();
    /** The request is over; @p isWhole tells whether the caller received the complete answer. */
    void close(bool isWhole);
    /** Detects a caller that disconnected while its connection is suspended. Called at regular intervals. */
    void checkCallerGone();

private:
    static ssize_t read(void *context, std::uint64_t position, char *out, std::size_t max);
    ssize_t readSome(char *out, std::size_t max);
    ssize_t emptyBufferResultLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void suspendLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void resumeLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    MHD_Connection *m_connection;
    std::shared_ptr<std::atomic<bool>> m_isAnyResumed;
    std::size_t m_streamBufferBytes;
    std::size_t m_maxAnswerHeadBytes;
    int m_socket = -1;
    mutable absl::Mutex m_mutex;
    bool m_hasAnswer ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isWhole ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isFinished ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isAborted ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isClosed ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isSuspended ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isFull ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isGone ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isQueued ABSL_GUARDED_BY(m_mutex) = false;
    int m_status ABSL_GUARDED_BY(m_mutex) = 0;
    HttpHeaders m_headers ABSL_GUARDED_BY(m_mutex);
    /** A complete answer that is not queued yet. */
    std::string m_body ABSL_GUARDED_BY(m_mutex);
    /** What is to be read of a stream. A string would keep up to twice that, and what has been read as long as it is never empty. */
    absl::Cord m_buffer ABSL_GUARDED_BY(m_mutex);
    /** Size of a complete answer that MHD holds until the caller has read all of it. */
    std::size_t m_queuedBytes ABSL_GUARDED_BY(m_mutex) = 0;
    std::function<void()> m_drained ABSL_GUARDED_BY(m_mutex);
    std::function<void()> m_gone ABSL_GUARDED_BY(m_mutex);
};

} // namespace ApricotStep
