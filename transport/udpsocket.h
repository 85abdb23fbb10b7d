#pragma once

#include "core/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ApricotStep
{

/** An IP address and a port. */
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;
};

/** Splits host:port. An invalid port becomes 0: a socket bound to it gets a port on which no peer expects it. */
Endpoint parseEndpoint(const std::string &address);

/** A non-blocking UDP socket, read by a thread of its own or by calls of receive(). */
class UdpSocket
{
public:
    /** Receives the bytes of one datagram and its sender as host:port. Called on the thread that reads the socket; must not block. */
    using Handler = std::function<void(std::string_view, const std::string &)>;

    /** Binds to @p port of the IPv4 address @p address; 0 picks a free port. Errors: SettingsInvalid. */
    static Result<std::unique_ptr<UdpSocket>> open(const std::string &address, std::uint16_t port);
    /** Stops the thread; the handler is not called afterwards. */
    ~UdpSocket();

    std::uint16_t port() const;
    /** Starts a thread that reads the socket. May be called only once. */
    void start(Handler handler);
    /** Readable when a datagram has arrived; for use with receive(). */
    int descriptor() const;
    /** Passes the datagrams that have arrived to @p handler; for a socket without a thread. */
    void receive(const Handler &handler);
    /**
     * Sends to host:port. Returns false when @p to is not an IPv4 address with a port, or when the datagram could not be sent. Thread-safe.
     */
    bool send(const std::string &to, std::string_view bytes);

private:
    UdpSocket();
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
