#pragma once

#include "coordination/membership.h"
#include "core/clock.h"
#include "core/result.h"
#include "main/settings.h"
#include "state/fleetview.h"
#include "state/sharedsnapshot.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ApricotStep
{

/** Addresses at which others reach this node; known once its ports are open. */
struct NodeAddresses
{
    std::string caller;
    std::string rpc;
};

/** Runs the membership protocol of this node over UDP and publishes its view. Thread-safe. */
class MembershipRunner
{
public:
    using RumourHandler = std::function<void(const Rumour &)>;

    /** Opens the membership port. The references must outlive the runner. Errors: SettingsInvalid. */
    static Result<std::unique_ptr<MembershipRunner>> open(
        const Settings &settings, const Clock &clock, Incarnation incarnation, SharedSnapshot<FleetView> &fleet);
    ~MembershipRunner();

    std::uint16_t port() const;
    /** Adds a handler for rumours new to this node, its own included. Called from any thread; must not block. Only before start(). */
    void onRumour(RumourHandler handler);
    /** Joins the fleet. */
    void start(const NodeAddresses &addresses);
    /** Runs the timers; to be called every 20 to 100 ms. */
    void tick();
    void onVmListRead(VmList list);
    /** Spreads a rumour in the fleet. */
    void announce(Rumour rumour);
    /** Announces that this node is shutting down; other nodes then send it no new work. */
    void announceLeaving();
    /** Announces that this node leaves now. */
    void announceLeft();

    /** Membership::isFresh() at the current time. */
    bool isFresh() const;
    /** The low bits of this node's fencing tokens. */
    std::uint16_t number() const;
    std::vector<Rumour> rumours() const;
    MembershipCounters counters() const;
    /** Number of received datagrams that were malformed, forged or too long. */
    std::uint64_t rejectedCount() const;
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    MembershipRunner();
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
