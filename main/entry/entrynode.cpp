#include "main/entry/entrynode.h"

#include "coordination/callerdirectory.h"
#include "coordination/revocationbound.h"
#include "coordination/storecallscheduler.h"
#include "coordination/storereaderelection.h"
#include "main/entry/clusterstate.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "main/entry/fleetlink.h"
#include "main/entry/orderrunner.h"
#include "main/entry/peerservice.h"
#include "main/entry/relayedrequest.h"
#include "main/entry/requestforwarder.h"
#include "main/entry/storereader.h"
#include "main/entry/upstreamstatements.h"
#include "platform/directory.h"
#include "transport/ioloop.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr int OkStatus = 200;
constexpr int NotFoundStatus = 404;
constexpr int UnavailableStatus = 503;
// How long callers may cache a directory answer: short, so that they stop using a leaving node before it exits.
constexpr Duration AddressLifetime { 2000 };
// Callers may use this node's address for AddressLifetime after the node has left the directory, so all requests are accepted until
// AcceptAllAfterDrain. Later ones are accepted only if they are certain to end before the platform kills the process: the kill may cut off
// the answer to a payment, whose outcome would then be unknown.
constexpr Duration AcceptAllAfterDrain { 2500 };
constexpr Duration LingerAfterDrain { 3200 };
// Time to shut down before the platform's SIGKILL.
constexpr Duration ReserveBeforeKill { 500 };
// Time in which the last answers are written.
constexpr Duration TimeToFlush { 200 };
// File descriptors for files, the store, engines and the other listeners. Of the rest, each caller's connection needs one of its own and
// one to an upstream.
constexpr int ReservedDescriptors = 600;
constexpr int DescriptorsPerCaller = 2;
// Must match the metrics port in deploy/system.toml.
constexpr std::uint16_t MetricsPort = 9464;
constexpr const char *MetricsPath = "/metrics";
// Answers in progress may use one part in so many of the memory of this process.
constexpr std::size_t AnswerMemoryDivisor = 8;
// All answers together hold less than so many times their limit.
constexpr std::size_t MaxAnswerMemoryFactor = 2;
// A caller with more unread bytes of a stream counts as slow: several events of the longest kind that upstreams usually send.
constexpr std::size_t StreamBufferBytes = std::size_t(32) << 10U;
// Headers that a node adds to a request for another node.
constexpr std::size_t RelayHeaderBytes = 1U << 10U;
// Answers of the node itself have short heads.
constexpr std::size_t OwnAnswerHeadBytes = 2U << 10U;
// Connections of other nodes, and those of a listener for requests without bodies, may use one part in so many of the memory of this
// process.
constexpr std::size_t PeerMemoryDivisor = 8;
constexpr std::size_t OwnMemoryDivisor = 64;
constexpr int MaxPeerConnections = 128;
// Requests to the node itself have no bodies of their own, and a caller may still send a short one.
constexpr std::size_t MaxOwnBodyBytes = std::size_t(4) << 10U;
// For small bodies, and for heads until the limits of the configuration are known.
constexpr Duration ArrivalTimeout = Duration::seconds(30);
// Limits that clients met are logged together.
constexpr Duration LimitLogInterval = Duration::seconds(1);
// The store removes the entry of an upstream after three heartbeats without one, which this node may read some time later.
constexpr int HeartbeatsUntilLapse = 5;
// Nodes of a zone that has just been cut off are still asked, so that the cut is not taken for silence of its upstreams.
constexpr Duration ProbePeerMemory = Duration::seconds(10);

constexpr int MappedBlockBytes = 128 << 10;

StoreReaderLimits storeReaderLimits(const RevocationBound &revocationBound, Duration configurationBound)
{
    StoreReaderLimits limits;
    limits.maxSnapshotAge = revocationBound.refreshAge();
    limits.maxLossDetectionTime = StoreCallLimits::within(revocationBound.readBound(configurationBound)).maxLossDetectionTime();
    return limits;
}

} // namespace

