#include "main/permitrunner.h"

#include "main/log.h"
#include "protocol/permitcodec.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

// The unit of store_rate is loads per 100 s, so that rates below one per second are whole numbers.
constexpr double StoreRateSeconds = 100;

LoadBudget budgetOf(const Settings &settings)
{
    LoadBudget budget;
    budget.ratePerSecond = static_cast<double>(settings.number("scheduling.store_rate")) / StoreRateSeconds;
    budget.parallel = static_cast<int>(settings.number("scheduling.store_parallel"));
    return budget;
}

// Messages to send and events to deliver after the lock is released.
struct QueuedMessage
{
    NodeId to;
    std::string address;
    PermitMessage message;
};
struct EngineEvent
{
    UpstreamId upstream;
    SchedulerEvent event;
};
struct PermitEffects
{
    std::vector<QueuedMessage> messages;
    std::vector<EngineEvent> engineEvents;
};

} // namespace

struct PermitRunner::Private : std::enable_shared_from_this<Private>
{
    Private(NodeId aSelf, const Settings &settings, const Clock &aClock, SharedSnapshot<FleetView> &fleets, Peers &allPeers)
        : self(std::move(aSelf))
        , clock(aClock)
        , fleet(fleets)
        , peers(allPeers)
        , client(self, budgetOf(settings))
        , issuer(budgetOf(settings))
    {
    }

    const NodeId self;
    const Clock &clock;
    SharedSnapshot<FleetView> &fleet;
    Peers &peers;
    Handler handler;
    absl::Mutex mutex;
    PermitClient client ABSL_GUARDED_BY(mutex);
    PermitIssuer issuer ABSL_GUARDED_BY(mutex);
    std::shared_ptr<const FleetView> view ABSL_GUARDED_BY(mutex);
    int listedNodeCount ABSL_GUARDED_BY(mutex) = 0;
    bool isFleetStale ABSL_GUARDED_BY(mutex) = true;
    bool isStopped ABSL_GUARDED_BY(mutex) = false;

