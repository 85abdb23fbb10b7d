#include "main/configreader.h"

#include "coordination/configsync.h"
#include "main/configstore.h"
#include "main/log.h"
#include "protocol/configvalues.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <malloc.h>
#include <random>
#include <thread>

namespace ApricotStep
{

namespace
{

constexpr int OkStatus = 200;
constexpr int NotFoundStatus = 404;
constexpr absl::Duration TickInterval = absl::Milliseconds(50);
// The size of a base with a few hundred adapters. Changes are far smaller, so that activating one rarely costs a trim.
constexpr std::size_t TrimThresholdBytes = 256U << 10U;

struct FetchedText
{
    FetchValue fetch;
    Result<std::string> text;
};

// Inputs of the worker thread, which processes them in the order of their arrival.
using Input = std::variant<FetchedText, ConfigFact>;

ConfigSyncSettings syncSettings(const Settings &settings)
{
    ConfigSyncSettings sync;
    sync.self = NodeId(settings.text("node.id"));
    sync.zone = ZoneId(settings.text("node.zone"));
    sync.watch = settings.duration("platform.watch_ms");
    sync.seed = std::random_device()();
    return sync;
}

} // namespace

struct ConfigReader::Private : std::enable_shared_from_this<Private>
{
    Private(const Settings &allSettings, HttpClient &httpClient, const Clock &aClock, Metrics &allMetrics,
        SharedSnapshot<Catalog> &catalogs, const SharedSnapshot<FleetView> &fleets)
        : settings(allSettings)
        , client(httpClient)
        , clock(aClock)
        , metrics(allMetrics)
        , catalog(catalogs)
        , fleet(fleets)
        , log(componentLogger("config"))
        , sync(syncSettings(settings))
    {
    }

    const Settings &settings;
    HttpClient &client;
    const Clock &clock;
    Metrics &metrics;
    SharedSnapshot<Catalog> &catalog;
    const SharedSnapshot<FleetView> &fleet;
    Logger log;
    Peers *peers = nullptr;
    Announcer announce;
    std::thread worker;

    // Used by the worker thread only.
    ConfigSync sync;
    std::shared_ptr<const FleetView> lastFleet;
    std::size_t bytesFetched = 0;
    bool hasActivated = false;

    mutable absl::Mutex mutex;
    std::vector<Input> inputs ABSL_GUARDED_BY(mutex);
    ConfigStore store ABSL_GUARDED_BY(mutex);
    ConfigStatus status ABSL_GUARDED_BY(mutex);
    bool isStopping ABSL_GUARDED_BY(mutex) = false;

