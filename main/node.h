#pragma once

#include "core/result.h"
#include "main/settings.h"

#include <memory>

namespace ApricotStep
{

/** One entry node with its caller port, its operator port and the link to the other nodes. */
class Node
{
public:
    /** Opens the ports and starts reading the VM list and the configuration. Errors: SettingsInvalid. */
    static Result<std::unique_ptr<Node>> start(std::shared_ptr<const Settings> settings);
    /** Stops at once; call drain() first for a graceful shutdown. */
    ~Node();

    std::uint16_t callerPort() const;
    std::uint16_t operatorPort() const;
    std::uint16_t membershipPort() const;
    std::uint16_t rpcPort() const;
    /** Reloads the certificate of the caller port. On an error the previous one stays in use, and the error is logged. */
    void reload();
    /** Accepts no new work after the linger time, and returns when every request in progress has been answered completely. */
    void drain();

private:
    Node();
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