    void updateFleet(Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void send(const NodeId &to, PermitMessage message, PermitEffects &effects) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void collect(const std::vector<PermitAction> &actions, Time now, PermitEffects &effects) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void sendGrants(Time now, PermitEffects &effects) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string answerTo(const PermitMessage &message, Time now, PermitEffects &effects) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    PermitWaitEstimate estimateWait(const PermitRequest &request) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void carryOut(PermitEffects effects);
    void onSendResult(const QueuedMessage &queued, const Result<std::string> &answer);
    void notifyEngine(const PermitWaitEstimate &estimate);
};

void PermitRunner::Private::updateFleet(Time now)
{
    const auto newest = fleet.get();
    if (newest == nullptr || (newest == view && !isFleetStale)) {
        return;
    }
    view = newest;
    isFleetStale = false;
    std::vector<NodeId> live;
    for (const NodeView &node : view->nodes) {
        live.push_back(node.id);
    }
    client.setFleet(live, listedNodeCount, now);
    const auto liveCount = static_cast<double>(live.size());
    issuer.setShare(listedNodeCount > 0 ? liveCount / std::max<double>(listedNodeCount, liveCount) : 1.0, now);
}

void PermitRunner::Private::send(const NodeId &to, PermitMessage message, PermitEffects &effects)
{
    const NodeView *node = view == nullptr ? nullptr : view->node(to);
    effects.messages.push_back({ to, node == nullptr ? std::string() : node->rpcAddress, std::move(message) });
}

void PermitRunner::Private::collect(const std::vector<PermitAction> &actions, Time now, PermitEffects &effects)
{
    for (const PermitAction &action : actions) {
        if (const auto *received = std::get_if<PermitReceived>(&action)) {
            effects.engineEvents.push_back({ received->upstream, PermitGranted { received->adapter, received->expiry } });
            continue;
        }
        const auto &toIssuer = std::get<SendToIssuer>(action);
        PermitMessage message = std::visit([](const auto &what) -> PermitMessage { return what; }, toIssuer.message);
        if (toIssuer.issuer != self) {
            send(toIssuer.issuer, std::move(message), effects);
            continue;
        }
        answerTo(message, now, effects);
        if (const auto *request = std::get_if<PermitRequest>(&message); request != nullptr && request->urgency.has_value()) {
            const PermitWaitEstimate estimate = estimateWait(*request);
            effects.engineEvents.push_back({ estimate.name.upstream, PermitWaitEstimated { *estimate.urgency, estimate.wait } });
        }
    }
}

void PermitRunner::Private::sendGrants(Time now, PermitEffects &effects)
{
    for (const PermitGrant &grant : issuer.grant(now)) {
        if (grant.name.node == self) {
            collect(client.granted(grant, now), now, effects);
        } else {
            send(grant.name.node, grant, effects);
        }
    }
}

PermitWaitEstimate PermitRunner::Private::estimateWait(const PermitRequest &request) const
{
    return { request.name, request.urgency, issuer.expectedWait(request.urgency) };
}

// Returns an empty string if the message needs no response.
std::string PermitRunner::Private::answerTo(const PermitMessage &message, Time now, PermitEffects &effects)
{
    if (const auto *request = std::get_if<PermitRequest>(&message)) {
        issuer.request(*request, now);
        return request->name.node == self ? std::string() : encodePermitMessage(estimateWait(*request));
    }
    if (const auto *released = std::get_if<PermitRelease>(&message)) {
        issuer.release(*released, now);
    } else if (const auto *grant = std::get_if<PermitGrant>(&message)) {
        collect(client.granted(*grant, now), now, effects);
    }
    return {};
}

void PermitRunner::Private::carryOut(PermitEffects effects)
{
    {
        const absl::MutexLock lock(&mutex);
        if (isStopped) {
            return;
        }
    }
    for (const EngineEvent &answer : effects.engineEvents) {
        handler(answer.upstream, answer.event);
    }
    for (QueuedMessage &queued : effects.messages) {
        if (queued.address.empty()) {
            onSendResult(queued, Error { ErrorKind::PeerUnreachable, "no address of that node is known" });
            continue;
        }
        const std::string address = queued.address;
        const std::string bytes = encodePermitMessage(queued.message);
        peers.sendMessage(address, std::string(PermitPart), bytes,
            [weak = weak_from_this(), queued = std::move(queued)](const Result<std::string> &answer) {
                if (const auto runner = weak.lock()) {
                    runner->onSendResult(queued, answer);
                }
            });
    }
}

void PermitRunner::Private::onSendResult(const QueuedMessage &queued, const Result<std::string> &answer)
{
    {
        const absl::MutexLock lock(&mutex);
        if (isStopped) {
            return;
        }
        // A grant that did not arrive expires by itself. Only whether the issuer responds changes what this node does.
        if (!std::holds_alternative<PermitGrant>(queued.message) && queued.to == client.issuer()) {
            client.onIssuerReply(answer.isOk(), clock.now());
        }
    }
    if (!answer.isOk()) {
        componentLogger("permits")->debug("Sending a permit message to node {} failed. {}", queued.to.value(), answer.error().detail);
        return;
    }
    const auto message = decodePermitMessage(answer.value());
    if (message.isOk() && std::holds_alternative<PermitWaitEstimate>(message.value())) {
        notifyEngine(std::get<PermitWaitEstimate>(message.value()));
    }
}

void PermitRunner::Private::notifyEngine(const PermitWaitEstimate &estimate)
{
    if (estimate.urgency.has_value()) {
        handler(estimate.name.upstream, PermitWaitEstimated { *estimate.urgency, estimate.wait });
    }
}

PermitRunner::PermitRunner(const NodeId &self, const Settings &settings, const Clock &clock, SharedSnapshot<FleetView> &fleet, Peers &peers)
    : d(std::make_shared<Private>(self, settings, clock, fleet, peers))
{
}

PermitRunner::~PermitRunner()
{
    stop();
}

void PermitRunner::onAnswer(Handler handler)
{
    d->handler = std::move(handler);
}

void PermitRunner::requestPermit(const UpstreamId &upstream, const RequestPermit &requested)
{
    PermitEffects effects;
    {
        const absl::MutexLock lock(&d->mutex);
        const Time now = d->clock.now();
        const PermitRequest request { { d->self, upstream, requested.adapter }, requested.urgency, requested.waiting, requested.waited };
        d->collect(d->client.requestPermit(request, now), now, effects);
        d->sendGrants(now, effects);
    }
    d->carryOut(std::move(effects));
}

void PermitRunner::release(const UpstreamId &upstream, const ReleasePermit &released)
{
    PermitEffects effects;
    {
        const absl::MutexLock lock(&d->mutex);
        const Time now = d->clock.now();
        d->collect(d->client.release({ { d->self, upstream, released.adapter }, released.end }, now), now, effects);
        d->sendGrants(now, effects);
    }
    d->carryOut(std::move(effects));
}

Result<std::string> PermitRunner::receive(const std::string &message)
{
    const auto decoded = decodePermitMessage(message);
    if (!decoded.isOk()) {
        return decoded.error();
    }
    PermitEffects effects;
    std::string answer;
    {
        const absl::MutexLock lock(&d->mutex);
        const Time now = d->clock.now();
        answer = d->answerTo(decoded.value(), now, effects);
        d->sendGrants(now, effects);
    }
    d->carryOut(std::move(effects));
    return answer;
}

void PermitRunner::setListedNodeCount(int nodes)
{
    const absl::MutexLock lock(&d->mutex);
    d->isFleetStale = d->isFleetStale || nodes != d->listedNodeCount;
    d->listedNodeCount = nodes;
}

void PermitRunner::tick()
{
    PermitEffects effects;
    {
        const absl::MutexLock lock(&d->mutex);
        const Time now = d->clock.now();
        d->updateFleet(now);
        d->collect(d->client.tick(now), now, effects);
        d->sendGrants(now, effects);
    }
    d->carryOut(std::move(effects));
}

void PermitRunner::stop()
{
    const absl::MutexLock lock(&d->mutex);
    d->isStopped = true;
}

} // namespace ApricotStep
