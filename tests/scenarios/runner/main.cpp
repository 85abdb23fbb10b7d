#include "tests/scenarios/runner/callers.h"
#include "tests/scenarios/runner/invariants.h"
#include "tests/scenarios/runner/plainhttp.h"
#include "tests/scenarios/runner/script.h"
#include "tests/scenarios/runner/testcluster.h"

#include <chrono>
#include <csignal>
#include <filesystem>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

// Runs one scenario: starts real processes behind proxies and executes the file line by line. docs/SCENARIOS.md describes the language.

using namespace Scenario;

namespace
{

using Json = nlohmann::json;

constexpr double DefaultTimeoutSeconds = 30;
constexpr int PollMs = 50;
constexpr int StatusTimeoutMs = 1000;

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::string outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ok:
        return "ok";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::MayHaveRun:
        return "may_have_run";
    case Outcome::Interrupted:
        return "broken";
    case Outcome::NoResponse:
        return "no_answer";
    }
    return "";
}

class ScenarioRunner
{
public:
    ScenarioRunner(const std::string &build, const std::string &work)
        : m_cluster(build, work)
        , m_callers(std::make_unique<Callers>(m_cluster))
    {
    }

    void execute(const Line &line)
    {
        const auto at = commands().find(line.command);
        if (at == commands().end()) {
            throw std::runtime_error("unknown command '" + line.command + "'");
        }
        (this->*at->second)(line);
    }

    // Waits for all callers and checks the invariants that hold in every scenario. Throws if any is violated.
    void finish()
    {
        m_callers->joinAll();
        const auto violations = findViolations(m_callers->records(), readCounts(m_cluster));
        printGroups();
        if (violations.empty()) {
            return;
        }
        std::string all = "violated invariants: " + std::to_string(violations.size());
        for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 10); ++i) {
            all += "\n  " + violations[i];
        }
        throw std::runtime_error(all);
    }

