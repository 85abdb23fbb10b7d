#include "main/ownershiprunner.h"

#include "coordination/ownership.h"
#include "coordination/rendezvous.h"
#include "core/result.h"
#include "main/log.h"
#include "protocol/engineapi.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <atomic>
#include <random>

namespace ApricotStep
{

namespace
{

constexpr int OkStatus = 200;
constexpr std::size_t MaxReportBytes = 1U << 20U;
// A report or claim that takes longer is useless, since the lease that it could renew has expired by then.
constexpr Duration CallTimeout = Duration::seconds(2);

OwnershipLimits limitsOf(const Settings &settings, const UpstreamSpec &spec)
{
    OwnershipLimits limits;
    limits.pollInterval = settings.duration("ownership.poll_interval_ms");
    limits.lease =
        std::max(settings.duration("ownership.lease_ms"), settings.duration("ownership.report_lag_ms") + limits.pollInterval * 2);
    limits.dispatchDelay = settings.duration("ownership.dispatch_delay_ms");
    limits.clockMargin = settings.duration("ownership.clock_margin_ms");
    limits.checksFencing = spec.checksFencing;
    return limits;
}

} // namespace

struct OwnershipRunner::Private : std::enable_shared_from_this<Private>
{
    Private(const UpstreamSpec &upstream, const Settings &allSettings, HttpClient &httpClient, const Clock &aClock,
        const OwnershipSource &ownershipSource, Listener schedulerListener)
        : spec(upstream)
        , settings(allSettings)
        , client(httpClient)
        , clock(aClock)
        , source(ownershipSource)
        , listener(std::move(schedulerListener))
        , log(componentLogger("ownership"))
        , ownership(limitsOf(allSettings, upstream), std::random_device()())
    {
    }

    const UpstreamSpec spec;
    const Settings &settings;
    HttpClient &client;
    const Clock &clock;
    const OwnershipSource source;
    const Listener listener;
    Logger log;
    std::atomic<bool> isOwner { false };
    std::atomic<bool> isLeaving { false };
    std::atomic<bool> isUnresponsive { false };
    /** Used to determine the owner once per view. Accessed only by the thread that calls tick(). */
    std::shared_ptr<const FleetView> lastView;
    mutable absl::Mutex mutex;
    UpstreamOwnership ownership ABSL_GUARDED_BY(mutex);

