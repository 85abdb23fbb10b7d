#include "main/node.h"

#include "main/callerfrontend.h"
#include "main/configreader.h"
#include "main/ledgerhandover.h"
#include "main/log.h"
#include "main/membershiprunner.h"
#include "main/operatorport.h"
#include "main/permitrunner.h"
#include "main/platformreader.h"
#include "main/rpcsettings.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

namespace ApricotStep
{

namespace
{

constexpr auto TickInterval = std::chrono::milliseconds(20);
constexpr auto DrainCheckInterval = std::chrono::milliseconds(50);
constexpr int OperatorThreads = 1;
constexpr std::size_t MaxOperatorBodyBytes = std::size_t(64) << 10U;

// A later start gets a greater incarnation; the random part distinguishes starts within the same millisecond.
Incarnation newIncarnation(const Clock &clock)
{
    constexpr std::uint64_t RandomRange = 1000;
    std::random_device random;
    return Incarnation(static_cast<std::uint64_t>(clock.wallTime().milliseconds()) * RandomRange + random() % RandomRange);
}

// Returns null if callers are served without TLS.
Result<std::shared_ptr<TlsCredentials>> callerCredentials(const Settings &settings)
{
    const std::string &certificate = settings.text("callers.tls_certificate");
    const std::string &key = settings.text("callers.tls_key");
    if (certificate.empty() && key.empty()) {
        return std::shared_ptr<TlsCredentials>();
    }
    if (certificate.empty() || key.empty()) {
        return Error { ErrorKind::SettingsInvalid, "set both callers.tls_certificate and callers.tls_key, or none" };
    }
    return TlsCredentials::load(certificate, key);
}

HttpServerSettings callerServerSettings(const Settings &settings)
{
    HttpServerSettings server;
    server.address = settings.text("callers.address");
    server.port = static_cast<std::uint16_t>(settings.number("callers.port"));
    server.threads = static_cast<int>(settings.number("callers.threads"));
    server.maxBodyBytes = static_cast<std::size_t>(settings.number("callers.max_body_bytes"));
    server.maxHeaderBytes = static_cast<std::size_t>(settings.number("callers.max_header_bytes"));
    server.maxConnections = static_cast<int>(settings.number("callers.max_connections"));
    server.memory =
        std::make_shared<RequestMemory>(RequestMemoryLimits::of(static_cast<std::size_t>(settings.number("callers.memory_bytes"))));
    server.idleTimeout = settings.duration("callers.idle_timeout_ms");
    server.arrivalTimeout = settings.duration("callers.arrival_timeout_ms");
    return server;
}

} // namespace

// Members are destroyed in reverse order: the ticker and the servers end before the objects that they use.
struct Node::Private
{
    Private(std::shared_ptr<const Settings> checked, std::unique_ptr<NodeRpc> nodeRpc)
        : settings(std::move(checked))
        , incarnation(newIncarnation(clock))
        , log(componentLogger("node"))
        , levels(objectivesOf(*settings))
        , client(std::make_unique<HttpClient>())
        , rpc(std::move(nodeRpc))
        , health(clock, metrics, incarnation.value())
        , services(NodeId(settings->text("node.id")), incarnation, *settings, *client, clock, metrics, health)
        , permits(NodeId(settings->text("node.id")), *settings, clock, fleet, *rpc)
        , frontend({ NodeId(settings->text("node.id")), incarnation, ZoneId(settings->text("node.zone")), *settings, clock, *client,
              metrics, catalog, fleet, services, health, *rpc, &ownership, &permits })
        , config(*settings, *client, clock, metrics, catalog, fleet)
        , platform(*settings, *client, clock, [this](VmList list) { onVmListRead(std::move(list)); })
    {
        metrics.setServiceLevels(levels, clock);
        permits.onAnswer([this](const UpstreamId &upstream, const SchedulerEvent &event) { frontend.onPermitEvent(upstream, event); });
    }

    ~Private()
    {
        isStopping = true;
        permits.stop();
        if (ticker.joinable()) {
            ticker.join();
        }
        config.stop();
        callers.reset();
        operators.reset(); // Before rpc, through which it queries other nodes.
        rpc.reset();
        client.reset(); // Ends the calls in flight while the objects that their callbacks use still exist.
        membership.reset();
    }

