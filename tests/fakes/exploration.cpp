#include "tests/fakes/exploration.h"

#include "coordination/idempotencykey.h"
#include "coordination/ledger.h"
#include "coordination/membership.h"
#include "coordination/ownership.h"
#include "coordination/rendezvous.h"
#include "coordination/upstreamscheduler.h"
#include "core/result.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace Fakes
{

using namespace ApricotStep;

namespace
{

constexpr Duration HistoryLength = Duration::seconds(24);
constexpr Duration TickInterval(100);
constexpr Duration Lease(1200);
constexpr Duration DispatchDelay(800);
constexpr Duration ReportLag(300);
constexpr Duration KeyLifetime = Duration::seconds(8);
constexpr Duration ReadInterval(1000);
/** Counts from the first node that learns of it: covers gossip or a VM list read, a paused node and the longest delay to the upstream. */
constexpr Duration LeavingBound = Duration::seconds(3);
constexpr Duration ConfigBound = Duration::seconds(4);
constexpr Duration RestartTime = Duration::seconds(2);
constexpr int EngineCount = 2;
constexpr int LabelCount = 4;
constexpr int Slots = 2;
constexpr std::string_view Secret = "the secret of the exploration";

enum class Outcome {
    Served,
    NotRun,
    Unknown,
};

struct Running
{
    AdapterKey adapter;
    std::uint64_t request = 0;
};

struct Snapshot
{
    Time at;
    FencingToken highest;
    std::vector<AdapterKey> loaded;
    std::vector<AdapterKey> inUse;
};

struct Engine
{
    UpstreamId id;
    ZoneId zone;
    bool checksFencing = false;
    std::set<AdapterKey> loaded;
    std::map<std::uint64_t, Running> running;
    FencingToken highest;
    std::deque<Snapshot> snapshots;
    Time readyAt;
    int start = 0;
    Time leavesAt = Time::never();
    Time seenLeavingAt = Time::never();
};

struct Call
{
    int label = 0;
    std::uint64_t request = 0;
    AdapterKey adapter;
    std::function<void(Outcome, std::uint64_t, AdapterKey)> answer;
    Time deadline;
    int hops = 0;
};

struct EngineRunner
{
    std::unique_ptr<UpstreamOwnership> ownership;
    std::unique_ptr<UpstreamScheduler> scheduler;
    std::map<RequestId, Call> calls;
    std::vector<RequestId> pending;
    std::vector<SchedulerAction> pendingOrders;
};

struct ExploredNode
{
    NodeId id;
    ZoneId zone;
    bool isUp = false;
    int start = 0;
    Time pausedUntil;
    Duration clockOffset;
    Duration wallOffset;
    Incarnation incarnation;
    std::deque<std::function<void()>> deferred;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<Ledger> ledger;
    std::map<std::uint64_t, std::vector<std::function<void(Outcome)>>> ledgerWaiters;
    std::uint64_t keyCounter = 0;
    std::vector<EngineRunner> runners;
    std::uint64_t version = 0;
    bool isReady = false;
    bool isDraining = false;
    int active = 0;
    std::uint64_t nextRequest = 0;
    Time nextRead;
};

struct Event
{
    Time at;
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Event &other) const
    {
        return std::tie(other.at, other.order) < std::tie(at, order);
    }
};

class TestCluster
{
public:
    TestCluster(std::uint64_t seed, int nodeCount, Safeguard disabled)
        : m_random(seed)
        , m_disabled(disabled)
        , m_nodes(static_cast<std::size_t>(nodeCount))
        , m_engines(EngineCount)
    {
    }

    HistoryResult run()
    {
        setUp();
        const Time end = Time(1000) + HistoryLength;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.what();
        }
        return m_result;
    }

private:
    // Randomness and time.
    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
    }
    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }
    std::size_t anyNode()
    {
        return static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(m_nodes.size()) - 1));
    }
    void at(Time when, std::function<void()> what)
    {
        m_events.push({ when, ++m_order, std::move(what) });
    }
    void after(Duration span, std::function<void()> what)
    {
        at(m_now + span, std::move(what));
    }
    bool isDisabled(Safeguard guard) const
    {
        return m_disabled == guard;
    }
    void recordViolation(Invariant promise, const std::string &what)
    {
        ++m_result.violations[static_cast<std::size_t>(promise)];
        if (m_result.first.empty()) {
            m_result.first = std::string(InvariantNames[static_cast<std::size_t>(promise)]) + " at " + std::to_string(m_now.milliseconds())
                + " ms: " + what;
        }
    }
    // Each node's steady clock has its own offset, so that comparing times of different nodes leads to errors that show.
    Time clockOf(const ExploredNode &node) const
    {
        return m_now + node.clockOffset;
    }

    /** Runs @p what on node @p index: deferred while the node is paused, never after that start of the node has ended. */
    void runOnNode(std::size_t index, int start, std::function<void()> what)
    {
        ExploredNode &node = m_nodes[index];
        if (!node.isUp || node.start != start) {
            return;
        }
        if (m_now < node.pausedUntil) {
            node.deferred.push_back(std::move(what));
            return;
        }
        what();
    }
    void pause(std::size_t index, Duration span)
    {
        ExploredNode &node = m_nodes[index];
        node.pausedUntil = std::max(node.pausedUntil, m_now + span);
        m_lastFaultEnd = std::max(m_lastFaultEnd, node.pausedUntil);
        at(node.pausedUntil, [this, index] { wake(index); });
    }
    void wake(std::size_t index)
    {
        ExploredNode &node = m_nodes[index];
        while (node.isUp && m_now >= node.pausedUntil && !node.deferred.empty()) {
            const auto what = std::move(node.deferred.front());
            node.deferred.pop_front();
            what();
        }
    }
    bool isCut(std::size_t a, std::size_t b) const
    {
        return m_now < m_cutUntil && (((m_cutMask >> a) ^ (m_cutMask >> b)) & 1U) != 0;
    }

    void setUp();
    void startNode(std::size_t index);
    void crash(std::size_t index);
    void shutDown(std::size_t index);
    void finishShutDown(std::size_t index, int start, Time since);
    void tickNode(std::size_t index, int start);
    void fault();
    void execute(std::size_t index, const std::vector<MembershipAction> &actions);
    void membershipEvent(std::size_t index, const MembershipEvent &event);
    VmList vmList() const;

    void runOperatorAction();
    void takeVersion(std::size_t index, std::uint64_t version);
    void readConfig(std::size_t index);
    void checkStartVersion(std::size_t index);
    AdapterKey resolve(int label, std::uint64_t version) const;

    void sendCompletion();
    void receive(std::size_t index, Call call);
    void end(std::size_t index, const Call &call, Outcome outcome, std::uint64_t echoed = 0, const AdapterKey &ran = {});
    void schedulerEvent(std::size_t index, std::size_t engine, const SchedulerEvent &event);
    void ownershipEvent(std::size_t index, std::size_t engine, const OwnershipEvent &event);
    void tryHeld(std::size_t index, std::size_t engine);
    bool tryOrder(std::size_t index, std::size_t engine, const SchedulerAction &action);
    bool mayDispatch(std::size_t index, std::size_t engine) const;
    void dispatch(std::size_t index, std::size_t engine, RequestId id);
    void deliverToEngine(std::size_t index, std::size_t engine, std::function<void(Engine &)> onArrival, std::function<void()> onLost);
    void deliverToNode(std::size_t index, int start, std::function<void()> onArrival, std::function<void()> onLost);
    void runAtEngine(std::size_t index, std::size_t engine, RequestId id, Call call);
    void requestReport(std::size_t index, std::size_t engine);
    void claim(std::size_t index, std::size_t engine, FencingToken token);
    bool isFenced(Engine &engine, FencingToken token);
    void restart(std::size_t engine);
    void recordSnapshot(Engine &engine);
    void recordRun(std::uint64_t request);
    void recordOutcome(std::uint64_t request, Outcome outcome);

    void startPayment();
    void sendPayment(std::size_t to, const std::string &key, std::uint64_t payment, int hops, std::function<void(Outcome)> answer);
    void acceptPayment(std::size_t index, const IdempotencyKey &key, std::uint64_t payment, std::function<void(Outcome)> answer);

    std::mt19937_64 m_random;
    const Safeguard m_disabled;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    Time m_now { 1000 };
    std::vector<ExploredNode> m_nodes;
    std::vector<Engine> m_engines;
    double m_loss = 0;
    Time m_cutUntil;
    unsigned m_cutMask = 0;
    Time m_lastFaultEnd;
    std::uint64_t m_published = 1;
    std::uint64_t m_servedVersion = 1;
    bool m_isServiceStale = false;
    std::map<std::uint64_t, Time> m_acceptedAt;
    std::uint64_t m_requests = 0;
    std::set<std::uint64_t> m_executed;
    std::set<std::uint64_t> m_reportedNotRun;
    std::map<std::uint64_t, int> m_paymentRuns;
    HistoryResult m_result;
};

