#include "tests/scenarios/runner/testcluster.h"

#include "tests/scenarios/runner/plainhttp.h"

#include <arpa/inet.h>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Scenario
{

namespace
{

// Nodes listen on NodeNet<n> and their proxies on ProxyNet<n>, so that both can use the same port numbers.
const std::string NodeNet = "127.0.1.";
const std::string ProxyNet = "127.0.2.";
constexpr std::uint64_t ProxySeed = 7;

struct Upstream
{
    std::unique_ptr<Process> process;
    std::unique_ptr<FaultProxy::TcpProxy> proxy;
    Options options;
    bool isEngine = true;
};

struct ClusterNode
{
    int number = 0;
    std::unique_ptr<Process> process;
    std::uint16_t rpcPort = 0;
    std::uint16_t membershipPort = 0;
    std::uint16_t callerPort = 0;
    std::uint16_t operatorPort = 0;
    std::unique_ptr<FaultProxy::TcpProxy> rpc;
    std::unique_ptr<FaultProxy::UdpProxy> membership;
    Options options;

    std::string ip() const
    {
        return NodeNet + std::to_string(number);
    }
    std::string proxyIp() const
    {
        return ProxyNet + std::to_string(number);
    }
};

// Returns a port that is currently free for sockets of this type. No other process uses the node's IP address.
std::uint16_t freePort(const std::string &ip, int type)
{
    const int probe = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size);
    close(probe);
    return ntohs(address.sin_port);
}

void writeFile(const std::string &path, const std::string &text)
{
    // Renames the file into place so that a reader never sees a partial file.
    {
        std::ofstream file(path + ".new");
        file << text;
    }
    std::filesystem::rename(path + ".new", path);
}

std::string loopbackAddress(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

std::string optionOr(const Options &options, const std::string &key, const std::string &fallback)
{
    const auto at = options.find(key);
    return at == options.end() ? fallback : at->second;
}

double parseSeconds(const std::string &text)
{
    return text.ends_with("ms") ? std::stod(text) / 1000 : std::stod(text);
}

struct TestCluster::Private
{
    std::string build;
    std::string work;
    mutable std::mutex mutex;
    FaultProxy::Partition partition;
    std::unique_ptr<Process> store;
    std::unique_ptr<Process> config;
    std::unique_ptr<Process> vmlist;
    std::unique_ptr<FaultProxy::TcpProxy> configProxy;
    std::unique_ptr<FaultProxy::TcpProxy> vmlistProxy;
    std::map<std::string, std::string> adapters;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, ClusterNode> nodes;
    std::map<std::string, std::string> vmStates;
    int publishCount = 0;
    std::uint64_t version = 0;
    std::chrono::steady_clock::time_point storeStartedAt;

    std::string log(const std::string &name) const
    {
        return work + "/" + name + ".log";
    }
    std::unique_ptr<Process> start(const std::string &name, std::vector<std::string> arguments) const
    {
        return std::make_unique<Process>(name, arguments, log(name));
    }
    std::string standin() const
    {
        return build + "/tests/standins/standin";
    }
    std::string nodeNameByPort(std::uint16_t port) const;
    std::string nodeNameByIp(const std::string &ip) const;
    std::unique_ptr<FaultProxy::TcpProxy> createProxy(const std::string &name, std::uint16_t port) const;
    std::string catalogIni() const;
    void writeVmList() const;
    void writeSettings(const std::string &name, const ClusterNode &node) const;
};

std::string TestCluster::Private::nodeNameByPort(std::uint16_t port) const
{
    std::vector<pid_t> pids;
    std::map<pid_t, std::string> names;
    {
        const std::lock_guard lock(mutex);
        for (const auto &[name, node] : nodes) {
            if (node.process != nullptr) {
                pids.push_back(node.process->pid());
                names[node.process->pid()] = name;
            }
        }
    }
    return names[findProcessByPort(port, pids)];
}

std::string TestCluster::Private::nodeNameByIp(const std::string &ip) const
{
    const std::lock_guard lock(mutex);
    for (const auto &[name, node] : nodes) {
        if (node.ip() == ip) {
            return name;
        }
    }
    return {};
}

std::unique_ptr<FaultProxy::TcpProxy> TestCluster::Private::createProxy(const std::string &name, std::uint16_t port) const
{
    return std::make_unique<FaultProxy::TcpProxy>(
        "127.0.0.1", 0, "127.0.0.1", port, name, partition, [this](std::uint16_t peer) { return nodeNameByPort(peer); });
}

std::string TestCluster::Private::catalogIni() const
{
    std::string ini = "[adapters]\n";
    for (const auto &[key, labels] : adapters) {
        ini += key + " = " + labels + "\n";
    }
    std::map<std::string, std::string> services;
    for (const auto &[name, upstream] : upstreams) {
        ini += "[upstream " + name + "]\naddress = " + loopbackAddress(upstream.proxy->port())
            + "\nzone = " + optionOr(upstream.options, "zone", "a") + "\n";
        if (upstream.isEngine) {
            ini += "slots = " + optionOr(upstream.options, "slots", "4") + "\nbatch = " + optionOr(upstream.options, "batch", "8") + "\n";
        } else {
            ini += "kind = service\n";
            std::string &members = services[optionOr(upstream.options, "as", name)];
            members += (members.empty() ? "" : ", ") + name;
        }
        const std::string checks = optionOr(upstream.options, "checks", "");
        ini += checks.empty() ? "" : "checks = " + checks + "\n";
    }
    for (const auto &[name, members] : services) {
        ini += "[service " + name + "]\nupstreams = " + members + "\n";
    }
    return ini;
}

void TestCluster::Private::writeVmList() const
{
    nlohmann::json vms = nlohmann::json::array();
    for (const auto &[name, node] : nodes) {
        const auto state = vmStates.find(name);
        if (state != vmStates.end() && state->second == "gone") {
            continue;
        }
        vms.push_back({ { "id", name }, { "role", "entry" }, { "zone", optionOr(node.options, "zone", "a") },
            { "state", state == vmStates.end() ? "live" : state->second },
            { "caller_address", node.ip() + ":" + std::to_string(node.callerPort) },
            { "rpc_address", node.proxyIp() + ":" + std::to_string(node.rpcPort) },
            { "membership_address", node.proxyIp() + ":" + std::to_string(node.membershipPort) } });
    }
    for (const auto &[name, upstream] : upstreams) {
        const auto state = vmStates.find(name);
        vms.push_back({ { "id", name }, { "role", "upstream" }, { "zone", optionOr(upstream.options, "zone", "a") },
            { "state", state == vmStates.end() ? "live" : state->second } });
    }
    writeFile(work + "/vms.json", nlohmann::json { { "vms", vms } }.dump());
}

void TestCluster::Private::writeSettings(const std::string &name, const ClusterNode &node) const
{
    std::map<std::string, std::map<std::string, std::string>> sections {
        { "node", { { "id", name }, { "zone", optionOr(node.options, "zone", "a") } } },
        { "callers", { { "address", node.ip() }, { "port", "0" } } },
        { "operator", { { "address", node.ip() }, { "port", "0" } } },
        { "membership", { { "address", node.ip() }, { "port", std::to_string(node.membershipPort) }, { "advertise", node.proxyIp() } } },
        { "rpc",
            { { "address", node.ip() }, { "port", std::to_string(node.rpcPort) },
                { "advertise", node.proxyIp() + ":" + std::to_string(node.rpcPort) } } },
        { "platform",
            { { "config_url", "http://" + loopbackAddress(configProxy->port()) },
                { "vm_list_url", "http://" + loopbackAddress(vmlistProxy->port()) + "/vms" } } },
        { "fleet", { { "secret", "only-for-scenarios-0123456789" } } },
        { "shutdown", { { "linger_ms", "500" } } },
    };
    for (const auto &[key, value] : node.options) {
        const std::size_t dot = key.find('.');
        if (dot != std::string::npos) {
            sections[key.substr(0, dot)][key.substr(dot + 1)] = value;
        }
    }
    std::string ini;
    for (const auto &[section, values] : sections) {
        ini += "[" + section + "]\n";
        for (const auto &[key, value] : values) {
            ini.append(key).append(" = ").append(value).append("\n");
        }
    }
    writeFile(work + "/" + name + ".ini", ini);
}

TestCluster::TestCluster(std::string buildFolder, std::string workFolder)
    : d(std::make_unique<Private>())
{
    d->build = std::move(buildFolder);
    d->work = std::move(workFolder);
}

TestCluster::~TestCluster()
{
    // Stops the processes first, because the proxies end only when their connections are closed.
    for (auto &[name, node] : d->nodes) {
        node.process.reset();
    }
    for (auto &[name, upstream] : d->upstreams) {
        upstream.process.reset();
    }
}

void TestCluster::addStore(const Options &options)
{
    d->storeStartedAt = std::chrono::steady_clock::now();
    d->store = d->start("store",
        { d->standin(), "store", "--load-ms", optionOr(options, "load_ms", "50"), "--parallel", optionOr(options, "parallel", "8") });
}

void TestCluster::addEngine(const std::string &name, const Options &options)
{
    std::vector<std::string> arguments { d->standin(), "engine", "--slots", optionOr(options, "slots", "4"), "--batch",
        optionOr(options, "batch", "8"), "--token-ms", optionOr(options, "token_ms", "5") };
    if (d->store != nullptr) {
        arguments.insert(arguments.end(), { "--store", "http://" + loopbackAddress(d->store->readyNumber("port")) });
    }
    if (optionOr(options, "checks", "") == "fencing") {
        arguments.emplace_back("--checks-fencing");
    }
    Upstream &upstream = d->upstreams[name];
    upstream.process = d->start(name, arguments);
    upstream.proxy = d->createProxy(name, upstream.process->readyNumber("port"));
    upstream.options = options;
}

void TestCluster::addService(const std::string &name, const Options &options)
{
    Upstream &upstream = d->upstreams[name];
    upstream.process = d->start(name, { d->standin(), "service" });
    upstream.proxy = d->createProxy(name, upstream.process->readyNumber("port"));
    upstream.options = options;
    upstream.isEngine = false;
}

void TestCluster::addAdapter(const std::string &key, const std::string &labels)
{
    d->adapters[key] = labels;
}

void TestCluster::removeAdapter(const std::string &key)
{
    d->adapters.erase(key);
}

void TestCluster::publish()
{
    const std::string input = d->work + "/catalog.ini";
    const std::string values = d->work + "/values";
    writeFile(input, d->catalogIni());
    std::string line = d->build + "/main/apricotstep pack --in " + input + " --out " + values;
    line += d->publishCount++ > 0 ? " --previous " + values : "";
    if (std::system((line + " >>" + d->log("pack") + " 2>&1").c_str()) != 0) {
        throw std::runtime_error("packing the catalog failed; see " + d->log("pack"));
    }
    std::ifstream head(values + "/head");
    d->version = nlohmann::json::parse(head).at("version").get<std::uint64_t>();
    if (d->config == nullptr) {
        d->config = d->start("config", { d->standin(), "config", "--dir", values });
        d->configProxy = d->createProxy("config", d->config->readyNumber("port"));
        d->writeVmList();
        d->vmlist = d->start("vmlist", { d->standin(), "vmlist", "--file", d->work + "/vms.json" });
        d->vmlistProxy = d->createProxy("vmlist", d->vmlist->readyNumber("port"));
    }
}

void TestCluster::addNode(const std::string &name, const Options &options)
{
    const bool isNew = !d->nodes.contains(name);
    ClusterNode *node = nullptr;
    {
        const std::lock_guard lock(d->mutex);
        node = &d->nodes[name];
        node->process.reset();
    }
    if (isNew) {
        node->number = static_cast<int>(d->nodes.size());
        node->options = options;
        node->rpcPort = freePort(node->ip(), SOCK_STREAM);
        node->membershipPort = freePort(node->ip(), SOCK_DGRAM);
        node->rpc = std::make_unique<FaultProxy::TcpProxy>(node->proxyIp(), node->rpcPort, node->ip(), node->rpcPort, name, d->partition,
            [this](std::uint16_t peer) { return d->nodeNameByPort(peer); });
        node->membership = std::make_unique<FaultProxy::UdpProxy>(
            node->proxyIp(), node->membershipPort, node->ip(), name, d->partition,
            [this](const std::string &ip) { return d->nodeNameByIp(ip); }, ProxySeed + static_cast<std::uint64_t>(node->number));
    }
    d->writeSettings(name, *node);
    auto process = d->start(name, { d->build + "/main/apricotstep", "node", "--settings", d->work + "/" + name + ".ini" });
    const std::lock_guard lock(d->mutex);
    node->callerPort = process->readyNumber("callers");
    node->operatorPort = process->readyNumber("operators");
    node->process = std::move(process);
    d->vmStates.erase(name);
    d->writeVmList();
}

Process &TestCluster::node(const std::string &name)
{
    const auto at = d->nodes.find(name);
    if (at == d->nodes.end() || at->second.process == nullptr) {
        throw std::runtime_error("no node '" + name + "'");
    }
    return *at->second.process;
}

void TestCluster::setVm(const std::string &id, const std::string &state)
{
    const std::lock_guard lock(d->mutex);
    d->vmStates[id] = state;
    d->writeVmList();
}

FaultProxy::Faults &TestCluster::faults(const std::string &target)
{
    const std::size_t dot = target.find('.');
    const auto node = d->nodes.find(target.substr(0, dot));
    if (dot != std::string::npos && node != d->nodes.end()) {
        return target.substr(dot) == ".rpc" ? node->second.rpc->faults() : node->second.membership->faults();
    }
    if (target == "config" && d->configProxy != nullptr) {
        return d->configProxy->faults();
    }
    if (target == "vmlist" && d->vmlistProxy != nullptr) {
        return d->vmlistProxy->faults();
    }
    const auto upstream = d->upstreams.find(target);
    if (upstream == d->upstreams.end()) {
        throw std::runtime_error("no fault target named '" + target + "'");
    }
    return upstream->second.proxy->faults();
}

FaultProxy::Partition &TestCluster::partition()
{
    return d->partition;
}

std::vector<std::string> TestCluster::nodeAddresses() const
{
    const std::lock_guard lock(d->mutex);
    std::vector<std::string> addresses;
    for (const auto &[name, node] : d->nodes) {
        if (node.process != nullptr && !d->vmStates.contains(name)) {
            addresses.push_back(node.ip() + ":" + std::to_string(node.callerPort));
        }
    }
    return addresses;
}

std::string TestCluster::callerAddress(const std::string &node) const
{
    const std::lock_guard lock(d->mutex);
    const ClusterNode &entry = d->nodes.at(node);
    return entry.ip() + ":" + std::to_string(entry.callerPort);
}

std::string TestCluster::operatorAddress(const std::string &node) const
{
    const std::lock_guard lock(d->mutex);
    const ClusterNode &entry = d->nodes.at(node);
    return entry.ip() + ":" + std::to_string(entry.operatorPort);
}

std::string TestCluster::directAddress(const std::string &upstream) const
{
    return loopbackAddress(d->upstreams.at(upstream).process->readyNumber("port"));
}

double TestCluster::loadsPerSecond() const
{
    constexpr int TimeoutMs = 3000;
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - d->storeStartedAt;
    return std::atof(
               callHttp("http://" + loopbackAddress(d->store->readyNumber("port")) + "/control/loads", "", {}, TimeoutMs).body.c_str())
        / elapsed.count();
}

std::uint64_t TestCluster::publishedVersion() const
{
    return d->version;
}

std::vector<std::string> TestCluster::engines() const
{
    std::vector<std::string> names;
    for (const auto &[name, upstream] : d->upstreams) {
        if (upstream.isEngine) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> TestCluster::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, upstream] : d->upstreams) {
        if (!upstream.isEngine) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace Scenario
