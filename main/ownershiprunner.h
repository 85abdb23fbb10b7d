#pragma once

#include "coordination/upstreamscheduler.h"
#include "core/clock.h"
#include "main/settings.h"
#include "state/catalog.h"
#include "state/fleetview.h"
#include "state/sharedsnapshot.h"
#include "transport/httpclient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace ApricotStep
{

/** What decides who owns an upstream. */
struct OwnershipSource
{
    NodeId self;
    SharedSnapshot<FleetView> &fleet;
    /** Whether the view may be relied on at this moment. */
    std::function<bool()> isFresh;
    /** Low bits of this node's fencing tokens. */
    std::function<std::uint16_t()> tokenLowBits;
};

/** Keeps this node's ownership of one engine: reads its load reports, claims it, and says what may be sent there. Thread-safe. */
class OwnershipRunner
{
public:
    /** Gets LoadReport and EvictionRule for the engine's scheduler, from any thread. */
    using Listener = std::function<void(const SchedulerEvent &)>;

    /** The references must outlive the guard and every call that it started. */
    OwnershipRunner(const UpstreamSpec &spec, const Settings &settings, HttpClient &client, const Clock &clock,
        const OwnershipSource &source, Listener listener);
    /** The listener is not called afterwards, but for calls in progress. */
    ~OwnershipRunner();

    /** Takes the view in and asks for reports when they are due; every 20 to 100 ms. */
    void tick();
    bool isOwner() const;
    /** The view says that the engine is leaving. */
    bool isLeaving() const;
    /** Whether the newest report could not be had. */
    bool isUnresponsive() const;

    // Ask these right before the first byte leaves.

    bool mayDispatch() const;
    std::optional<FencingToken> loadToken() const;
    std::optional<FencingToken> evictToken(const AdapterKey &adapter) const;
    /** The engine refused an order for its token. */
    void onOrderFenced();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