// --- Nodes and membership.

void TestCluster::setUp()
{
    m_loss = chance(0.5) ? 0.01 : 0.1;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        m_engines[i].id = UpstreamId("engine" + std::to_string(i));
        m_engines[i].zone = ZoneId("zone" + std::to_string(i % 2));
        m_engines[i].checksFencing = chance(0.5);
        recordSnapshot(m_engines[i]);
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        ExploredNode &node = m_nodes[i];
        node.id = NodeId("n" + std::to_string(i));
        node.zone = ZoneId("zone" + std::to_string(i % 2));
        node.clockOffset = Duration(draw(0, 1'000'000'000));
        startNode(i);
    }
    for (int i = 0; i < 120; ++i) {
        at(Time(draw(2500, 1000 + HistoryLength.milliseconds())), [this] { sendCompletion(); });
    }
    for (int i = 0; i < 15; ++i) {
        at(Time(draw(2500, 1000 + HistoryLength.milliseconds())), [this] { startPayment(); });
    }
    for (int i = 0; i < 10; ++i) {
        at(Time(draw(4000, 1000 + HistoryLength.milliseconds())), [this] { fault(); });
    }
    for (int i = 0; i < 4; ++i) {
        at(Time(draw(3000, 1000 + HistoryLength.milliseconds())), [this] { runOperatorAction(); });
    }
}

VmList TestCluster::vmList() const
{
    VmList list;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        VmRecord vm;
        vm.id = m_nodes[i].id.value();
        vm.zone = m_nodes[i].zone;
        vm.membershipAddress = std::to_string(i);
        list.vms.push_back(vm);
    }
    for (const Engine &engine : m_engines) {
        VmRecord vm;
        vm.id = engine.id.value();
        vm.role = VmRole::Upstream;
        vm.leaving = m_now >= engine.leavesAt;
        list.vms.push_back(vm);
    }
    return list;
}

