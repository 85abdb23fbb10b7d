#pragma once

#include "core/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ApricotStep
{

/** An IP number and a port. */
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;
};

/** Splits host:port. What is no port becomes 0, which no peer expects; binding it shows. */
Endpoint parseEndpoint(const std::string &address);

/** A non-blocking UDP socket, read by one thread of its own or by whoever calls receive(). */
class UdpSocket
{
public:
    /** Bytes of one datagram and its sender as host:port; called from the socket's thread, must not block. */
    using Handler = std::function<void(std::string_view, const std::string &)>;

    /** Binds to @p port of the IPv4 number @p address; 0 picks a free one. Errors: SettingsInvalid. */
    static Result<std::unique_ptr<UdpSocket>> open(const std::string &address, std::uint16_t port);
    /** Stops the thread; the handler is not called afterwards. */
    ~UdpSocket();

    std::uint16_t port() const;
    /** Begins to read; once. */
    void start(Handler handler);
    /** Readable when there is a datagram; for receive(). */
    int descriptor() const;
    /** Hands the datagrams at hand to @p handler, for a socket without a thread. */
    void receive(const Handler &handler);
    /** Sends to host:port from any thread; false when the address is no IPv4 number or the datagram could not leave. */
    bool send(const std::string &to, std::string_view bytes);

private:
    UdpSocket();
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