    void handle(const OwnershipEvent &event);
    void carryOut(const RequestReport &action);
    void carryOut(const Claim &action);
    void carryOut(const EvictionRuleChanged &action);
    void tick();
    void onReport(Time requestedAt, const CallResult &result, const std::string &body);
    HttpCall call(std::string_view path) const;
};

void OwnershipRunner::Private::handle(const OwnershipEvent &event)
{
    std::vector<OwnershipAction> actions;
    {
        const absl::MutexLock lock(&mutex);
        actions = ownership.handle(event, clock.now());
    }
    for (const OwnershipAction &action : actions) {
        std::visit([this](const auto &what) { carryOut(what); }, action);
    }
}

void OwnershipRunner::Private::tick()
{
    const auto view = source.fleet.get();
    if (view == nullptr) {
        return;
    }
    if (view != lastView) {
        lastView = view;
        const NodeView *owner = ownerOf(spec.id, spec.zone, view->nodes);
        const bool isNowOwner = owner != nullptr && owner->id == source.self;
        isLeaving = view->leaving.contains(spec.id);
        if (isNowOwner != isOwner.exchange(isNowOwner)) {
            log->info("{} {}.", isNowOwner ? "Taking over" : "Gave up", spec.id.value());
        }
    }
    handle(OwnerView { isOwner, source.isFresh(), view->isNodeMissing, source.tokenLowBits() });
}

HttpCall OwnershipRunner::Private::call(std::string_view path) const
{
    HttpCall call;
    call.url = "http://" + spec.address + std::string(path);
    call.connectTimeout = std::min(settings.duration("upstreams.connect_timeout_ms"), CallTimeout);
    call.totalTimeout = CallTimeout;
    call.maxBodyBytes = MaxReportBytes;
    return call;
}

void OwnershipRunner::Private::carryOut(const RequestReport &)
{
    const Time requestedAt = clock.now();
    auto body = std::make_shared<std::string>();
    HttpCall report = call(EngineReportPath);
    report.onData = [body](std::string_view data) {
        body->append(data);
        return true;
    };
    report.onDone = [self = shared_from_this(), body, requestedAt](
                        const CallResult &result) { self->onReport(requestedAt, result, *body); };
    client.start(std::move(report));
}

void OwnershipRunner::Private::onReport(Time requestedAt, const CallResult &result, const std::string &body)
{
    const bool isAnswered = result.state == AttemptState::Answered && result.status == OkStatus;
    auto report = isAnswered ? parseEngineLoadReport(body) : Result<EngineLoadReport>(Error { ErrorKind::UpstreamUnreachable, {} });
    if (!report.isOk()) {
        if (!isUnresponsive.exchange(true)) {
            log->warn("Reading the load report of {} failed. status={} {}", spec.id.value(), result.status, report.error().detail);
        }
        handle(ReportFailed {});
        return;
    }
    isUnresponsive = false;
    const EngineLoadReport &content = report.value();
    const Time takenAt = requestedAt - settings.duration("ownership.report_lag_ms");
    handle(OwnershipReport { takenAt, content.fencingToken, content.loaded, content.inUse });
    listener(LoadReport { takenAt, content.loaded, content.inUse, content.running, content.waiting });
}

void OwnershipRunner::Private::carryOut(const Claim &action)
{
    HttpCall claim = call(EngineUnloadPath);
    claim.method = "POST";
    claim.headers = { { "Content-Type", "application/json" }, { std::string(FencingHeader), std::to_string(action.token.value()) } };
    claim.body = engineClaimBody();
    auto body = std::make_shared<std::string>();
    claim.onData = [body](std::string_view data) {
        body->append(data);
        return true;
    };
    claim.onDone = [self = shared_from_this(), body, token = action.token](const CallResult &result) {
        if (result.state != AttemptState::Answered) {
            self->handle(ClaimFailed {});
        } else if (isFencedAnswer(result.status, *body)) {
            self->handle(OrderFenced {});
        } else {
            // The engine may answer that no such adapter is loaded; it has recorded the token nevertheless.
            self->log->info("Claimed {} with fencing token {}.", self->spec.id.value(), token.value());
            self->handle(ClaimAccepted { token });
        }
    };
    client.start(std::move(claim));
}

void OwnershipRunner::Private::carryOut(const EvictionRuleChanged &action)
{
    listener(action.rule);
}

OwnershipRunner::OwnershipRunner(const UpstreamSpec &spec, const Settings &settings, HttpClient &client, const Clock &clock,
    const OwnershipSource &source, Listener listener)
    : d(std::make_shared<Private>(spec, settings, client, clock, source, std::move(listener)))
{
}

OwnershipRunner::~OwnershipRunner() = default;

void OwnershipRunner::tick()
{
    d->tick();
}

bool OwnershipRunner::isOwner() const
{
    return d->isOwner;
}

bool OwnershipRunner::isLeaving() const
{
    return d->isLeaving;
}

bool OwnershipRunner::isUnresponsive() const
{
    return d->isUnresponsive;
}

bool OwnershipRunner::mayDispatch() const
{
    const auto view = d->source.fleet.get();
    if (view == nullptr || view->leaving.contains(d->spec.id)) {
        return false;
    }
    const absl::MutexLock lock(&d->mutex);
    return d->ownership.mayDispatch(d->clock.now());
}

std::optional<FencingToken> OwnershipRunner::loadToken() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->ownership.loadToken(d->clock.now());
}

std::optional<FencingToken> OwnershipRunner::evictToken(const AdapterKey &adapter) const
{
    const absl::MutexLock lock(&d->mutex);
    return d->ownership.evictToken(adapter, d->clock.now());
}

void OwnershipRunner::onOrderFenced()
{
    d->handle(OrderFenced {});
}

} // namespace ApricotStep