    void run();
    void trimMemory();
    bool waitForInputs(std::vector<Input> &batch);
    void enqueue(Input input);
    void process(const FetchedText &fetched);
    void process(const ConfigFact &fact);
    void handle(const ConfigEvent &event);
    void execute(const FetchValue &fetch);
    void execute(const ActivateConfig &version);
    void execute(const ReportConfigProblem &report);
    void fetchFromService(const FetchValue &fetch);
    void fetchFromPeer(const FetchValue &fetch, const std::string &address);
};

void ConfigReader::Private::run()
{
    std::vector<Input> batch;
    while (waitForInputs(batch)) {
        const auto view = fleet.get();
        if (view != nullptr && view != lastFleet) {
            lastFleet = view;
            handle(PeersChanged { view->nodes });
        }
        for (const Input &input : batch) {
            std::visit([this](const auto &one) { process(one); }, input);
        }
        handle(ConfigTick {});
        batch.clear();
        trimMemory();
    }
}

// Reading a base leaves many small free blocks between those that stay in use, so the allocator keeps their pages: with 130,000 adapters,
// resident memory is several times the size of the catalog and exceeds its limit. Bases are read rarely, so trimming costs little.
void ConfigReader::Private::trimMemory()
{
    if (!hasActivated || bytesFetched < TrimThresholdBytes) {
        return;
    }
    hasActivated = false;
    bytesFetched = 0;
    malloc_trim(0);
}

// Returns false when the reader is stopping.
bool ConfigReader::Private::waitForInputs(std::vector<Input> &batch)
{
    const absl::MutexLock lock(&mutex);
    const auto isDue = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { return isStopping || !inputs.empty(); };
    mutex.AwaitWithTimeout(absl::Condition(&isDue), TickInterval);
    batch = std::exchange(inputs, {});
    return !isStopping;
}

void ConfigReader::Private::enqueue(Input input)
{
    const absl::MutexLock lock(&mutex);
    if (!isStopping) {
        inputs.push_back(std::move(input));
    }
}

void ConfigReader::Private::process(const FetchedText &fetched)
{
    const FetchValue &fetch = fetched.fetch;
    if (!fetched.text.isOk()) {
        handle(ValueFetched { fetch.id, fetched.text.error() });
        return;
    }
    bytesFetched += fetched.text.value().size();
    auto value = parseConfigValue(fetch.kind, fetch.hash, fetched.text.value());
    if (value.isOk()) {
        const absl::MutexLock lock(&mutex);
        store.put(value.value(), fetched.text.value());
    }
    handle(ValueFetched { fetch.id, std::move(value) });
}

void ConfigReader::Private::process(const ConfigFact &fact)
{
    handle(VersionAnnounced { fact });
}

void ConfigReader::Private::handle(const ConfigEvent &event)
{
    for (const ConfigAction &action : sync.handle(event, clock.now())) {
        std::visit([this](const auto &one) { execute(one); }, action);
    }
    const absl::MutexLock lock(&mutex);
    status.isWatcher = sync.isWatcher();
}

void ConfigReader::Private::execute(const FetchValue &fetch)
{
    if (!fetch.peer) {
        fetchFromService(fetch);
        return;
    }
    const auto view = fleet.get();
    const NodeView *node = view == nullptr ? nullptr : view->node(*fetch.peer);
    if (peers == nullptr || node == nullptr || node->rpcAddress.empty()) {
        enqueue(FetchedText { fetch, Error { ErrorKind::PeerUnreachable, "node " + fetch.peer->value() + " has no address" } });
        return;
    }
    fetchFromPeer(fetch, node->rpcAddress);
}

void ConfigReader::Private::fetchFromPeer(const FetchValue &fetch, const std::string &address)
{
    const std::string name =
        std::string(ConfigValuePrefix) + (fetch.kind == ConfigValueKind::Head ? std::string(ConfigHeadName) : fetch.hash);
    peers->fetch(address, name, [self = shared_from_this(), fetch](Result<std::string> text) {
        self->enqueue(FetchedText { fetch, std::move(text) });
    });
}

void ConfigReader::Private::fetchFromService(const FetchValue &fetch)
{
    const std::string name = fetch.kind == ConfigValueKind::Head ? std::string(ConfigHeadName) : fetch.hash;
    HttpCall call;
    call.url = settings.text("platform.config_url") + "/v1/values/" + name;
    if (fetch.wait > Duration(0)) {
        call.url += "?after=" + std::to_string(fetch.after.value()) + "&wait_ms=" + std::to_string(fetch.wait.milliseconds());
    }
    call.totalTimeout = fetch.timeout;
    call.maxBodyBytes = MaxConfigValueBytes;
    const auto body = std::make_shared<std::string>();
    call.onData = [body](std::string_view data) {
        body->append(data);
        return true;
    };
    call.onDone = [self = shared_from_this(), fetch, body](const CallResult &result) {
        if (result.state == AttemptState::Answered && result.status == OkStatus) {
            self->enqueue(FetchedText { fetch, std::move(*body) });
            return;
        }
        const bool isMissing = result.state == AttemptState::Answered && result.status == NotFoundStatus;
        self->enqueue(FetchedText { fetch, Error { isMissing ? ErrorKind::NotFound : ErrorKind::UpstreamUnreachable, result.detail } });
    };
    client.start(std::move(call));
}

void ConfigReader::Private::execute(const ActivateConfig &version)
{
    catalog.set(version.catalog);
    hasActivated = true;
    metrics.setConfigVersion(version.catalog->version().value());
    bool isBaseNeeded = false;
    {
        const absl::MutexLock lock(&mutex);
        isBaseNeeded = version.base != nullptr && store.needsBase(version.head);
    }
    const auto base = isBaseNeeded ? std::optional(configBaseTexts(version.base->content())) : std::nullopt;
    {
        const absl::MutexLock lock(&mutex);
        store.activate(version.head, base);
        status.version = version.catalog->version().value();
        status.valueCount = store.count();
        status.valueBytes = store.bytes();
    }
    log->info("Activated configuration {}. adapters={} upstreams={}", version.catalog->version().value(), version.catalog->adapterCount(),
        version.catalog->upstreams().size());
    if (announce) {
        announce({ NodeId(settings.text("node.id")), version.catalog->version() });
    }
}

void ConfigReader::Private::execute(const ReportConfigProblem &report)
{
    const std::string problemName(configProblemName(report.problem));
    metrics.configRefused(problemName);
    log->error("Problem with configuration {}. reason={} detail='{}'", report.version.value(), problemName, report.detail);
    const absl::MutexLock lock(&mutex);
    status.problem = "version " + std::to_string(report.version.value()) + ", " + problemName + ": " + report.detail;
}

ConfigReader::ConfigReader(const Settings &settings, HttpClient &client, const Clock &clock, Metrics &metrics,
    SharedSnapshot<Catalog> &catalog, const SharedSnapshot<FleetView> &fleet)
    : d(std::make_shared<Private>(settings, client, clock, metrics, catalog, fleet))
{
}

ConfigReader::~ConfigReader()
{
    stop();
}

void ConfigReader::connect(Peers &peers, Announcer announce)
{
    d->peers = &peers;
    d->announce = std::move(announce);
}

void ConfigReader::start()
{
    d->worker = std::thread([reader = d.get()] { reader->run(); });
}

void ConfigReader::stop()
{
    {
        const absl::MutexLock lock(&d->mutex);
        d->isStopping = true;
    }
    if (d->worker.joinable()) {
        d->worker.join();
    }
}

void ConfigReader::onVersionAnnounced(const ConfigFact &fact)
{
    d->enqueue(fact);
}

Result<std::string> ConfigReader::value(const std::string &name) const
{
    const std::string_view prefix = ConfigValuePrefix;
    const absl::MutexLock lock(&d->mutex);
    return d->store.find(name.starts_with(prefix) ? name.substr(prefix.size()) : name);
}

ConfigStatus ConfigReader::status() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->status;
}

} // namespace ApricotStep
