#pragma once

#include "core/clock.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Fixtures
{

/** Defines how a scripted upstream answers one request. */
struct ScriptedAnswer
{
    /** Raw bytes to send; "{id}" is replaced by the id of the request. */
    std::string bytes;
    /** What happens to the connection after the bytes. */
    enum class ConnectionAction {
        Keep,
        Close,
        Reset,
    };
    ConnectionAction connectionAction = ConnectionAction::Keep;
    /** After the bytes, sends nothing more and waits until the peer closes the connection. */
    bool isHanging = false;
    /** Sent after the bytes, each part after a pause. */
    std::vector<std::string> laterParts;
    ApricotStep::Duration pause;
    /** Sent after the bytes, again and again as fast as the peer reads, until it closes the connection. */
    std::string endless;
    /** A second answer to the same request, sent right before the next answer on the connection. */
    std::string lateCopy;
};

/** A TCP server on a free port of 127.0.0.1 that answers with bytes chosen by the test, which need not be valid HTTP. */
class ScriptedUpstream
{
public:
    using Script = std::function<ScriptedAnswer(const std::string &request)>;

    enum class Reading {
        WholeRequests,
        /** Answers once the head has arrived, and reads no body. */
        Heads,
    };
    explicit ScriptedUpstream(Script script, Reading reading = Reading::WholeRequests);
    ~ScriptedUpstream();

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    /** Refuses connections from now on, as after the end of its process. */
    void stopListening() const;
    /** Returns heads and bodies of the requests received so far, in order. */
    std::vector<std::string> requests() const;
    /** Returns the number of connections accepted so far. */
    int connections() const
    {
        return m_connections;
    }
    /** Returns the number of endless answers that the peer has ended. */
    int endedEndless() const
    {
        return m_endedEndless;
    }
    /** Returns the bytes of endless answers that the peer and the buffers between have taken. */
    std::size_t endlessBytes() const
    {
        return m_endlessBytes;
    }
    /** Returns the number of connections that the peer closed while the upstream was hanging. */
    int closedByPeer() const
    {
        return m_closedByPeer;
    }

private:
    void accept();
    void serve(int socket);
    void sendEndless(int socket, const std::string &bytes);
    bool readRequest(int socket, std::string &request) const;

    Script m_script;
    Reading m_reading;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_connections { 0 };
    std::atomic<int> m_closedByPeer { 0 };
    std::atomic<int> m_endedEndless { 0 };
    std::atomic<std::size_t> m_endlessBytes { 0 };
    mutable absl::Mutex m_mutex;
    std::vector<std::string> m_requests ABSL_GUARDED_BY(m_mutex);
    std::vector<int> m_sockets ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_workers;
    std::thread m_acceptor;
};

} // namespace Fixtures
