#include "main/entry/fleetlink.h"

#include "protocol/fleetcodec.h"

#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr int Peers = 40;
const ZoneId OwnZone("a");
const ZoneId OtherZone("b");

UpstreamRecord engine(const std::string &id, const ZoneId &zone)
{
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.service = ServiceName("llm");
    record.zone = zone;
    record.startedAt = 1;
    return record;
}

/** A FleetLink in zone a and forty peers, half of them in zone b, that all respond from one socket. */
class LargeFleet
{
public:
    LargeFleet()
    {
        m_socket = std::move(UdpSocket::open("127.0.0.1", 0).value());
        m_clusterState.upstreams.put(m_ownEngine, m_clock.now());
        m_clusterState.upstreams.put(m_otherEngine, m_clock.now());
        FleetLink::Callbacks callbacks;
        callbacks.loadReport = [this] { return m_report; };
        callbacks.pendingAdapters = [] { return std::vector<AdapterUse>(); };
        callbacks.isReady = [] { return true; };
        callbacks.requestRate = [] { return 0.0; };
        callbacks.hasOutdatedKeys = [] { return false; };
        callbacks.onShardHeld = [](std::uint64_t, FencingToken) {};
        callbacks.onCreditQuery = [](std::uint64_t, const NodeId &, Incarnation, const CreditQuery &query) {
            return std::optional(CreditGrant { query.account, query.sequence, query.needed, Duration(0) });
        };
        callbacks.onCreditGrants = [](const std::vector<CreditGrant> &) {};
        callbacks.onUses = [](const NodeId &, const std::vector<AdapterUse> &) {};
        callbacks.onPendingAdapters = callbacks.onUses;
        callbacks.storeReadState = [] { return StoreReadState {}; };
        callbacks.onPeerReadFurther = [] {};
        callbacks.onResidencyChanged = [] {};
        callbacks.onBrittleUpstreams = [](const NodeId &, const std::vector<BrittleStatement> &) {};
        callbacks.onQuarantineStatements = [](const NodeId &, const QuarantineStatements &) {};
        callbacks.onNewerConfiguration = [](const Peer &) {};
        callbacks.onStreamAnswers = [this](const std::vector<StreamAnswer> &answers) { m_answers += static_cast<int>(answers.size()); };
        FleetIdentity identity { NodeId("node-a-0"), Incarnation(7), OwnZone, { OwnZone, OtherZone }, 1, "127.0.0.1:1", freeAddress(), {} };
        m_address = identity.peerAddress;
        m_link = std::make_unique<FleetLink>(m_loop, m_log, m_clusterState, identity, OrderLeaseLimits {}, std::move(callbacks));
        cr_assert(m_link->start().isOk());
        m_loop.add(m_socket.get(), [this](std::string_view bytes, const std::string &) { onDatagram(bytes); });
        tick();
    }

