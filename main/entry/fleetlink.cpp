#include "main/entry/fleetlink.h"

#include "core/hash.h"
#include "protocol/fleetcodec.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr Duration HeartbeatInterval { 200 };
// All rows are told again this often, for nodes that started or lost a datagram.
constexpr Duration RowsInterval { 2000 };
// Contacts in one message: with five messages a second, all nodes of a small fleet are named to a new one within a second; later a few
// keep the picture whole, and save a fifth of the bytes.
constexpr std::size_t ContactsAtStart = 6;
constexpr std::size_t ContactsLater = 1;
constexpr Duration StartTime = Duration::seconds(5);
// Wants of requests that arrive together go out together.
constexpr Duration WantsDelay { 3 };
// A peer silent for so long is forgotten.
constexpr Duration PeerMemory = Duration::seconds(60);
// Rows in one datagram: eight copies of about 20 bytes each stay below the size that no link cuts.
constexpr std::size_t RowsInDatagram = 6;
constexpr EventLog::Weight Important = EventLog::Weight::Important;

} // namespace

struct FleetLink::Private : std::enable_shared_from_this<FleetLink::Private>
{
    IoLoop &loop;
    EventLog &log;
    Beliefs &beliefs;
    FleetIdentity identity;
    Callbacks callbacks;
    std::vector<OrderLease> leases;
    std::unique_ptr<UdpSocket> socket;
    std::map<NodeId, Peer> peers;
    /** Addresses where a node is said to be that has not been heard of yet, and until when it is tried. */
    std::map<std::string, Time> contacts;
    std::mt19937_64 random { std::random_device {}() };
    /** The rows that this node announced, for repeating. */
    std::map<UpstreamId, EngineRow> ownRows;
    Time startedAt;
    Time rowsToldAt;
    bool isLeaving = false;
    bool areWantsDue = false;
    std::vector<EngineShard> released;
    std::vector<NodeId> lastHolders { EngineShards };

    Private(IoLoop &loop, EventLog &log, Beliefs &beliefs, FleetIdentity identity, OrderLeaseLimits limits, Callbacks callbacks)
        : loop(loop)
        , log(log)
        , beliefs(beliefs)
        , identity(std::move(identity))
        , callbacks(std::move(callbacks))
        , startedAt(loop.clock().now())
    {
        for (std::uint64_t shard = 0; shard < EngineShards; ++shard) {
            leases.emplace_back(limits, EngineShard(shard), this->identity.id, this->identity.incarnation, loop.clock().now());
        }
    }
    bool holdsAfter(std::size_t shard) const
    {
        return std::any_of(leases.begin() + static_cast<std::ptrdiff_t>(shard) + 1, leases.end(),
            [this](const OrderLease &lease) { return lease.isHolder(now()); });
    }
    bool isAnyHolder() const
    {
        return std::any_of(leases.begin(), leases.end(), [this](const OrderLease &lease) { return lease.isHolder(now()); });
    }

    Time now() const
    {
        return loop.clock().now();
    }
    FleetMessage base() const;
    FleetMessage withLoad() const;
    std::set<NodeId> holders() const;
    void tellWants();
    std::vector<std::string> targets() const;
    void sendToAll(const FleetMessage &message);
    void sendLoad(const FleetMessage &message);
    void heartbeat();
    void tellRows(const std::vector<EngineRow> &rows);
    void onDatagram(std::string_view bytes);
    void onMessage(const FleetMessage &message);
    void notePeer(const FleetMessage &message);
    void noteContacts(const FleetMessage &message);
    std::vector<std::string> someContacts();
    void noteHolder();
    void tick();
};

FleetMessage FleetLink::Private::base() const
{
    FleetMessage message;
    message.sender = identity.id;
    message.incarnation = identity.incarnation;
    message.zone = identity.zone;
    message.callerAddress = identity.callerAddress;
    message.peerAddress = identity.peerAddress;
    message.isReady = callbacks.isReady() && !isLeaving;
    message.isLeaving = isLeaving;
    message.releases = released;
    message.uptime = now() - startedAt;
    for (const OrderLease &lease : leases) {
        if (const auto order = lease.lastOrder(now())) {
            message.lastOrders.push_back(*order);
        }
    }
    message.configVersion = beliefs.routes != nullptr ? beliefs.routes->version() : ConfigVersion();
    return message;
}

FleetMessage FleetLink::Private::withLoad() const
{
    FleetMessage message = base();
    OwnAccount account = callbacks.account();
    message.loads = std::move(account.loads);
    message.uses = std::move(account.uses);
    return message;
}

