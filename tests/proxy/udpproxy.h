#pragma once

#include "tests/proxy/faults.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace FaultProxy
{

/** Names the process that a datagram came from, by its IP number; empty when unknown. */
using SenderName = std::function<std::string(const std::string &ip)>;

/** Passes datagrams on to one target, with faults. Answers that the target sends to the proxy go back to whom they are for. */
class UdpProxy
{
public:
    /** Takes datagrams on @p listenIp:@p port for @p targetIp:@p port of the process named @p targetName. @p seed of losses and reorders.
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