void TestCluster::startNode(std::size_t index)
{
    ExploredNode &node = m_nodes[index];
    node.isUp = true;
    m_lastFaultEnd = std::max(m_lastFaultEnd, m_now);
    ++node.start;
    node.deferred.clear();
    node.pausedUntil = Time();
    node.incarnation =
        Incarnation(static_cast<std::uint64_t>((m_now + node.wallOffset).milliseconds() + 1'000'000) * 1000 + node.start % 1000);
    MemberUpdate self;
    self.id = node.id;
    self.zone = node.zone;
    self.incarnation = node.incarnation;
    self.membershipAddress = std::to_string(index);
    MembershipLimits limits;
    limits.probeInterval = Duration(200);
    limits.probeTimeout = Duration(100);
    limits.suspicionMin = Duration(400);
    limits.suspicionMax = Duration(800);
    limits.gossipInterval = Duration(100);
    limits.syncInterval = Duration(1000);
    limits.reconnectInterval = Duration(500);
    limits.pauseGap = Duration(500);
    limits.freshFor = Duration(1500);
    node.membership = std::make_unique<Membership>(self, limits, m_random());
    node.ledger = std::make_unique<Ledger>(KeyLifetime, 1000);
    node.ledgerWaiters.clear();
    node.runners.clear();
    for (const Engine &engine : m_engines) {
        OwnershipLimits ownership;
        ownership.pollInterval = Duration(300);
        ownership.lease = Lease;
        ownership.dispatchDelay = DispatchDelay;
        ownership.clockMargin = Duration(100);
        ownership.viewMaxAge = Duration(400);
        ownership.checksFencing = engine.checksFencing;
        SchedulerLimits scheduler;
        scheduler.slots = Slots;
        scheduler.batch = 4;
        EngineRunner runner;
        runner.ownership = std::make_unique<UpstreamOwnership>(ownership, m_random());
        runner.scheduler = std::make_unique<UpstreamScheduler>(scheduler);
        node.runners.push_back(std::move(runner));
    }
    node.version = 0;
    node.isReady = false;
    node.nextRead = m_now + Duration(draw(0, 500));
    node.isDraining = false;
    node.active = 0;
    const int start = node.start;
    after(Duration(draw(0, 100)), [this, index, start] { tickNode(index, start); });
}

void TestCluster::crash(std::size_t index)
{
    ExploredNode &node = m_nodes[index];
    if (!node.isUp) {
        return;
    }
    node.isUp = false;
    m_lastFaultEnd = std::max(m_lastFaultEnd, m_now);
    // The connections of requests in progress break, and their callers get no outcome.
    node.runners.clear();
    if (chance(0.5)) {
        node.wallOffset = Duration(draw(-20'000, 20'000));
    }
    after(Duration(draw(100, 3000)), [this, index] {
        if (!m_nodes[index].isUp) {
            startNode(index);
        }
    });
}

void TestCluster::shutDown(std::size_t index)
{
    ExploredNode &node = m_nodes[index];
    if (!node.isUp || node.isDraining) {
        return;
    }
    const int start = node.start;
    runOnNode(index, start, [this, index, start] {
        m_nodes[index].isDraining = true;
        membershipEvent(index, AnnounceLeaving {});
        finishShutDown(index, start, m_now);
    });
}

void TestCluster::finishShutDown(std::size_t index, int start, Time since)
{
    ExploredNode &node = m_nodes[index];
    const bool isOver =
        isDisabled(Safeguard::DrainWait) ? m_now - since >= Duration(200) : m_now - since >= Duration(300) && node.active == 0;
    if (!isOver) {
        after(Duration(50),
            [this, index, start, since] { runOnNode(index, start, [this, index, start, since] { finishShutDown(index, start, since); }); });
        return;
    }
    if (node.active > 0) {
        recordViolation(Invariant::GracefulShutdown, node.id.value() + " ended with requests in progress");
    }
    membershipEvent(index, AnnounceLeft {});
    node.isUp = false;
    m_lastFaultEnd = std::max(m_lastFaultEnd, m_now);
    after(Duration(draw(500, 3000)), [this, index] { startNode(index); });
}

void TestCluster::tickNode(std::size_t index, int start)
{
    runOnNode(index, start, [this, index] {
        ExploredNode &node = m_nodes[index];
        membershipEvent(index, MembershipTick {});
        if (m_now >= node.nextRead) {
            node.nextRead = m_now + ReadInterval;
            membershipEvent(index, VmListRead { vmList() });
            readConfig(index);
        }
        const auto view = node.membership->view();
        for (std::size_t e = 0; e < m_engines.size(); ++e) {
            const NodeView *owner = ownerOf(m_engines[e].id, m_engines[e].zone, view->nodes);
            const bool isOwner = owner != nullptr && owner->id == node.id;
            ownershipEvent(
                index, e, OwnerView { isOwner, node.membership->isFresh(clockOf(node)), view->isNodeMissing, node.membership->number() });
            schedulerEvent(index, e, Tick {});
            tryHeld(index, e);
        }
        node.ledger->expire(clockOf(node));
    });
    const ExploredNode &node = m_nodes[index];
    if (node.isUp && node.start == start) {
        at(std::max(m_now + TickInterval, node.pausedUntil), [this, index, start] { tickNode(index, start); });
    }
}

void TestCluster::membershipEvent(std::size_t index, const MembershipEvent &event)
{
    execute(index, m_nodes[index].membership->handle(event, clockOf(m_nodes[index])));
}

void TestCluster::execute(std::size_t index, const std::vector<MembershipAction> &actions)
{
    for (const MembershipAction &action : actions) {
        if (const auto *datagram = std::get_if<SendDatagram>(&action)) {
            const std::size_t to = std::stoul(datagram->address);
            for (int copy = 0; copy < (chance(0.05) ? 2 : 1); ++copy) {
                if (isCut(index, to) || chance(m_loss)) {
                    continue;
                }
                const Duration delay(chance(0.02) ? draw(50, 400) : draw(1, 20));
                const int start = m_nodes[to].start;
                after(delay, [this, index, to, start, content = datagram->datagram] {
                    runOnNode(to, start, [this, index, to, content] {
                        membershipEvent(to, DatagramReceived { content, std::to_string(index) });
                    });
                });
            }
        } else if (const auto *learned = std::get_if<RumourLearned>(&action)) {
            if (const auto *config = std::get_if<ConfigFact>(&learned->rumour)) {
                const int start = m_nodes[index].start;
                after(Duration(draw(5, 50)), [this, index, start, version = config->version.value()] {
                    runOnNode(index, start, [this, index, version] { takeVersion(index, version); });
                });
            }
            if (const auto *leaving = std::get_if<LeavingFact>(&learned->rumour)) {
                for (Engine &engine : m_engines) {
                    if (engine.id.value() == leaving->vm) {
                        engine.seenLeavingAt = std::min(engine.seenLeavingAt, m_now);
                    }
                }
            }
        }
    }
}

