#pragma once

#include "tests/proxy/faults.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace FaultProxy
{

/** Returns the name of the process that sent a datagram, by its IP address; empty when unknown. */
using SenderName = std::function<std::string(const std::string &ip)>;

/** Passes datagrams on to one target, with faults. Answers of the target are returned to the sender that they are for. */
class UdpProxy
{
public:
    /**
     * Receives datagrams on @p listenIp:@p port for @p targetIp:@p port of the process named @p targetName. @p seed determines the random
     * faults.
     */
    UdpProxy(const std::string &listenIp, std::uint16_t port, std::string targetIp, std::string targetName, const Partition &partition,
        SenderName senderName, std::uint64_t seed);
    ~UdpProxy();

    Faults &faults();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace FaultProxy
