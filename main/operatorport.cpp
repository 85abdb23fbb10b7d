#include "main/operatorport.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <functional>

namespace ApricotStep
{

namespace
{

constexpr const char *BurnTopic = "slo";
constexpr const char *StatusTopic = "status";
constexpr const char *UnreachableNode = "(a node of the VM list that this node does not see alive)";
constexpr double TargetDenominator = 10'000;

using Json = nlohmann::json;

const HttpHeaders &jsonHeaders()
{
    static const HttpHeaders headers { { "Content-Type", "application/json" } };
    return headers;
}

/** Collects the answers of several nodes to one query and calls back after the last one. Thread-safe. */
class AnswerCollector
{
public:
    using Answers = std::vector<std::pair<NodeId, Result<std::string>>>;

    AnswerCollector(std::size_t expected, std::function<void(const Answers &)> done)
        : m_pending(expected)
        , m_done(std::move(done))
    {
    }

    void add(const NodeId &node, Result<std::string> answer)
    {
        {
            const absl::MutexLock lock(&m_mutex);
            m_answers.emplace_back(node, std::move(answer));
            if (--m_pending > 0) {
                return;
            }
        }
        // No thread adds answers any more, so they may be read without the lock.
        finish();
    }

private:
    void finish() ABSL_NO_THREAD_SAFETY_ANALYSIS
    {
        m_done(m_answers);
    }