struct EntryNode::Private
{
    Platform::ProcessSettings settings;
    SystemClock clock;
    IoLoop loop { clock };
    EventLog log { clock, "" };
    EntryMetrics metrics;
    ClusterState clusterState;
    UpstreamStatements statements { log, metrics, clusterState };
    std::unique_ptr<StoreReader> store;
    std::unique_ptr<FleetLink> fleet;
    std::unique_ptr<OrderRunner> orders;
    std::unique_ptr<RequestForwarder> forwarder;
    std::unique_ptr<PeerService> peers;
    RevocationBound revocationBound;
    StoreReaderElection storeReaderElection;
    /** Whether this node reads the store itself, as of the last decision. */
    bool isStoreReader = true;
    /** Shared by the connections of callers and of other nodes, and by the bodies of their requests. */
    std::shared_ptr<RequestMemory> requestMemory;
    /** Limits that clients have met since they were last logged. */
    std::map<ClientLimit, std::int64_t> limitsMet;
    Time limitsLoggedAt;
    std::vector<std::unique_ptr<HttpServer>> servers;
    /** Servers that have handed over, until their last connection closes. */
    std::vector<std::unique_ptr<HttpServer>> replacedServers;
    HttpServer *callerServer = nullptr;
    HttpServer *peerServer = nullptr;
    HttpServer *readinessServer = nullptr;
    HttpServer *directoryServer = nullptr;
    std::atomic<bool> isDrainRequested { false };
    std::atomic<bool> isReloadRequested { false };
    bool isLeaving = false;
    bool isListenerClosed = false;
    /** When the requests still in progress were ended, before the process stops. */
    std::optional<Time> requestsEndedAt;
    Time drainStartedAt;

    explicit Private(const Platform::ProcessSettings &settings)
        : settings(settings)
        , log(clock, settings.node.value())
        , revocationBound(settings.revocationBound)
        , storeReaderElection(storeReaderLimits(revocationBound, settings.configurationBound), settings.node, settings.cpuShare)
        , requestMemory(std::make_shared<RequestMemory>(
              RequestMemoryLimits::ofProcess(settings.memoryBytes, MaxAnswerMemoryFactor * settings.memoryBytes / AnswerMemoryDivisor)))
    {
    }

    Result<bool> open();
    HttpServerSettings serverSettings(const std::string &address);
    HttpServerSettings ownServerSettings(const std::string &address);
    HttpServerSettings callerServerSettings();
    HttpServerSettings peerServerSettings();
    void logLimits();
    Result<HttpServer *> listen(const HttpServerSettings &server, HttpHandler handler);
    void applyCallerLimits();
    void applyHeaderLimit(HttpServer *&server, std::size_t bytes);
    void removeReplacedServers();
    void makeComponents();
    bool isReady() const;
    bool hasOutdatedKeys() const;
    bool canOthersAcceptKeys() const;
    std::vector<RelayNode> relays(const ServiceName &service, ConfigVersion atLeast) const;
    std::vector<ProbePeer> probePeers() const;
    void answerPeer(HttpRequest request, std::shared_ptr<HttpExchange> exchange);
    void onChanges(const ClusterStateChanges &changes);
    void answerDirectory(const HttpRequest &request, HttpExchange &exchange);
    void answerReadiness(const HttpRequest &request, HttpExchange &exchange) const;
    void answerMetrics(const HttpRequest &request, HttpExchange &exchange) const;
    void checkConnections();
    std::vector<StorePeer> storePeers() const;
    void updateStoreReading();
    void checkSignals();
    void beginDrain();
    void checkDrained();
};

bool EntryNode::Private::isReady() const
{
    return !isLeaving && clusterState.routes != nullptr && clusterState.upstreams.size() > 0;
}

// A node without teams has no keys that could be outdated.
bool EntryNode::Private::hasOutdatedKeys() const
{
    return clusterState.routes != nullptr && clusterState.routes->requiresKeys()
        && !revocationBound.allowsListing(clusterState.routesKnownAt, clock.now());
}

bool EntryNode::Private::canOthersAcceptKeys() const
{
    const auto peersAlive = fleet->alive();
    return std::any_of(
        peersAlive.begin(), peersAlive.end(), [](const Peer *peer) { return peer->isReady && !peer->isLeaving && !peer->hasOutdatedKeys; });
}

// The nodes that use the same engines know their load and adapters; others help only if none of these does.
std::vector<RelayNode> EntryNode::Private::relays(const ServiceName &service, ConfigVersion atLeast) const
{
    const auto relaysAmong = [&](const std::vector<const Peer *> &nodes) {
        std::vector<RelayNode> result;
        for (const Peer *peer : nodes) {
            const auto &unreachable = peer->unreachableServices;
            const bool isReaching = std::find(unreachable.begin(), unreachable.end(), service) == unreachable.end();
            if (peer->isReady && !peer->isLeaving && isReaching && peer->configVersion >= atLeast) {
                result.push_back(RelayNode { peer->id, peer->peerAddress, peer->capacity, peer->requestRate });
            }
        }
        return result;
    };
    auto result = relaysAmong(fleet->scopePeers());
    return result.empty() ? relaysAmong(fleet->alive()) : result;
}

