#include "main/entry/fleetlink.h"

#include "coordination/reportbudget.h"
#include "core/hash.h"
#include "protocol/fleetcodec.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace ApricotStep
{

namespace
{

// A lease holder sends the residencies of all its engines again this often, for nodes that have just started or lost a datagram.
constexpr Duration ResidencyInterval { 2000 };
// Addresses of other nodes in one heartbeat. With five heartbeats a second, the larger number names all nodes of a small fleet to a new
// node within a second. Later the smaller one keeps all lists complete and saves a fifth of the bytes.
constexpr std::size_t ContactsAtStart = 6;
constexpr std::size_t ContactsLater = 1;
// Addresses take some 20 bytes each: the message to a new peer stays below the size that every link carries without fragmentation.
constexpr std::size_t ContactsForNewPeer = 24;
constexpr Duration StartupTime = Duration::seconds(5);
// Pending adapters of requests that arrive together are sent in one message.
constexpr Duration PendingAdaptersDelay { 3 };
// Upstreams that end under the same requests are told in one message.
constexpr Duration QuarantineDelay { 20 };
// Each node tells all it knows of held content at this interval if there are few nodes, and so many of them if there are more.
constexpr Duration QuarantineInterval = Duration::seconds(2);
constexpr double QuarantineRepeaters = 8;
// A peer that has sent nothing for this long is removed.
constexpr Duration PeerTimeout = Duration::seconds(60);
// Limits the residencies in one datagram by their copies, of about a dozen bytes each, to the size that every link carries without
// fragmentation.
constexpr std::size_t MaxCopiesInDatagram = 60;
// Nodes that are asked where a stream began: some of them may have started a moment ago and not know it. Nodes of another scope know only
// the streams of that scope.
constexpr std::size_t AskedScopePeers = 6;
constexpr std::size_t AskedPeersOfOtherScope = 2;
// What a node spends on reports of the speed of engines, of the 2 KB/s that control may take.
constexpr double SpeedBytesPerSecond = 500;
constexpr double SpeedReportBytes = 32;
constexpr EventLog::Severity Important = EventLog::Severity::Important;

} // namespace

struct FleetLink::Private : std::enable_shared_from_this<FleetLink::Private>
{
    IoLoop &loop;
    EventLog &log;
    ClusterState &clusterState;
    FleetIdentity identity;
    Callbacks callbacks;
    FleetScopeLimits scopeLimits;
    FleetScope scope;
    ShardMap shards;
    LeaseVoters voters;
    std::vector<OrderLease> leases;
    std::unique_ptr<UdpSocket> socket;
    std::map<NodeId, Peer> peers;
    /** The number of peers at each peer address. */
    absl::flat_hash_map<std::string, int> peersByAddress;
    /** Addresses that peers named of nodes that have not sent anything yet, and until when this node sends to them. */
    std::map<std::string, Time> contacts;
    std::mt19937_64 random { std::random_device {}() };
    ReportBudget speedBudget { SpeedBytesPerSecond, SpeedReportBytes };
    /** The residencies that this node announced, to be sent again. */
    std::map<UpstreamId, EngineResidency> ownResidencies;
    const Time startedAt;
    Time lastClockReading;
    Time residenciesSentAt;
    bool isLeaving = false;
    bool isPendingSendScheduled = false;
    bool isQuarantineSendScheduled = false;
    Time quarantineRepeatedAt;
    std::vector<EngineShard> releasedShards;
    std::vector<NodeId> lastHolders;
    FleetKnowledge lastKnowledge = FleetKnowledge::None;
    std::optional<int> fleetSize;
    /** When a message was last sent to the nodes that share no engines with this one. */
    Time outOfScopeSentAt;

    Private(IoLoop &loop, EventLog &log, ClusterState &clusterState, FleetIdentity identity, OrderLeaseLimits limits, Callbacks callbacks)
        : loop(loop)
        , log(log)
        , clusterState(clusterState)
        , identity(std::move(identity))
        , callbacks(std::move(callbacks))
        , scope(scopeLimits, this->identity.zone)
        , shards(this->identity.zones)
        , voters(LeaseVoterLimits {}, this->identity.id)
        , startedAt(loop.clock().now())
        , lastHolders(shards.count())
    {
        for (std::uint64_t index = 0; index < shards.count(); ++index) {
            const EngineShard shard(index);
            leases.emplace_back(limits, shard, this->identity.id, this->identity.incarnation, voters, loop.clock().now(),
                LeasePriority { shards.zoneOf(shard), this->identity.zone, this->identity.capacity });
        }
    }
    bool isDivided() const
    {
        return !scope.zone().isEmpty();
    }
    bool isAlive(const Peer &peer) const
    {
        return now() - peer.lastReceivedAt <= peer.heartbeatTimeout;
    }
    /** Whether this node uses the engines of @p shard. */
    bool isInScope(EngineShard shard) const
    {
        return shards.zoneOf(shard).isEmpty() || scope.covers(shards.zoneOf(shard));
    }
    bool holdsLaterShard(std::size_t shard) const
    {
        return std::any_of(leases.begin() + static_cast<std::ptrdiff_t>(shard) + 1, leases.end(),
            [this](const OrderLease &lease) { return lease.isHolder(now()); });
    }
    bool holdsAnyShard() const
    {
        return std::any_of(leases.begin(), leases.end(), [this](const OrderLease &lease) { return lease.isHolder(now()); });
    }

    /** The time of the event that is being handled: the last reading of the clock or the loop's time, whichever is later. */
    Time now() const
    {
        return std::max(lastClockReading, loop.now());
    }
    // Called for each datagram and timer. After the process was suspended, a lease grant dated with the loop's older time would end sooner
    // than its holder assumes.
    void readClock()
    {
        lastClockReading = loop.clock().now();
    }
    FleetMessage baseMessage() const;
    FleetMessage loadMessage();
    std::size_t scopePeerCount() const;
    bool isQuarantineRepeatDue();
    void sendQuarantine();
    std::set<NodeId> holders() const;
    std::vector<UpstreamLoad> engineLoads();
    void sendUsesOutOfScope(const FleetMessage &message);
    void sendPendingAdapters();
    EngineShard creditShard(const CreditAccount &account) const
    {
        return EngineShard(stableHash(account.name) % shards.count());
    }
    std::vector<CreditGrant> answerCreditQueries(const NodeId &from, Incarnation incarnation, const std::vector<CreditQuery> &queries);
    std::vector<CreditAccount> sendCreditQueries(const std::vector<CreditQuery> &queries);
    int sendStreamQuery(const StreamQuery &query);
    void answerStreamQueries(const FleetMessage &message);
    std::set<std::string> unconfirmedAddresses() const;
    void sendToAll(const FleetMessage &message);
    std::vector<const Peer *> peersWhere(const std::function<bool(const Peer &)> &isWanted) const;
    void sendTo(const NodeId &peer, const FleetMessage &message);
    void sendLoad(const FleetMessage &message, MessageUrgency urgency);
    bool usesEnginesOf(const Peer &peer, const ZoneId &zone) const;
    void updateScope();
    void heartbeat();
    void sendResidencies(const std::vector<EngineResidency> &residencies);
    void onDatagram(std::string_view bytes);
    void onMessage(const FleetMessage &message);
    void updatePeer(const FleetMessage &message);
    void addAddress(const std::string &address);
    void removeAddress(const std::string &address);
    bool hasReadFurtherInScope(const Peer &peer) const;
    void addContacts(const FleetMessage &message);
    std::vector<std::string> randomContacts(std::size_t count);
    void sendContacts(const FleetMessage &from);
    void logHolderChanges();
    void logFleetKnowledge();
    void tick();
};

FleetMessage FleetLink::Private::baseMessage() const
{
    FleetMessage message;
    message.sender = identity.id;
    message.incarnation = identity.incarnation;
    message.zone = identity.zone;
    message.scope = scope.zone();
    message.capacity = identity.capacity;
    message.requestRate = callbacks.requestRate();
    // For a message to all nodes: a receiver that rarely gets messages of this node must not consider it dead in between.
    message.interval = scope.zone().isEmpty() ? scopeLimits.inScopeInterval : scopeLimits.outOfScopeInterval;
    message.callerAddress = identity.callerAddress;
    message.peerAddress = identity.peerAddress;
    const StoreReadState readState = callbacks.storeReadState();
    message.readRevision = readState.revision;
    message.isReadingStore = readState.isReading;
    message.storeReadingTime = readState.readingTime;
    message.isReady = callbacks.isReady() && !isLeaving;
    message.isLeaving = isLeaving;
    message.hasOutdatedKeys = callbacks.hasOutdatedKeys();
    message.unreachableServices = clusterState.reachability.unreachable();
    message.releases = releasedShards;
    message.uptime = now() - startedAt;
    message.rememberedNodes = static_cast<std::uint32_t>(voters.count(now()));
    message.isFleetKnown = voters.knowledge() != FleetKnowledge::None;
    const ReportedFleetSize reported = voters.reportedSize(now());
    message.reportedNodes = static_cast<std::uint32_t>(reported.nodes);
    message.reportedAgo = reported.nodes > 0 ? now() - reported.at : Duration(0);
    for (const OrderLease &lease : leases) {
        if (const auto order = lease.lastOrder(now())) {
            message.lastOrders.push_back(*order);
        }
    }
    message.configVersion = clusterState.routes != nullptr ? clusterState.routes->version() : ConfigVersion();
    return message;
}

FleetMessage FleetLink::Private::loadMessage()
{
    FleetMessage message = baseMessage();
    NodeLoadReport loadReport = callbacks.loadReport();
    message.loads = std::move(loadReport.loads);
    message.uses = std::move(loadReport.uses);
    message.store = clusterState.loadEstimator.view();
    message.upstreamLimits = clusterState.upstreamLimits.statements(now());
    message.upstreamRests = clusterState.upstreamRests.own(now());
    message.engineSpeeds = clusterState.engineSpeed.takeReports(now());
    message.engineSpeeds.resize(speedBudget.take(message.engineSpeeds.size(), scopePeerCount(), now()));
    message.leavingUpstreams = clusterState.upstreams.heardLeaving(now());
    message.brittleUpstreams = clusterState.brittleUpstreams.statements(now());
    const auto isNeeded = [this](const ServiceName &service) { return !clusterState.softwareHistory.soleVersion(service, now()); };
    message.begunStreams = clusterState.streamOrigins.takeAnnouncements(isNeeded, now());
    message.quarantine = clusterState.quarantine.statements(isQuarantineRepeatDue(), now());
    return message;
}

std::size_t FleetLink::Private::scopePeerCount() const
{
    return static_cast<std::size_t>(std::count_if(
        peers.begin(), peers.end(), [this](const auto &entry) { return scope.isScopePeer(entry.second.zone, entry.second.scope); }));
}

bool FleetLink::Private::isQuarantineRepeatDue()
{
    if (clusterState.quarantine.heldCount() == 0 || now() - quarantineRepeatedAt < QuarantineInterval) {
        return false;
    }
    quarantineRepeatedAt = now();
    return std::bernoulli_distribution(std::min(1.0, QuarantineRepeaters / static_cast<double>(peers.size() + 1)))(random);
}

void FleetLink::Private::sendQuarantine()
{
    readClock();
    isQuarantineSendScheduled = false;
    FleetMessage message = baseMessage();
    message.quarantine = clusterState.quarantine.statements(false, now());
    if (!message.quarantine.isEmpty()) {
        sendToAll(message);
    }
}

// Seeds and contacts from which no message has come yet.
std::set<std::string> FleetLink::Private::unconfirmedAddresses() const
{
    std::set<std::string> result(identity.seeds.begin(), identity.seeds.end());
    for (const auto &[address, until] : contacts) {
        result.insert(address);
    }
    result.erase(identity.peerAddress);
    std::erase_if(result, [this](const std::string &address) { return peersByAddress.contains(address); });
    return result;
}

std::vector<const Peer *> FleetLink::Private::peersWhere(const std::function<bool(const Peer &)> &isWanted) const
{
    std::vector<const Peer *> result;
    for (const auto &[id, peer] : peers) {
        if (isWanted(peer)) {
            result.push_back(&peer);
        }
    }
    return result;
}

void FleetLink::Private::sendTo(const NodeId &peer, const FleetMessage &message)
{
    const auto at = peers.find(peer);
    if (at != peers.end()) {
        socket->send(at->second.peerAddress, encodeFleetMessage(message));
    }
}

void FleetLink::Private::sendToAll(const FleetMessage &message)
{
    const std::string bytes = encodeFleetMessage(message);
    for (const auto &[id, peer] : peers) {
        socket->send(peer.peerAddress, bytes);
    }
    for (const std::string &address : unconfirmedAddresses()) {
        socket->send(address, bytes);
    }
}

// Only lease holders need to know the adapters in use, and only the nodes that use the same engines need to know the load there. All others
// just count this node's vote: they get its urgent messages, and otherwise a message at a longer interval.
void FleetLink::Private::sendLoad(const FleetMessage &message, MessageUrgency urgency)
{
    FleetMessage inScopeMessage = message;
    inScopeMessage.interval = scopeLimits.inScopeInterval;
    FleetMessage holderMessage = inScopeMessage;
    inScopeMessage.uses.clear();
    const std::string holderBytes = encodeFleetMessage(holderMessage);
    const std::string inScopeBytes = encodeFleetMessage(inScopeMessage);
    const bool isStarting = now() - startedAt < StartupTime;
    const bool isOutOfScopeDue = now() - outOfScopeSentAt >= outOfScopeInterval(scopeLimits, urgency, isStarting);
    std::string outOfScopeBytes;
    if (isOutOfScopeDue && isDivided()) {
        outOfScopeSentAt = now();
        FleetMessage outOfScopeMessage = message;
        outOfScopeMessage.uses.clear();
        outOfScopeMessage.loads.reset();
        outOfScopeMessage.begunStreams.clear();
        outOfScopeMessage.engineSpeeds.clear();
        outOfScopeMessage.engineLoads = engineLoads();
        outOfScopeBytes = encodeFleetMessage(outOfScopeMessage);
    }
    const std::set<NodeId> orderHolders = holders();
    for (const auto &[id, peer] : peers) {
        if (orderHolders.contains(id)) {
            socket->send(peer.peerAddress, holderBytes);
        } else if (scope.isScopePeer(peer.zone, peer.scope)) {
            socket->send(peer.peerAddress, inScopeBytes);
        } else if (!outOfScopeBytes.empty()) {
            socket->send(peer.peerAddress, outOfScopeBytes);
        }
    }
    for (const std::string &address : unconfirmedAddresses()) {
        socket->send(address, inScopeBytes);
    }
}

// The load at the engines that this node gives orders to, for the nodes that do not use them otherwise.
std::vector<UpstreamLoad> FleetLink::Private::engineLoads()
{
    std::vector<UpstreamLoad> result;
    for (const auto &[id, residency] : ownResidencies) {
        const UpstreamRecord *record = clusterState.upstreams.usable(id);
        const bool isOwn = record != nullptr && leases[shards.shardOf(*record).value()].isHolder(now());
        if (isOwn && clusterState.outliers.isReachable(id, now()) && clusterState.outliers.share(id, now()) >= 1) {
            const FleetLoad load = clusterState.loadTracker.load(id, now());
            result.push_back(UpstreamLoad { id, static_cast<std::uint32_t>(load.running), static_cast<std::uint32_t>(load.pendingTokens),
                static_cast<std::uint32_t>(std::min<double>(load.reservedTokens, std::numeric_limits<std::uint32_t>::max())) });
        }
    }
    return result;
}

// Requests may run at engines of other scopes. The holders there must know the adapters in use, or they would evict them.
void FleetLink::Private::sendUsesOutOfScope(const FleetMessage &message)
{
    std::map<NodeId, FleetMessage> byHolder;
    for (const AdapterUse &use : message.uses) {
        const UpstreamRecord *record = clusterState.upstreams.usable(use.engine);
        if (record == nullptr || isInScope(shards.shardOf(*record))) {
            continue;
        }
        FleetMessage &toHolder = byHolder[leases[shards.shardOf(*record).value()].holder(now())];
        toHolder.uses.push_back(use);
        const auto load = std::find_if(
            message.loads->begin(), message.loads->end(), [&use](const UpstreamLoad &entry) { return entry.upstream == use.engine; });
        if (!toHolder.loads) {
            toHolder.loads.emplace();
        }
        if (load != message.loads->end() && std::find(toHolder.loads->begin(), toHolder.loads->end(), *load) == toHolder.loads->end()) {
            toHolder.loads->push_back(*load);
        }
    }
    for (const auto &[holder, part] : byHolder) {
        const auto at = peers.find(holder);
        if (at == peers.end()) {
            continue;
        }
        FleetMessage toHolder = baseMessage();
        toHolder.uses = part.uses;
        toHolder.loads = part.loads;
        socket->send(at->second.peerAddress, encodeFleetMessage(toHolder));
    }
}

std::set<NodeId> FleetLink::Private::holders() const
{
    std::set<NodeId> result;
    for (std::size_t shard = 0; shard < leases.size(); ++shard) {
        if (isInScope(EngineShard(shard))) {
            result.insert(leases[shard].holder(now()));
        }
    }
    return result;
}

void FleetLink::Private::sendPendingAdapters()
{
    readClock();
    isPendingSendScheduled = false;
    FleetMessage message = baseMessage();
    message.uses = callbacks.pendingAdapters();
    message.interval = scopeLimits.inScopeInterval; // Holders get load messages at this interval, whatever their scope.
    if (message.uses.empty()) {
        return;
    }
    const std::string bytes = encodeFleetMessage(message);
    for (const NodeId &holder : holders()) {
        const auto at = peers.find(holder);
        if (at != peers.end()) {
            socket->send(at->second.peerAddress, bytes);
        }
    }
}

std::vector<CreditGrant> FleetLink::Private::answerCreditQueries(
    const NodeId &from, Incarnation incarnation, const std::vector<CreditQuery> &queries)
{
    std::vector<CreditGrant> grants;
    for (const CreditQuery &query : queries) {
        const EngineShard shard = creditShard(query.account);
        const OrderLease &lease = leases[shard.value()];
        if (!lease.isHolder(now())) {
            continue;
        }
        callbacks.onShardHeld(shard.value(), lease.greatestFence());
        if (const auto grant = callbacks.onCreditQuery(shard.value(), from, incarnation, query)) {
            grants.push_back(*grant);
        }
    }
    return grants;
}

std::vector<CreditAccount> FleetLink::Private::sendCreditQueries(const std::vector<CreditQuery> &queries)
{
    readClock();
    std::map<NodeId, std::vector<CreditQuery>> byHolder;
    for (const CreditQuery &query : queries) {
        byHolder[leases[creditShard(query.account).value()].holder(now())].push_back(query);
    }
    std::vector<CreditAccount> withoutHolder;
    for (const auto &[holder, asked] : byHolder) {
        if (holder == identity.id) {
            callbacks.onCreditGrants(answerCreditQueries(identity.id, identity.incarnation, asked));
            continue;
        }
        const auto at = peers.find(holder);
        if (at == peers.end()) {
            for (const CreditQuery &query : asked) {
                withoutHolder.push_back(query.account);
            }
            continue;
        }
        FleetMessage message = baseMessage();
        message.creditQueries = asked;
        // The holder may not know a limit yet that an upstream has just stated.
        message.upstreamLimits = clusterState.upstreamLimits.statements(now());
        socket->send(at->second.peerAddress, encodeFleetMessage(message));
    }
    return withoutHolder;
}

int FleetLink::Private::sendStreamQuery(const StreamQuery &query)
{
    readClock();
    std::map<ZoneId, std::vector<const Peer *>> byScope;
    for (const auto &[id, peer] : peers) {
        if (isAlive(peer)) {
            byScope[scope.isScopePeer(peer.zone, peer.scope) ? scope.zone() : peer.scope].push_back(&peer);
        }
    }
    FleetMessage message = baseMessage();
    message.streamQueries = { query };
    const std::string bytes = encodeFleetMessage(message);
    int asked = 0;
    for (auto &[zone, members] : byScope) {
        std::shuffle(members.begin(), members.end(), random);
        members.resize(std::min(members.size(), zone == scope.zone() ? AskedScopePeers : AskedPeersOfOtherScope));
        for (const Peer *peer : members) {
            socket->send(peer->peerAddress, bytes);
            ++asked;
        }
    }
    return asked;
}

void FleetLink::Private::answerStreamQueries(const FleetMessage &message)
{
    if (message.streamQueries.empty()) {
        return;
    }
    FleetMessage answer = baseMessage();
    for (const StreamQuery &query : message.streamQueries) {
        answer.streamAnswers.push_back(StreamAnswer { query, clusterState.originOf(query, now()) });
    }
    socket->send(message.peerAddress, encodeFleetMessage(answer));
}

std::vector<std::string> FleetLink::Private::randomContacts(std::size_t count)
{
    std::vector<std::string> known;
    for (const auto &[id, peer] : peers) {
        if (isAlive(peer) && !peer.isLeaving) {
            known.push_back(peer.peerAddress);
        }
    }
    std::shuffle(known.begin(), known.end(), random);
    known.resize(std::min(known.size(), count));
    return known;
}

// Contacts count towards the majority from now on. If nodes knew only the seeds, each would assume a fleet of four nodes, and there
// could be several majorities at once.
void FleetLink::Private::addContacts(const FleetMessage &message)
{
    contacts.erase(message.peerAddress);
    for (const std::string &address : message.contacts) {
        if (!peersByAddress.contains(address) && address != identity.peerAddress && contacts.emplace(address, now() + PeerTimeout).second) {
            voters.addAddress(address, now());
        }
    }
    std::erase_if(contacts, [this](const auto &entry) { return now() > entry.second; });
}

void FleetLink::Private::heartbeat()
{
    updateScope();
    FleetMessage message = loadMessage();
    message.contacts = randomContacts(now() - startedAt < StartupTime ? ContactsAtStart : ContactsLater);
    MessageUrgency urgency = message.releases.empty() && !message.isLeaving ? MessageUrgency::Heartbeat : MessageUrgency::Immediate;
    for (std::size_t shard = 0; shard < leases.size(); ++shard) {
        const bool holdsOther = !message.claims.empty() || holdsLaterShard(shard);
        const bool isHeld = leases[shard].isHolder(now());
        if (isHeld) {
            callbacks.onShardHeld(shard, leases[shard].greatestFence());
        }
        if (const auto claim = leases[shard].claim(message.isReady, holdsOther, now(), loop.clock().wallTime())) {
            message.claims.push_back(*claim);
            urgency = std::max(urgency, isHeld ? MessageUrgency::Renewal : MessageUrgency::Immediate);
        }
    }
    sendLoad(message, urgency);
    if (isDivided()) {
        sendUsesOutOfScope(message);
    }
    if (holdsAnyShard() && now() - residenciesSentAt >= ResidencyInterval) {
        residenciesSentAt = now();
        std::vector<EngineResidency> residencies;
        for (const auto &[id, residency] : ownResidencies) {
            residencies.push_back(residency);
        }
        sendResidencies(residencies);
    }
    logHolderChanges();
}

// Sends the residencies of each zone's engines to the nodes that use these engines.
void FleetLink::Private::sendResidencies(const std::vector<EngineResidency> &residencies)
{
    std::map<ZoneId, std::vector<EngineResidency>> byZone;
    for (const EngineResidency &residency : residencies) {
        const UpstreamRecord *record = clusterState.upstreams.usable(residency.engine);
        if (record != nullptr) {
            byZone[shards.zoneOf(shards.shardOf(*record))].push_back(residency);
        }
    }
    for (const auto &[zone, zoneResidencies] : byZone) {
        for (std::size_t next = 0; next < zoneResidencies.size();) {
            FleetMessage message = baseMessage();
            for (std::size_t copies = 0; next < zoneResidencies.size() && copies < MaxCopiesInDatagram; ++next) {
                copies += zoneResidencies[next].copies.size();
                message.residencies.push_back(zoneResidencies[next]);
            }
            const std::string bytes = encodeFleetMessage(message);
            for (const auto &[id, peer] : peers) {
                if (usesEnginesOf(peer, zone)) {
                    socket->send(peer.peerAddress, bytes);
                }
            }
        }
    }
}

bool FleetLink::Private::usesEnginesOf(const Peer &peer, const ZoneId &zone) const
{
    return zone.isEmpty() || peer.scope.isEmpty() || peer.scope == zone;
}

void FleetLink::Private::updateScope()
{
    int alive = 1;
    for (const auto &[id, peer] : peers) {
        alive += isAlive(peer) ? 1 : 0;
    }
    std::set<ZoneId> engineZones;
    if (clusterState.routes != nullptr) {
        for (const RoutedService &service : clusterState.routes->services()) {
            if (service.engine) {
                for (const UpstreamRecord *record : clusterState.upstreams.usable(service.name)) {
                    engineZones.insert(record->zone);
                }
            }
        }
    }
    scope.update(alive, engineZones);
    if (clusterState.engineScope != scope.zone()) {
        clusterState.engineScope = scope.zone();
        log.write(Important, "fleet", "scope", { { "zone", scope.zone().value() }, { "alive", std::int64_t(alive) } });
    }
}

void FleetLink::Private::onDatagram(std::string_view bytes)
{
    readClock();
    const auto message = decodeFleetMessage(bytes);
    if (!message.isOk()) {
        log.write(Important, "fleet", "bad_datagram", { { "reason", message.error().detail } });
        return;
    }
    if (message.value().sender != identity.id) {
        onMessage(message.value());
    }
}

void FleetLink::Private::addAddress(const std::string &address)
{
    ++peersByAddress[address];
}

void FleetLink::Private::removeAddress(const std::string &address)
{
    const auto at = peersByAddress.find(address);
    if (at != peersByAddress.end() && --at->second == 0) {
        peersByAddress.erase(at);
    }
}

// Whether this node can fetch from the peer what it has not read yet. Entries of the store change many times a second, and each message of
// each peer shows a further revision.
bool FleetLink::Private::hasReadFurtherInScope(const Peer &peer) const
{
    return peer.isReadingStore && scope.isScopePeer(peer.zone, peer.scope) && peer.readRevision > callbacks.storeReadState().revision;
}

void FleetLink::Private::updatePeer(const FleetMessage &message)
{
    const auto [at, isNew] = peers.try_emplace(message.sender);
    Peer &peer = at->second;
    if (peer.peerAddress != message.peerAddress) {
        if (!isNew) {
            removeAddress(peer.peerAddress);
        }
        addAddress(message.peerAddress);
    }
    const bool hasReadFurther = message.readRevision > peer.readRevision;
    const bool isChanged = isNew || peer.isReady != message.isReady || peer.isLeaving != message.isLeaving;
    const Time readingStoreSince = message.storeReadingTime > Duration() ? now() - message.storeReadingTime : Time::never();
    peer = Peer { message.sender, message.zone, message.scope, message.callerAddress, message.peerAddress, message.isReady,
        message.isLeaving, message.hasOutdatedKeys, message.configVersion, now(), message.capacity, message.requestRate,
        message.readRevision, message.isReadingStore, readingStoreSince,
        heartbeatTimeout(std::max(scopeLimits.inScopeInterval, message.interval)), message.unreachableServices };
    if (isChanged) {
        log.write(Important, "fleet", "peer", { { "peer", peer.id.value() }, { "ready", peer.isReady }, { "leaving", peer.isLeaving } });
    }
    const ConfigVersion own = clusterState.routes != nullptr ? clusterState.routes->version() : ConfigVersion();
    if (peer.configVersion > own) {
        callbacks.onNewerConfiguration(peer);
    }
    if (hasReadFurther && hasReadFurtherInScope(peer)) {
        callbacks.onPeerReadFurther();
    }
}

// A peer that was unknown has just started or returns from a network partition. It gets many contacts at once, instead of collecting them
// from heartbeats over the next seconds.
void FleetLink::Private::sendContacts(const FleetMessage &from)
{
    FleetMessage answer = baseMessage();
    answer.contacts = randomContacts(ContactsForNewPeer);
    answer.store = clusterState.loadEstimator.view();
    answer.quarantine = clusterState.quarantine.statements(true, now());
    socket->send(from.peerAddress, encodeFleetMessage(answer));
}

void FleetLink::Private::onMessage(const FleetMessage &message)
{
    const bool isNew = !peers.contains(message.sender);
    updatePeer(message);
    addContacts(message);
    if (isNew) {
        sendContacts(message);
    }
    voters.onMessage(message, now());
    std::vector<LeaseGrant> grants;
    for (OrderLease &lease : leases) {
        if (const auto grant = lease.onMessage(message, now())) {
            grants.push_back(*grant);
        }
    }
    if (!grants.empty()) {
        FleetMessage answer = baseMessage();
        answer.grants = std::move(grants);
        if (scope.isScopePeer(message.zone, message.scope)) {
            answer.interval = scopeLimits.inScopeInterval;
        }
        socket->send(message.peerAddress, encodeFleetMessage(answer));
    }
    clusterState.upstreamRests.onPeerRests(message.upstreamRests, now());
    clusterState.engineSpeed.onPeerSpeeds(message.sender, message.engineSpeeds, now());
    if (!message.leavingUpstreams.empty()) {
        callbacks.onLeavingUpstreams(message.leavingUpstreams);
    }
    if (!message.upstreamLimits.empty()) {
        callbacks.onUpstreamLimits(message.sender, message.upstreamLimits);
    }
    if (!message.brittleUpstreams.empty()) {
        callbacks.onBrittleUpstreams(message.sender, message.brittleUpstreams);
    }
    if (!message.quarantine.isEmpty()) {
        callbacks.onQuarantineStatements(message.sender, message.quarantine);
    }
    if (!message.creditQueries.empty()) {
        FleetMessage answer = baseMessage();
        answer.creditGrants = answerCreditQueries(message.sender, message.incarnation, message.creditQueries);
        if (!answer.creditGrants.empty()) {
            socket->send(message.peerAddress, encodeFleetMessage(answer));
        }
    }
    for (const BegunStream &begun : message.begunStreams) {
        clusterState.streamOrigins.onAnnounced(begun, now());
    }
    answerStreamQueries(message);
    if (!message.streamAnswers.empty()) {
        callbacks.onStreamAnswers(message.streamAnswers);
    }
    if (!message.probeRequests.empty()) {
        callbacks.onProbeRequests(message.sender, message.probeRequests);
    }
    if (!message.probeResults.empty()) {
        callbacks.onProbeResults(message.sender, message.probeResults);
    }
    if (!message.creditGrants.empty()) {
        callbacks.onCreditGrants(message.creditGrants);
    }
    if (message.loads) {
        clusterState.loadTracker.onPeerLoads(message.sender, *message.loads, now());
        callbacks.onUses(message.sender, message.uses);
    } else if (!message.uses.empty()) {
        callbacks.onPendingAdapters(message.sender, message.uses);
    }
    clusterState.outOfScope.onLoads(message.engineLoads, now());
    if (message.store) {
        clusterState.loadEstimator.adopt(*message.store, now());
        if (!scope.isScopePeer(message.zone, message.scope)) {
            clusterState.loadEstimator.onOtherScope(message.scope, *message.store, now());
        }
    }
    bool isNewer = false;
    for (const EngineResidency &residency : message.residencies) {
        isNewer = clusterState.updateResidency(residency, now()) || isNewer;
    }
    if (isNewer) {
        callbacks.onResidencyChanged();
    }
}

void FleetLink::Private::logHolderChanges()
{
    for (std::size_t shard = 0; shard < leases.size(); ++shard) {
        const OrderLease &lease = leases[shard];
        const NodeId holder = lease.holder(now());
        if (holder == lastHolders[shard]) {
            continue;
        }
        lastHolders[shard] = holder;
        log.write(Important, "orders", "holder",
            { { "shard", std::int64_t(shard) }, { "holder", holder.value() },
                { "knownNodes", static_cast<std::int64_t>(voters.count(now())) },
                { "fence", static_cast<std::int64_t>(lease.greatestFence().value()) } });
    }
}

void FleetLink::Private::logFleetKnowledge()
{
    if (voters.knowledge() != lastKnowledge) {
        lastKnowledge = voters.knowledge();
        log.write(Important, "fleet", "known",
            { { "from", fleetKnowledgeName(lastKnowledge) }, { "knownNodes", static_cast<std::int64_t>(voters.count(now())) },
                { "fleetSize", static_cast<std::int64_t>(voters.fleetSize(voters.count(now()), now())) },
                { "afterMs", (now() - startedAt).milliseconds() } });
    }
}

void FleetLink::Private::tick()
{
    readClock();
    logFleetKnowledge();
    for (auto at = peers.begin(); at != peers.end();) {
        const bool isExpired = now() - at->second.lastReceivedAt > PeerTimeout;
        if (isExpired) {
            log.write(Important, "fleet", "peer_forgotten", { { "peer", at->first.value() } });
            removeAddress(at->second.peerAddress);
        }
        at = isExpired ? peers.erase(at) : std::next(at);
    }
    // A node that has just started is told of the others one after the other.
    if (now() - startedAt >= LeaseVoterLimits {}.discoveryTime && voters.reachesMajority(now())) {
        fleetSize = static_cast<int>(voters.fleetSize(voters.count(now()), now()));
    }
    heartbeat();
    loop.after(scopeLimits.inScopeInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
}

FleetLink::FleetLink(
    IoLoop &loop, EventLog &log, ClusterState &clusterState, FleetIdentity identity, OrderLeaseLimits limits, Callbacks callbacks)
    : d(std::make_shared<Private>(loop, log, clusterState, std::move(identity), limits, std::move(callbacks)))
{
}

FleetLink::~FleetLink() = default;

Result<bool> FleetLink::start()
{
    const Endpoint endpoint = parseEndpoint(d->identity.peerAddress);
    auto socket = UdpSocket::open(endpoint.ip, endpoint.port);
    if (!socket.isOk()) {
        return socket.error();
    }
    d->socket = std::move(socket.value());
    d->voters.setSeeds(d->identity.seeds, d->identity.peerAddress, d->now());
    d->loop.add(d->socket.get(), [this](std::string_view bytes, const std::string &) { d->onDatagram(bytes); });
    d->tick();
    return true;
}

void FleetLink::leave()
{
    d->readClock();
    d->isLeaving = true;
    for (std::size_t shard = 0; shard < d->leases.size(); ++shard) {
        if (d->leases[shard].isHolder(d->now())) {
            d->releasedShards.emplace_back(shard);
        }
        d->leases[shard].release();
    }
    d->sendToAll(d->baseMessage());
}

void FleetLink::sendPendingAdapters()
{
    if (d->isPendingSendScheduled) {
        return;
    }
    d->isPendingSendScheduled = true;
    d->loop.after(PendingAdaptersDelay, [weak = std::weak_ptr(d)] {
        if (const auto self = weak.lock()) {
            self->sendPendingAdapters();
        }
    });
}

void FleetLink::sendBrittleUpstreams()
{
    d->readClock();
    FleetMessage message = d->baseMessage();
    message.brittleUpstreams = d->clusterState.brittleUpstreams.statements(d->now());
    d->sendToAll(message);
}

void FleetLink::sendQuarantine()
{
    if (d->isQuarantineSendScheduled) {
        return;
    }
    d->isQuarantineSendScheduled = true;
    d->loop.after(QuarantineDelay, [weak = std::weak_ptr(d)] {
        if (const auto self = weak.lock()) {
            self->sendQuarantine();
        }
    });
}

std::optional<int> FleetLink::rankFor(std::uint64_t key) const
{
    if (d->now() - d->startedAt < StartupTime || !d->voters.reachesMajority(d->now())) {
        return std::nullopt;
    }
    const auto score = [key](const NodeId &node) { return mixHashes(key, stableHash(node.value())); };
    int rank = 0;
    for (const auto &[id, peer] : d->peers) {
        const bool isCandidate = d->isAlive(peer) && peer.isReady && !peer.isLeaving;
        rank += isCandidate && score(id) > score(d->identity.id) ? 1 : 0;
    }
    return rank;
}

std::vector<CreditAccount> FleetLink::sendCreditQueries(const std::vector<CreditQuery> &queries)
{
    return d->sendCreditQueries(queries);
}

int FleetLink::sendStreamQuery(const StreamQuery &query)
{
    return d->sendStreamQuery(query);
}

void FleetLink::sendProbeRequest(const UpstreamStart &upstream, const std::vector<NodeId> &peers)
{
    d->readClock();
    FleetMessage message = d->baseMessage();
    message.probeRequests = { upstream };
    for (const NodeId &peer : peers) {
        d->sendTo(peer, message);
    }
}

void FleetLink::sendProbeResult(const NodeId &peer, const ProbeResult &result)
{
    d->readClock();
    FleetMessage message = d->baseMessage();
    message.probeResults = { result };
    d->sendTo(peer, message);
}

void FleetLink::announce(const std::vector<EngineResidency> &residencies)
{
    for (const EngineResidency &residency : residencies) {
        d->ownResidencies[residency.engine] = residency;
        d->clusterState.updateResidency(residency, d->now());
    }
    d->sendResidencies(residencies);
    d->callbacks.onResidencyChanged();
}

const OrderLease &FleetLink::lease(EngineShard shard) const
{
    return d->leases[shard.value()];
}

const ShardMap &FleetLink::shards() const
{
    return d->shards;
}

std::optional<int> FleetLink::fleetSize() const
{
    return d->fleetSize;
}

bool FleetLink::arePlannedTogether(EngineShard one, EngineShard other) const
{
    return d->scope.zone().isEmpty() || d->shards.zoneOf(one) == d->shards.zoneOf(other);
}

int FleetLink::knownNodes() const
{
    return static_cast<int>(d->voters.count(d->now()));
}

std::optional<Duration> FleetLink::ordersIn() const
{
    if (!d->voters.reachesMajority(d->now())) {
        return std::nullopt;
    }
    Duration soonest = Duration::seconds(3600); // Longer than any caller waits.
    for (std::size_t shard = 0; shard < d->leases.size(); ++shard) {
        if (d->isInScope(EngineShard(shard))) {
            soonest = std::min(soonest, d->leases[shard].ordersIn(d->now()));
        }
    }
    return soonest;
}

bool FleetLink::isDivided() const
{
    return d->isDivided();
}

std::vector<const Peer *> FleetLink::scopePeers() const
{
    std::vector<const Peer *> result = alive();
    std::erase_if(result, [this](const Peer *peer) { return !d->scope.isScopePeer(peer->zone, peer->scope); });
    return result;
}

std::vector<const Peer *> FleetLink::alive() const
{
    return d->peersWhere([this](const Peer &peer) { return d->isAlive(peer); });
}

std::vector<const Peer *> FleetLink::heardWithin(Duration time) const
{
    return d->peersWhere([this, time](const Peer &peer) { return d->now() - peer.lastReceivedAt <= time; });
}

} // namespace ApricotStep
