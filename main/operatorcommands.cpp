#include "main/operatorcommands.h"

#include "main/burnreport.h"
#include "transport/httpclient.h"

#include <absl/strings/numbers.h>
#include <absl/synchronization/notification.h>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <cctype>
#include <fstream>
#include <ostream>

namespace ApricotStep
{

namespace
{

using Json = nlohmann::json;

constexpr int FailedExit = 1;
constexpr int UsageExit = 2;
constexpr Duration RequestTimeout = Duration::seconds(10);
constexpr std::size_t MaxAnswerBytes = 64U << 20U;
constexpr int MaxPort = 65535;

bool isHostPort(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    int port = 0;
    return colon != std::string::npos && colon > 0 && text.find('/') == std::string::npos && absl::SimpleAtoi(text.substr(colon + 1), &port)
        && port > 0 && port <= MaxPort;
}

std::string percentEncode(const std::string &text)
{
    std::string safe;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        safe += std::isalnum(byte) != 0 ? std::string(1, c) : fmt::format("%{:02X}", byte);
    }
    return safe;
}

/** Sends a request to a node and waits for the answer. Returns the exit code and, if that is 0, the body; otherwise prints the error. */
std::pair<int, std::string> fetchFromNode(const std::string &node, const std::string &target, std::ostream &errors)
{
    if (!isHostPort(node)) {
        errors << "--node '" << node << "' is not host:port; give for example 127.0.0.1:9090\n";
        return { UsageExit, {} };
    }
    std::string body;
    CallResult result;
    absl::Notification done;
    HttpClient client;
    HttpCall call;
    call.url = "http://" + node + target;
    call.totalTimeout = RequestTimeout;
    call.maxBodyBytes = MaxAnswerBytes;
    call.onData = [&](std::string_view data) {
        body.append(data);
        return true;
    };
    call.onDone = [&](const CallResult &ended) {
        result = ended;
        done.Notify();
    };
    client.start(std::move(call));
    done.WaitForNotification();
    if (result.state != AttemptState::Answered) {
        errors << "node " << node << " did not answer: " << result.detail << "\n";
        return { FailedExit, {} };
    }
    if (result.status != 200) {
        errors << "node " << node << " answered " << result.status << ": " << body << "\n";
        return { FailedExit, {} };
    }
    return { 0, body };
}

std::string textOf(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printStatus(const Json &status, std::ostream &out)
{
    const Json &config = status.at("config");
    out << fmt::format("node {}  zone {}  config version {}  draining {}  fresh {}  nodes seen {}\n", textOf(status.at("node")),
        textOf(status.at("zone")), textOf(status.at("config_version")), textOf(status.at("draining")), textOf(status.at("fresh")),
        status.at("nodes").size());
    out << fmt::format("  one-time requests {} ({} bytes)  watches the configuration {}  trouble {}\n", textOf(status.at("ledger_entries")),
        textOf(status.at("ledger_bytes")), textOf(config.at("watcher")),
        textOf(config.at("trouble")).empty() ? "none" : textOf(config.at("trouble")));
    const Json &membership = status.at("membership");
    out << fmt::format("  membership: suspicions {}  deaths {}  refutations {}  pauses {}  rejected {}\n",
        textOf(membership.at("suspicions")), textOf(membership.at("deaths")), textOf(membership.at("refutations")),
        textOf(membership.at("pauses")), textOf(membership.at("rejected")));
    for (const Json &engine : status.at("engines")) {
        out << fmt::format("  engine {}  queued {}  running {}  resident {}\n", textOf(engine.at("id")), textOf(engine.at("queued")),
            textOf(engine.at("running")), textOf(engine.at("resident")));
    }
    out << fmt::format("  leaving: nodes {}  upstreams {}\n", status.at("leaving_nodes").dump(), status.at("leaving_upstreams").dump());
}

} // namespace

int showBurn(const OperatorQuery &query, std::ostream &out, std::ostream &errors)
{
    if (query.isJson && !query.htmlFile.empty()) {
        errors << "--json and --html exclude each other; give one\n";
        return UsageExit;
    }
    const auto [code, body] = fetchFromNode(query.node, query.isForAllNodes ? "/slo?all=1" : "/slo", errors);
    if (code != 0) {
        return code;
    }
    const auto report = parseBurnJson(body);
    if (!report.isOk()) {
        errors << "node " << query.node << ": " << report.error().detail << "\n";
        return FailedExit;
    }
    if (query.htmlFile.empty()) {
        out << (query.isJson ? burnJson(report.value()) + "\n" : burnText(report.value()));
        return 0;
    }
    std::ofstream page(query.htmlFile);
    page << burnHtml(report.value());
    page.close();
    if (!page) {
        errors << query.htmlFile << " cannot be written; give a file in a directory that exists\n";
        return FailedExit;
    }
    return 0;
}

int showStatus(const OperatorQuery &query, std::ostream &out, std::ostream &errors)
{
    const auto [code, body] = fetchFromNode(query.node, query.isForAllNodes ? "/status?all=1" : "/status", errors);
    if (code != 0) {
        return code;
    }
    if (query.isJson) {
        out << body;
        return 0;
    }
    try {
        const Json json = Json::parse(body);
        if (!query.isForAllNodes) {
            printStatus(json, out);
            return 0;
        }
        for (const Json &status : json.at("nodes")) {
            printStatus(status, out);
        }
        for (const Json &missing : json.at("missing")) {
            out << "missing: " << textOf(missing) << "\n";
        }
        return 0;
    } catch (const Json::exception &exception) {
        errors << "node " << query.node << " returned an invalid status: " << exception.what() << "\n";
        return FailedExit;
    }
}

int showAddress(const std::string &callerPort, const std::string &selector, bool isJson, std::ostream &out, std::ostream &errors)
{
    const auto [code, body] = fetchFromNode(callerPort, "/v1/address?explain=1&model=" + percentEncode(selector), errors);
    if (code != 0) {
        return code;
    }
    if (isJson) {
        out << body << "\n";
        return 0;
    }
    try {
        const Json json = Json::parse(body);
        out << fmt::format("{} resolves to {}@{} in configuration version {}; keep for {} ms\n", selector, textOf(json.at("adapter")),
            textOf(json.at("version")), textOf(json.at("config_version")), textOf(json.at("keep_ms")));
        for (const Json &candidate : json.at("candidates")) {
            out << fmt::format("engine {} of node {}\n", textOf(candidate.at("upstream")), textOf(candidate.at("owner")));
        }
        for (const Json &choice : json.at("addresses")) {
            out << fmt::format("caller is told: node {} in zone {} at {}\n", textOf(choice.at("node")), textOf(choice.at("zone")),
                textOf(choice.at("address")));
        }
        return 0;
    } catch (const Json::exception &exception) {
        errors << "node " << callerPort << " returned an invalid address answer: " << exception.what() << "\n";
        return FailedExit;
    }
}

} // namespace ApricotStep
