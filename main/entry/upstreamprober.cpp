#include "main/entry/upstreamprober.h"

#include "core/result.h"
#include "platform/enginecalls.h"

#include <string>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr EventLog::Severity Important = EventLog::Severity::Important;
constexpr Duration CheckInterval { 100 };
// Longer than an engine takes to answer on a busy network, and short against the silence before it is asked.
constexpr Duration ProbeTimeout { 300 };
constexpr Duration MaxDelay { 100 };
constexpr std::size_t MaxReportBytes = 1U << 20U;

// A reset or refused connection shows a host that lives as well; whether the process has ended is found out otherwise.
bool isSignOfLife(const CallResult &result)
{
    const bool isTimeout = result.error == ErrorKind::UpstreamTimeout || result.error == ErrorKind::UpstreamUnreachable;
    return result.state == AttemptState::Answered || result.isConnectionRefused || !isTimeout;
}

} // namespace

struct UpstreamProber::Private : std::enable_shared_from_this<UpstreamProber::Private>
{
    IoLoop &loop;
    EventLog &log;
    EntryMetrics &metrics;
    ClusterState &clusterState;
    Callbacks callbacks;
    IndirectProbes probes;

    Private(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, const ZoneId &ownZone, Callbacks callbacks)
        : loop(loop)
        , log(log)
        , metrics(metrics)
        , clusterState(clusterState)
        , callbacks(std::move(callbacks))
        , probes(IndirectProbeLimits {}, ownZone)
    {
    }

    // Not the loop's time: a process that was suspended must not take its own pause for silence of upstreams.
    Time now() const
    {
        return loop.clock().now();
    }
    void checkLater();
    void check();
    void execute(const std::vector<ProbeAction> &actions);
    void probe(const UpstreamStart &upstream);
    void onProbed(const ProbeResult &result);
    const UpstreamRecord *probeable(const UpstreamStart &upstream) const;
};

void UpstreamProber::Private::checkLater()
{
    loop.after(CheckInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->check();
            self->checkLater();
        }
    });
}

void UpstreamProber::Private::check()
{
    std::vector<WaitingAttempt> attempts = callbacks.attempts();
    std::erase_if(attempts, [this](const WaitingAttempt &attempt) { return probeable(attempt.upstream) == nullptr; });
    execute(probes.onAttempts(attempts, now()));
}

// Only engines answer without a free place, so only of them does silence tell anything. One that wants few requests is left alone.
const UpstreamRecord *UpstreamProber::Private::probeable(const UpstreamStart &upstream) const
{
    const UpstreamRecord *record = clusterState.upstreams.usable(upstream.upstream);
    const bool isSame = record != nullptr && record->startedAt == upstream.startedAt;
    const bool isEngine = isSame && clusterState.engineSpec(record->service) != nullptr;
    return isEngine && !clusterState.isInNeed(*record, now()) && clusterState.nextSendAt(*record, now()) <= now() ? record : nullptr;
}

void UpstreamProber::Private::execute(const std::vector<ProbeAction> &actions)
{
    for (const ProbeAction &action : actions) {
        std::visit(Overloaded {
                       [this](const ProbeUpstream &probed) { probe(probed.upstream); },
                       [this](const RequestProbes &request) { callbacks.requestProbes(request.upstream, request.peers); },
                       [this](const TellProbeResult &tell) { callbacks.tellResult(tell.peer, tell.result); },
                       [this](const UpstreamIsSilent &silent) {
                           metrics.upstreamProbed("silent");
                           callbacks.onSilent(silent.upstream);
                       },
                   },
            action);
    }
}

void UpstreamProber::Private::probe(const UpstreamStart &upstream)
{
    const UpstreamRecord *record = probeable(upstream);
    if (record == nullptr) {
        onProbed(ProbeResult { upstream, true });
        return;
    }
    HttpCall call;
    call.url = "http://" + record->address + std::string(Platform::reportPath());
    call.headers = Platform::reportHeaders(record->id);
    call.connectTimeout = ProbeTimeout;
    call.totalTimeout = ProbeTimeout;
    call.maxBodyBytes = MaxReportBytes;
    call.isSentOnce = true;
    auto hasHead = std::make_shared<bool>(false);
    call.onHead = [hasHead](int, const HttpHeaders &) { *hasHead = true; };
    call.onDone = [weak = weak_from_this(), upstream, hasHead, startedAt = now()](const CallResult &result) {
        if (const auto self = weak.lock()) {
            // A node that got no processor time may have an answer that it has not read.
            const bool isLate = self->now() - startedAt > ProbeTimeout + MaxDelay;
            self->onProbed(ProbeResult { upstream, *hasHead || isLate || isSignOfLife(result) });
        }
    };
    loop.client().start(std::move(call));
}

void UpstreamProber::Private::onProbed(const ProbeResult &result)
{
    metrics.upstreamProbed(result.isAnswered ? "answered" : "unanswered");
    if (!result.isAnswered) {
        log.write(Important, "upstream", "no_sign_of_life",
            { { "upstream", result.upstream.upstream.value() }, { "startedAt", result.upstream.startedAt } });
    }
    execute(probes.onProbed(result, callbacks.peers(), now()));
}

UpstreamProber::UpstreamProber(
    IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, const ZoneId &ownZone, Callbacks callbacks)
    : d(std::make_shared<Private>(loop, log, metrics, clusterState, ownZone, std::move(callbacks)))
{
    d->checkLater();
}

UpstreamProber::~UpstreamProber() = default;

void UpstreamProber::onProbeRequests(const NodeId &from, const std::vector<UpstreamStart> &upstreams)
{
    for (const UpstreamStart &upstream : upstreams) {
        // A node that does not know this start, or must not ask it, has nothing to tell.
        if (d->probeable(upstream) != nullptr) {
            d->execute(d->probes.onProbeRequest(from, upstream, d->now()));
        }
    }
}

void UpstreamProber::onPeerResults(const NodeId &from, const std::vector<ProbeResult> &results)
{
    for (const ProbeResult &result : results) {
        d->execute(d->probes.onPeerResult(from, result, d->now()));
    }
}

} // namespace ApricotStep
