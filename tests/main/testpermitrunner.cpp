#include "main/permitrunner.h"

#include "tests/main/fixtures.h"

#include <deque>
#include <map>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Duration Step(50);

// Nodes whose permit messages the test queues and then delivers, or drops while isCut is set.
struct PermitTestCluster
{
    struct QueueingPeers final : Peers
    {
        PermitTestCluster *cluster = nullptr;
        void forward(const std::string &, const HttpRequest &, int, const std::shared_ptr<HttpExchange> &,
            std::function<void(const Error &)>) override
        {
        }
        void fetch(const std::string &, const std::string &, std::function<void(Result<std::string>)>) override
        {
        }
        void sendMessage(const std::string &address, const std::string &, const std::string &message,
            std::function<void(Result<std::string>)> done) override
        {
            cluster->messageQueue.push_back({ address, message, std::move(done) });
        }
    };
    struct QueuedMessage
    {
        std::string address;
        std::string message;
        std::function<void(Result<std::string>)> done;
    };
    struct TestNode
    {
        std::unique_ptr<PermitRunner> runner;
        std::deque<AdapterKey> granted;
        int waitEstimates = 0;
    };

    explicit PermitTestCluster(int count)
        : size(count)
    {
        peers.cluster = this;
        for (int i = 0; i < count; ++i) {
            const std::string id = "n" + std::to_string(i);
            TestNode &testNode = testNodes[id];
            testNode.runner = std::make_unique<PermitRunner>(NodeId(id), *fixture.settings, clock, fleet, peers);
            testNode.runner->onAnswer([&testNode](const UpstreamId &, const SchedulerEvent &event) {
                if (const auto *granted = std::get_if<PermitGranted>(&event)) {
                    testNode.granted.push_back(granted->adapter);
                } else {
                    ++testNode.waitEstimates;
                }
            });
        }
        setLive(testNodes);
    }

    template<typename Names>
    void setLive(const Names &names)
    {
        auto view = std::make_shared<FleetView>();
        for (const auto &[id, unused] : names) {
            view->nodes.push_back({ NodeId(id), ZoneId("a"), "", id, Incarnation(1) });
        }
        fleet.set(view);
    }

    void deliver()
    {
        while (!messageQueue.empty()) {
            const QueuedMessage queued = std::move(messageQueue.front());
            messageQueue.pop_front();
            const auto at = testNodes.find(queued.address);
            if (isCut || at == testNodes.end()) {
                queued.done(Error { ErrorKind::PeerUnreachable, "cut" });
            } else {
                queued.done(at->second.runner->receive(queued.message));
            }
        }
    }

    // Each node requests a permit for a new adapter whenever it has no request pending. A granted load ends immediately. Returns the number
    // of loads.
    int run(Duration span)
    {
        int loads = 0;
        for (Duration passed; passed < span; passed = passed + Step) {
            clock.advance(Step);
            for (auto &[id, testNode] : testNodes) {
                if (!requestedAdapters.contains(id)) {
                    requestedAdapters[id] = { AdapterId("a" + std::to_string(++serial)), AdapterVersion("1") };
                    testNode.runner->requestPermit(UpstreamId("e" + id), { requestedAdapters[id], Priority::Standard, 1, Duration() });
                }
                testNode.runner->setListedNodeCount(size);
                testNode.runner->tick();
                deliver();
                for (; !testNode.granted.empty(); testNode.granted.pop_front()) {
                    ++loads;
                    testNode.runner->release(UpstreamId("e" + id), { testNode.granted.front(), PermitEnd::Used });
                    requestedAdapters.erase(id);
                }
                deliver();
            }
        }
        return loads;
    }

    int size;
    Fixtures::NodeFixture fixture;
    ManualClock clock;
    SharedSnapshot<FleetView> fleet;
    QueueingPeers peers;
    std::deque<QueuedMessage> messageQueue;
    bool isCut = false;
    std::map<std::string, TestNode> testNodes;
    std::map<std::string, AdapterKey> requestedAdapters;
    int serial = 0;
};

} // namespace

Test(permitrunner, fleetStaysWithinTheStoreRate)
{
    // Popularity shifts, and the engines of all nodes need to load at once. Without permits each node would use the whole rate of the
    // store, and urgent callers would wait behind the others.
    PermitTestCluster cluster(4);
    const int loads = cluster.run(Duration::seconds(20));
    cr_assert_leq(loads, 42, "two per second, and one saved permit");
    cr_assert_geq(loads, 36, "the rate is used: %d", loads);
    int waitEstimates = 0;
    for (const auto &[id, testNode] : cluster.testNodes) {
        waitEstimates += testNode.waitEstimates;
    }
    cr_assert_gt(waitEstimates, 0, "engines receive wait estimates");
}

Test(permitrunner, loadsContinueDuringAPartition)
{
    // The network between the nodes fails and recovers. Callers whose adapter is not loaded must not wait for permits that cannot arrive:
    // during the partition each node uses its share of the budget, afterwards the issuer's permits again.
    PermitTestCluster cluster(4);
    cluster.run(Duration::seconds(5));
    cluster.isCut = true;
    const int during = cluster.run(Duration::seconds(20));
    // The issuer receives no requests from others and grants itself the whole rate; each of the three other nodes uses a quarter.
    cr_assert_leq(during, 80);
    cr_assert_geq(during, 40, "all nodes continue to load: %d", during);
    cluster.isCut = false;
    cluster.run(Duration::seconds(5));
    const int after = cluster.run(Duration::seconds(20));
    cr_assert_leq(after, 42);
    cr_assert_geq(after, 36);
}

Test(permitrunner, deadIssuerIsReplaced)
{
    // The issuer's VM is lost while permits are outstanding. The next node by rendezvous hashing must take over as issuer.
    PermitTestCluster cluster(4);
    cluster.run(Duration::seconds(5));
    const std::string issuer = permitIssuerOf({ NodeId("n0"), NodeId("n1"), NodeId("n2"), NodeId("n3") }).value();
    cluster.testNodes.erase(issuer);
    cluster.setLive(cluster.testNodes);
    const int loads = cluster.run(Duration::seconds(20));
    cr_assert_leq(loads, 42);
    cr_assert_geq(loads, 25, "three of four nodes use three quarters of the rate: %d", loads);
}
