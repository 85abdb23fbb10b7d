#pragma once

#include "coordination/membermessage.h"
#include "core/clock.h"
#include "state/fleetview.h"
#include "state/vmlist.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

// Events.

/** Time went by; every 20 to 100 ms. */
struct MembershipTick
{
};
/** An authentic datagram arrived from @p from, host:port. */
struct DatagramReceived
{
    MemberDatagram datagram;
    std::string from;
};
/** The platform's VM list was read. */
struct VmListRead
{
    VmList list;
};
/** This node has something to tell the fleet. */
struct AnnounceRumour
{
    Rumour rumour;
};
/** This node begins to shut down. */
struct AnnounceLeaving
{
};
/** This node ends now. */
struct AnnounceLeft
{
};
using MembershipEvent = std::variant<MembershipTick, DatagramReceived, VmListRead, AnnounceRumour, AnnounceLeaving, AnnounceLeft>;

// Actions.

/** Send @p datagram to @p address, host:port. It may get lost. */
struct SendDatagram
{
    std::string address;
    MemberDatagram datagram;
};
/** Who lives or leaves has changed. */
struct ViewChanged
{
    std::shared_ptr<const FleetView> view;
};
/** A rumour that this node did not know, its own included. */
struct RumourLearned
{
    Rumour rumour;
};
using MembershipAction = std::variant<SendDatagram, ViewChanged, RumourLearned>;

struct MembershipLimits
{
    /** Between two probes of this node. */
    Duration probeInterval { 500 };
    /** For the direct answer; then relays are asked and the member is pinged again. Beyond the longest round trip. */
    Duration probeTimeout { 200 };
    /** For a suspected member to refute when several nodes suspect it. */
    Duration suspicionMin { 1500 };
    /** The same when only one does. */
    Duration suspicionMax { 4000 };
    /** Between two rounds of gossip while there is news. */
    Duration gossipInterval { 200 };
    /** Between two requests to synchronise with a peer whose digest differs. */
    Duration syncInterval = Duration::seconds(10);
    /** Between two tries to reach a member that is in the VM list or was live once, but does not live in the view. */
    Duration reconnectInterval = Duration::seconds(3);
    /** A gap between two ticks from which the process counts as paused. */
    Duration pauseGap = Duration::seconds(2);
    /** A view is fresh when a peer answered within this time. */
    Duration freshFor = Duration::seconds(5);
    /** How long dead and left members are remembered. */
    Duration removeDeadAfter = Duration::seconds(600);
    int relays = 3;
    int gossipFanOut = 3;
};

/** What happened, for metrics. */
struct MembershipCounters
{
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t replays = 0;
    std::uint64_t pauses = 0;
};

/**
 * Which nodes live, and the rumours that they tell each other: SWIM with suspicion, refutation, Lifeguard's local health and a slow
 * anti-entropy, seeded by the VM list.
 *
 * Load pattern: nodes fail alone, by rack and by availability zone, datagrams get lost, processes pause, links part. Without it every
 * node would trust the lagging VM list, which shows as requests sent to dead nodes for as long as the list lags. Each node probes one
 * member an interval, so what a node sends does not grow with the fleet; docs/decisions has the grounds for the figures.
 *
 * A state machine without I/O: give it what happened and the time, carry out the actions that it returns. Not thread-safe.
 */
class Membership
{
public:
    /** @p self: this node with its addresses; its state is Alive. @p seed of the random choices. */
    Membership(MemberUpdate self, MembershipLimits limits, std::uint64_t seed);
    ~Membership();

    std::vector<MembershipAction> handle(const MembershipEvent &event, Time now);

    /**
     * Whether decisions may rest on the view at @p now. Not after a gap between ticks until peers have answered again: a process that
     * wakes late still believes old facts. Ask at the moment of the deed, not earlier.
     */
    bool isFresh(Time now) const;
    /** Low bits of this node's fencing tokens; differs from that of every live member in the view. */
    std::uint16_t number() const;
    /** The newest view; never null. */
    std::shared_ptr<const FleetView> view() const;
    /** Rumours known now. */
    std::vector<Rumour> rumours() const;
    const MembershipCounters &counters() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
