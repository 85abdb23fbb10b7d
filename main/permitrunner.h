#pragma once

#include "coordination/loadpermits.h"
#include "coordination/upstreamscheduler.h"
#include "core/result.h"
#include "main/settings.h"
#include "state/fleetview.h"
#include "state/sharedsnapshot.h"
#include "transport/peers.h"

#include <functional>
#include <memory>
#include <string>

namespace ApricotStep
{

/** The name of the node RPC part that receives permit messages. */
inline constexpr std::string_view PermitPart = "load-permits";

/**
 * Exchanges load permit messages between the engines of this node and the permit issuer, which may be this node itself. Thread-safe.
 *
 * A lost message only costs time: requests are repeated every second, a granted permit that never arrives expires at the end of its
 * lifetime, and while the issuer does not respond, each node uses an equal share of the budget.
 */
class PermitRunner
{
public:
    /** Receives PermitGranted and PermitWaitEstimated for an engine. Called on any thread, with no lock held. */
    using Handler = std::function<void(const UpstreamId &, const SchedulerEvent &)>;

    /** The references must outlive the runner, @p peers only until stop(). */
    PermitRunner(const NodeId &self, const Settings &settings, const Clock &clock, SharedSnapshot<FleetView> &fleet, Peers &peers);
    ~PermitRunner();

    /** Sets the handler. Must be called before the first requestPermit(). */
    void onAnswer(Handler handler);
    void requestPermit(const UpstreamId &upstream, const RequestPermit &requested);
    void release(const UpstreamId &upstream, const ReleasePermit &released);
    /** Handles a message from another node and returns the response. Errors: BadRequest. */
    Result<std::string> receive(const std::string &message);
    /** Sets the number of nodes in the VM list. */
    void setListedNodeCount(int nodes);
    /** Runs what is due. Must be called every 20 to 100 ms. */
    void tick();
    /** Stops sending messages and calling the handler. */
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