std::vector<ProbePeer> EntryNode::Private::probePeers() const
{
    std::vector<ProbePeer> result;
    for (const Peer *peer : fleet->heardWithin(ProbePeerMemory)) {
        if (!peer->isLeaving) {
            result.push_back(ProbePeer { peer->id, peer->zone });
        }
    }
    return result;
}

void EntryNode::Private::answerPeer(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    if (const auto relayed = takeRelayHeaders(request)) {
        forwarder->onRelayedRequest(std::move(request), *relayed, std::move(exchange));
    } else {
        peers->answer(request, *exchange);
    }
}

void EntryNode::Private::makeComponents()
{
    store = std::make_unique<StoreReader>(loop, log, clusterState, settings.storeAddress,
        revocationBound.readBound(settings.configurationBound), [this](const ClusterStateChanges &changes) { onChanges(changes); });
    store->setOutageDispute([this](const StoreOutage &outage, const NodeId &reporter) {
        return storeReaderElection.isOutageDisputed(outage, reporter, storePeers());
    });
    peers = std::make_unique<PeerService>(loop, log, *store);

    FleetLink::Callbacks fleetCallbacks;
    fleetCallbacks.loadReport = [this] { return NodeLoadReport { clusterState.loadTracker.own(), forwarder->uses() }; };
    fleetCallbacks.pendingAdapters = [this] { return forwarder->pendingAdapters(); };
    fleetCallbacks.onPendingAdapters = [this](const NodeId &node, const std::vector<AdapterUse> &pendingAdapters) {
        orders->onPendingAdapters(node, pendingAdapters);
    };
    fleetCallbacks.requestRate = [this] { return forwarder->requestRate(); };
    fleetCallbacks.isReady = [this] { return isReady(); };
    fleetCallbacks.hasOutdatedKeys = [this] { return hasOutdatedKeys(); };
    fleetCallbacks.onUses = [this](const NodeId &node, const std::vector<AdapterUse> &uses) { orders->onUses(node, uses); };
    fleetCallbacks.storeReadState = [this] { return StoreReadState { store->revision(), store->isReading(), store->readingTime() }; };
    fleetCallbacks.onPeerReadFurther = [this] { updateStoreReading(); };
    fleetCallbacks.onResidencyChanged = [this] { forwarder->onClusterStateChanged(); };
    fleetCallbacks.onShardHeld = [this](std::uint64_t shard, FencingToken term) { forwarder->holdCreditShard(shard, term); };
    fleetCallbacks.onCreditQuery = [this](std::uint64_t shard, const NodeId &from, Incarnation incarnation, const CreditQuery &query) {
        return forwarder->answerCreditQuery(shard, from, incarnation, query);
    };
    fleetCallbacks.onCreditGrants = [this](const std::vector<CreditGrant> &grants) { forwarder->onCreditGrants(grants); };
    fleetCallbacks.onUpstreamLimits = [this](const NodeId &peer, const std::vector<UpstreamLimitStatement> &limits) {
        statements.onPeerLimits(peer, limits, clock.now());
    };
    fleetCallbacks.onBrittleUpstreams = [this](const NodeId &peer, const std::vector<BrittleStatement> &upstreams) {
        statements.onPeerBrittleness(peer, upstreams, clock.now());
    };
    fleetCallbacks.onQuarantineStatements = [this](const NodeId &, const QuarantineStatements &quarantine) {
        forwarder->onQuarantineStatements(quarantine);
    };
    fleetCallbacks.onLeavingUpstreams = [this](const std::vector<UpstreamStart> &starts) { statements.onPeerLeaving(starts, clock.now()); };
    fleetCallbacks.onStreamAnswers = [this](const std::vector<StreamAnswer> &answers) { forwarder->onStreamAnswers(answers); };
    fleetCallbacks.onProbeRequests = [this](const NodeId &peer, const std::vector<UpstreamStart> &upstreams) {
        forwarder->onProbeRequests(peer, upstreams);
    };
    fleetCallbacks.onProbeResults = [this](const NodeId &peer, const std::vector<ProbeResult> &results) {
        forwarder->onProbeResults(peer, results);
    };
    fleetCallbacks.onNewerConfiguration = [this](const Peer &peer) { peers->fetchFrom(peer); };
    OrderLeaseLimits limits;
    limits.handoverDelay = settings.orderHandoverDelay;
    const auto started = static_cast<std::uint64_t>(clock.wallTime().milliseconds());
    FleetIdentity identity { settings.node, Incarnation((started << 16U) | (std::random_device {}() & 0xffffU)), settings.zone,
        settings.zoneNames(), settings.cpuShare, settings.callerAddress, settings.peerAddress, settings.seeds };
    fleet = std::make_unique<FleetLink>(loop, log, clusterState, std::move(identity), limits, std::move(fleetCallbacks));

    orders = std::make_unique<OrderRunner>(loop, log, metrics, clusterState, *fleet, settings.node, [this] { return forwarder->uses(); });

    ForwarderSettings forwarderSettings;
    forwarderSettings.zone = settings.zone;
    forwarderSettings.retryShare = settings.retryShare;
    forwarderSettings.retryReserve = settings.retryReserve;
    forwarderSettings.retryWindow = settings.retryWindow;
    forwarderSettings.adapterVersionBound = settings.adapterVersionBound;
    forwarderSettings.revocationBound = revocationBound;
    forwarderSettings.teamCredit.window = settings.limitWindow;
    forwarderSettings.teamCredit.overrun = settings.limitOverrun;
    forwarderSettings.teamCredit.reserve = settings.limitReserve;
    forwarderSettings.answers.maxAnswerBytes = settings.maxAnswerBytes;
    forwarderSettings.answers.maxEventBytes = settings.maxEventBytes;
    forwarderSettings.answers.maxMemoryBytes = settings.memoryBytes / AnswerMemoryDivisor;
    forwarderSettings.answers.maxUnreadBytes = settings.maxUnreadBytes;
    forwarderSettings.placement = settings.placement;
    forwarderSettings.upstreamLapseTime = settings.upstreamHeartbeat * HeartbeatsUntilLapse;
    ForwarderCallbacks callbacks;
    callbacks.onPendingAdapters = [this] {
        fleet->sendPendingAdapters();
        orders->decideSoon();
    };
    callbacks.nodeCount = [this] { return fleet->knownNodes(); };
    callbacks.isLeaving = [this] { return isLeaving; };
    callbacks.canAccept = [this](Duration longest) {
        const Duration elapsed = clock.now() - drainStartedAt;
        return !isLeaving || (elapsed < AcceptAllAfterDrain && !requestsEndedAt) || longest < settings.grace - ReserveBeforeKill - elapsed;
    };
    callbacks.ordersIn = [this] { return fleet->ordersIn(); };
    callbacks.fleetSize = [this] { return fleet->fleetSize(); };
    callbacks.sendCreditQueries = [this](const std::vector<CreditQuery> &queries) { return fleet->sendCreditQueries(queries); };
    callbacks.canOthersAcceptKeys = [this] { return canOthersAcceptKeys(); };
    callbacks.sendStreamQuery = [this](const StreamQuery &query) { return fleet->sendStreamQuery(query); };
    callbacks.probePeers = [this] { return probePeers(); };
    callbacks.requestProbes = [this](const UpstreamStart &upstream, const std::vector<NodeId> &asked) {
        fleet->sendProbeRequest(upstream, asked);
    };
    callbacks.tellProbeResult = [this](const NodeId &peer, const ProbeResult &result) { fleet->sendProbeResult(peer, result); };
    callbacks.onQuarantineNews = [this] { fleet->sendQuarantine(); };
    callbacks.trialRank = [this](ContentDigest content) { return fleet->rankFor(content.value()); };
    callbacks.onBrittleRefusal = [this] { fleet->sendBrittleUpstreams(); };
    callbacks.relays = [this](const ServiceName &service, ConfigVersion atLeast) { return relays(service, atLeast); };
    forwarder = std::make_unique<RequestForwarder>(loop, log, metrics, clusterState, std::move(forwarderSettings), std::move(callbacks));
}

