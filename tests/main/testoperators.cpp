#include "main/node.h"
#include "main/operatorcommands.h"
#include "main/operatorport.h"
#include "tests/main/fixtures.h"
#include "tests/main/scriptedupstream.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <sstream>
#include <thread>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

using Json = nlohmann::json;

/** Starts a node whose VM list comes from the test and whose configuration service is unreachable. */
std::unique_ptr<Node> startNode(const std::string &id, const std::string &vmListAddress)
{
    const auto settings = Settings::parse("[node]\nid = " + id
            + "\nzone = a\ndeployment = kumasi\n[callers]\nport = 0\n[operator]\nport = 0\n"
              "[platform]\nconfig_url = http://127.0.0.1:1\nvm_list_url = http://"
            + vmListAddress
            + "/vms\nvm_list_interval_ms = 100\n"
              "[fleet]\nsecret = 0123456789abcdef\n[rpc]\ncall_timeout_ms = 1000\n",
        "test.ini");
    cr_assert(settings.isOk());
    auto node = Node::start(settings.value());
    cr_assert(node.isOk());
    return std::move(node.value());
}

std::string local(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

Json vmOf(const std::string &id, const Node &node)
{
    return { { "id", id }, { "role", "entry" }, { "zone", "a" }, { "caller_address", local(node.callerPort()) },
        { "rpc_address", local(node.rpcPort()) }, { "membership_address", local(node.membershipPort()) } };
}

/** Sends @p count urgent completions and returns how many were refused. */
int countRefusals(const Node &node, int count)
{
    HttpClient client;
    std::atomic<int> refused { 0 };
    for (int i = 0; i < count; ++i) {
        absl::Notification done;
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + local(node.callerPort()) + "/v1/completions";
        call.headers = { { "X-Priority", "urgent" } };
        call.body = "{}";
        call.onDone = [&](const CallResult &result) {
            refused += result.status == 503 ? 1 : 0;
            done.Notify();
        };
        client.start(std::move(call));
        done.WaitForNotification();
    }
    return refused;
}

/** Repeats a query until @p isExpected accepts the answer, for at most 20 s. Returns the last answer. */
Json pollUntil(int (*show)(const OperatorQuery &, std::ostream &, std::ostream &), const OperatorQuery &query,
    const std::function<bool(const Json &)> &isExpected)
{
    Json answer;
    for (int i = 0; i < 200; ++i) {
        std::ostringstream out;
        std::ostringstream errors;
        if (show(query, out, errors) == 0) {
            answer = Json::parse(out.str());
            if (isExpected(answer)) {
                return answer;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return answer;
}

} // namespace

Test(operators, burnOfAllNodesCountsOutageAndListsMissingNodes)
{
    // The nodes have no configuration, so every request is refused. An operator port must report the sum over both nodes. After a node has
    // died, a sum without it must not look complete.
    absl::Mutex mutex;
    std::string list = R"({"vms":[]})";
    const Fixtures::Upstream platform([&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        const absl::MutexLock lock(&mutex);
        exchange->respond(200, {}, list);
    });
    const auto first = startNode("n1", platform.address());
    auto second = startNode("n2", platform.address());
    {
        const absl::MutexLock lock(&mutex);
        list = Json { { "vms", { vmOf("n1", *first), vmOf("n2", *second) } } }.dump();
    }
    OperatorQuery query { local(first->operatorPort()), true, true, {} };
    const Json status = pollUntil(showStatus, query, [](const Json &json) { return json.at("nodes").size() == 2; });
    cr_assert_eq(status.at("nodes").size(), 2);
    cr_assert_eq(countRefusals(*first, 3) + countRefusals(*second, 7), 10);
    const Json burn = pollUntil(showBurn, query, [](const Json &json) { return json.at("nodes").size() == 2; });
    cr_assert_eq(burn.at("classes").at("urgent").at("bad"), 10);
    cr_assert_float_eq(burn.at("classes").at("urgent").at("burn_5m").get<double>(), 100, 1);
    cr_assert(burn.at("missing").empty() && burn.at("deployment") == "kumasi");
    second.reset();
    const Json after = pollUntil(showBurn, query, [](const Json &json) { return !json.at("missing").empty(); });
    cr_assert_not(after.at("missing").empty());
    cr_assert_eq(after.at("classes").at("urgent").at("bad"), 3);
}

Test(operators, burnOfAnOutageMatchesCalculation)
{
    // During six minutes of an hour, a plain service answers every fourth call with 500. Mistakes of callers in between are not failures.
    const auto settings = Fixtures::NodeFixture().settings;
    ManualClock clock;
    ServiceLevels levels(objectivesOf(*settings));
    Metrics metrics;
    metrics.setServiceLevels(levels, clock);
    for (int second = 0; second < 3600; ++second) {
        const bool isOutage = second >= 3240 && second % 4 == 0;
        metrics.serviceCall("payments", isOutage ? 500 : 200, Duration(20));
        metrics.serviceCall("payments", 404, Duration(20));
        metrics.serviceFailed("payments", ErrorKind::KeyRequired);
        metrics.completionServed(Priority::Urgent, Duration(0), Duration(second < 36 ? 10'001 : 10'000), Duration(20'000));
        metrics.completionFailed(Priority::Urgent, ErrorKind::DeadlineTooShort);
        clock.advance(Duration::seconds(1));
    }
    const BurnReport report = burnReportOf(levels, "d", "n", clock.now() - Duration(1000));
    const double service = 90.0 / 7200.0 / 0.001;
    cr_assert_leq(std::abs(report.classes[3].burn(360) - service), service * 0.01);
    cr_assert_leq(std::abs(report.classes[0].burn(360) - 1.0), 0.01, "36 of 3600 were late at a target of 99 %%");
    cr_assert(alertOf(report.classes[3]) == BurnAlert::Ticket);
}

Test(operators, commandsReportErrors)
{
    std::ostringstream out;
    std::ostringstream errors;
    cr_assert_eq(showBurn({ "nowhere", false, false, {} }, out, errors), 2);
    cr_assert(errors.str().find("host:port") != std::string::npos);
    cr_assert_eq(showBurn({ "127.0.0.1:1", false, true, "x.html" }, out, errors), 2);
    cr_assert_eq(showStatus({ "127.0.0.1:1", true, false, {} }, out, errors), 1);
    cr_assert(errors.str().find("127.0.0.1:1 did not answer") != std::string::npos);
    const Fixtures::Upstream other(
        [](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) { exchange->respond(200, {}, "[]"); });
    cr_assert_eq(showBurn({ other.address(), false, false, {} }, out, errors), 1, "another program listens on that port");
    cr_assert_eq(showStatus({ other.address(), false, false, {} }, out, errors), 1);
    cr_assert_eq(showAddress(other.address(), "kitchen", false, out, errors), 1);
    cr_assert(out.str().empty());
}

// Guards against a command that keeps an answer without end until its memory is used up.
Test(operators, answerWithoutEndIsBrokenOff)
{
    const Fixtures::ScriptedUpstream node([](const std::string &) {
        Fixtures::ScriptedAnswer answer { "HTTP/1.1 200 OK\r\n\r\n" };
        answer.endless = std::string(4000, ' ');
        return answer;
    });
    std::ostringstream out;
    std::ostringstream errors;
    cr_assert_eq(showStatus({ node.address(), false, false, "" }, out, errors), 1);
    cr_assert_eq(errors.str(), "node " + node.address() + " did not answer: the answer is longer than 67108864 bytes\n");
}