void TestCluster::fault()
{
    const std::size_t node = anyNode();
    const auto engine = static_cast<std::size_t>(draw(0, EngineCount - 1));
    switch (draw(0, 7)) {
    case 0:
    case 1:
        m_lastFaultEnd = std::max(m_lastFaultEnd, m_now);
        pause(node, Duration(draw(200, 6000)));
        break;
    case 2:
        crash(node);
        break;
    case 3:
    case 4:
        m_cutMask = static_cast<unsigned>(draw(1, (1 << m_nodes.size()) - 2));
        m_cutUntil = m_now + Duration(draw(500, 8000));
        m_lastFaultEnd = std::max(m_lastFaultEnd, m_cutUntil);
        break;
    case 5:
        restart(engine);
        break;
    case 6:
        shutDown(node);
        break;
    default:
        m_nodes[node].wallOffset = Duration(draw(-20'000, 20'000));
        break;
    }
}

// --- Configuration: the operator publishes versions; nodes read and gossip them.

AdapterKey TestCluster::resolve(int label, std::uint64_t version) const
{
    return { AdapterId("a" + std::to_string(label)), AdapterVersion(std::to_string((version + static_cast<std::uint64_t>(label)) / 2)) };
}

void TestCluster::runOperatorAction()
{
    if (chance(0.6)) {
        ++m_published;
        m_isServiceStale = chance(0.3);
        m_servedVersion = m_isServiceStale ? std::max<std::uint64_t>(1, m_published - static_cast<std::uint64_t>(draw(1, 2))) : m_published;
        if (m_isServiceStale) {
            // One node has read the new version before the service returned to an old one.
            const std::size_t index = anyNode();
            const int start = m_nodes[index].start;
            runOnNode(index, start, [this, index] { takeVersion(index, m_published); });
        }
        return;
    }
    Engine &engine = m_engines[static_cast<std::size_t>(draw(0, EngineCount - 1))];
    if (engine.leavesAt == Time::never()) {
        engine.leavesAt = m_now;
    }
}

void TestCluster::readConfig(std::size_t index)
{
    ExploredNode &node = m_nodes[index];
    const std::uint64_t served = m_servedVersion;
    if (!node.isReady) {
        // The versions of the peers are read before that of the service, which may be stale.
        const bool hasView = node.membership->isFresh(clockOf(node)) && !node.membership->view()->nodes.empty();
        if (!isDisabled(Safeguard::StartVersion) && !hasView) {
            return;
        }
        if (!isDisabled(Safeguard::StartVersion)) {
            for (const Rumour &rumour : node.membership->rumours()) {
                if (const auto *config = std::get_if<ConfigFact>(&rumour)) {
                    node.version = std::max(node.version, config->version.value());
                }
            }
        }
        node.isReady = true;
        takeVersion(index, served);
        checkStartVersion(index);
        return;
    }
    takeVersion(index, served);
}

// A node that starts serving must not have an older version than a peer it could have asked has had for longer than ConfigBound.
void TestCluster::checkStartVersion(std::size_t index)
{
    const ExploredNode &node = m_nodes[index];
    if (m_now <= m_cutUntil + ConfigBound) {
        return;
    }
    for (const ExploredNode &peer : m_nodes) {
        const auto accepted = m_acceptedAt.find(peer.version);
        const bool canAnswer = peer.isUp && peer.isReady && m_now > peer.pausedUntil + ConfigBound && !peer.isDraining;
        if (canAnswer && peer.version > node.version && accepted != m_acceptedAt.end() && m_now > accepted->second + ConfigBound) {
            recordViolation(Invariant::ConfigurationHolds,
                node.id.value() + " starts with version " + std::to_string(node.version) + " while " + peer.id.value() + " has "
                    + std::to_string(peer.version));
            return;
        }
    }
}

void TestCluster::takeVersion(std::size_t index, std::uint64_t version)
{
    ExploredNode &node = m_nodes[index];
    const bool isTaken = isDisabled(Safeguard::VersionOrder) ? version != node.version : version > node.version;
    if (!isTaken) {
        return;
    }
    if (version < node.version) {
        recordViolation(Invariant::ConfigurationHolds, node.id.value() + " went back to version " + std::to_string(version));
    }
    node.version = version;
    m_acceptedAt.emplace(version, m_now);
    membershipEvent(index, AnnounceRumour { ConfigFact { node.id, ConfigVersion(version) } });
}

// --- Completions.

void TestCluster::recordRun(std::uint64_t request)
{
    m_executed.insert(request);
    if (m_reportedNotRun.contains(request)) {
        recordViolation(Invariant::NotRunIsTrue, "request " + std::to_string(request) + " ran after its caller was told that it had not");
    }
}

void TestCluster::recordOutcome(std::uint64_t request, Outcome outcome)
{
    if (outcome != Outcome::NotRun) {
        return;
    }
    m_reportedNotRun.insert(request);
    if (m_executed.contains(request)) {
        recordViolation(Invariant::NotRunIsTrue, "the caller of request " + std::to_string(request) + " was told that it had not run");
    }
}

void TestCluster::sendCompletion()
{
    const std::size_t to = anyNode();
    const int start = m_nodes[to].start;
    Call call;
    call.label = static_cast<int>(draw(0, LabelCount - 1));
    call.request = ++m_requests;
    call.answer = [this, request = call.request](Outcome outcome, std::uint64_t echoed, const AdapterKey &) {
        recordOutcome(request, outcome);
        if (outcome == Outcome::Served && echoed != request) {
            recordViolation(
                Invariant::OwnWholeAnswer, "request " + std::to_string(request) + " got the answer of " + std::to_string(echoed));
        }
        ++(outcome == Outcome::Served ? m_result.served : outcome == Outcome::NotRun ? m_result.refused : m_result.unknown);
    };
    after(Duration(draw(1, 20)), [this, to, start, call] { runOnNode(to, start, [this, to, call] { receive(to, call); }); });
}

