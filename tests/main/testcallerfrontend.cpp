#include "main/callerfrontend.h"
#include "tests/main/fixtures.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const std::string SettingsText =
    "[node]\nid = n1\nzone = a\n[platform]\nconfig_url = http://127.0.0.1:1\nvm_list_url = http://127.0.0.1:2\n"
    "[fleet]\nsecret = 0123456789abcdef\n";

// Records the forwarded request without sending it.
class RecordingPeers final : public Peers
{
public:
    void forward(const std::string &rpcAddress, const HttpRequest &request, int hops, const std::shared_ptr<HttpExchange> &,
        std::function<void(const Error &)>) override
    {
        address = rpcAddress;
        forwarded = request;
        hopsSoFar = hops;
    }
    void fetch(const std::string &, const std::string &, std::function<void(Result<std::string>)>) override
    {
    }
    void sendMessage(const std::string &, const std::string &, const std::string &, std::function<void(Result<std::string>)>) override
    {
    }

    std::string address;
    HttpRequest forwarded;
    int hopsSoFar = 0;
};

// Node n1 in zone a; the only engine is in zone b and is owned by n2.
struct TwoNodeFixture
{
    TwoNodeFixture()
    {
        CatalogContent content;
        content.version = ConfigVersion(2);
        content.adapters = { { { AdapterId("lessons"), AdapterVersion("1") }, { { "track", "old" } } },
            { { AdapterId("lessons"), AdapterVersion("2") }, { { "track", "stable" } } } };
        content.upstreams = { { UpstreamId("e1"), UpstreamKind::Engine, "127.0.0.1:9", ZoneId("b") } };
        catalog.set(Catalog::create(content).value());
        auto view = std::make_shared<FleetView>();
        view->nodes = { { NodeId("n1"), ZoneId("a"), "127.0.0.1:11", "127.0.0.1:12" },
            { NodeId("n2"), ZoneId("b"), "127.0.0.1:21", "127.0.0.1:22" } };
        fleet.set(std::move(view));
    }

    HttpRequest completion(const std::string &model) const
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.body = nlohmann::json { { "model", model }, { "messages", nlohmann::json::array() } }.dump();
        return request;
    }

    std::shared_ptr<const Settings> settings = Settings::parse(SettingsText, "n1.ini").value();
    ManualClock clock;
    HttpClient client;
    Metrics metrics;
    SharedSnapshot<Catalog> catalog;
    SharedSnapshot<FleetView> fleet;
    UpstreamHealth health { clock, metrics, 1 };
    ServiceRunner services { NodeId("n1"), Incarnation(1), *settings, client, clock, metrics, health };
    RecordingPeers peers;
    CallerFrontend frontend { FrontendContext {
        NodeId("n1"), Incarnation(1), ZoneId("a"), *settings, clock, client, metrics, catalog, fleet, services, health, peers } };
};

} // namespace

Test(callerfrontend, forwardedRequestNamesTheResolvedVersion)
{
    // A new configuration has moved a label to a new version, and the owner of the engine does not have that configuration yet. If the
    // request were forwarded with its label, the owner would run it on the old version.
    TwoNodeFixture nodes;
    nodes.frontend.handle(nodes.completion("track=stable"), std::make_shared<Fixtures::Caller>());
    cr_assert(nodes.peers.address == "127.0.0.1:22");
    cr_assert_eq(nodes.peers.hopsSoFar, 1);
    cr_assert(nlohmann::json::parse(nodes.peers.forwarded.body.view())["model"] == "lessons@2", "%s",
        std::string(nodes.peers.forwarded.body.view()).c_str());
}

Test(callerfrontend, unknownForwardedVersionIsNotReady)
{
    // The owner receives a forwarded request for a version that only a newer configuration has. An answer that the adapter does not exist
    // and that a retry is useless would make the caller give up on an existing adapter.
    TwoNodeFixture nodes;
    const auto forwarded = std::make_shared<Fixtures::Caller>();
    nodes.frontend.handle(nodes.completion("lessons@3"), forwarded, 1);
    cr_assert(forwarded->bodyContains("\"code\":\"not_ready\""));
    cr_assert(forwarded->bodyContains("\"not_run\":true"));
    const auto direct = std::make_shared<Fixtures::Caller>();
    nodes.frontend.handle(nodes.completion("lessons@3"), direct);
    cr_assert(direct->bodyContains("\"code\":\"unknown_selector\""));
}
