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

/** Periodic timer event, every 20 to 100 ms. */
struct MembershipTick
{
};
/** An authenticated datagram arrived from @p from, host:port. */
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
/** Send a rumour of this node to the fleet. */
struct AnnounceRumour
{
    Rumour rumour;
};
/** This node begins to shut down. */
struct AnnounceLeaving
{
};
/** This node is about to exit. */
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
/** The set of live or leaving members has changed. */
struct ViewChanged
{
    std::shared_ptr<const FleetView> view;
};
/** A rumour that is new to this node; includes its own. */
struct RumourLearned
{
    Rumour rumour;
};
using MembershipAction = std::variant<SendDatagram, ViewChanged, RumourLearned>;

struct MembershipLimits
{
    /** Between two probes by this node. */
    Duration probeInterval { 500 };
    /** Timeout of the direct response; then relays are asked and the member is pinged again. Longer than the longest round trip. */
    Duration probeTimeout { 200 };
    /** Time for a suspected member to refute if several nodes suspect it. */
    Duration suspicionMin { 1500 };
    /** The same if only one node suspects it. */
    Duration suspicionMax { 4000 };
    /** Between two gossip rounds while updates are queued. */
    Duration gossipInterval { 200 };
    /** Average time between two requests to synchronise with a peer whose digest differs. */
    Duration syncInterval = Duration::seconds(10);
    /** Between two attempts to contact a member that is in the VM list or was live before, but is not live in the view. */
    Duration reconnectInterval = Duration::seconds(3);
    /** Gap between two ticks from which on the process counts as paused. */
    Duration pauseGap = Duration::seconds(2);
    /** The view counts as fresh for this long after the last response of a peer. */
    Duration freshFor = Duration::seconds(5);
    /** How long dead and left members are kept. */
    Duration removeDeadAfter = Duration::seconds(600);
    int relays = 3;
    int gossipFanOut = 3;
};

/** Event counts for metrics. */
struct MembershipCounters
{
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t replays = 0;
    std::uint64_t pauses = 0;
};

/**
 * Tracks the live nodes and spreads rumours among them: SWIM with suspicion, refutation, Lifeguard's local health and a slow anti-entropy,
 * seeded by the VM list.
 *
 * Nodes fail one by one, by rack and by availability zone; datagrams get lost, processes pause and links partition. Without this class
 * every node would rely on the VM list and send requests to dead nodes for as long as the list lags. Each node probes one member per
 * interval, so that its traffic does not grow with the fleet; docs/decisions has the reasons for the constants.
 *
 * A state machine without I/O: pass it events with the time, and execute the actions that it returns. Not thread-safe.
 */
class Membership
{
public:
    /** @p self is this node with its addresses, in the state Alive. @p seed initialises the random choices. */
    Membership(MemberUpdate self, MembershipLimits limits, std::uint64_t seed);
    ~Membership();

    std::vector<MembershipAction> handle(const MembershipEvent &event, Time now);

    /**
     * Whether the view at @p now is good enough for decisions. After a gap between ticks it is not until peers have responded again, since
     * a resumed process holds stale facts. Check this immediately before acting, not earlier.
     */
    bool isFresh(Time now) const;
    /** Low bits of this node's fencing tokens; unique among the live members in the view. */
    std::uint16_t number() const;
    /** The latest view; never null. */
    std::shared_ptr<const FleetView> view() const;
    std::vector<Rumour> rumours() const;
    const MembershipCounters &counters() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