HttpServerSettings EntryNode::Private::serverSettings(const std::string &address)
{
    const Endpoint endpoint = parseEndpoint(address);
    HttpServerSettings server;
    server.address = endpoint.ip;
    server.port = endpoint.port;
    server.isDriven = true;
    server.streamBufferBytes = std::min(StreamBufferBytes, settings.maxUnreadBytes);
    server.maxHeaderBytes = CallerLimits().headerBytes + RelayHeaderBytes;
    server.maxConnections = MinConnections;
    server.arrivalTimeout = ArrivalTimeout;
    server.idleTimeout = Duration(0); // The arrival timeout closes idle connections, too.
    server.onAnswerNotDelivered = [this](int status) {
        metrics.answerNotDelivered();
        log.write(EventLog::Severity::Important, "node", "not_delivered", { { "status", std::int64_t(status) } });
    };
    server.onClientLimit = [this](ClientLimit limit) {
        metrics.clientLimit(limit);
        ++limitsMet[limit];
    };
    return server;
}

HttpServerSettings EntryNode::Private::ownServerSettings(const std::string &address)
{
    HttpServerSettings server = serverSettings(address);
    server.maxAnswerHeadBytes = OwnAnswerHeadBytes;
    server.maxMemory = settings.memoryBytes / OwnMemoryDivisor;
    server.maxBodyBytes = MaxOwnBodyBytes;
    return server;
}