    std::shared_ptr<const Settings> settings;
    SystemClock clock;
    Incarnation incarnation;
    Logger log;
    ServiceLevels levels;
    Metrics metrics;
    SharedSnapshot<Catalog> catalog;
    SharedSnapshot<FleetView> fleet;
    std::unique_ptr<MembershipRunner> membership;
    OwnershipSource ownership { NodeId(settings->text("node.id")), fleet, [this] { return membership->isFresh(); },
        [this] { return membership->number(); } };
    std::unique_ptr<HttpClient> client;
    std::unique_ptr<NodeRpc> rpc;
    UpstreamHealth health;
    ServiceRunner services;
    PermitRunner permits;
    CallerFrontend frontend;
    ConfigReader config;
    PlatformReader platform;
    std::shared_ptr<TlsCredentials> tls;
    std::unique_ptr<OperatorPort> operatorPort;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> operators;
    std::atomic<bool> isStopping { false };
    std::atomic<bool> isDraining { false };
    std::thread ticker;

    bool isBusy() const;
    void handOver();
    Result<std::string> acceptLedgerBatch(const std::string &bytes);
    void onVmListRead(VmList list);
    void tickLoop();
};

void Node::Private::onVmListRead(VmList list)
{
    permits.setListedNodeCount(static_cast<int>(
        std::count_if(list.vms.begin(), list.vms.end(), [](const VmRecord &vm) { return vm.role == VmRole::Entry && !vm.leaving; })));
    membership->onVmListRead(std::move(list));
}

void Node::Private::tickLoop()
{
    while (!isStopping) {
        std::this_thread::sleep_for(TickInterval);
        membership->tick();
        platform.tick();
        permits.tick();
        frontend.tick();
        services.tick();
    }
}

bool Node::Private::isBusy() const
{
    return callers->activeCount() > 0 || rpc->servedCount() > 0 || services.activeCount() > 0;
}

// The successor announces the handover too, since the leaving node may end before its own announcement has spread.
Result<std::string> Node::Private::acceptLedgerBatch(const std::string &bytes)
{
    HandOffFact fact;
    const auto isComplete = services.oneTimeRequests().receiveBatch(bytes, &fact);
    if (!isComplete.isOk()) {
        return isComplete.error();
    }
    if (isComplete.value()) {
        log->info("Received the ledger of one-time requests from {}.", fact.node.value());
        membership->announce(fact);
    }
    return std::string();
}

void Node::Private::handOver()
{
    const std::vector<SealedLedger> ledgers = services.oneTimeRequests().seal();
    const auto view = fleet.get();
    const auto candidates = view == nullptr ? std::vector<NodeView>() : successorsFor(NodeId(settings->text("node.id")), *view);
    const auto successor = handOverLedgers(*rpc, ledgers, candidates);
    if (!successor) {
        log->warn("No node accepted the ledger of one-time requests; retries of them will be answered with outcome_unknown.");
        return;
    }
    log->info("Handed over the ledger of one-time requests to {}.", successor->value());
    for (const SealedLedger &ledger : ledgers) {
        membership->announce(HandOffFact { ledger.node, ledger.incarnation, *successor });
    }
}

Node::Node() = default;
Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::start(std::shared_ptr<const Settings> settings)
{
    const auto rpcConfig = rpcSettings(*settings);
    if (!rpcConfig.isOk()) {
        return rpcConfig.error();
    }
    auto rpc = NodeRpc::start(rpcConfig.value());
    if (!rpc.isOk()) {
        return rpc.error();
    }
    std::unique_ptr<Node> node(new Node);
    node->d = std::make_unique<Private>(std::move(settings), std::move(rpc.value()));
    Private *d = node->d.get();
    auto membership = MembershipRunner::open(*d->settings, d->clock, d->incarnation, d->fleet);
    if (!membership.isOk()) {
        return membership.error();
    }
    d->membership = std::move(membership.value());
    d->rpc->serveForwards([d](HttpRequest request, int hops, const std::shared_ptr<HttpExchange> &exchange) {
        d->frontend.handle(std::move(request), exchange, hops);
    });
    d->rpc->serveValue(std::string(ConfigValuePrefix), [d](const std::string &name) { return d->config.value(name); });
    d->config.connect(*d->rpc, [d](const ConfigFact &fact) { d->membership->announce(fact); });
    d->membership->onRumour([d](const Rumour &rumour) {
        if (const auto *fact = std::get_if<ConfigFact>(&rumour)) {
            d->config.onVersionAnnounced(*fact);
        }
    });
    d->rpc->servePart(std::string(PermitPart), [d](const std::string &bytes) { return d->permits.receive(bytes); });
    d->rpc->servePart(LedgerPart, [d](const std::string &bytes) { return d->acceptLedgerBatch(bytes); });
    d->membership->onRumour([d](const Rumour &rumour) {
        if (const auto *fact = std::get_if<HandOffFact>(&rumour)) {
            d->services.oneTimeRequests().learn(*fact);
        }
    });
    d->operatorPort = std::make_unique<OperatorPort>(OperatorParts { *d->settings, d->clock, d->incarnation, d->metrics, d->levels,
        d->catalog, d->fleet, d->frontend, d->services, d->config, *d->membership, *d->rpc, d->isDraining });
    d->rpc->servePart(OperatorPart, [d](const std::string &topic) { return d->operatorPort->answerPeer(topic); });
    const auto credentials = callerCredentials(*d->settings);
    if (!credentials.isOk()) {
        return credentials.error();
    }
    d->tls = credentials.value();
    HttpServerSettings callerSettings = callerServerSettings(*d->settings);
    callerSettings.tls = d->tls;
    auto callers = HttpServer::start(callerSettings,
        [d](HttpRequest request, const std::shared_ptr<HttpExchange> &exchange) { d->frontend.handle(std::move(request), exchange); });
    if (!callers.isOk()) {
        return callers.error();
    }
    d->callers = std::move(callers.value());
    HttpServerSettings operatorSettings;
    operatorSettings.address = d->settings->text("operator.address");
    operatorSettings.port = static_cast<std::uint16_t>(d->settings->number("operator.port"));
    operatorSettings.threads = OperatorThreads;
    operatorSettings.maxBodyBytes = MaxOperatorBodyBytes;
    auto operators = HttpServer::start(operatorSettings,
        [d](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { d->operatorPort->handle(request, exchange); });
    if (!operators.isOk()) {
        return operators.error();
    }
    d->operators = std::move(operators.value());
    const std::string &advertised = d->settings->text("rpc.advertise");
    d->membership->start({ d->settings->text("callers.address") + ':' + std::to_string(node->callerPort()),
        !advertised.empty() ? advertised : d->settings->text("rpc.address") + ':' + std::to_string(node->rpcPort()) });
    d->config.start();
    d->ticker = std::thread([d] { d->tickLoop(); });
    d->log->info("Node {} started. callers={} operators={} membership={} rpc={}", d->settings->text("node.id"), node->callerPort(),
        node->operatorPort(), node->membershipPort(), node->rpcPort());
    return node;
}

std::uint16_t Node::callerPort() const
{
    return d->callers->port();
}

std::uint16_t Node::rpcPort() const
{
    return d->rpc->port();
}

std::uint16_t Node::operatorPort() const
{
    return d->operators->port();
}

std::uint16_t Node::membershipPort() const
{
    return d->membership->port();
}

void Node::reload()
{
    if (d->tls == nullptr) {
        return;
    }
    const auto reloaded = d->tls->reload();
    if (reloaded.isOk()) {
        d->log->info("Reloaded the TLS certificate.");
    } else {
        d->log->error("Could not reload the TLS certificate; the previous one stays in use. {}", reloaded.error().detail);
    }
}

void Node::drain()
{
    d->isDraining = true;
    d->membership->announceLeaving();
    const Time lingerUntil = d->clock.now() + d->settings->duration("shutdown.linger_ms");
    d->frontend.drain(lingerUntil);
    d->log->info("Draining.");
    while (d->clock.now() < lingerUntil) {
        std::this_thread::sleep_for(DrainCheckInterval);
    }
    d->services.oneTimeRequests().stopAccepting();
    d->callers->stopAccepting();
    while (d->isBusy()) {
        std::this_thread::sleep_for(DrainCheckInterval);
    }
    d->handOver();
    while (d->isBusy()) {
        std::this_thread::sleep_for(DrainCheckInterval); // Retries that arrived meanwhile are answered from the sealed ledger.
    }
    d->membership->announceLeft();
    d->log->info("All requests have been answered.");
}

} // namespace ApricotStep
