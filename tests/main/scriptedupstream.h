#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Rig
{

/** What a scripted upstream does with one request. */
struct ScriptedAnswer
{
    /** Bytes to send, as they are. "{id}" stands for the request's id. */
    std::string bytes;
    enum class ConnectionAction {
        Keep,
        Close,
        Reset,
    };
    ConnectionAction connectionAction = ConnectionAction::Keep;
    /** Waits for the other side to close after the bytes. */
    bool isHanging = false;
};

/** A TCP server on a free port of 127.0.0.1 that answers requests with bytes of a script, broken ones too. */
class ScriptedUpstream
{
public:
    using Script = std::function<ScriptedAnswer(const std::string &request)>;

    explicit ScriptedUpstream(Script script);
    ~ScriptedUpstream();

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    /** Heads and bodies of the requests that came, in order. */
    std::vector<std::string> requests() const;
    int connections() const
    {
        return m_connections;
    }
    /** Connections that the other side has closed. */
    int closedByPeer() const
    {
        return m_closedByPeer;
    }

private:
    void accept();
    void serve(int socket);
    static bool readRequest(int socket, std::string &request);

    Script m_script;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_connections { 0 };
    std::atomic<int> m_closedByPeer { 0 };
    mutable absl::Mutex m_mutex;
    std::vector<std::string> m_requests ABSL_GUARDED_BY(m_mutex);
    std::vector<int> m_sockets ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_workers;
    std::thread m_acceptor;
};

} // namespace Rig
