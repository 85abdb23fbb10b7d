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

/** The inputs that decide which node owns an upstream. */
struct OwnershipSource
{
    NodeId self;
    SharedSnapshot<FleetView> &fleet;
    /** Whether the fleet view is fresh enough to rely on. */
    std::function<bool()> isFresh;
    /** The low bits of this node's fencing tokens, which make them differ from other nodes' tokens. */
    std::function<std::uint16_t()> tokenLowBits;
};

/** Maintains this node's ownership of one engine: polls its load report, claims it, and decides what may be sent to it. Thread-safe. */
class OwnershipRunner
{
public:
    /** Receives LoadReport and EvictionRule events for the engine's scheduler, on any thread. */
    using Listener = std::function<void(const SchedulerEvent &)>;

    /** The references must outlive the runner and every call that it has started. */
    OwnershipRunner(const UpstreamSpec &spec, const Settings &settings, HttpClient &client, const Clock &clock,
        const OwnershipSource &source, Listener listener);
    /** After this, only calls in progress may still invoke the listener. */
    ~OwnershipRunner();

    /** Reads the fleet view and polls the load report when due. Must be called every 20 to 100 ms. */
    void tick();
    bool isOwner() const;
    /** Whether the fleet view marks the engine as leaving. */
    bool isLeaving() const;
    /** Whether the last poll of the load report failed. */
    bool isUnresponsive() const;

    // These must be checked immediately before the first byte is sent.

    bool mayDispatch() const;
    std::optional<FencingToken> loadToken() const;
    std::optional<FencingToken> evictToken(const AdapterKey &adapter) const;
    /** Must be called when the engine has refused an order because of its fencing token. */
    void onOrderFenced();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
