#include "main/permitrunner.h"

#include "tests/main/fixtures.h"

#include <deque>
#include <map>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Duration Step(50);

// Nodes whose permit messages the test carries: whole, or none of them, or none of the grants' side.
struct World
{
    struct Line final : Peers
    {
        World *world = nullptr;
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
            world->post.push_back({ address, message, std::move(done) });
        }
    };
    struct Letter
    {
        std::string address;
        std::string message;
        std::function<void(Result<std::string>)> done;
    };
    struct Member
    {
        std::unique_ptr<PermitRunner> runner;
        std::deque<AdapterKey> granted;
        int expected = 0;
    };

    explicit World(int count)
        : size(count)
    {
        line.world = this;
        for (int i = 0; i < count; ++i) {
            const std::string id = "n" + std::to_string(i);
            Member &member = members[id];
            member.runner = std::make_unique<PermitRunner>(NodeId(id), *parts.settings, clock, fleet, line);
            member.runner->onAnswer([&member](const UpstreamId &, const SchedulerEvent &event) {
                if (const auto *granted = std::get_if<PermitGranted>(&event)) {
                    member.granted.push_back(granted->adapter);
                } else {
                    ++member.expected;
                }
            });
        }
        setLive(members);
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
        while (!post.empty()) {
            const Letter letter = std::move(post.front());
            post.pop_front();
            const auto at = members.find(letter.address);
            if (isCut || at == members.end()) {
                letter.done(Error { ErrorKind::PeerUnreachable, "cut" });
            } else {
                letter.done(at->second.runner->receive(letter.message));
            }
        }
    }

    // Each node wants a new adapter whenever it has none in wish; a load that was granted ends at once.
    int run(Duration span)
    {
        int loads = 0;
        for (Duration passed; passed < span; passed = passed + Step) {
            clock.advance(Step);
            for (auto &[id, member] : members) {
                if (!wishes.contains(id)) {
                    wishes[id] = { AdapterId("a" + std::to_string(++serial)), AdapterVersion("1") };
                    member.runner->requestPermit(UpstreamId("e" + id), { wishes[id], Priority::Standard, 1, Duration() });
                }
                member.runner->setListedNodeCount(size);
                member.runner->tick();
                deliver();
                for (; !member.granted.empty(); member.granted.pop_front()) {
                    ++loads;
                    member.runner->release(UpstreamId("e" + id), { member.granted.front(), PermitEnd::Used });
                    wishes.erase(id);
                }
                deliver();
            }
        }
        return loads;
    }

    int size;
    Fixtures::NodeFixture parts;
    ManualClock clock;
    SharedSnapshot<FleetView> fleet;
    Line line;
    std::deque<Letter> post;
    bool isCut = false;
    std::map<std::string, Member> members;
    std::map<std::string, AdapterKey> wishes;
    int serial = 0;
};

} // namespace

Test(permitrunner, theFleetTogetherKeepsToTheStoresRate)
{
    // Popularity shifts, and the engines of all nodes want to load at once. Each by itself would take the store's whole rate, and urgent
    // callers would wait behind the rest.
    World world(4);
    const int loads = world.run(Duration::seconds(20));
    cr_assert_leq(loads, 42, "two a second, and one that was saved");
    cr_assert_geq(loads, 36, "the rate is used: %d", loads);
    int expected = 0;
    for (const auto &[id, member] : world.members) {
        expected += member.expected;
    }
    cr_assert_gt(expected, 0, "engines hear how long they will wait");
}

Test(permitrunner, lostMessagesDoNotStopLoadsForGood)
{
    // The network between the nodes goes away and comes back. Callers whose adapter is not loaded must not wait for permits that cannot
    // come: a node goes by its part of the budget, and after the cut by the giver again.
    World world(4);
    world.run(Duration::seconds(5));
    world.isCut = true;
    const int during = world.run(Duration::seconds(20));
    // The giver itself hears of nobody and gives itself the whole rate; each of the three others has a quarter.
    cr_assert_leq(during, 80);
    cr_assert_geq(during, 40, "all nodes go on loading: %d", during);
    world.isCut = false;
    world.run(Duration::seconds(5));
    const int after = world.run(Duration::seconds(20));
    cr_assert_leq(after, 42);
    cr_assert_geq(after, 36);
}

Test(permitrunner, aGiverThatDiesIsFollowedByAnother)
{
    // The giver's VM is taken away with permits out. The next node by rendezvous gives on.
    World world(4);
    world.run(Duration::seconds(5));
    const std::string issuer = permitIssuerOf({ NodeId("n0"), NodeId("n1"), NodeId("n2"), NodeId("n3") }).value();
    world.members.erase(issuer);
    world.setLive(world.members);
    const int loads = world.run(Duration::seconds(20));
    cr_assert_leq(loads, 42);
    cr_assert_geq(loads, 25, "three of four nodes have three quarters: %d", loads);
}