    void run(Duration span)
    {
        m_loop.after(span, [this] { m_loop.stop(); });
        m_loop.run();
    }
    FleetLink &link()
    {
        return *m_link;
    }
    const UpstreamRecord &ownEngine() const
    {
        return m_ownEngine;
    }
    const UpstreamRecord &otherEngine() const
    {
        return m_otherEngine;
    }
    void setReport(NodeLoadReport report)
    {
        m_report = std::move(report);
    }
    /** A peer in zone b claims the leases of that zone. */
    void claimOtherZone()
    {
        m_isOtherZoneClaimed = true;
    }
    /** A peer asks for the credit of many teams, which belong to all shards. */
    void askForCredit()
    {
        FleetMessage message = messageOf(0);
        for (std::uint64_t i = 0; i < 100; ++i) {
            message.creditQueries.push_back(CreditQuery { accountOf(TeamName("t" + std::to_string(i))), i + 1, 10, 10, 0 });
        }
        m_socket->send(m_address, encodeFleetMessage(message));
    }
    ClusterState &clusterState()
    {
        return m_clusterState;
    }
    /** A peer of the same zone sends @p edit added to an ordinary message. */
    void send(const std::function<void(FleetMessage &)> &edit)
    {
        FleetMessage message = messageOf(0);
        edit(message);
        m_socket->send(m_address, encodeFleetMessage(message));
    }
    int answers() const
    {
        return m_answers;
    }
    /** What the link has sent since the last call. */
    std::vector<FleetMessage> takeSent()
    {
        return std::exchange(m_sent, {});
    }

private:
    static std::string freeAddress()
    {
        const auto socket = UdpSocket::open("127.0.0.1", 0);
        return "127.0.0.1:" + std::to_string(socket.value()->port());
    }
    FleetMessage messageOf(int peer) const
    {
        FleetMessage message;
        message.zone = peer % 2 == 0 ? OwnZone : OtherZone;
        message.scope = message.zone;
        message.sender = NodeId("node-" + message.zone.value() + "-" + std::to_string(peer + 1));
        message.incarnation = Incarnation(1);
        message.peerAddress = "127.0.0.1:" + std::to_string(m_socket->port());
        message.capacity = 0.1;
        message.interval = Duration(200);
        message.uptime = Duration::seconds(100);
        message.isReady = true;
        return message;
    }
    void tick()
    {
        for (int peer = 0; peer < Peers; ++peer) {
            FleetMessage message = messageOf(peer);
            if (m_isOtherZoneClaimed && peer == 1) {
                message.claims.push_back(
                    LeaseClaim { m_link->shards().shardOf(m_otherEngine), FencingToken(1U << 20U), {}, m_clock.now() });
            }
            m_socket->send(m_address, encodeFleetMessage(message));
        }
        m_loop.after(Duration(200), [this] { tick(); });
    }
    void onDatagram(std::string_view bytes)
    {
        auto message = decodeFleetMessage(bytes);
        cr_assert(message.isOk());
        // All peers share one socket, so the first copy of a claim stands for all of them.
        const bool isNewClaim = !message.value().claims.empty() && message.value().claims.front().sentAt != m_grantedClaim;
        if (isNewClaim) {
            m_grantedClaim = message.value().claims.front().sentAt;
            grant(message.value());
        }
        m_sent.push_back(std::move(message.value()));
    }
    void grant(const FleetMessage &claim)
    {
        for (int peer = 0; peer < Peers; ++peer) {
            FleetMessage answer = messageOf(peer);
            for (const LeaseClaim &entry : claim.claims) {
                answer.grants.push_back(LeaseGrant { entry.shard, claim.sender, claim.incarnation, entry.sentAt, entry.fence });
            }
            m_socket->send(m_address, encodeFleetMessage(answer));
        }
    }

    SystemClock m_clock;
    EventLog m_log { m_clock, "node-a-0" };
    IoLoop m_loop { m_clock };
    ClusterState m_clusterState;
    std::unique_ptr<UdpSocket> m_socket;
    std::unique_ptr<FleetLink> m_link;
    std::string m_address;
    const UpstreamRecord m_ownEngine = engine("engine-a", OwnZone);
    const UpstreamRecord m_otherEngine = engine("engine-b", OtherZone);
    NodeLoadReport m_report;
    bool m_isOtherZoneClaimed = false;
    Time m_grantedClaim;
    int m_answers = 0;
    std::vector<FleetMessage> m_sent;
};

AdapterUse use(const std::string &adapter, const UpstreamId &at)
{
    return AdapterUse { BaseModelId("m"), AdapterId(adapter), at, 1 };
}

} // namespace

