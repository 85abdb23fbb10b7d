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

/** The part of node RPC that permit messages go to. */
inline constexpr std::string_view PermitPart = "load-permits";

/**
 * Carries load permits between the engines of this node and the giver, which may be this node itself. Thread-safe.
 *
 * A lost message costs time and nothing else: a request is repeated each second, a permit that was given and never arrived lapses after its
 * life, and a giver that does not answer is replaced by an even part of the budget.
 */
class PermitRunner
{
public:
    /** Gets what becomes of an engine's wish, from any thread, with no lock held. */
    using Handler = std::function<void(const UpstreamId &, const SchedulerEvent &)>;

    /** The references must outlive the runner, @p peers only until stop(). */
    PermitRunner(const NodeId &self, const Settings &settings, const Clock &clock, SharedSnapshot<FleetView> &fleet, Peers &peers);
    ~PermitRunner();

    /** Only before the first requestPermit(). */
    void onAnswer(Handler handler);
    void requestPermit(const UpstreamId &upstream, const RequestPermit &requested);
    void release(const UpstreamId &upstream, const ReleasePermit &released);
    /** A message of another node; gives the answer for it. Errors: BadRequest. */
    Result<std::string> receive(const std::string &message);
    /** How many nodes the VM list names. */
    void setListedNodeCount(int nodes);
    /** Lets time pass; every 20 to 100 ms. */
    void tick();
    /** From here on nothing is sent and no answer comes. */
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
