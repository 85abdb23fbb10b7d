#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** The two ends of a connection of this host, which no other open connection has. */
struct ConnectionEnds
{
    std::string peerAddress;
    int peerPort = 0;
    int ownPort = 0;

    bool operator==(const ConnectionEnds &) const = default;
    template<typename H>
    friend H AbslHashValue(H state, const ConnectionEnds &ends)
    {
        return H::combine(std::move(state), ends.peerAddress, ends.peerPort, ends.ownPort);
    }
};

/**
 * Remembers which calls each open connection has carried. Internal to transport.
 *
 * A peer may answer a call twice, and the second answer then arrives in the turn of a later call. Only an id that the connection has
 * carried once tells to which call an answer belongs.
 */
class ExchangeHistory
{
public:
    /** Most calls that are remembered for a connection; after them, it carries no call with an id. */
    static constexpr std::size_t MaxCalls = 500;

    /** A connection was opened; it has carried nothing. */
    void opened(int socket, const ConnectionEnds &ends);
    void closed(int socket);
    /** Whether an answer with this id on the connection could only belong to a call that is sent there next. */
    bool canCarry(const ConnectionEnds &ends, std::string_view id) const;
    /** A call is sent on the connection; @p id may be empty. Returns how many calls the connection has carried before. */
    std::size_t onSent(const ConnectionEnds &ends, std::string_view id);

private:
    static std::uint64_t digestOf(std::string_view id);

    absl::flat_hash_map<int, ConnectionEnds> m_sockets;
    /** Digests of the ids, in the order of the calls. */
    absl::flat_hash_map<ConnectionEnds, std::vector<std::uint64_t>> m_calls;
};

} // namespace ApricotStep