    absl::Mutex m_mutex;
    std::size_t m_pending ABSL_GUARDED_BY(m_mutex);
    Answers m_answers ABSL_GUARDED_BY(m_mutex);
    std::function<void(const Answers &)> m_done;
};

void queryOtherNodes(Peers &peers, const NodeId &self, const FleetView *fleet, const std::string &topic,
    std::function<void(const AnswerCollector::Answers &)> done)
{
    std::vector<NodeView> others;
    for (const auto *nodes : { &fleet->nodes, &fleet->leavingNodes }) {
        for (const NodeView &node : *nodes) {
            if (node.id != self) {
                others.push_back(node);
            }
        }
    }
    if (others.empty()) {
        done({});
        return;
    }
    const auto collector = std::make_shared<AnswerCollector>(others.size(), std::move(done));
    for (const NodeView &node : others) {
        if (node.rpcAddress.empty()) {
            collector->add(node.id, Error { ErrorKind::PeerUnreachable, "no address yet" });
            continue;
        }
        peers.sendMessage(node.rpcAddress, OperatorPart, topic,
            [collector, id = node.id](Result<std::string> answer) { collector->add(id, std::move(answer)); });
    }
}

} // namespace

std::array<Objective, ServiceClassCount> objectivesOf(const Settings &settings)
{
    const auto of = [&](const char *target, const char *limit) {
        return Objective { static_cast<double>(settings.number(target)) / TargetDenominator, settings.duration(limit) };
    };
    return { of("objectives.urgent_target", "objectives.urgent_first_token_ms"),
        of("objectives.standard_target", "objectives.standard_first_token_ms"),
        of("objectives.patient_target", "objectives.patient_first_token_ms"),
        of("objectives.service_target", "objectives.service_answer_ms") };
}

OperatorPort::OperatorPort(const OperatorParts &parts)
    : m_parts(parts)
{
}

std::string OperatorPort::statusBody() const
{
    const auto current = m_parts.catalog.get();
    const auto view = m_parts.fleet.get();
    Json json;
    json["node"] = m_parts.settings.text("node.id");
    json["zone"] = m_parts.settings.text("node.zone");
    json["incarnation"] = m_parts.incarnation.value();
    json["draining"] = m_parts.isDraining.load();
    json["config_version"] = current ? current->version().value() : 0;
    const ConfigStatus configStatus = m_parts.config.status();
    json["config"] = { { "watcher", configStatus.isWatcher }, { "trouble", configStatus.problem }, { "values", configStatus.valueCount },
        { "value_bytes", configStatus.valueBytes } };
    json["nodes"] = Json::array();
    json["engines"] = Json::array();
    json["leaving_nodes"] = Json::array();
    json["leaving_upstreams"] = Json::array();
    json["ledger_entries"] = m_parts.services.oneTimeRequests().size();
    json["ledger_bytes"] = m_parts.services.oneTimeRequests().bytes();
    json["fresh"] = m_parts.membership.isFresh();
    const MembershipCounters counters = m_parts.membership.counters();
    json["membership"] = { { "suspicions", counters.suspicions }, { "deaths", counters.deaths }, { "refutations", counters.refutations },
        { "pauses", counters.pauses }, { "replayed", counters.replays }, { "rejected", m_parts.membership.rejectedCount() },
        { "bytes_sent", m_parts.membership.bytesSent() }, { "bytes_received", m_parts.membership.bytesReceived() } };
    if (view) {
        for (const NodeView &node : view->nodes) {
            json["nodes"].push_back({ { "id", node.id.value() }, { "zone", node.zone.value() }, { "address", node.callerAddress },
                { "rpc_address", node.rpcAddress } });
        }
        for (const NodeView &node : view->leavingNodes) {
            json["leaving_nodes"].push_back(node.id.value());
        }
        for (const UpstreamId &upstream : view->leaving) {
            json["leaving_upstreams"].push_back(upstream.value());
        }
    }
    for (const EngineStatus &engine : m_parts.frontend.engineStatus()) {
        json["engines"].push_back({ { "id", engine.id.value() }, { "queued", engine.queued }, { "running", engine.running },
            { "resident", engine.residentAdapters.size() } });
    }
    return json.dump(2) + "\n";
}

BurnReport OperatorPort::burn() const
{
    return burnReportOf(m_parts.levels, m_parts.settings.text("node.deployment"), m_parts.settings.text("node.id"), m_parts.clock.now());
}

Result<std::string> OperatorPort::answerPeer(const std::string &topic) const
{
    if (topic == BurnTopic) {
        return burnJson(burn());
    }
    if (topic == StatusTopic) {
        return statusBody();
    }
    return Error { ErrorKind::NotFound, "unknown topic " + topic };
}

void OperatorPort::respondBurnOfAllNodes(const std::shared_ptr<HttpExchange> &exchange) const
{
    const auto view = m_parts.fleet.get();
    auto report = std::make_shared<BurnReport>(burn());
    if (view == nullptr || view->isNodeMissing) {
        report->missing.emplace_back(UnreachableNode);
    }
    if (view == nullptr) {
        exchange->respond(200, jsonHeaders(), burnJson(*report));
        return;
    }
    queryOtherNodes(m_parts.peers, NodeId(m_parts.settings.text("node.id")), view.get(), BurnTopic,
        [report, exchange](const AnswerCollector::Answers &answers) {
            for (const auto &[node, answer] : answers) {
                const auto other = answer.isOk() ? parseBurnJson(answer.value()) : Result<BurnReport>(answer.error());
                const auto added = other.isOk() ? report->add(other.value()) : Result<bool>(other.error());
                if (!added.isOk()) {
                    report->missing.push_back(node.value() + " (" + added.error().detail + ")");
                }
            }
            exchange->respond(200, jsonHeaders(), burnJson(*report));
        });
}

void OperatorPort::respondStatusOfAllNodes(const std::shared_ptr<HttpExchange> &exchange) const
{
    const auto view = m_parts.fleet.get();
    auto all = std::make_shared<Json>(Json { { "nodes", Json::array({ Json::parse(statusBody()) }) }, { "missing", Json::array() } });
    if (view == nullptr || view->isNodeMissing) {
        (*all)["missing"].push_back(UnreachableNode);
    }
    if (view == nullptr) {
        exchange->respond(200, jsonHeaders(), all->dump(2) + "\n");
        return;
    }
    queryOtherNodes(m_parts.peers, NodeId(m_parts.settings.text("node.id")), view.get(), StatusTopic,
        [all, exchange](const AnswerCollector::Answers &answers) {
            for (const auto &[node, answer] : answers) {
                Json status = answer.isOk() ? Json::parse(answer.value(), nullptr, false) : Json();
                if (status.is_object()) {
                    (*all)["nodes"].push_back(std::move(status));
                } else {
                    (*all)["missing"].push_back(node.value() + (answer.isOk() ? "" : " (" + answer.error().detail + ")"));
                }
            }
            exchange->respond(200, jsonHeaders(), all->dump(2) + "\n");
        });
}

void OperatorPort::handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) const
{
    const HttpHeaders plain { { "Content-Type", "text/plain; version=0.0.4" } };
    const bool isForAllNodes = request.parameter("all") == "1";
    if (request.path == "/healthz") {
        exchange->respond(200, plain, "ok\n");
    } else if (request.path == "/readyz") {
        const bool isReady = m_parts.catalog.get() != nullptr && m_parts.fleet.get() != nullptr && !m_parts.isDraining;
        exchange->respond(isReady ? 200 : 503, plain, isReady ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        exchange->respond(200, plain, m_parts.metrics.text());
    } else if (request.path == "/status") {
        isForAllNodes ? respondStatusOfAllNodes(exchange) : exchange->respond(200, jsonHeaders(), statusBody());
    } else if (request.path == "/slo") {
        isForAllNodes ? respondBurnOfAllNodes(exchange) : exchange->respond(200, jsonHeaders(), burnJson(burn()));
    } else {
        exchange->respond(404, plain, "not found\n");
    }
}

} // namespace ApricotStep