HttpServerSettings EntryNode::Private::callerServerSettings()
{
    HttpServerSettings server = serverSettings(settings.callerAddress);
    server.maxConnections = std::max((settings.maxDescriptors - ReservedDescriptors) / DescriptorsPerCaller, MinConnections);
    server.memory = requestMemory;
    server.onLargeBody = [this](const HttpRequest &head, HttpExchange &exchange) {
        return forwarder->admitBody(head, exchange, RequestSource::Caller);
    };
    return server;
}

HttpServerSettings EntryNode::Private::peerServerSettings()
{
    HttpServerSettings server = serverSettings(settings.peerAddress);
    server.maxMemory = settings.memoryBytes / PeerMemoryDivisor;
    server.maxConnections = MaxPeerConnections;
    server.memory = requestMemory;
    server.onLargeBody = [this](const HttpRequest &head, HttpExchange &exchange) -> std::optional<BodyTerms> {
        HttpRequest relayed = head;
        if (!takeRelayHeaders(relayed)) {
            exchange.respond(NotFoundStatus, {}, "");
            return std::nullopt;
        }
        return forwarder->admitBody(relayed, exchange, RequestSource::Node);
    };
    return server;
}

Result<HttpServer *> EntryNode::Private::listen(const HttpServerSettings &server, HttpHandler handler)
{
    auto started = HttpServer::start(server, std::move(handler));
    if (!started.isOk()) {
        return started.error();
    }
    servers.push_back(std::move(started.value()));
    loop.add(servers.back().get());
    return servers.back().get();
}