void TestCluster::end(std::size_t index, const Call &call, Outcome outcome, std::uint64_t echoed, const AdapterKey &ran)
{
    --m_nodes[index].active;
    call.answer(outcome, echoed, ran);
}

void TestCluster::receive(std::size_t index, Call call)
{
    ExploredNode &node = m_nodes[index];
    ++node.active;
    const auto view = node.membership->view();
    // No request may be served with a configuration version that other nodes replaced longer than ConfigBound ago.
    const bool isStable = m_now - m_lastFaultEnd > ConfigBound && m_now >= m_cutUntil;
    for (const auto &[version, acceptedAt] : m_acceptedAt) {
        if (node.isReady && isStable && m_now - acceptedAt > ConfigBound && node.version < version
            && m_now - node.pausedUntil > ConfigBound) {
            recordViolation(Invariant::ConfigurationHolds,
                node.id.value() + " serves version " + std::to_string(node.version) + " after " + std::to_string(version)
                    + " was accepted");
            break;
        }
    }
    if (!node.isReady || view->nodes.empty()) {
        end(index, call, Outcome::NotRun);
        return;
    }
    if (call.hops == 0) {
        call.adapter = resolve(call.label, node.version);
        call.deadline = m_now + Duration(4000);
    }
    std::vector<std::size_t> order;
    for (std::size_t e = 0; e < m_engines.size(); ++e) {
        if (!view->leaving.contains(m_engines[e].id)) {
            order.push_back(e);
        }
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return rendezvousScore(call.adapter.name(), m_engines[a].id.value(), 1)
            > rendezvousScore(call.adapter.name(), m_engines[b].id.value(), 1);
    });
    const NodeView *owner = order.empty() ? nullptr : ownerOf(m_engines[order.front()].id, m_engines[order.front()].zone, view->nodes);
    if (owner == nullptr) {
        end(index, call, Outcome::NotRun);
        return;
    }
    if (owner->id == node.id) {
        EngineRunner &runner = node.runners[order.front()];
        const RequestId id(++node.nextRequest);
        WorkItem work { id, call.adapter, static_cast<Priority>(draw(0, 2)), CallerId("c"), clockOf(node),
            clockOf(node) + (call.deadline - m_now), 10 };
        runner.calls.emplace(id, call);
        schedulerEvent(index, order.front(), WorkArrived { work });
        return;
    }
    const auto to = static_cast<std::size_t>(std::stoul(owner->id.value().substr(1)));
    if (call.hops >= 2 || isCut(index, to) || !m_nodes[to].isUp) {
        end(index, call, Outcome::NotRun);
        return;
    }
    Call forwarded = call;
    ++forwarded.hops;
    const int start = node.start;
    const int toStart = m_nodes[to].start;
    forwarded.answer = [this, index, start, to, call](Outcome outcome, std::uint64_t echoed, const AdapterKey &ran) {
        const bool isLost = isCut(index, to);
        after(Duration(draw(1, 10)),
            [=, this] { runOnNode(index, start, [=, this] { end(index, call, isLost ? Outcome::Unknown : outcome, echoed, ran); }); });
    };
    after(Duration(draw(1, 10)), [this, to, toStart, index, start, call, forwarded] {
        if (!m_nodes[to].isUp || m_nodes[to].start != toStart) {
            runOnNode(index, start, [this, index, call] { end(index, call, Outcome::Unknown); });
            return;
        }
        runOnNode(to, toStart, [this, to, forwarded] { receive(to, forwarded); });
    });
}

void TestCluster::schedulerEvent(std::size_t index, std::size_t engine, const SchedulerEvent &event)
{
    ExploredNode &node = m_nodes[index];
    EngineRunner &runner = node.runners[engine];
    const auto actions = runner.scheduler->handle(event, clockOf(node));
    for (const SchedulerAction &action : actions) {
        if (const auto *refuse = std::get_if<Refuse>(&action)) {
            const auto call = runner.calls.extract(refuse->id);
            if (!call.empty()) {
                end(index, call.mapped(), Outcome::NotRun);
            }
        } else if (const auto *permitRequest = std::get_if<RequestPermit>(&action)) {
            schedulerEvent(index, engine, PermitGranted { permitRequest->adapter, clockOf(node) + Duration::seconds(5) });
        } else if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
            runner.pending.push_back(dispatch->id);
        } else if (std::holds_alternative<StartLoad>(action) || std::holds_alternative<StartEvict>(action)) {
            runner.pendingOrders.push_back(action);
        }
    }
    tryHeld(index, engine);
}

bool TestCluster::mayDispatch(std::size_t index, std::size_t engine) const
{
    const ExploredNode &node = m_nodes[index];
    const bool isLeaving = !isDisabled(Safeguard::LeavingCheck) && node.membership->view()->leaving.contains(m_engines[engine].id);
    return !isLeaving && (isDisabled(Safeguard::Lease) || node.runners[engine].ownership->mayDispatch(clockOf(node)));
}

