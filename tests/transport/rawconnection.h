#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

// A plain socket, for input that no HTTP client would send.
class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
    }
    ~RawConnection()
    {
        close(m_socket);
    }
    void sendText(const std::string &text) const
    {
        send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
    }
    // What is received until it holds @p end, or until the server closes the connection.
    std::string readUntil(const std::string &end) const
    {
        std::string all;
        char part[4096];
        for (ssize_t count = 0; all.find(end) == std::string::npos && (count = recv(m_socket, part, sizeof part, 0)) > 0;) {
            all.append(part, static_cast<std::size_t>(count));
        }
        return all;
    }
    // Everything that is received until the server closes the connection.
    std::string readAll() const
    {
        std::string all;
        char part[4096];
        for (ssize_t count = 0; (count = recv(m_socket, part, sizeof part, 0)) > 0;) {
            all.append(part, static_cast<std::size_t>(count));
        }
        return all;
    }

private:
    int m_socket;
};