Result<bool> EntryNode::Private::open()
{
    makeComponents();
    const auto callers = listen(callerServerSettings(), [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
        forwarder->onRequest(std::move(request), std::move(exchange));
    });
    if (!callers.isOk()) {
        return callers.error();
    }
    callerServer = callers.value();
    const auto readiness = listen(ownServerSettings(settings.readinessAddress),
        [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { answerReadiness(request, *exchange); });
    if (!readiness.isOk()) {
        return readiness.error();
    }
    readinessServer = readiness.value();
    const auto directory = listen(ownServerSettings(settings.directoryAddress),
        [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { answerDirectory(request, *exchange); });
    if (!directory.isOk()) {
        return directory.error();
    }
    directoryServer = directory.value();
    // A node that cannot open its metrics port still serves its callers.
    const auto metricsServer = listen(ownServerSettings(parseEndpoint(settings.callerAddress).ip + ':' + std::to_string(MetricsPort)),
        [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { answerMetrics(request, *exchange); });
    if (!metricsServer.isOk()) {
        log.write(EventLog::Severity::Important, "node", "no_metrics", { { "reason", metricsServer.error().detail } });
    }
    const auto openedPeerServer = listen(peerServerSettings(),
        [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) { answerPeer(std::move(request), std::move(exchange)); });
    if (!openedPeerServer.isOk()) {
        return openedPeerServer.error();
    }
    peerServer = openedPeerServer.value();
    return fleet->start();
}

void EntryNode::Private::onChanges(const ClusterStateChanges &changes)
{
    for (const UpstreamChange &change : changes.upstreams) {
        std::visit(Overloaded {
                       [this](const UpstreamStarted &started) {
                           clusterState.outOfScope.put(started.record);
                           clusterState.outliers.onStarted(started.record.id);
                           forwarder->onUpstreamStarted(started.record);
                           log.write(EventLog::Severity::Important, "upstream", "started",
                               { { "upstream", started.record.id.value() }, { "service", started.record.service.value() },
                                   { "address", started.record.address }, { "leaving", started.record.isLeaving },
                                   { "startedAt", started.record.startedAt }, { "software", started.record.softwareVersion.value() } });
                       },
                       [this](const UpstreamUpdated &updated) { clusterState.outOfScope.put(updated.record); },
                       [this](const UpstreamLeft &left) {
                           clusterState.onUpstreamLeft(left.id);
                           if (left.lapsed) {
                               forwarder->onUpstreamLapsed(*left.lapsed);
                           }
                           log.write(EventLog::Severity::Important, "upstream", "left",
                               { { "upstream", left.id.value() }, { "reason", left.reason } });
                       },
                   },
            change);
    }
    forwarder->onClusterStateChanged();
    orders->decideSoon();
}

void EntryNode::Private::answerDirectory(const HttpRequest &request, HttpExchange &exchange)
{
    if (!Platform::isDirectoryRequest(request)) {
        exchange.respond(NotFoundStatus, {}, "");
        return;
    }
    std::vector<DirectoryNode> nodes;
    if (isReady()) {
        nodes.push_back(DirectoryNode {
            settings.node, settings.callerAddress, settings.zone, settings.cpuShare, forwarder->requestRate(), hasOutdatedKeys() });
    }
    for (const Peer *peer : fleet->alive()) {
        if (peer->isReady && !peer->isLeaving) {
            nodes.push_back(
                DirectoryNode { peer->id, peer->callerAddress, peer->zone, peer->capacity, peer->requestRate, peer->hasOutdatedKeys });
        }
    }
    CallerDirectoryLimits limits;
    limits.maxAddresses = Platform::MaxDirectoryAddresses;
    const auto addresses = chooseAddresses(nodes, Platform::decodeDirectoryQuery(request).zone, limits);
    if (addresses.empty()) {
        exchange.respond(UnavailableStatus, { { "Retry-After", "0.3" } }, "");
        return;
    }
    const Duration lifetime = std::min(AddressLifetime, settings.maxAddressLifetime);
    exchange.respond(OkStatus, { { "Content-Type", "application/json" } }, Platform::directoryBody(addresses, lifetime));
}

void EntryNode::Private::answerReadiness(const HttpRequest &request, HttpExchange &exchange) const
{
    const int status = Platform::isReadinessRequest(request) ? (isReady() ? OkStatus : UnavailableStatus) : NotFoundStatus;
    exchange.respond(status, {}, "");
}

void EntryNode::Private::answerMetrics(const HttpRequest &request, HttpExchange &exchange) const
{
    if (request.path != MetricsPath) {
        exchange.respond(NotFoundStatus, {}, "");
        return;
    }
    EntryGauges gauges;
    gauges.configVersion = clusterState.routes != nullptr ? clusterState.routes->version().value() : 0;
    gauges.timeSinceStoreResponse = store->timeSinceLastAnswer();
    gauges.peersAlive = static_cast<int>(fleet->alive().size());
    gauges.upstreams = static_cast<int>(clusterState.upstreams.size());
    gauges.requestsInProgress = forwarder->activeCount();
    gauges.logLinesDropped = log.dropped();
    gauges.isReady = isReady();
    gauges.unreachableServices = static_cast<int>(clusterState.reachability.unreachable().size());
    gauges.heldContents = static_cast<int>(clusterState.quarantine.heldCount());
    gauges.answerBytes = forwarder->answerBytes();
    gauges.bodyBytes = requestMemory->bodyBytes();
    gauges.connectionBytes = requestMemory->connectionBytes();
    gauges.slowEngines = clusterState.engineSpeed.slowCount(clock.now());
    gauges.configurationAge = clock.now() - clusterState.routesKnownAt;
    exchange.respond(OkStatus, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics.text(gauges));
}

std::vector<StorePeer> EntryNode::Private::storePeers() const
{
    std::vector<StorePeer> result;
    for (const Peer *peer : fleet->scopePeers()) {
        result.push_back(StorePeer { peer->id, peer->capacity, peer->isLeaving, peer->isReadingStore, peer->readRevision,
            peer->lastReceivedAt, peer->readingStoreSince });
    }
    return result;
}

void EntryNode::Private::updateStoreReading()
{
    const std::vector<StorePeer> readers = storePeers();
    const bool isCurrent = store->hasReadAll() && store->timeSinceLastAnswer() == Duration(0);
    const StoreReaderDecision readerDecision = storeReaderElection.decide(fleet->isDivided(), isCurrent, store->revision(), readers,
        clock.now(), clusterState.routesKnownAt, clusterState.upstreams.nextRemovalTime());
    if (std::exchange(isStoreReader, readerDecision.readsItself) != readerDecision.readsItself) {
        log.write(EventLog::Severity::Important, "store", "turn",
            { { "reads", readerDecision.readsItself }, { "neighbours", static_cast<std::int64_t>(readers.size()) } });
    }
    store->setFollowing(!readerDecision.readsItself);
    for (const Peer *peer : fleet->scopePeers()) {
        if (peer->id == readerDecision.fetchFrom) {
            storeReaderElection.onFetched(clock.now());
            peers->fetchNow(*peer, [this](bool hasSucceeded) {
                if (!hasSucceeded) {
                    storeReaderElection.onFetchFailed(clock.now());
                    updateStoreReading();
                }
            });
            return;
        }
    }
}

// Other nodes may have a configuration with a higher limit already, so the peers' limit is not lowered.
void EntryNode::Private::applyCallerLimits()
{
    if (clusterState.routes == nullptr || isLeaving) {
        return;
    }
    const CallerLimits &limits = clusterState.routes->limits();
    callerServer->setHeadTimeout(limits.idleTimeout + limits.headerTimeout);
    const std::size_t bytes = limits.headerBytes;
    applyHeaderLimit(callerServer, bytes);
    applyHeaderLimit(readinessServer, bytes);
    applyHeaderLimit(directoryServer, bytes);
    applyHeaderLimit(peerServer, std::max(bytes + RelayHeaderBytes, peerServer->maxHeaderBytes()));
}

void EntryNode::Private::applyHeaderLimit(HttpServer *&server, std::size_t bytes)
{
    if (bytes == server->maxHeaderBytes()) {
        return;
    }
    const bool isHandedOver = !server->setMaxHeaderBytes(bytes);
    if (isHandedOver) {
        auto successor = server->handOver(bytes);
        if (!successor.isOk()) {
            log.write(EventLog::Severity::Important, "node", "no_listener", { { "reason", successor.error().detail } });
            loop.stop();
            return;
        }
        const auto replaced =
            std::find_if(servers.begin(), servers.end(), [server](const auto &candidate) { return candidate.get() == server; });
        replacedServers.push_back(std::exchange(*replaced, std::move(successor.value())));
        server = replaced->get();
        loop.add(server);
    }
    log.write(EventLog::Severity::Important, "node", "header_limit",
        { { "bytes", static_cast<std::int64_t>(bytes) }, { "newConnections", isHandedOver } });
}

void EntryNode::Private::logLimits()
{
    if (limitsMet.empty() || clock.now() - limitsLoggedAt < LimitLogInterval) {
        return;
    }
    limitsLoggedAt = clock.now();
    for (const auto &[limit, count] : std::exchange(limitsMet, {})) {
        log.write(EventLog::Severity::Important, "node", "client_limit",
            { { "limit", std::string(clientLimitName(limit)) }, { "clients", count } });
    }
}

void EntryNode::Private::removeReplacedServers()
{
    std::erase_if(replacedServers, [this](const std::unique_ptr<HttpServer> &server) {
        if (server->connectionCount() > 0) {
            return false;
        }
        loop.remove(server.get());
        return true;
    });
}

void EntryNode::Private::checkConnections()
{
    updateStoreReading();
    applyCallerLimits();
    logLimits();
    for (const auto &server : servers) {
        server->checkConnections();
    }
    for (const auto &server : replacedServers) {
        server->checkConnections();
    }
    removeReplacedServers();
    checkSignals();
    loop.after(GoneCheckInterval, [this] { checkConnections(); });
}

void EntryNode::Private::checkSignals()
{
    if (isReloadRequested.exchange(false)) {
        log.write(EventLog::Severity::Important, "node", "reload", {});
    }
    if (isDrainRequested && !isLeaving) {
        beginDrain();
    }
    if (isLeaving) {
        checkDrained();
    }
}

void EntryNode::Private::beginDrain()
{
    isLeaving = true;
    drainStartedAt = clock.now();
    log.write(EventLog::Severity::Important, "node", "draining", { { "active", std::int64_t(forwarder->activeCount()) } });
    fleet->leave();
}

void EntryNode::Private::checkDrained()
{
    const Duration elapsed = clock.now() - drainStartedAt;
    const Duration longest = settings.grace - ReserveBeforeKill;
    if (!isListenerClosed && elapsed >= AcceptAllAfterDrain) {
        isListenerClosed = true;
        callerServer->stopAccepting();
        forwarder->onClusterStateChanged(); // Waiting requests that might not end in time are refused.
    }
    if (elapsed >= longest && !requestsEndedAt) {
        requestsEndedAt = clock.now();
        forwarder->endAll();
    }
    const bool areReplacedIdle = std::all_of(replacedServers.begin(), replacedServers.end(),
        [](const std::unique_ptr<HttpServer> &server) { return server->activeCount() == 0; });
    const bool isIdle =
        forwarder->activeCount() == 0 && callerServer->activeCount() == 0 && peerServer->activeCount() == 0 && areReplacedIdle;
    const bool isFlushed = requestsEndedAt && clock.now() - *requestsEndedAt >= TimeToFlush;
    if ((isIdle && elapsed >= LingerAfterDrain) || isFlushed) {
        log.write(EventLog::Severity::Important, "node", "stopped",
            { { "active", std::int64_t(forwarder->activeCount()) }, { "drainedMs", elapsed.milliseconds() } });
        loop.stop();
    }
}

EntryNode::EntryNode() = default;

EntryNode::~EntryNode() = default;

Result<std::unique_ptr<EntryNode>> EntryNode::start(const Platform::ProcessSettings &settings)
{
    std::unique_ptr<EntryNode> node(new EntryNode);
    node->d = std::make_unique<Private>(settings);
    const auto opened = node->d->open();
    if (!opened.isOk()) {
        return opened.error();
    }
    node->d->log.write(EventLog::Severity::Important, "node", "started",
        { { "callers", settings.callerAddress }, { "zone", settings.zone.value() }, { "store", settings.storeAddress } });
    return node;
}

void EntryNode::run()
{
    d->loop.onDelayed([this](Duration delay) {
        d->log.write(EventLog::Severity::Important, "node", "delayed", { { "byMs", delay.milliseconds() } });
    });
    d->store->start();
    d->orders->start();
    d->checkConnections();
    d->loop.run();
}

void EntryNode::drain()
{
    d->isDrainRequested = true;
}

void EntryNode::reload()
{
    d->isReloadRequested = true;
}

namespace
{

std::atomic<EntryNode *> runningNode { nullptr };
std::atomic<bool> isDrainRequestedEarly { false };

void handleSignal(int signal)
{
    EntryNode *node = runningNode;
    if (signal == SIGHUP) {
        // A node that is still starting reads the changed settings anyway.
        if (node != nullptr) {
            node->reload();
        }
    } else if (node != nullptr) {
        node->drain();
    } else {
        isDrainRequestedEarly = true;
    }
}

} // namespace

void installSignalHandlers()
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c): a write to a closed connection must not end the process
    for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
        std::signal(signal, &handleSignal); // NOLINT(cert-err33-c): cannot fail for these signals
    }
}

int runEntryNode()
{
    constexpr int UsageExit = 2;
    installSignalHandlers();
    const auto settings = Platform::loadSettings();
    if (!settings.isOk()) {
        std::cerr << "settings: " << settings.error().detail << "\n";
        return UsageExit;
    }
    // A single malloc arena, so that memory freed by one part of the program is reused by the others.
    mallopt(M_ARENA_MAX, 1);
    // A fixed threshold, so that large bodies and answers are blocks of their own, which go back to the system as soon as they are freed.
    mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
    auto node = EntryNode::start(settings.value());
    if (!node.isOk()) {
        std::cerr << "settings: " << node.error().detail << "\n";
        return UsageExit;
    }
    runningNode = node.value().get();
    if (isDrainRequestedEarly) {
        node.value()->drain();
    }
    node.value()->run();
    runningNode = nullptr;
    return 0;
}

} // namespace ApricotStep