// Sends the pending orders and dispatches that the ownership allows now. A dispatch that was not allowed before its deadline ends as not
// run.
void TestCluster::tryHeld(std::size_t index, std::size_t engine)
{
    EngineRunner &runner = m_nodes[index].runners[engine];
    std::vector<SchedulerAction> orders;
    orders.swap(runner.pendingOrders);
    for (const SchedulerAction &order : orders) {
        if (!tryOrder(index, engine, order)) {
            runner.pendingOrders.push_back(order);
        }
    }
    std::vector<RequestId> pending;
    pending.swap(runner.pending);
    for (const RequestId id : pending) {
        const auto at = runner.calls.find(id);
        if (at == runner.calls.end()) {
            schedulerEvent(index, engine, WorkFinished { id });
        } else if (mayDispatch(index, engine)) {
            dispatch(index, engine, id);
        } else if (m_now >= at->second.deadline) {
            const Call call = at->second;
            runner.calls.erase(at);
            schedulerEvent(index, engine, WorkFinished { id });
            end(index, call, Outcome::NotRun);
        } else {
            runner.pending.push_back(id);
        }
    }
}

// Sends to an engine over a connection. The node may be paused right after its check, and the engine closes connections that are idle for
// too long.
void TestCluster::deliverToEngine(
    std::size_t index, std::size_t engine, std::function<void(Engine &)> onArrival, std::function<void()> onLost)
{
    const int start = m_nodes[index].start;
    const int engineStart = m_engines[engine].start;
    Duration delay(draw(1, 10));
    if (chance(0.03)) {
        delay = Duration(draw(10, 1500));
        pause(index, delay);
    }
    const bool isTooLate = delay >= DispatchDelay;
    const bool isLost = chance(0.01);
    after(delay, [=, this] {
        Engine &target = m_engines[engine];
        if (isTooLate || isLost || target.start != engineStart || m_now < target.readyAt) {
            runOnNode(index, start, onLost);
            return;
        }
        onArrival(target);
    });
}

void TestCluster::deliverToNode(std::size_t index, int start, std::function<void()> onArrival, std::function<void()> onLost)
{
    const bool isLost = chance(0.02);
    after(Duration(draw(1, 10)), [=, this] { runOnNode(index, start, isLost ? onLost : onArrival); });
}

bool TestCluster::isFenced(Engine &engine, FencingToken token)
{
    if (engine.checksFencing && token < engine.highest) {
        ++m_result.fenced;
        return true;
    }
    engine.highest = std::max(engine.highest, token);
    return false;
}

bool TestCluster::tryOrder(std::size_t index, std::size_t engine, const SchedulerAction &action)
{
    ExploredNode &node = m_nodes[index];
    const UpstreamOwnership &ownership = *node.runners[engine].ownership;
    const int start = node.start;
    if (const auto *load = std::get_if<StartLoad>(&action)) {
        const auto token = ownership.loadToken(clockOf(node));
        if (!token.has_value()) {
            return false;
        }
        const auto finish = [this, index, engine, adapter = load->adapter](bool isLoaded, bool isUnknown) {
            schedulerEvent(index, engine, LoadFinished { adapter, isLoaded, isUnknown });
        };
        deliverToEngine(
            index, engine,
            [=, this, adapter = load->adapter](Engine &target) {
                const bool isRefused = isFenced(target, *token);
                const bool isFull = std::cmp_greater_equal(target.loaded.size(), Slots) && !target.loaded.contains(adapter);
                const bool isLoaded = !isRefused && !isFull && !chance(0.05);
                if (isLoaded) {
                    target.loaded.insert(adapter);
                    recordSnapshot(target);
                }
                deliverToNode(
                    index, start,
                    [=, this] {
                        if (isRefused) {
                            ownershipEvent(index, engine, OrderFenced {});
                        }
                        finish(isLoaded, false);
                    },
                    [=] { finish(false, true); });
            },
            [=] { finish(false, true); });
        return true;
    }
    const auto &evict = std::get<StartEvict>(action);
    auto token = ownership.evictToken(evict.adapter, clockOf(node));
    if (isDisabled(Safeguard::EvictionWait)) {
        token = ownership.loadToken(clockOf(node));
    }
    if (!token.has_value()) {
        schedulerEvent(index, engine, EvictFinished { evict.adapter, false, false });
        return true;
    }
    const auto finish = [this, index, engine, adapter = evict.adapter](bool isEvicted, bool isUnknown) {
        schedulerEvent(index, engine, EvictFinished { adapter, isEvicted, isUnknown });
    };
    // An order without an answer may still arrive, so the adapter is not used until that is no longer possible.
    const auto finishLater = [=, this] { after(DispatchDelay, [=, this] { runOnNode(index, start, [=] { finish(false, true); }); }); };
    deliverToEngine(
        index, engine,
        [=, this, adapter = evict.adapter](Engine &target) {
            const bool isRefused = isFenced(target, *token);
            if (!isRefused) {
                ++m_result.evictions;
                for (const auto &[id, run] : target.running) {
                    if (run.adapter == adapter) {
                        recordViolation(Invariant::NoEvictionInUse,
                            m_nodes[index].id.value() + " evicted " + adapter.name() + " from " + target.id.value()
                                + (target.checksFencing ? " (checks fencing)" : " (checks nothing)"));
                        break;
                    }
                }
                target.loaded.erase(adapter);
                recordSnapshot(target);
            }
            deliverToNode(
                index, start,
                [=, this] {
                    if (isRefused) {
                        ownershipEvent(index, engine, OrderFenced {});
                    }
                    finish(!isRefused, false);
                },
                finishLater);
        },
        finishLater);
    return true;
}

void TestCluster::dispatch(std::size_t index, std::size_t engine, RequestId id)
{
    ExploredNode &node = m_nodes[index];
    Call call = node.runners[engine].calls.at(id);
    if (isDisabled(Safeguard::VersionBinding)) {
        call.adapter = resolve(call.label, node.version);
    }
    runAtEngine(index, engine, id, std::move(call));
}