std::vector<std::string> FleetLink::Private::targets() const
{
    std::vector<std::string> result;
    for (const auto &[id, peer] : peers) {
        result.push_back(peer.peerAddress);
    }
    const auto add = [&result, this](const std::string &address) {
        const bool isKnown = std::find(result.begin(), result.end(), address) != result.end();
        if (!isKnown && address != identity.peerAddress) {
            result.push_back(address);
        }
    };
    std::for_each(identity.seeds.begin(), identity.seeds.end(), add);
    for (const auto &[address, until] : contacts) {
        add(address);
    }
    return result;
}

void FleetLink::Private::sendToAll(const FleetMessage &message)
{
    const std::string bytes = encodeFleetMessage(message);
    for (const std::string &target : targets()) {
        socket->send(target, bytes);
    }
}

// Only those who order adapters need to know which of them are in use; the rest of the message goes to all.
void FleetLink::Private::sendLoad(const FleetMessage &message)
{
    FleetMessage reduced = message;
    reduced.uses.clear();
    const std::string whole = encodeFleetMessage(message);
    const std::string most = encodeFleetMessage(reduced);
    std::set<std::string> holderAddresses;
    for (const NodeId &holder : holders()) {
        const auto at = peers.find(holder);
        if (at != peers.end()) {
            holderAddresses.insert(at->second.peerAddress);
        }
    }
    for (const std::string &target : targets()) {
        socket->send(target, holderAddresses.contains(target) ? whole : most);
    }
}

std::set<NodeId> FleetLink::Private::holders() const
{
    std::set<NodeId> result;
    for (const OrderLease &lease : leases) {
        result.insert(lease.holder(now()));
    }
    return result;
}

