#pragma once

#include "core/result.h"
#include "main/settings.h"

#include <memory>

namespace ApricotStep
{

/** One entry node: the caller port, the operator port and everything between them. */
class Node
{
public:
    /** Opens the ports and begins to read the platform. Errors: SettingsInvalid. */
    static Result<std::unique_ptr<Node>> start(std::shared_ptr<const Settings> settings);
    /** Ends at once; call drain() first for a graceful end. */
    ~Node();

    std::uint16_t callerPort() const;
    std::uint16_t operatorPort() const;
    std::uint16_t membershipPort() const;
    std::uint16_t rpcPort() const;
    /** Reads the certificate of the caller port again; on a fault the old one stays, and the log says so. */
    void reload();
    /** Takes no new work after the linger time, and returns when every request in progress has its whole answer. */
    void drain();

private:
    Node();
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