void TestCluster::runAtEngine(std::size_t index, std::size_t engine, RequestId id, Call call)
{
    const int start = m_nodes[index].start;
    const auto finish = [this, index, engine, id](Outcome outcome, std::uint64_t echoed, const AdapterKey &ran, bool isMissing) {
        EngineRunner &runner = m_nodes[index].runners[engine];
        const auto pending = runner.calls.extract(id);
        if (isMissing) {
            schedulerEvent(index, engine, UpstreamRestarted {});
        }
        schedulerEvent(index, engine, WorkFinished { id });
        if (pending.empty()) {
            return;
        }
        const Call &original = pending.mapped();
        if (outcome == Outcome::Served && ran != original.adapter) {
            recordViolation(Invariant::RightAdapter, "asked for " + original.adapter.name() + ", ran on " + ran.name());
        }
        // An answer with the id of another attempt belongs to another caller.
        if (outcome == Outcome::Served && echoed != original.request && !isDisabled(Safeguard::AttemptId)) {
            outcome = Outcome::Unknown;
        }
        end(index, original, outcome, echoed, ran);
    };
    const bool isTooLate = m_now >= call.deadline;
    if (isTooLate) {
        finish(Outcome::NotRun, 0, {}, false);
        return;
    }
    // A broken connection does not show whether the first byte was sent, so the request counts as sent.
    const Outcome broken = isDisabled(Safeguard::SentState) ? Outcome::NotRun : Outcome::Unknown;
    deliverToEngine(
        index, engine,
        [=, this](Engine &target) {
            if (!target.loaded.contains(call.adapter)) {
                deliverToNode(
                    index, start, [=] { finish(Outcome::NotRun, 0, {}, true); }, [=] { finish(Outcome::Unknown, 0, {}, false); });
                return;
            }
            if (m_now > target.seenLeavingAt + LeavingBound) {
                recordViolation(Invariant::NoWorkForLeaving,
                    m_nodes[index].id.value() + " sent a request to the leaving upstream " + target.id.value());
            }
            const std::uint64_t run = ++m_order;
            target.running.emplace(run, Running { call.adapter, call.request });
            recordSnapshot(target);
            recordRun(call.request);
            const int engineStart = target.start;
            const Duration length(chance(0.1) ? draw(1000, 4000) : draw(20, 400));
            after(length, [=, this] {
                Engine &engineNow = m_engines[engine];
                if (engineNow.start != engineStart) {
                    return; // The node is notified of the broken connection below.
                }
                // Sometimes a late answer arrives on a connection that another attempt uses by then.
                std::uint64_t echoed = call.request;
                if (chance(0.01) && call.request > 1) {
                    echoed = call.request - 1;
                }
                engineNow.running.erase(run);
                recordSnapshot(engineNow);
                deliverToNode(
                    index, start, [=] { finish(Outcome::Served, echoed, call.adapter, false); }, [=] { finish(broken, 0, {}, false); });
            });
            // A restart breaks the connection.
            after(length + Duration(20), [=, this] {
                if (m_engines[engine].start != engineStart) {
                    runOnNode(index, start, [=] { finish(broken, 0, {}, false); });
                }
            });
        },
        [=] { finish(broken, 0, {}, false); });
}

void TestCluster::ownershipEvent(std::size_t index, std::size_t engine, const OwnershipEvent &event)
{
    ExploredNode &node = m_nodes[index];
    const Time before = node.runners[engine].ownership->ownedSince();
    const auto actions = node.runners[engine].ownership->handle(event, clockOf(node));
    m_result.takeovers += before == Time::never() && node.runners[engine].ownership->ownedSince() != Time::never() ? 1 : 0;
    for (const OwnershipAction &action : actions) {
        if (std::holds_alternative<RequestReport>(action)) {
            requestReport(index, engine);
        } else if (const auto *claimAction = std::get_if<Claim>(&action)) {
            claim(index, engine, claimAction->token);
        } else if (const auto *rule = std::get_if<EvictionRuleChanged>(&action)) {
            const EvictionRule allowAll { true, {} };
            schedulerEvent(index, engine, isDisabled(Safeguard::EvictionWait) ? allowAll : rule->rule);
        }
    }
}

void TestCluster::requestReport(std::size_t index, std::size_t engine)
{
    const int start = m_nodes[index].start;
    const Time requestedAt = clockOf(m_nodes[index]);
    const auto failed = [=, this] { ownershipEvent(index, engine, ReportFailed {}); };
    deliverToEngine(
        index, engine,
        [=, this](Engine &target) {
            // Reports lag by up to ReportLag.
            const Time of = m_now - Duration(draw(0, ReportLag.milliseconds() - 1));
            Snapshot reported = target.snapshots.front();
            for (const Snapshot &snapshot : target.snapshots) {
                if (snapshot.at <= of) {
                    reported = snapshot;
                }
            }
            deliverToNode(
                index, start,
                [=, this] {
                    const Time takenAt = requestedAt - ReportLag;
                    ownershipEvent(index, engine, OwnershipReport { takenAt, reported.highest, reported.loaded, reported.inUse });
                    schedulerEvent(
                        index, engine, LoadReport { takenAt, reported.loaded, reported.inUse, static_cast<int>(reported.inUse.size()), 0 });
                },
                failed);
        },
        failed);
}

void TestCluster::claim(std::size_t index, std::size_t engine, FencingToken token)
{
    const int start = m_nodes[index].start;
    const auto failed = [=, this] { ownershipEvent(index, engine, ClaimFailed {}); };
    deliverToEngine(
        index, engine,
        [=, this](Engine &target) {
            const bool isRefused = isFenced(target, token);
            recordSnapshot(target);
            deliverToNode(
                index, start,
                [=, this] {
                    if (isRefused) {
                        ownershipEvent(index, engine, OrderFenced {});
                    } else {
                        ownershipEvent(index, engine, ClaimAccepted { token });
                    }
                },
                failed);
        },
        failed);
}

void TestCluster::restart(std::size_t engine)
{
    Engine &target = m_engines[engine];
    ++target.start;
    target.readyAt = m_now + RestartTime;
    target.loaded.clear();
    target.running.clear();
    if (chance(0.5)) {
        target.highest = FencingToken();
    }
    target.snapshots.clear();
    recordSnapshot(target);
}

