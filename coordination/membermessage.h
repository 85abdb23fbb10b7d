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
    /** Did not answer lately; still counts as live until its time to refute is over. */
    Suspect,
    Dead,
    /** Ended of its own will; never comes back under the same incarnation. */
    Left,
};

/** What one node says of a member. Facts about one member are ordered, so that they merge in any order: see supersedes(). */
struct MemberUpdate
{
    NodeId id;
    Incarnation incarnation;
    /**
     * Zero, unless the member found at its start that the fleet knows a later incarnation of it: its wall clock has stepped back since
     * then, and without this the fleet would take it for the older start for ever.
     */
    std::uint16_t epoch = 0;
    /** Raised by the member itself, each time that it refutes a suspicion. */
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    /** Who suspects it; empty in other states. */
    NodeId accuser;
    /** Low bits of the member's fencing tokens. */
    std::uint16_t number = 0;
    ZoneId zone;
    std::string membershipAddress;
    std::string callerAddress;
    std::string rpcAddress;
};

/** True when @p newer replaces what @p known says of the same member. */
bool supersedes(const MemberUpdate &newer, const MemberUpdate &known);

/** A rumour and how long ago it was first told, so that all nodes forget it at about the same time without a common clock. */
struct AgedRumour
{
    Rumour rumour;
    Duration age;
};

/** Asks for an Ack with the same sequence. */
struct Ping
{
    std::uint32_t sequence = 0;
};
struct Ack
{
    std::uint32_t sequence = 0;
};
/** A relay's word that it is there, though its target does not answer. */
struct Nack
{
    std::uint32_t sequence = 0;
};
/** Asks a relay to ping @p target and to pass its Ack on. */
struct PingRequest
{
    std::uint32_t sequence = 0;
    std::string targetAddress;
};
/** Carries updates and rumours alone. */
struct Gossip
{
};
inline constexpr std::size_t DigestBuckets = 64;
using BucketDigests = std::array<std::uint32_t, DigestBuckets>;
/** Asks for what the receiver knows in the buckets whose digests differ. */
struct SyncRequest
{
    std::uint32_t sequence = 0;
    BucketDigests digests {};
};
/** One part of the answer to a SyncRequest; what it says stands in the datagram's updates and rumours. */
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
    /** Goes up with each datagram of this sender's incarnation, so that a replayed one is known. */
    std::uint32_t counter = 0;
    /** Digest of all that the sender knows; equal digests mean that there is nothing to synchronise. */
    std::uint32_t digest = 0;
    MemberBody body;
    std::vector<MemberUpdate> updates;
    std::vector<AgedRumour> rumours;
};

} // namespace ApricotStep
