#include "main/callerfrontend.h"

#include "coordination/rendezvous.h"
#include "main/engineplacer.h"
#include "main/log.h"
#include "main/logratelimiter.h"
#include "protocol/callerapi.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/numbers.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <array>
#include <atomic>

namespace ApricotStep
{

namespace
{

constexpr std::string_view ServicePrefix = "/svc/";
constexpr std::size_t MaxModelsListed = 1000;
constexpr std::size_t MaxAddresses = 4;
constexpr int DefaultTokens = 256;
constexpr std::array<std::string_view, PriorityCount> DeadlineSettings { "deadlines.urgent_ms", "deadlines.standard_ms",
    "deadlines.patient_ms" };
constexpr std::int64_t MaxDeadlineMs = 86'400'000;

// A forwarded request may name an adapter version that is only in the newer configuration of the forwarding node. The caller made no
// mistake then, so the error is reported as not ready.
Error asNotReady(const Error &error)
{
    if (error.kind != ErrorKind::UnknownSelector) {
        return error;
    }
    return { ErrorKind::NotReady, "The configuration version that has this adapter is not active on this node yet. " + error.detail };
}

void respondJson(HttpExchange &exchange, std::string body)
{
    exchange.respond(200, { { "Content-Type", "application/json" } }, std::move(body));
}

} // namespace

struct CallerFrontend::Private final : CompletionRouter
{
    explicit Private(const FrontendContext &aContext)
        : context(aContext)
        , placer(aContext.self, aContext.zone, aContext.clock, aContext.health, aContext.incarnation.value())
        , log(componentLogger("caller"))
        , forwarder(aContext.peers, aContext.metrics)
    {
    }

    FrontendContext context;
    EnginePlacer placer;
    Logger log;
    LogRateLimiter logRateLimiter;
    Forwarder forwarder;
    std::atomic<std::uint64_t> counter { 1 };
    std::atomic<std::int64_t> lingerUntilMs { Time::never().milliseconds() };
    std::atomic<bool> isDraining { false };
    // Accessed only by the thread that calls tick().
    std::shared_ptr<const Catalog> lastCatalog;
    std::shared_ptr<const FleetView> lastFleet;
    mutable absl::Mutex mutex;
    absl::flat_hash_map<UpstreamId, std::shared_ptr<EngineRunner>> engines ABSL_GUARDED_BY(mutex);

