#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace Fixtures
{

/** An address at which no connection can be established. */
class UnreachableAddress
{
public:
    enum class Kind {
        /** Connection attempts are refused. */
        Refusing,
        /** Connection attempts get no response. */
        Silent,
    };

    explicit UnreachableAddress(Kind kind)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        m_sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        bool isOpen = bind(m_sockets[0], reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        getsockname(m_sockets[0], reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        if (kind == Kind::Silent) {
            // Further connection attempts are dropped once the queue of a listener that accepts none is full.
            constexpr int Fillers = 4;
            isOpen = isOpen && listen(m_sockets[0], 0) == 0;
            for (int i = 0; i < Fillers; ++i) {
                m_sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
                static_cast<void>(!connect(m_sockets.back(), reinterpret_cast<sockaddr *>(&address), sizeof address));
            }
        }
        if (!isOpen) {
            std::abort();
        }
    }
    ~UnreachableAddress()
    {
        for (const int socket : m_sockets) {
            close(socket);
        }
    }
    UnreachableAddress(const UnreachableAddress &) = delete;
    UnreachableAddress &operator=(const UnreachableAddress &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    std::vector<int> m_sockets;
    std::uint16_t m_port = 0;
};

} // namespace Fixtures