private:
    using Command = void (ScenarioRunner::*)(const Line &);

    static const std::map<std::string, Command> &commands()
    {
        static const std::map<std::string, Command> all { { "store", &ScenarioRunner::store }, { "engine", &ScenarioRunner::engine },
            { "service", &ScenarioRunner::service }, { "adapter", &ScenarioRunner::adapter },
            { "remove-adapter", &ScenarioRunner::removeAdapter }, { "publish", &ScenarioRunner::publish },
            { "node", &ScenarioRunner::node }, { "fault", &ScenarioRunner::fault }, { "partition", &ScenarioRunner::partition },
            { "heal", &ScenarioRunner::heal }, { "pause", &ScenarioRunner::pause }, { "resume", &ScenarioRunner::resume },
            { "kill", &ScenarioRunner::kill }, { "term", &ScenarioRunner::term }, { "vm", &ScenarioRunner::vm },
            { "control", &ScenarioRunner::control }, { "chat", &ScenarioRunner::chat }, { "pay", &ScenarioRunner::pay },
            { "key", &ScenarioRunner::key }, { "load", &ScenarioRunner::load }, { "join", &ScenarioRunner::join },
            { "await", &ScenarioRunner::await }, { "expect", &ScenarioRunner::expect }, { "expect-runs", &ScenarioRunner::expectRuns },
            { "expect-share", &ScenarioRunner::expectShare }, { "expect-quiet", &ScenarioRunner::expectQuiet },
            { "expect-load-rate", &ScenarioRunner::expectLoadRate }, { "sleep", &ScenarioRunner::sleep } };
        return all;
    }

    void store(const Line &line)
    {
        m_cluster.addStore(line.options);
    }
    void engine(const Line &line)
    {
        m_cluster.addEngine(line.word(0), line.options);
    }
    void service(const Line &line)
    {
        m_cluster.addService(line.word(0), line.options);
    }
    void adapter(const Line &line)
    {
        std::string labels;
        for (const auto &[name, value] : line.options) {
            labels += (labels.empty() ? "" : ", ") + name + "=" + value;
        }
        m_cluster.addAdapter(line.word(0), labels);
    }
    void removeAdapter(const Line &line)
    {
        m_cluster.removeAdapter(line.word(0));
    }
    void publish(const Line &)
    {
        m_cluster.publish();
    }
    void node(const Line &line)
    {
        m_cluster.addNode(line.word(0), line.options);
    }
    void fault(const Line &line)
    {
        FaultProxy::Faults &faults = m_cluster.faults(line.word(0));
        const std::map<std::string, std::function<void(int)>> setters { { "delay_ms", [&](int value) { faults.delayMs = value; } },
            { "cut_answer_after", [&](int value) { faults.cutAnswerAfter = value; } },
            { "cut_request_after", [&](int value) { faults.cutRequestAfter = value; } },
            { "drip_bytes_per_second", [&](int value) { faults.maxBytesPerSecond = value; } },
            { "loss_percent", [&](int value) { faults.lossPercent = value; } },
            { "duplicate_percent", [&](int value) { faults.duplicatePercent = value; } },
            { "reorder_percent", [&](int value) { faults.reorderPercent = value; } } };
        for (const auto &[name, value] : line.options) {
            const auto setter = setters.find(name);
            if (setter == setters.end()) {
                throw std::runtime_error("unknown fault '" + name + "'");
            }
            setter->second(std::stoi(value));
        }
        for (std::size_t i = 1; i < line.words.size(); ++i) {
            setFlag(faults, line.words[i]);
        }
    }
    static void setFlag(FaultProxy::Faults &faults, const std::string &flag)
    {
        if (flag == "clear") {
            faults.clear();
        } else if (flag == "black_hole") {
            faults.isBlackHole = true;
        } else if (flag == "half_open") {
            faults.isHalfOpen = true;
        } else if (flag == "reset") {
            faults.isReset = true;
        } else {
            throw std::runtime_error("unknown fault '" + flag + "'");
        }
    }
    // partition n1 n2 | n3: blocks traffic between the two sides in both directions.
    void partition(const Line &line)
    {
        std::vector<std::string> sides[2];
        int side = 0;
        for (const std::string &word : line.words) {
            if (word == "|") {
                side = 1;
            } else {
                sides[side].push_back(word);
            }
        }
        for (const std::string &a : sides[0]) {
            for (const std::string &b : sides[1]) {
                m_cluster.partition().block(a, b);
                m_cluster.partition().block(b, a);
            }
        }
    }
    void heal(const Line &)
    {
        m_cluster.partition().clear();
    }
    void pause(const Line &line)
    {
        m_cluster.node(line.word(0)).signal(SIGSTOP);
    }
    void resume(const Line &line)
    {
        m_cluster.node(line.word(0)).signal(SIGCONT);
    }
    void kill(const Line &line)
    {
        Process &process = m_cluster.node(line.word(0));
        process.signal(SIGKILL);
        process.waitForExit(DefaultTimeoutSeconds);
    }
    // term n1: sends SIGTERM and waits for the node to exit with code 0. term n1 nowait: only sends SIGTERM.
    void term(const Line &line)
    {
        Process &process = m_cluster.node(line.word(0));
        process.signal(SIGTERM);
        if (line.words.size() > 1 && line.words[1] == "nowait") {
            return;
        }
        if (!process.waitForExit(DefaultTimeoutSeconds) || process.exitCode() != 0) {
            throw std::runtime_error(line.word(0) + " did not shut down gracefully, exit code " + std::to_string(process.exitCode()));
        }
    }
    void vm(const Line &line)
    {
        m_cluster.setVm(line.word(0), line.word(1));
    }
    // control UPSTREAM PATH: calls a control path of a stand-in, such as /control/restart.
    void control(const Line &line)
    {
        std::string path = line.word(1);
        for (const auto &[name, value] : line.options) {
            path += (path.find('?') == std::string::npos ? "?" : "&") + name + "=" + value;
        }
        if (callHttp("http://" + m_cluster.directAddress(line.word(0)) + path, "", {}, StatusTimeoutMs).status != 200) {
            throw std::runtime_error("the control call did not return status 200");
        }
    }
    void chat(const Line &line)
    {
        m_callers->chat(line.word(0), optionsWithFlags(line));
    }
    void pay(const Line &line)
    {
        m_callers->pay(line.word(0), optionsWithFlags(line));
    }
    void key(const Line &line)
    {
        m_callers->fetchKey(line.word(0), line.options.at("node"));
    }
    void load(const Line &line)
    {
        m_callers->load(line.word(0), optionsWithFlags(line));
    }
    void join(const Line &line)
    {
        for (const std::string &group : line.words) {
            m_callers->join(group);
        }
    }
    static Options optionsWithFlags(const Line &line)
    {
        Options options = line.options;
        for (std::size_t i = 1; i < line.words.size(); ++i) {
            options[line.words[i]] = "yes";
        }
        return options;
    }

    // await CONDITION ... within=SECONDS: polls until the condition is met; fails after the timeout.
    void await(const Line &line)
    {
        const double timeout = parseSeconds(optionOr(line.options, "within", std::to_string(DefaultTimeoutSeconds)));
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(timeout);
        while (!isConditionMet(line)) {
            if (std::chrono::steady_clock::now() > deadline) {
                throw std::runtime_error("condition not met within " + std::to_string(timeout) + " s; last seen: " + m_lastSeen);
            }
            sleepSeconds(PollMs / 1000.0);
        }
    }
    bool isConditionMet(const Line &line)
    {
        const std::string &condition = line.word(0);
        if (condition == "runs") {
            const int total = totalRuns();
            m_lastSeen = std::to_string(total) + " runs";
            return total >= std::stoi(line.options.at("total"));
        }
        if (condition == "began") {
            return hasStarted(line.word(1));
        }
        for (std::size_t i = 1; i < line.words.size(); ++i) {
            if (!isNodeConditionMet(line.words[i], condition, line.options)) {
                return false;
            }
        }
        return true;
    }
    bool isNodeConditionMet(const std::string &name, const std::string &condition, const Options &options)
    {
        const std::string address = m_cluster.operatorAddress(name);
        if (condition == "ready") {
            m_lastSeen = name + " is not ready";
            return callHttp("http://" + address + "/readyz", "", {}, StatusTimeoutMs).status == 200;
        }
        const HttpResponse response = callHttp("http://" + address + "/status", "", {}, StatusTimeoutMs);
        const Json status = Json::parse(response.body, nullptr, false);
        m_lastSeen = name + ": " + response.body.substr(0, 2000);
        if (!status.is_object()) {
            return false;
        }
        if (condition == "nodes") {
            return std::cmp_equal(status["nodes"].size(), std::stoi(options.at("count")));
        }
        if (condition == "config") {
            return status.value("config_version", std::uint64_t { 0 }) >= m_cluster.publishedVersion();
        }
        throw std::runtime_error("unknown condition '" + condition + "'");
    }
    int totalRuns()
    {
        int total = 0;
        for (const auto &[tag, count] : readCounts(m_cluster).runs) {
            total += count;
        }
        return total;
    }
    bool hasStarted(const std::string &group)
    {
        const StandinCounts counts = readCounts(m_cluster);
        const auto isOfGroup = [&](const auto &entry) { return entry.first.starts_with(group + "#"); };
        return std::any_of(counts.generated.begin(), counts.generated.end(), isOfGroup)
            || std::any_of(counts.runs.begin(), counts.runs.end(), isOfGroup);
    }

    // expect GROUP outcome=ok [adapter=] [code=]: every request of the group ended this way. outcome=a,b allows several outcomes.
    void expect(const Line &line)
    {
        m_callers->join(line.word(0));
        for (const RequestRecord &record : m_callers->records()) {
            if (record.group == line.word(0)) {
                expectRecord(record, line.options);
            }
        }
    }
    // Lists the attempts of a request for error messages.
    static std::string describeAttempts(const RequestRecord &record)
    {
        std::ostringstream text;
        for (const Attempt &attempt : record.attempts) {
            text << "\n    after " << attempt.endedAfter << " s: " << (attempt.address.empty() ? "no address" : attempt.address) << " "
                 << outcomeName(attempt.outcome) << " " << attempt.code;
        }
        return text.str();
    }
    static void expectRecord(const RequestRecord &record, const Options &options)
    {
        const Attempt &lastAttempt = record.lastAttempt();
        const std::string actual = outcomeName(lastAttempt.outcome) + " status=" + std::to_string(lastAttempt.status)
            + " code=" + lastAttempt.code + " adapter=" + lastAttempt.adapter;
        const std::string expectedOutcomes = "," + optionOr(options, "outcome", outcomeName(lastAttempt.outcome)) + ",";
        const std::string expectedCodes = "," + optionOr(options, "code", lastAttempt.code) + ",";
        const bool isExpected = expectedOutcomes.find("," + outcomeName(lastAttempt.outcome) + ",") != std::string::npos
            && expectedCodes.find("," + lastAttempt.code + ",") != std::string::npos
            && optionOr(options, "adapter", lastAttempt.adapter) == lastAttempt.adapter;
        if (!isExpected) {
            throw std::runtime_error(record.tag + ": got " + actual + describeAttempts(record));
        }
    }
    // expect-runs GROUP min= max=: bounds how often each one-time request of the group ran; by default min=0 and max=1.
    void expectRuns(const Line &line)
    {
        m_callers->join(line.word(0));
        const StandinCounts counts = readCounts(m_cluster);
        for (const RequestRecord &record : m_callers->records()) {
            const auto at = counts.runs.find(record.tag);
            const int runCount = at == counts.runs.end() ? 0 : at->second;
            if (record.group == line.word(0)
                && (runCount < std::stoi(optionOr(line.options, "min", "0")) || runCount > std::stoi(optionOr(line.options, "max", "1")))) {
                throw std::runtime_error(record.tag + " ran " + std::to_string(runCount) + " times");
            }
        }
    }
    // expect-share GROUP ok=PERCENT: at least this share of the group's requests ended with a complete response.
    void expectShare(const Line &line)
    {
        m_callers->join(line.word(0));
        int all = 0;
        int ok = 0;
        for (const RequestRecord &record : m_callers->records()) {
            if (record.group == line.word(0)) {
                ++all;
                ok += record.lastAttempt().outcome == Outcome::Ok ? 1 : 0;
            }
        }
        if (all == 0 || ok * 100 < std::stoi(line.options.at("ok")) * all) {
            throw std::runtime_error(std::to_string(ok) + " of " + std::to_string(all) + " requests were served");
        }
    }
    // expect-quiet UPSTREAM for=SECONDS: the upstream starts no new request during this time.
    void expectQuiet(const Line &line)
    {
        const auto countStarted = [&] {
            int total = 0;
            for (const auto &[tag, count] :
                Json::parse(callHttp("http://" + m_cluster.directAddress(line.word(0)) + "/control/prompts", "", {}, StatusTimeoutMs).body)
                    .items()) {
                total += count.get<int>();
            }
            return total;
        };
        const int before = countStarted();
        sleepSeconds(parseSeconds(line.options.at("for")));
        const int after = countStarted();
        if (after != before) {
            throw std::runtime_error(line.word(0) + " received " + std::to_string(after - before) + " new requests");
        }
    }
    // expect-load-rate max=: on average, the weight store began at most this many loads per second since its start.
    void expectLoadRate(const Line &line)
    {
        const double rate = m_cluster.loadsPerSecond();
        std::cout << "  loads per second: " << rate << "\n";
        if (rate > std::stod(line.options.at("max"))) {
            throw std::runtime_error(std::to_string(rate) + " loads per second");
        }
    }
    void sleep(const Line &line)
    {
        sleepSeconds(parseSeconds(line.word(0)));
    }

    void printGroups() const
    {
        std::map<std::string, std::map<std::string, int>> groups;
        for (const RequestRecord &record : m_callers->records()) {
            ++groups[record.group][outcomeName(record.lastAttempt().outcome)];
        }
        for (const auto &[group, outcomes] : groups) {
            std::cout << "  " << group << ":";
            for (const auto &[word, count] : outcomes) {
                std::cout << " " << word << "=" << count;
            }
            std::cout << "\n";
        }
    }

    TestCluster m_cluster;
    std::unique_ptr<Callers> m_callers;
    std::string m_lastSeen;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: scenario BUILD-FOLDER FILE.scn\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::string pattern = (std::filesystem::temp_directory_path() / "apricotstep-scenario-XXXXXX").string();
    const std::string work = mkdtemp(pattern.data());
    int number = 0;
    bool isPassed = false;
    try {
        const auto lines = readScript(argv[2]);
        ScenarioRunner runner(std::filesystem::absolute(argv[1]).string(), work);
        for (const Line &line : lines) {
            number = line.number;
            runner.execute(line);
        }
        runner.finish();
        isPassed = true;
    } catch (const std::exception &exception) {
        std::cout << argv[2] << ":" << number << ": " << exception.what() << "\n  logs: " << work << "\n";
    }
    if (isPassed) {
        std::filesystem::remove_all(work);
    }
    std::cout << argv[2] << ": " << (isPassed ? "passed" : "FAILED") << std::endl;
    return isPassed ? 0 : 1;
}
