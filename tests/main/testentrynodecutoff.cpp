#include "testentrynodefixture.h"
#include "unreachableaddress.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace Fixtures;

namespace
{

constexpr int Upstreams = 3;

/** A store that lists the upstreams at @p addresses, and a route of each kind. */
ScriptedAnswer answerAsStore(const std::string &request, const std::vector<std::string> &addresses)
{
    if (absl::StrContains(request, "kv-watch")) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return ScriptedAnswer { json(R"({"events":[],"storeRevision":2})") };
    }
    constexpr std::array Routes { R"({"name":"look","host":"h.example","pathPrefix":"/look/","kind":"idempotent","maxAttempts":2,)",
        R"({"name":"pay","host":"h.example","pathPrefix":"/pay/","kind":"non_idempotent","maxAttempts":1,)",
        R"({"name":"chat","host":"h.example","pathPrefix":"/chat/","kind":"stream","maxAttempts":1,)" };
    const std::string rest = R"("timeoutMs":1900,"service":"svc"})";
    const std::string config = absl::StrCat(
        R"({"version":4,"routes":[)", absl::StrJoin(Routes, rest + ","), rest, R"(],"services":[{"name":"svc","maxConns":10}]})");
    std::vector<std::string> items { item("op/config", config) };
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        items.push_back(item(absl::StrCat("servers/u", i), upstreamEntry(addresses[i])));
    }
    return ScriptedAnswer { json(absl::StrCat(R"({"hasMore":false,"items":[)", absl::StrJoin(items, ","), R"(],"storeRevision":2})")) };
}

/** Two nodes before the same upstreams, which only the second one reaches. */
class CutOffFleet
{
public:
    explicit CutOffFleet(UnreachableAddress::Kind kind)
    {
        std::vector<std::string> unreachable;
        std::vector<std::string> reachable;
        for (int i = 0; i < Upstreams; ++i) {
            m_upstreams.push_back(std::make_unique<ScriptedUpstream>(&answerCompletely));
            m_unreachable.push_back(std::make_unique<UnreachableAddress>(kind));
            reachable.push_back(m_upstreams.back()->address());
            unreachable.push_back(m_unreachable.back()->address());
        }
        m_stores.push_back(
            std::make_unique<ScriptedUpstream>([unreachable](const std::string &request) { return answerAsStore(request, unreachable); }));
        m_stores.push_back(
            std::make_unique<ScriptedUpstream>([reachable](const std::string &request) { return answerAsStore(request, reachable); }));
        m_cutOff = settingsFor(m_stores[0]->address());
        m_other = settingsFor(m_stores[1]->address());
        m_other.node = NodeId("n2");
        // The second node starts without the address of the first, and once that is ready: nodes copy from each other what they have not
        // read from a store yet, and these have stores that differ.
        m_cutOff.seeds = { m_other.peerAddress };
        m_nodes.push_back(std::make_unique<RunningNode>(m_cutOff));
        cr_assert(becomesReady(m_client, m_cutOff));
        m_nodes.push_back(std::make_unique<RunningNode>(m_other));
        cr_assert(becomesReady(m_client, m_other));
        std::this_thread::sleep_for(std::chrono::milliseconds(500)); // The nodes learn of each other.
    }

    /** Whether the second node reaches the upstreams, having read its own store first. */
    bool doesSecondReachUpstreams()
    {
        return get(m_client, m_other.callerAddress, "/look/x", { { "Host", "h.example" }, { "Apricotstep-Request-Id", "direct" } }).status
            == 200;
    }

    Response send(const std::string &path, const std::string &id)
    {
        return get(m_client, m_cutOff.callerAddress, path, { { "Host", "h.example" }, { "Apricotstep-Request-Id", id } });
    }
    /** How often the request reached an upstream. */
    int runs(const std::string &id) const
    {
        int count = 0;
        for (const auto &upstream : m_upstreams) {
            const auto requests = upstream->requests();
            count += static_cast<int>(std::count_if(
                requests.begin(), requests.end(), [&id](const std::string &request) { return absl::StrContains(request, id + "\r\n"); }));
        }
        return count;
    }

private:
    std::vector<std::unique_ptr<ScriptedUpstream>> m_upstreams;
    std::vector<std::unique_ptr<UnreachableAddress>> m_unreachable;
    std::vector<std::unique_ptr<ScriptedUpstream>> m_stores;
    Platform::ProcessSettings m_cutOff;
    Platform::ProcessSettings m_other;
    HttpClient m_client;
    std::vector<std::unique_ptr<RunningNode>> m_nodes;
};

void expectFirstTriesServed(UnreachableAddress::Kind kind)
{
    constexpr int MaxFleets = 4;
    auto current = std::make_unique<CutOffFleet>(kind);
    for (int fleets = 1; fleets < MaxFleets && !current->doesSecondReachUpstreams(); ++fleets) {
        current = std::make_unique<CutOffFleet>(kind);
    }
    CutOffFleet &fleet = *current;
    for (int i = 0; i < 4; ++i) {
        for (const char *path : { "/look/x", "/pay/x", "/chat/x" }) {
            const std::string id = absl::StrCat("r", i, std::string(path).substr(1, 3));
            const Response response = fleet.send(path, id);
            cr_expect_eq(response.status, 200, "%s %s: %d %s", path, id.c_str(), response.status, response.body.c_str());
            cr_expect(response.body == "whole");
            cr_expect_eq(fleet.runs(id), 1, "%s ran %d times", id.c_str(), fleet.runs(id));
        }
    }
}

} // namespace

// Guards against refusing all callers of a node whose connections to all upstreams are refused, while another node reaches them.
Test(entrynode, callersOfNodeThatUpstreamsRefuseAreServed)
{
    expectFirstTriesServed(UnreachableAddress::Kind::Refusing);
}

// The same for connection attempts that get no response.
Test(entrynode, callersOfNodeThatGetsNoResponseFromUpstreamsAreServed)
{
    expectFirstTriesServed(UnreachableAddress::Kind::Silent);
}