    std::string requestId(RequestId id) const;
    void refuse(HttpExchange &exchange, const Error &error, const std::string &id, const std::string &address = {});
    std::shared_ptr<EngineRunner> engine(const UpstreamSpec &spec);
    void createOwnedRunners();
    int depthOf(const UpstreamId &id) const;
    std::optional<Candidate> choose(const PlacementRequest &request, const Placement &placement);
    bool hasOther(const CompletionJob &job, const UpstreamId &failed) override;
    void routeToOther(CompletionJob job) override;
    Result<WorkItem> workItem(const HttpRequest &request, const CompletionRequest &completion, RequestId id) const;
    void completion(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange, int hops, const Catalog &catalog,
        const std::shared_ptr<const Placement> &placement);
    bool isClosed() const;
    bool runLocally(CompletionJob &job, bool isForwarded, const Placement &placement);
    void forwardToOwner(CompletionJob job, const HttpRequest &request, const std::shared_ptr<const Placement> &placement,
        const std::optional<Candidate> &first);
    void address(const HttpRequest &request, HttpExchange &exchange, const Catalog &catalog, const Placement &placement);
    void service(HttpRequest request, const std::shared_ptr<HttpExchange> &exchange, int hops,
        const std::shared_ptr<const Catalog> &catalog, const std::shared_ptr<const FleetView> &fleet);
    void forwardKeyed(const ServiceJob &job, const IdempotencyKey &key);
};

std::string CallerFrontend::Private::requestId(RequestId id) const
{
    return context.self.value() + "-" + std::to_string(context.incarnation.value()) + "-" + std::to_string(id.value());
}

void CallerFrontend::Private::refuse(HttpExchange &exchange, const Error &error, const std::string &id, const std::string &address)
{
    ErrorDetails details;
    details.detail = error.detail;
    details.requestId = id;
    details.address = address;
    const std::string_view code = errorAnswer(error.kind).code;
    if (const auto suppressedCount = logRateLimiter.admit(std::string(code), context.clock.now())) {
        log->info("[{}] outcome={} detail='{}'{}", id, code, error.detail,
            *suppressedCount == 0 ? std::string() : " left_out=" + std::to_string(*suppressedCount));
    }
    respondError(exchange, error.kind, details);
}

std::shared_ptr<EngineRunner> CallerFrontend::Private::engine(const UpstreamSpec &spec)
{
    const absl::MutexLock lock(&mutex);
    auto &runner = engines[spec.id];
    if (runner == nullptr) {
        runner = std::make_shared<EngineRunner>(spec,
            EngineContext { context.settings, context.client, context.clock, context.metrics, context.health, *this, context.ownership,
                context.permits });
    }
    return runner;
}

// Creating the runner starts claiming the ownership of an engine. If that began with the first request, the request would have to wait.
void CallerFrontend::Private::createOwnedRunners()
{
    const auto catalog = context.catalog.get();
    const auto fleet = context.fleet.get();
    if (context.ownership == nullptr || catalog == nullptr || fleet == nullptr || (catalog == lastCatalog && fleet == lastFleet)) {
        return;
    }
    lastCatalog = catalog;
    lastFleet = fleet;
    for (const UpstreamSpec &spec : catalog->upstreams()) {
        const NodeView *owner = spec.kind == UpstreamKind::Engine ? ownerOf(spec.id, spec.zone, fleet->nodes) : nullptr;
        if (owner != nullptr && owner->id == context.self) {
            engine(spec);
        }
    }
}

int CallerFrontend::Private::depthOf(const UpstreamId &id) const
{
    std::shared_ptr<EngineRunner> runner;
    {
        const absl::MutexLock lock(&mutex);
        const auto at = engines.find(id);
        runner = at == engines.end() ? nullptr : at->second;
    }
    return runner == nullptr ? 0 : runner->depth();
}

std::optional<Candidate> CallerFrontend::Private::choose(const PlacementRequest &request, const Placement &placement)
{
    return placer.choose(request, placement, [this](const UpstreamId &id) { return depthOf(id); });
}

bool CallerFrontend::Private::hasOther(const CompletionJob &job, const UpstreamId &failed)
{
    const auto placement = placer.placement(context.catalog.get(), context.fleet.get());
    std::vector<UpstreamId> tried = job.tried;
    tried.push_back(failed);
    return choose({ job.work.adapter, std::move(tried), false, job.hops == 0 }, *placement).has_value();
}

void CallerFrontend::Private::routeToOther(CompletionJob job)
{
    const auto placement = placer.placement(context.catalog.get(), context.fleet.get());
    const auto place = choose({ job.work.adapter, job.tried, false, job.hops == 0 }, *placement);
    if (place && place->owner->id == context.self) {
        engine(*place->upstream)->submit(std::move(job));
        return;
    }
    // The body names the resolved adapter version, so that the other node cannot resolve a different one.
    HttpRequest request;
    request.method = "POST";
    request.path = job.path;
    request.headers["x-priority"] = PriorityNames[static_cast<std::size_t>(job.work.priority)];
    request.body = job.body;
    forwardToOwner(std::move(job), request, placement, place);
}

Result<WorkItem> CallerFrontend::Private::workItem(const HttpRequest &request, const CompletionRequest &completion, RequestId id) const
{
    WorkItem work;
    work.id = id;
    work.arrival = context.clock.now();
    const std::string priority = request.header("x-priority");
    if (!priority.empty()) {
        const auto parsed = parsePriority(priority);
        if (!parsed.isOk()) {
            return parsed.error();
        }
        work.priority = parsed.value();
    }
    Duration allowed = context.settings.duration(DeadlineSettings[static_cast<std::size_t>(work.priority)]);
    const std::string deadline = request.header("x-deadline-ms");
    if (!deadline.empty()) {
        std::int64_t milliseconds = 0;
        if (!absl::SimpleAtoi(deadline, &milliseconds) || milliseconds < 1 || milliseconds > MaxDeadlineMs) {
            return Error { ErrorKind::BadRequest, "X-Deadline-Ms must be a whole number from 1 to 86400000" };
        }
        allowed = Duration(milliseconds);
    }
    work.deadline = work.arrival + allowed;
    const std::string caller = request.header("x-caller-id");
    work.caller = CallerId(!caller.empty() ? caller : !completion.user.empty() ? completion.user : request.peer);
    work.tokens = completion.maxTokens > 0 ? completion.maxTokens : DefaultTokens;
    return work;
}

bool CallerFrontend::Private::isClosed() const
{
    return context.clock.now().milliseconds() > lingerUntilMs;
}

bool CallerFrontend::Private::runLocally(CompletionJob &job, bool isForwarded, const Placement &placement)
{
    if (isClosed()) {
        return false;
    }
    const auto place = choose({ job.work.adapter, job.tried, isForwarded }, placement);
    if (!place || place->owner->id != context.self) {
        return false;
    }
    if (job.inProgress == nullptr) {
        job.inProgress = placer.begin(job.work.adapter);
    }
    engine(*place->upstream)->submit(std::move(job));
    return true;
}

// Tries the owner of @p first and then the owners of the adapter's other engines, best first. If none can be reached, so that nothing was
// sent, an engine of this node may still serve the request.
void CallerFrontend::Private::forwardToOwner(
    CompletionJob job, const HttpRequest &request, const std::shared_ptr<const Placement> &placement, const std::optional<Candidate> &first)
{
    ForwardJob forward;
    if (first && first->owner->id != context.self) {
        forward.targets.push_back(*first->owner);
    }
    for (const Candidate &place : placement->candidates(job.work.adapter)) {
        const auto isSame = [&](const NodeView &target) { return target.id == place.owner->id; };
        if (place.owner->id != context.self && std::none_of(forward.targets.begin(), forward.targets.end(), isSame)) {
            forward.targets.push_back(*place.owner);
        }
    }
    const std::string address = forward.targets.empty() ? std::string() : forward.targets.front().callerAddress;
    forward.request = forwardedRequest(request, job.work, context.clock.now());
    // The forwarded request names the adapter version that was resolved here. If it kept its selector, the owner would resolve it again,
    // possibly with an older configuration, and the caller would get an answer from an adapter version that it did not ask for.
    forward.request.body = job.body;
    forward.hops = job.hops;
    forward.exchange = job.exchange;
    forward.requestId = job.requestId;
    forward.onNotForwarded = [this, address, placement, job = std::move(job)](const Error &error) {
        CompletionJob localJob = job;
        if (runLocally(localJob, true, *placement)) {
            return;
        }
        const ErrorKind kind = error.kind == ErrorKind::TooManyHops ? ErrorKind::TooManyHops
            : isClosed()                                            ? ErrorKind::Draining
            : address.empty()                                       ? ErrorKind::NoUpstream
                                                                    : ErrorKind::WrongNode;
        context.metrics.completionFailed(job.work.priority, kind);
        refuse(*job.exchange, { kind, error.detail }, job.requestId, address);
    };
    forwarder.forward(std::move(forward));
}

void CallerFrontend::Private::completion(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange, int hops,
    const Catalog &catalog, const std::shared_ptr<const Placement> &placement)
{
    const RequestId id(counter.fetch_add(1));
    const std::string idText = requestId(id);
    const auto parsed = parseCompletionRequest(request.body);
    if (!parsed.isOk()) {
        refuse(*exchange, parsed.error(), idText);
        return;
    }
    const auto adapter = catalog.resolve(parsed.value().selector);
    if (!adapter.isOk()) {
        refuse(*exchange, hops > 0 ? asNotReady(adapter.error()) : adapter.error(), idText);
        return;
    }
    auto work = workItem(request, parsed.value(), id);
    if (!work.isOk()) {
        refuse(*exchange, work.error(), idText);
        return;
    }
    work.value().adapter = adapter.value();
    if (placement->candidates(adapter.value()).empty()) {
        context.metrics.completionFailed(work.value().priority, ErrorKind::NoUpstream);
        refuse(*exchange, { ErrorKind::NoUpstream, {} }, idText);
        return;
    }
    CompletionJob job;
    job.work = work.value();
    job.path = request.path;
    job.body = withModel(request.body, adapter.value());
    job.isStream = parsed.value().isStream;
    job.headers = { { "X-Adapter", adapter.value().name() }, { "X-Config-Version", std::to_string(catalog.version().value()) },
        { "X-Request-Id", idText } };
    job.requestId = idText;
    job.exchange = exchange;
    job.hops = hops;
    // The node that owns the preferred engine counts each request as demand wherever it runs, so that spreading requests over the engines
    // of other nodes does not hide the demand.
    if (placement->candidates(adapter.value()).front().owner->id == context.self) {
        job.inProgress = placer.begin(adapter.value());
    }
    const auto place = isClosed() ? std::nullopt : choose({ adapter.value(), {}, hops > 0, hops == 0 }, *placement);
    if (place && place->owner->id == context.self) {
        engine(*place->upstream)->submit(std::move(job));
    } else {
        forwardToOwner(std::move(job), request, placement, place);
    }
}

void CallerFrontend::Private::address(
    const HttpRequest &request, HttpExchange &exchange, const Catalog &catalog, const Placement &placement)
{
    const std::string id = requestId(RequestId(counter.fetch_add(1)));
    const auto adapter = catalog.resolve(request.parameter("model"));
    if (!adapter.isOk()) {
        refuse(exchange, adapter.error(), id);
        return;
    }
    const bool isExplained = request.parameter("explain") == "1";
    AddressAnswer answer;
    answer.adapter = adapter.value();
    answer.version = catalog.version();
    answer.keepFor = context.settings.duration("callers.address_keep_ms");
    for (const Candidate &candidate : placement.candidates(adapter.value())) {
        const NodeView &owner = *candidate.owner;
        if (isExplained) {
            answer.candidates.push_back({ candidate.upstream->id, owner.id });
        }
        const bool isListed =
            std::any_of(answer.choices.begin(), answer.choices.end(), [&](const auto &choice) { return choice.node == owner.id; });
        if (!isListed && !(isDraining && owner.id == context.self) && answer.choices.size() < MaxAddresses) {
            answer.choices.push_back({ owner.id, owner.zone, owner.callerAddress });
        }
    }
    if (answer.choices.empty()) {
        refuse(exchange, { ErrorKind::NoUpstream, {} }, id);
        return;
    }
    if (request.parameter("once") == "1") {
        answer.key = context.services.oneTimeRequests().mintKey();
    }
    respondJson(exchange, addressBody(answer));
}

// Tries the successors of the incarnation that minted the key, then its node. A node that cannot be reached may have run the request, so
// without an answer the outcome stays unknown.
void CallerFrontend::Private::forwardKeyed(const ServiceJob &job, const IdempotencyKey &key)
{
    ForwardJob forward;
    std::vector<NodeId> nodes = context.services.oneTimeRequests().successors(key);
    nodes.push_back(key.node);
    for (const NodeId &id : nodes) {
        const NodeView *node = id == context.self ? nullptr : job.fleet->node(id);
        if (node != nullptr) {
            forward.targets.push_back(*node);
        }
    }
    if (forward.targets.empty()) {
        refuse(*job.exchange, { ErrorKind::OutcomeUnknown, "the node that minted this key is gone" }, job.requestId);
        return;
    }
    forward.request = job.request;
    forward.hops = job.hops;
    forward.exchange = job.exchange;
    forward.requestId = job.requestId;
    forward.onNotForwarded = [this, exchange = job.exchange, id = job.requestId, address = forward.targets.front().callerAddress](
                                 const Error &error) {
        refuse(*exchange, { ErrorKind::OwnerUnreachable, error.detail }, id, address);
    };
    forwarder.forward(std::move(forward));
}

void CallerFrontend::Private::service(HttpRequest request, const std::shared_ptr<HttpExchange> &exchange, int hops,
    const std::shared_ptr<const Catalog> &catalog, const std::shared_ptr<const FleetView> &fleet)
{
    ServiceJob job;
    const std::string rest = request.path.substr(ServicePrefix.size());
    const std::size_t slash = rest.find('/');
    job.service = ServiceName(rest.substr(0, slash));
    job.target = (slash == std::string::npos ? "/" : rest.substr(slash)) + (request.query.empty() ? "" : "?" + request.query);
    job.requestId = requestId(RequestId(counter.fetch_add(1)));
    job.request = std::move(request);
    job.exchange = exchange;
    job.catalog = catalog;
    job.fleet = fleet;
    job.hops = hops;
    job.forwardToOwner = [this](const ServiceJob &foreign, const IdempotencyKey &key) { forwardKeyed(foreign, key); };
    context.services.submit(std::move(job));
}

CallerFrontend::CallerFrontend(const FrontendContext &context)
    : d(std::make_unique<Private>(context))
{
}

CallerFrontend::~CallerFrontend() = default;

void CallerFrontend::handle(HttpRequest request, const std::shared_ptr<HttpExchange> &exchange, int hops)
{
    const auto catalog = d->context.catalog.get();
    const auto fleet = d->context.fleet.get();
    const std::string &path = request.path;
    if (catalog == nullptr || fleet == nullptr) {
        if (path == "/v1/chat/completions" || path == "/v1/completions") {
            const auto priority = parsePriority(request.header("x-priority"));
            d->context.metrics.completionFailed(priority.isOk() ? priority.value() : Priority::Standard, ErrorKind::NotReady);
        }
        d->refuse(*exchange, { ErrorKind::NotReady, {} }, {});
    } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
        if (request.method != "POST") {
            d->refuse(*exchange, { ErrorKind::MethodNotAllowed, "use POST" }, {});
            return;
        }
        d->completion(request, exchange, hops, *catalog, d->placer.placement(catalog, fleet));
    } else if (path.starts_with(ServicePrefix) && (!d->isClosed() || !request.header("idempotency-key").empty())) {
        // A repeated one-time request must not be refused as not run just because this node is shutting down: its ledger has the outcome.
        d->service(std::move(request), exchange, hops, catalog, fleet);
    } else if (d->isClosed()) {
        d->refuse(*exchange, { ErrorKind::Draining, {} }, {});
    } else if (path == "/v1/address") {
        d->address(request, *exchange, *catalog, *d->placer.placement(catalog, fleet));
    } else if (path == "/v1/keys" && request.method == "POST") {
        respondJson(*exchange, keyBody(d->context.services.oneTimeRequests().mintKey(), d->context.settings.duration("keys.lifetime_ms")));
    } else if (path == "/v1/models") {
        respondJson(*exchange, modelsBody(*catalog, MaxModelsListed));
    } else {
        d->refuse(*exchange, { ErrorKind::NotFound, {} }, {});
    }
}

void CallerFrontend::drain(Time lingerUntil)
{
    d->isDraining = true;
    d->lingerUntilMs = lingerUntil.milliseconds();
}

void CallerFrontend::onPermitEvent(const UpstreamId &upstream, const SchedulerEvent &event)
{
    std::shared_ptr<EngineRunner> runner;
    {
        const absl::MutexLock lock(&d->mutex);
        const auto at = d->engines.find(upstream);
        runner = at == d->engines.end() ? nullptr : at->second;
    }
    if (runner != nullptr) {
        runner->onPermitEvent(event);
    }
}

void CallerFrontend::tick()
{
    d->createOwnedRunners();
    std::vector<std::shared_ptr<EngineRunner>> runners;
    {
        const absl::MutexLock lock(&d->mutex);
        for (const auto &[id, runner] : d->engines) {
            runners.push_back(runner);
        }
    }
    for (const auto &runner : runners) {
        runner->tick();
    }
}

std::vector<EngineStatus> CallerFrontend::engineStatus() const
{
    const absl::MutexLock lock(&d->mutex);
    std::vector<EngineStatus> all;
    for (const auto &[id, runner] : d->engines) {
        all.push_back(runner->status());
    }
    return all;
}

} // namespace ApricotStep
