#include "main/enginerunner.h"
#include "main/upstreamhealth.h"
#include "tests/main/fixtures.h"

#include <nlohmann/json.hpp>

#include <mutex>
#include <thread>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

using Json = nlohmann::json;

// An engine that records the highest fencing token, refuses lower ones, and counts its orders.
struct FencedEngine
{
    std::mutex mutex;
    std::uint64_t highest = 0;
    std::vector<std::string> loaded;
    int loads = 0;
    int evictions = 0;
    int fenced = 0;
    int runs = 0;

    void handle(const HttpRequest &request, HttpExchange &exchange)
    {
        const std::lock_guard lock(mutex);
        const HttpHeaders json { { "Content-Type", "application/json" } };
        if (request.path == "/v1/load_report") {
            exchange.respond(200, json,
                Json { { "loaded", loaded }, { "running", Json::object() }, { "waiting", 0 }, { "fencing_token", highest } }.dump());
            return;
        }
        if (request.path.ends_with("completions")) {
            ++runs;
            exchange.respond(200, json, R"({"choices":[]})");
            return;
        }
        const std::string text = request.header("x-fencing-token");
        const std::uint64_t token = text.empty() ? 0 : std::stoull(text);
        if (token < highest || token == 0) {
            ++fenced;
            exchange.respond(409, json, R"({"error":"fenced"})");
            return;
        }
        highest = token;
        const std::string name = Json::parse(request.body.view()).value("lora_name", "");
        const bool isLoad = request.path == "/v1/load_lora_adapter";
        if (isLoad && !loaded.empty()) {
            exchange.respond(409, json, R"({"error":"no free slot"})");
            return;
        }
        if (isLoad) {
            ++loads;
            loaded.push_back(name);
        } else if (name.find('@') != std::string::npos) {
            ++evictions;
            std::erase(loaded, name);
        }
        exchange.respond(200, json, "{}");
    }
};

// A runner for such an engine, in a fleet that consists of this node.
struct OwnedEngineFixture final : CompletionRouter
{
    explicit OwnedEngineFixture(std::uint64_t highest)
        : upstream([this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { engine.handle(request, *exchange); })
    {
        engine.highest = highest;
        setOwner("n1");
        UpstreamSpec spec;
        spec.id = UpstreamId("engine1");
        spec.address = upstream.address();
        spec.slots = 1;
        spec.checksFencing = true;
        runner = std::make_unique<EngineRunner>(
            spec, EngineContext { *fixture.settings, *fixture.client, fixture.clock, fixture.metrics, fixture.health, *this, &source });
    }
    ~OwnedEngineFixture()
    {
        fixture.client.reset();
    }

    void setOwner(const std::string &node)
    {
        auto view = std::make_shared<FleetView>();
        view->nodes.push_back({ NodeId(node), ZoneId("a"), "", "", Incarnation(1) });
        fleet.set(view);
    }
    bool hasOther(const CompletionJob &, const UpstreamId &) override
    {
        return false;
    }
    void routeToOther(CompletionJob) override
    {
    }
    std::shared_ptr<Fixtures::Caller> send(std::uint64_t id, const std::string &adapter)
    {
        const auto exchange = std::make_shared<Fixtures::Caller>();
        CompletionJob job;
        job.work.id = RequestId(id);
        job.work.adapter = { AdapterId(adapter), AdapterVersion("1") };
        job.work.arrival = fixture.clock.now();
        job.work.deadline = fixture.clock.now() + Duration::seconds(2);
        job.path = "/v1/completions";
        job.body = "{}";
        job.requestId = "r" + std::to_string(id);
        job.exchange = exchange;
        runner->submit(std::move(job));
        return exchange;
    }

    Fixtures::NodeFixture fixture;
    FencedEngine engine;
    Fixtures::Upstream upstream;
    SharedSnapshot<FleetView> fleet;
    OwnershipSource source { NodeId("n1"), fleet, [] { return true; }, [] { return std::uint16_t { 7 }; } };
    std::unique_ptr<EngineRunner> runner;
};

} // namespace

Test(ownedengine, ordersCarryATokenAboveTheHighestSeen)
{
    // The engine has accepted orders from another node before. It would refuse an order without a token or with a lower one.
    OwnedEngineFixture owned((9ULL << 16U) | 3U);
    const auto exchange = owned.send(1, "lessons");
    cr_assert(exchange->wait([&] { owned.runner->tick(); }));
    cr_assert_eq(exchange->status(), 200);
    cr_assert_eq(owned.engine.loads, 1);
    cr_assert_gt(owned.engine.highest >> 16U, 9);
    cr_assert_eq(owned.engine.highest & 0xffffU, 7);
    cr_assert_eq(owned.engine.fenced, 0);
}

Test(ownedengine, nonOwnerSendsNothing)
{
    // The node's view has another node as the owner of the engine. A request sent anyway could hit an adapter that the owner is evicting.
    OwnedEngineFixture owned(0);
    owned.setOwner("n2");
    const auto exchange = owned.send(1, "lessons");
    cr_assert(exchange->wait([&] { owned.runner->tick(); }));
    cr_assert_geq(exchange->status(), 400);
    cr_assert_eq(owned.engine.loads, 0);
    cr_assert_eq(owned.engine.runs, 0);
}

Test(ownedengine, newOwnerDoesNotEvictAtOnce)
{
    // The only slot holds an adapter to which the previous owner may still be sending requests.
    OwnedEngineFixture owned(1ULL << 30U);
    owned.engine.loaded = { "kitchen@1" };
    const auto exchange = owned.send(1, "lessons");
    cr_assert(exchange->wait([&] { owned.runner->tick(); }));
    cr_assert_geq(exchange->status(), 400);
    cr_assert_eq(owned.engine.evictions, 0);
}

Test(ownedengine, fencedOrderLeadsToANewClaim)
{
    // Another node has claimed the engine with a higher token. The owner must claim it again before it can serve requests.
    OwnedEngineFixture owned(0);
    const auto first = owned.send(1, "lessons");
    cr_assert(first->wait([&] { owned.runner->tick(); }));
    {
        const std::lock_guard lock(owned.engine.mutex);
        owned.engine.highest = 1ULL << 45U;
    }
    for (int i = 0; i < 400; ++i) {
        owned.runner->tick();
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        const std::lock_guard lock(owned.engine.mutex);
        if (owned.engine.highest > (1ULL << 45U)) {
            break;
        }
    }
    cr_assert_gt(owned.engine.highest, 1ULL << 45U);
    const auto second = owned.send(2, "lessons");
    cr_assert(second->wait([&] { owned.runner->tick(); }));
    cr_assert_eq(second->status(), 200);
}