// A request runs at an engine of another zone. The holder there must hear of it, or it would evict the adapter in use; it must not hear of
// the adapters that this zone waits for, or it would load them for nobody.
Test(fleetlink, tellsHoldersOfOtherZonesWhatRunsAtTheirEngines)
{
    LargeFleet fleet;
    fleet.setReport(NodeLoadReport { { UpstreamLoad { fleet.ownEngine().id, 1, 10 }, UpstreamLoad { fleet.otherEngine().id, 2, 20 } },
        { use("x", fleet.otherEngine().id), use("y", fleet.ownEngine().id), use("pending", UpstreamId()) } });
    fleet.claimOtherZone();
    fleet.run(Duration(800));
    cr_assert(fleet.link().isDivided());
    fleet.takeSent();
    fleet.run(Duration(600));
    int toHolder = 0;
    for (const FleetMessage &message : fleet.takeSent()) {
        if (message.uses.empty()) {
            continue;
        }
        ++toHolder;
        cr_assert_eq(message.uses.size(), 1);
        cr_assert(message.uses.front().adapter == AdapterId("x"));
        cr_assert_eq(message.loads->size(), 1);
        cr_assert(message.loads->front() == (UpstreamLoad { fleet.otherEngine().id, 2, 20 }));
    }
    cr_assert_geq(toHolder, 2, "with each heartbeat");
}

// Nodes of other zones know the load of this zone's engines only from the lease holder. Without it they would not use these engines, or
// crowd onto them.
Test(fleetlink, holdersReportTheLoadOfTheirEngines)
{
    LargeFleet fleet;
    const EngineShard shard = fleet.link().shards().shardOf(fleet.ownEngine());
    for (int i = 0; i < 20 && !fleet.link().lease(shard).isHolder(SystemClock().now()); ++i) {
        fleet.run(Duration(200));
    }
    cr_assert(fleet.link().lease(shard).isHolder(SystemClock().now()));
    fleet.link().announce({ EngineResidency { fleet.ownEngine().id, 1, FencingToken(1), 1, {} } });
    fleet.takeSent();
    fleet.run(Duration(1300));
    const auto sent = fleet.takeSent();
    const auto reports = std::count_if(sent.begin(), sent.end(), [&fleet](const FleetMessage &message) {
        return message.engineLoads.size() == 1 && message.engineLoads.front().upstream == fleet.ownEngine().id;
    });
    const auto heartbeats = std::count_if(
        sent.begin(), sent.end(), [](const FleetMessage &message) { return !message.claims.empty() && message.engineLoads.empty(); });
    cr_assert_gt(reports, 0);
    cr_assert_lt(reports, heartbeats, "renewals to other zones are less frequent than heartbeats in the zone");
}

// Guards against credit that is issued by a node without the lease of the team's shard: several nodes could issue for one team.
Test(fleetlink, creditIsIssuedOnlyWithTheLease)
{
    LargeFleet fleet;
    const auto answered = [&fleet] {
        fleet.takeSent();
        fleet.askForCredit();
        fleet.run(Duration(100));
        std::size_t grants = 0;
        for (const FleetMessage &message : fleet.takeSent()) {
            grants += message.creditGrants.size();
        }
        return grants;
    };
    cr_assert_eq(answered(), 0);
    const EngineShard shard = fleet.link().shards().shardOf(fleet.ownEngine());
    for (int i = 0; i < 20 && !fleet.link().lease(shard).isHolder(SystemClock().now()); ++i) {
        fleet.run(Duration(200));
    }
    const std::size_t issued = answered();
    cr_assert(issued > 0 && issued <= 100);
    fleet.link().leave();
    cr_assert_eq(answered(), 0);
}

namespace
{

const StreamOrigin Origin { ServiceName("llm"), SoftwareVersion("v1") };

} // namespace

