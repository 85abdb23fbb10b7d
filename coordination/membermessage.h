#pragma once

#include "coordination/rumour.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

enum class MemberState : std::uint8_t {
    Alive,
    /** Has not responded; counts as live until its time to refute is over. */
    Suspect,
    Dead,
    /** Has shut down gracefully; never returns under the same incarnation. */
    Left,
};

/** One node's statement about a member. Updates about one member are ordered, so that they merge in any order: see supersedes(). */
struct MemberUpdate
{
    NodeId id;
    Incarnation incarnation;
    /**
     * Zero unless the member found at startup that the fleet knows a later incarnation of it, because its wall clock has stepped back since
     * then. Without the epoch the fleet would permanently treat it as the older process.
     */
    std::uint16_t epoch = 0;
    /** Incremented by the member itself when it refutes a suspicion or changes its number. */
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    /** The node that suspects it; empty in other states. */
    NodeId accuser;
    /** Low bits of the member's fencing tokens. */
    std::uint16_t number = 0;
    ZoneId zone;
    std::string membershipAddress;
    std::string callerAddress;
    std::string rpcAddress;
};

/** Whether @p newer replaces @p known, an update about the same member. */
bool supersedes(const MemberUpdate &newer, const MemberUpdate &known);

/** A rumour and the time since its source announced it, so that all nodes expire it at about the same time without a common clock. */
struct AgedRumour
{
    Rumour rumour;
    Duration age;
};

/** Requests an Ack with the same sequence. */
struct Ping
{
    std::uint32_t sequence = 0;
};
struct Ack
{
    std::uint32_t sequence = 0;
};
/** Sent by a relay that is alive while its target does not respond. */
struct Nack
{
    std::uint32_t sequence = 0;
};
/** Asks a relay to ping @p targetAddress and to forward its Ack. */
struct PingRequest
{
    std::uint32_t sequence = 0;
    std::string targetAddress;
};
/** Carries only updates and rumours. */
struct Gossip
{
};
inline constexpr std::size_t DigestBuckets = 64;
using BucketDigests = std::array<std::uint32_t, DigestBuckets>;
/** Requests all that the receiver knows in the buckets whose digests differ. */
struct SyncRequest
{
    std::uint32_t sequence = 0;
    BucketDigests digests {};
};
/** One part of the response to a SyncRequest; its content is in the datagram's updates and rumours. */
struct SyncReply
{
    std::uint32_t sequence = 0;
};
using MemberBody = std::variant<Ping, Ack, Nack, PingRequest, Gossip, SyncRequest, SyncReply>;

/** One membership datagram. */
struct MemberDatagram
{
    NodeId sender;
    Incarnation incarnation;
    /** Increases with each datagram of this incarnation of the sender, so that replayed ones are detected. */
    std::uint32_t counter = 0;
    /** Digest of all that the sender knows; with equal digests there is nothing to synchronise. */
    std::uint32_t digest = 0;
    MemberBody body;
    std::vector<MemberUpdate> updates;
    std::vector<AgedRumour> rumours;
};

} // namespace ApricotStep