void FleetLink::Private::tellWants()
{
    areWantsDue = false;
    FleetMessage message = base();
    message.uses = callbacks.wants();
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

std::vector<std::string> FleetLink::Private::someContacts()
{
    std::vector<std::string> known;
    for (const auto &[id, peer] : peers) {
        if (now() - peer.heardAt <= Liveness && !peer.isLeaving) {
            known.push_back(peer.peerAddress);
        }
    }
    std::shuffle(known.begin(), known.end(), random);
    known.resize(std::min(known.size(), now() - startedAt < StartTime ? ContactsAtStart : ContactsLater));
    return known;
}

// A node that knows only the seeds would count a fleet of four, and so would each of the others: several majorities at once.
void FleetLink::Private::noteContacts(const FleetMessage &message)
{
    contacts.erase(message.peerAddress);
    for (const std::string &address : message.contacts) {
        const bool isPeer =
            std::any_of(peers.begin(), peers.end(), [&address](const auto &entry) { return entry.second.peerAddress == address; });
        if (!isPeer && address != identity.peerAddress && contacts.emplace(address, now() + PeerMemory).second) {
            for (OrderLease &lease : leases) {
                lease.addSeed(address, now());
            }
        }
    }
    std::erase_if(contacts, [this](const auto &entry) { return now() > entry.second; });
}

void FleetLink::Private::heartbeat()
{
    FleetMessage message = withLoad();
    message.contacts = someContacts();
    for (std::size_t shard = 0; shard < leases.size(); ++shard) {
        const bool holdsOther = !message.claims.empty() || holdsAfter(shard);
        if (const auto claim = leases[shard].claim(message.isReady, holdsOther, now(), loop.clock().wallTime())) {
            message.claims.push_back(*claim);
        }
    }
    sendLoad(message);
    if (isAnyHolder() && now() - rowsToldAt >= RowsInterval) {
        rowsToldAt = now();
        std::vector<EngineRow> rows;
        for (const auto &[id, row] : ownRows) {
            rows.push_back(row);
        }
        tellRows(rows);
    }
    noteHolder();
}

void FleetLink::Private::tellRows(const std::vector<EngineRow> &rows)
{
    for (std::size_t first = 0; first < rows.size(); first += RowsInDatagram) {
        FleetMessage message = base();
        const std::size_t last = std::min(first + RowsInDatagram, rows.size());
        message.rows.assign(rows.begin() + static_cast<std::ptrdiff_t>(first), rows.begin() + static_cast<std::ptrdiff_t>(last));
        sendToAll(message);
    }
}

void FleetLink::Private::onDatagram(std::string_view bytes)
{
    const auto message = decodeFleetMessage(bytes);
    if (!message.isOk()) {
        log.write(Important, "fleet", "bad_datagram", { { "reason", message.error().detail } });
        return;
    }
    if (message.value().sender != identity.id) {
        onMessage(message.value());
    }
}

void FleetLink::Private::notePeer(const FleetMessage &message)
{
    const bool isNew = !peers.contains(message.sender);
    Peer &peer = peers[message.sender];
    const bool isChanged = isNew || peer.isReady != message.isReady || peer.isLeaving != message.isLeaving;
    peer = Peer { message.sender, message.zone, message.callerAddress, message.peerAddress, message.isReady, message.isLeaving,
        message.configVersion, now() };
    if (isChanged) {
        log.write(Important, "fleet", "peer", { { "peer", peer.id.value() }, { "ready", peer.isReady }, { "leaving", peer.isLeaving } });
    }
    const ConfigVersion own = beliefs.routes != nullptr ? beliefs.routes->version() : ConfigVersion();
    if (peer.configVersion > own) {
        callbacks.onLaterConfiguration(peer);
    }
}

void FleetLink::Private::onMessage(const FleetMessage &message)
{
    notePeer(message);
    noteContacts(message);
    std::vector<LeaseGrant> grants;
    for (OrderLease &lease : leases) {
        if (const auto grant = lease.onMessage(message, now())) {
            grants.push_back(*grant);
        }
    }
    if (!grants.empty()) {
        FleetMessage answer = base();
        answer.grants = std::move(grants);
        socket->send(message.peerAddress, encodeFleetMessage(answer));
    }
    if (message.loads) {
        beliefs.book.onPeer(message.sender, *message.loads, now());
        callbacks.onUses(message.sender, message.uses);
    } else if (!message.uses.empty()) {
        callbacks.onWants(message.sender, message.uses);
    }
    bool isNews = false;
    for (const EngineRow &row : message.rows) {
        isNews = beliefs.rows.put(row) || isNews;
    }
    if (isNews) {
        callbacks.onRows();
    }
}

void FleetLink::Private::noteHolder()
{
    for (std::size_t shard = 0; shard < leases.size(); ++shard) {
        const OrderLease &lease = leases[shard];
        const NodeId holder = lease.holder(now());
        if (holder == lastHolders[shard]) {
            continue;
        }
        lastHolders[shard] = holder;
        log.write(Important, "orders", "holder",
            { { "shard", std::int64_t(shard) }, { "holder", holder.value() }, { "knownNodes", std::int64_t(lease.knownCount(now())) },
                { "fence", static_cast<std::int64_t>(lease.greatestFence().value()) } });
    }
}

void FleetLink::Private::tick()
{
    for (auto at = peers.begin(); at != peers.end();) {
        const bool isOld = now() - at->second.heardAt > PeerMemory;
        if (isOld) {
            log.write(Important, "fleet", "peer_forgotten", { { "peer", at->first.value() } });
        }
        at = isOld ? peers.erase(at) : std::next(at);
    }
    heartbeat();
    loop.after(HeartbeatInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
}

EngineShard shardOf(const UpstreamId &engine)
{
    return EngineShard(stableHash(engine.value()) % EngineShards);
}

FleetLink::FleetLink(IoLoop &loop, EventLog &log, Beliefs &beliefs, FleetIdentity identity, OrderLeaseLimits limits, Callbacks callbacks)
    : d(std::make_shared<Private>(loop, log, beliefs, std::move(identity), limits, std::move(callbacks)))
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
    for (const std::string &seed : d->identity.seeds) {
        if (seed != d->identity.peerAddress) {
            for (OrderLease &lease : d->leases) {
                lease.addSeed(seed, d->now());
            }
        }
    }
    d->loop.add(d->socket.get(), [this](std::string_view bytes, const std::string &) { d->onDatagram(bytes); });
    d->tick();
    return true;
}

void FleetLink::leave()
{
    d->isLeaving = true;
    for (std::size_t shard = 0; shard < d->leases.size(); ++shard) {
        if (d->leases[shard].isHolder(d->now())) {
            d->released.emplace_back(shard);
        }
        d->leases[shard].release();
    }
    d->sendToAll(d->base());
}

void FleetLink::tellWants()
{
    if (d->areWantsDue) {
        return;
    }
    d->areWantsDue = true;
    d->loop.after(WantsDelay, [weak = std::weak_ptr(d)] {
        if (const auto self = weak.lock()) {
            self->tellWants();
        }
    });
}

void FleetLink::announce(const std::vector<EngineRow> &rows)
{
    for (const EngineRow &row : rows) {
        d->ownRows[row.engine] = row;
        d->beliefs.rows.put(row);
    }
    d->tellRows(rows);
    d->callbacks.onRows();
}

const OrderLease &FleetLink::lease(EngineShard shard) const
{
    return d->leases[shard.value()];
}

std::optional<Duration> FleetLink::ordersIn() const
{
    if (!d->leases.front().hearsMajority(d->now())) {
        return std::nullopt;
    }
    Duration soonest = d->leases.front().ordersIn(d->now());
    for (const OrderLease &lease : d->leases) {
        soonest = std::min(soonest, lease.ordersIn(d->now()));
    }
    return soonest;
}

std::vector<const Peer *> FleetLink::alive() const
{
    std::vector<const Peer *> result;
    for (const auto &[id, peer] : d->peers) {
        if (d->now() - peer.heardAt <= Liveness) {
            result.push_back(&peer);
        }
    }
    return result;
}

} // namespace ApricotStep