// Guards against a stream that only the node knows that began it: it cannot be asked once it is gone.
Test(fleetlink, begunStreamsAreAnnouncedInTheZone)
{
    LargeFleet fleet;
    fleet.run(Duration(800));
    fleet.clusterState().streamOrigins.onBegun({ StreamId(5), Origin, Duration(17'000) }, SystemClock().now());
    fleet.takeSent();
    fleet.run(Duration(1000));
    int announced = 0;
    for (const FleetMessage &message : fleet.takeSent()) {
        announced += message.begunStreams.empty() ? 0 : 1;
        cr_assert(message.begunStreams.empty() || message.begunStreams.front().origin == Origin);
        cr_assert(message.begunStreams.empty() || message.engineLoads.empty(), "nodes of other zones ask if they need to know");
    }
    cr_assert_eq(announced, Peers / 2, "once to each node of the zone");
}

// Guards against a node that does not learn where a stream of another node began, and does not tell it.
Test(fleetlink, streamQueriesAreAnswered)
{
    LargeFleet fleet;
    fleet.run(Duration(800));
    fleet.send([](FleetMessage &message) { message.begunStreams = { BegunStream { StreamId(5), Origin, Duration(17'000) } }; });
    fleet.run(Duration(50));
    fleet.takeSent();
    fleet.send([](FleetMessage &message) {
        message.streamQueries = { StreamQuery { StreamId(5), ServiceName("llm") }, StreamQuery { StreamId(6), ServiceName("llm") } };
    });
    fleet.run(Duration(50));
    std::vector<StreamAnswer> answers;
    for (const FleetMessage &message : fleet.takeSent()) {
        answers.insert(answers.end(), message.streamAnswers.begin(), message.streamAnswers.end());
    }
    cr_assert_eq(answers.size(), 2);
    cr_assert(answers[0].origin == Origin);
    cr_assert_not(answers[1].origin.has_value());
}

// Guards against a query that reaches only the nodes of one zone, which know the streams of that zone only.
Test(fleetlink, streamQueriesGoToAllZones)
{
    LargeFleet fleet;
    fleet.run(Duration(800));
    fleet.takeSent();
    const int asked = fleet.link().sendStreamQuery(StreamQuery { StreamId(5), ServiceName("llm") });
    cr_assert_eq(asked, 8);
    fleet.run(Duration(50));
    const auto sent = fleet.takeSent();
    cr_assert_eq(
        std::count_if(sent.begin(), sent.end(), [](const FleetMessage &message) { return !message.streamQueries.empty(); }), asked);
    fleet.send([](FleetMessage &message) { message.streamAnswers = { StreamAnswer {} }; });
    fleet.run(Duration(50));
    cr_assert_eq(fleet.answers(), 1);
}

// Each zone would have to lose upstreams of its own to content of which only its own nodes know.
Test(fleetlink, crashesAreToldToAllZonesAtOnce)
{
    LargeFleet fleet;
    fleet.run(Duration(300));
    fleet.takeSent();
    const Time now = SystemClock().now();
    fleet.clusterState().quarantine.onCrash({ UpstreamId("u"), 1 }, { { RequestContent { ContentDigest(7) } } }, now, now);
    fleet.link().sendQuarantine();
    fleet.run(Duration(60));
    const auto sent = fleet.takeSent();
    const auto tellsCrash = [](const FleetMessage &message) { return !message.quarantine.crashes.empty(); };
    cr_assert_geq(std::count_if(sent.begin(), sent.end(), tellsCrash), Peers);
}

// A node that starts, or returns from a partition, would send what all others hold back.
Test(fleetlink, newNodesAreToldWhatIsHeldBack)
{
    LargeFleet fleet;
    fleet.run(Duration(300));
    QuarantineStatements statements;
    statements.held = { HeldContent { ContentDigest(7), 3 } };
    fleet.clusterState().quarantine.onPeerStatements(statements, SystemClock().now());
    fleet.takeSent();
    fleet.send([](FleetMessage &message) { message.sender = NodeId("node-new"); });
    fleet.run(Duration(100));
    const auto sent = fleet.takeSent();
    const auto tellsHeld = [](const FleetMessage &message) {
        return message.quarantine.held.size() == 1 && message.quarantine.held.front().content == ContentDigest(7);
    };
    cr_assert(std::any_of(sent.begin(), sent.end(), tellsHeld));
}