void TestCluster::recordSnapshot(Engine &engine)
{
    Snapshot snapshot { m_now, engine.highest, { engine.loaded.begin(), engine.loaded.end() }, {} };
    std::set<AdapterKey> inUse;
    for (const auto &[id, run] : engine.running) {
        inUse.insert(run.adapter);
    }
    snapshot.inUse.assign(inUse.begin(), inUse.end());
    engine.snapshots.push_back(std::move(snapshot));
    while (engine.snapshots.size() > 1 && engine.snapshots[1].at < m_now - ReportLag) {
        engine.snapshots.pop_front();
    }
}

// --- One-time payments.

void TestCluster::startPayment()
{
    const std::size_t from = anyNode();
    ExploredNode &node = m_nodes[from];
    const int start = node.start;
    const std::uint64_t payment = ++m_requests;
    runOnNode(from, start, [this, from, payment] {
        ExploredNode &mintingNode = m_nodes[from];
        const IdempotencyKey key { mintingNode.id, mintingNode.incarnation, clockOf(mintingNode), ++mintingNode.keyCounter };
        const std::string text = key.encode(Secret);
        const int copies = static_cast<int>(draw(1, 4));
        for (int i = 0; i < copies; ++i) {
            after(Duration(i == 0 ? draw(1, 50) : draw(1, 10'000)),
                [this, text, payment] { sendPayment(anyNode(), text, payment, 0, [](Outcome) {}); });
        }
    });
}

void TestCluster::sendPayment(std::size_t to, const std::string &text, std::uint64_t payment, int hops, std::function<void(Outcome)> answer)
{
    const int start = m_nodes[to].start;
    runOnNode(to, start, [=, this] {
        ExploredNode &node = m_nodes[to];
        const auto key = IdempotencyKey::decode(text, Secret);
        const bool isLocalKey = key.value().node == node.id && key.value().incarnation == node.incarnation;
        if (isLocalKey || isDisabled(Safeguard::KeyOwner)) {
            acceptPayment(to, key.value(), payment, answer);
            return;
        }
        const auto owner = static_cast<std::size_t>(std::stoul(key.value().node.value().substr(1)));
        if (hops >= 2 || owner == to || isCut(to, owner)) {
            answer(Outcome::Unknown);
            return;
        }
        after(Duration(draw(1, 10)), [=, this] { sendPayment(owner, text, payment, hops + 1, answer); });
    });
}

void TestCluster::acceptPayment(std::size_t index, const IdempotencyKey &key, std::uint64_t payment, std::function<void(Outcome)> answer)
{
    ExploredNode &node = m_nodes[index];
    const int start = node.start;
    const LedgerDecision decision = node.ledger->accept(key, "body", clockOf(node));
    if (std::holds_alternative<WaitForFirst>(decision)) {
        node.ledgerWaiters[key.counter].push_back(answer);
        return;
    }
    if (!std::holds_alternative<RunNow>(decision)) {
        answer(std::holds_alternative<Replay>(decision) ? Outcome::Served : Outcome::Unknown);
        return;
    }
    ++m_result.payments;
    ++node.active;
    const auto finish = [this, index, key, answer](Outcome outcome) {
        ExploredNode &owner = m_nodes[index];
        --owner.active;
        if (outcome == Outcome::Served) {
            owner.ledger->complete(key, { 200, "text/plain", "receipt" });
        } else if (isDisabled(Safeguard::LedgerMemory)) {
            owner.ledger = std::make_unique<Ledger>(KeyLifetime, 1000);
        } else {
            owner.ledger->fail(key);
        }
        answer(outcome);
        for (const auto &waiter : owner.ledgerWaiters[key.counter]) {
            waiter(outcome);
        }
        owner.ledgerWaiters.erase(key.counter);
    };
    // The service is unreachable, so nothing was sent.
    if (chance(0.05)) {
        finish(Outcome::NotRun);
        return;
    }
    if (!node.ledger->markSent(key)) {
        finish(Outcome::NotRun);
        return;
    }
    Duration delay(draw(1, 30));
    if (chance(0.1)) {
        delay = Duration(draw(100, 12'000));
        pause(index, delay);
    }
    after(delay, [=, this] {
        if (++m_paymentRuns[payment] > 1) {
            recordViolation(Invariant::RunsAtMostOnce,
                "payment " + std::to_string(payment) + " ran " + std::to_string(m_paymentRuns[payment]) + " times");
        }
        const bool isLost = chance(0.1);
        after(Duration(draw(1, 300)), [=, this] { runOnNode(index, start, [=] { finish(isLost ? Outcome::Unknown : Outcome::Served); }); });
    });
}

} // namespace

std::string_view safeguardName(Safeguard guard)
{
    switch (guard) {
    case Safeguard::None:
        return "none";
    case Safeguard::VersionBinding:
        return "version_binding";
    case Safeguard::EvictionWait:
        return "eviction_wait";
    case Safeguard::Lease:
        return "lease";
    case Safeguard::AttemptId:
        return "attempt_id";
    case Safeguard::SentState:
        return "sent_state";
    case Safeguard::KeyOwner:
        return "key_owner";
    case Safeguard::LedgerMemory:
        return "ledger_memory";
    case Safeguard::LeavingCheck:
        return "leaving_check";
    case Safeguard::DrainWait:
        return "drain_wait";
    case Safeguard::VersionOrder:
        return "version_order";
    case Safeguard::StartVersion:
        return "start_version";
    }
    return "unknown";
}

std::uint64_t HistoryResult::total() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : violations) {
        sum += count;
    }
    return sum;
}

HistoryResult exploreHistory(std::uint64_t seed, int nodes, Safeguard disabled)
{
    return TestCluster(seed, nodes, disabled).run();
}

} // namespace Fakes
