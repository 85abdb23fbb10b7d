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

// store_rate counts loads in 100 s, so that rates below one a second are whole numbers.
constexpr double StoreRateSeconds = 100;

LoadBudget budgetOf(const Settings &settings)
{
    LoadBudget budget;
    budget.ratePerSecond = static_cast<double>(settings.number("scheduling.store_rate")) / StoreRateSeconds;
    budget.parallel = static_cast<int>(settings.number("scheduling.store_parallel"));
    return budget;
}

// What is left to do once the lock is free.
struct Errand
{
    NodeId to;
    std::string address;
    PermitMessage message;
};
struct Answer
{
    UpstreamId upstream;
    SchedulerEvent event;
};
struct Errands
{
    std::vector<Errand> messages;
    std::vector<Answer> answers;
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
    int listed ABSL_GUARDED_BY(mutex) = 0;
    bool isFleetDue ABSL_GUARDED_BY(mutex) = true;
    bool isStopped ABSL_GUARDED_BY(mutex) = false;

    void takeInFleet(Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void send(const NodeId &to, PermitMessage message, Errands &errands) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void collect(const std::vector<PermitAction> &actions, Time now, Errands &errands) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void giveOut(Time now, Errands &errands) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string answerTo(const PermitMessage &message, Time now, Errands &errands) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    PermitWaitEstimate outlookFor(const PermitRequest &request) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void carryOut(Errands errands);
    void told(const Errand &errand, const Result<std::string> &answer);
    void tellEngine(const PermitWaitEstimate &outlook);
};

void PermitRunner::Private::takeInFleet(Time now)
{
    const auto newest = fleet.get();
    if (newest == nullptr || (newest == view && !isFleetDue)) {
        return;
    }
    view = newest;
    isFleetDue = false;
    std::vector<NodeId> live;
    for (const NodeView &node : view->nodes) {
        live.push_back(node.id);
    }
    client.setFleet(live, listed, now);
    const auto reached = static_cast<double>(live.size());
    issuer.setShare(listed > 0 ? reached / std::max<double>(listed, reached) : 1.0, now);
}

void PermitRunner::Private::send(const NodeId &to, PermitMessage message, Errands &errands)
{
    const NodeView *node = view == nullptr ? nullptr : view->node(to);
    errands.messages.push_back({ to, node == nullptr ? std::string() : node->rpcAddress, std::move(message) });
}

void PermitRunner::Private::collect(const std::vector<PermitAction> &actions, Time now, Errands &errands)
{
    for (const PermitAction &action : actions) {
        if (const auto *arrived = std::get_if<PermitReceived>(&action)) {
            errands.answers.push_back({ arrived->upstream, PermitGranted { arrived->adapter, arrived->expiry } });
            continue;
        }
        const auto &out = std::get<SendToIssuer>(action);
        PermitMessage message = std::visit([](const auto &what) -> PermitMessage { return what; }, out.message);
        if (out.issuer != self) {
            send(out.issuer, std::move(message), errands);
            continue;
        }
        answerTo(message, now, errands);
        if (const auto *request = std::get_if<PermitRequest>(&message); request != nullptr && request->urgency.has_value()) {
            const PermitWaitEstimate outlook = outlookFor(*request);
            errands.answers.push_back({ outlook.name.upstream, PermitWaitEstimated { *outlook.urgency, outlook.wait } });
        }
    }
}

void PermitRunner::Private::giveOut(Time now, Errands &errands)
{
    for (const PermitGrant &grant : issuer.grant(now)) {
        if (grant.name.node == self) {
            collect(client.granted(grant, now), now, errands);
        } else {
            send(grant.name.node, grant, errands);
        }
    }
}

PermitWaitEstimate PermitRunner::Private::outlookFor(const PermitRequest &request) const
{
    return { request.name, request.urgency, issuer.expectedWait(request.urgency) };
}

// Empty where there is nothing to say.
std::string PermitRunner::Private::answerTo(const PermitMessage &message, Time now, Errands &errands)
{
    if (const auto *request = std::get_if<PermitRequest>(&message)) {
        issuer.request(*request, now);
        return request->name.node == self ? std::string() : encodePermitMessage(outlookFor(*request));
    }
    if (const auto *returned = std::get_if<PermitRelease>(&message)) {
        issuer.release(*returned, now);
    } else if (const auto *grant = std::get_if<PermitGrant>(&message)) {
        collect(client.granted(*grant, now), now, errands);
    }
    return {};
}

void PermitRunner::Private::carryOut(Errands errands)
{
    {
        const absl::MutexLock lock(&mutex);
        if (isStopped) {
            return;
        }
    }
    for (const Answer &answer : errands.answers) {
        handler(answer.upstream, answer.event);
    }
    for (Errand &errand : errands.messages) {
        if (errand.address.empty()) {
            told(errand, Error { ErrorKind::PeerUnreachable, "no address of that node is known" });
            continue;
        }
        const std::string address = errand.address;
        const std::string bytes = encodePermitMessage(errand.message);
        peers.sendMessage(address, std::string(PermitPart), bytes,
            [weak = weak_from_this(), errand = std::move(errand)](const Result<std::string> &answer) {
                if (const auto runner = weak.lock()) {
                    runner->told(errand, answer);
                }
            });
    }
}

void PermitRunner::Private::told(const Errand &errand, const Result<std::string> &answer)
{
    {
        const absl::MutexLock lock(&mutex);
        if (isStopped) {
            return;
        }
        // A grant that did not arrive lapses by itself; only the giver's silence changes what this node does.
        if (!std::holds_alternative<PermitGrant>(errand.message) && errand.to == client.issuer()) {
            client.onIssuerReply(answer.isOk(), clock.now());
        }
    }
    if (!answer.isOk()) {
        componentLogger("permits")->debug("Node {} could not be told. {}", errand.to.value(), answer.error().detail);
        return;
    }
    const auto message = decodePermitMessage(answer.value());
    if (message.isOk() && std::holds_alternative<PermitWaitEstimate>(message.value())) {
        tellEngine(std::get<PermitWaitEstimate>(message.value()));
    }
}

void PermitRunner::Private::tellEngine(const PermitWaitEstimate &outlook)
{
    if (outlook.urgency.has_value()) {
        handler(outlook.name.upstream, PermitWaitEstimated { *outlook.urgency, outlook.wait });
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

void PermitRunner::requestPermit(const UpstreamId &upstream, const RequestPermit &wish)
{
    Errands errands;
    {
        const absl::MutexLock lock(&d->mutex);
        const Time now = d->clock.now();
        const PermitRequest request { { d->self, upstream, wish.adapter }, wish.urgency, wish.waiting, wish.waited };
        d->collect(d->client.requestPermit(request, now), now, errands);
        d->giveOut(now, errands);
    }
    d->carryOut(std::move(errands));
}

void PermitRunner::release(const UpstreamId &upstream, const ReleasePermit &returned)
{
    Errands errands;
    {
        const absl::MutexLock lock(&d->mutex);
        const Time now = d->clock.now();
        d->collect(d->client.release({ { d->self, upstream, returned.adapter }, returned.end }, now), now, errands);
        d->giveOut(now, errands);
    }
    d->carryOut(std::move(errands));
}

Result<std::string> PermitRunner::receive(const std::string &message)
{
    const auto decoded = decodePermitMessage(message);
    if (!decoded.isOk()) {
        return decoded.error();
    }
    Errands errands;
    std::string answer;
    {
        const absl::MutexLock lock(&d->mutex);
        const Time now = d->clock.now();
        answer = d->answerTo(decoded.value(), now, errands);
        d->giveOut(now, errands);
    }
    d->carryOut(std::move(errands));
    return answer;
}

void PermitRunner::setListedNodeCount(int nodes)
{
    const absl::MutexLock lock(&d->mutex);
    d->isFleetDue = d->isFleetDue || nodes != d->listed;
    d->listed = nodes;
}

void PermitRunner::tick()
{
    Errands errands;
    {
        const absl::MutexLock lock(&d->mutex);
        const Time now = d->clock.now();
        d->takeInFleet(now);
        d->collect(d->client.tick(now), now, errands);
        d->giveOut(now, errands);
    }
    d->carryOut(std::move(errands));
}

void PermitRunner::stop()
{
    const absl::MutexLock lock(&d->mutex);
    d->isStopped = true;
}

} // namespace ApricotStep
