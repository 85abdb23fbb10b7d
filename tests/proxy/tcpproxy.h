#pragma once

#include "tests/proxy/faults.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace FaultProxy
{

/** Returns the name of the process at the other end of a connection to the proxy, by its port on this machine; empty when unknown. */
using PeerName = std::function<std::string(std::uint16_t port)>;

/**
 * Passes TCP connections on to one target, with faults. Uses two threads per connection: for tests with a few hundred connections at most.
 */
class TcpProxy
{
public:
    /**
     * Listens on @p listenIp:@p port (0 picks a free port) and passes on to @p targetIp:@p targetPort of the process named @p targetName.
     */
    TcpProxy(const std::string &listenIp, std::uint16_t port, std::string targetIp, std::uint16_t targetPort, std::string targetName,
        const Partition &partition, PeerName peerName);
    ~TcpProxy();

    std::uint16_t port() const;
    Faults &faults();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace FaultProxy
