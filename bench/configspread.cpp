// Measures in virtual time how fast a configuration change takes effect on all nodes, how many bytes it costs per node, and how many calls
// the configuration service receives. The nodes run the real ConfigSync; the service, the peers and the rumours are the fakes of
// tests/coordination/configtestcluster.h.

#include "tests/coordination/configtestcluster.h"

#include <cstdio>

using namespace ApricotStep;

namespace
{

constexpr int ChangeCount = 30;
// 11,000 changes per day.
constexpr Duration ChangeInterval { 7'900 };
constexpr Duration Start = Duration::seconds(20);

struct Outcome
{
    std::vector<double> delays;
    double meanBytes = 0;
    double maxBytes = 0;
    double callsPerSecond = 0;
};

double percentile(const std::vector<double> &sorted, double share)
{
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

Outcome publishAndMeasure(ConfigTestCluster &cluster, int changes)
{
    Outcome outcome;
    for (const auto &node : cluster.nodes) {
        node->bytes = 0;
    }
    const std::uint64_t callsBefore = cluster.serviceCalls();
    const Time begin = cluster.now;
    std::vector<ConfigVersion> versions;
    for (int i = 0; i < changes; ++i) {
        versions.push_back(cluster.publish());
        cluster.run(ChangeInterval);
    }
    const double seconds = (cluster.now - begin).toSeconds();
    outcome.callsPerSecond = static_cast<double>(cluster.serviceCalls() - callsBefore) / seconds;
    cluster.run(Duration::seconds(60));
    for (const ConfigVersion version : versions) {
        const auto propagationDelays = cluster.propagationDelays(version);
        outcome.delays.insert(outcome.delays.end(), propagationDelays.begin(), propagationDelays.end());
    }
    std::sort(outcome.delays.begin(), outcome.delays.end());
    for (const auto &node : cluster.nodes) {
        const double bytes = static_cast<double>(node->bytes) / changes;
        outcome.meanBytes += bytes / static_cast<double>(cluster.nodes.size());
        outcome.maxBytes = std::max(outcome.maxBytes, bytes);
    }
    return outcome;
}

void print(const char *label, int nodes, const Outcome &outcome)
{
    std::printf("%-34s %4d nodes: in effect p50 %5.2f s, p99 %5.2f s, last %5.2f s; per change and node %4.0f B (max %5.0f B); "
                "service calls %6.1f/s\n",
        label, nodes, percentile(outcome.delays, 0.5), percentile(outcome.delays, 0.99), outcome.delays.back(), outcome.meanBytes,
        outcome.maxBytes, outcome.callsPerSecond);
}

int zonesOf(int nodes)
{
    return nodes <= 20 ? 4 : 16;
}

void measureHealthy(int nodes)
{
    ConfigTestCluster cluster(nodes, zonesOf(nodes));
    cluster.run(Start);
    print("service up", nodes, publishAndMeasure(cluster, ChangeCount));
}

void measureServiceReachableFromOneNode(int nodes)
{
    ConfigTestCluster cluster(nodes, zonesOf(nodes));
    cluster.run(Start);
    const auto connectedNode =
        std::find_if(cluster.nodes.begin(), cluster.nodes.end(), [](const auto &node) { return !node->sync->isWatcher(); })->get();
    cluster.headFor = [&cluster, connectedNode](const auto &node) -> Result<ConfigHead> {
        return &node == connectedNode ? Result<ConfigHead>(cluster.head) : Error { ErrorKind::UpstreamUnreachable, {} };
    };
    cluster.valueFor = [&cluster, connectedNode](const auto &node, const std::string &hash) -> Result<ConfigValue> {
        return &node == connectedNode ? cluster.stored(hash) : Error { ErrorKind::UpstreamUnreachable, {} };
    };
    print("up for one node, first change", nodes, publishAndMeasure(cluster, 1));
    print("up for one node, then", nodes, publishAndMeasure(cluster, ChangeCount));
}

void measureStaleReplicaForHalf(int nodes)
{
    ConfigTestCluster cluster(nodes, zonesOf(nodes));
    cluster.run(Start);
    const ConfigHead old = cluster.head;
    std::size_t position = 0;
    absl::flat_hash_map<NodeId, bool> isStale;
    for (const auto &node : cluster.nodes) {
        isStale[node->id] = position++ % 2 == 0;
    }
    cluster.headFor = [&cluster, &isStale, old](
                          const auto &node) { return isStale.at(node.id) ? Result<ConfigHead>(old) : Result<ConfigHead>(cluster.head); };
    print("stale replica for every second node", nodes, publishAndMeasure(cluster, ChangeCount));
}

} // namespace

int main()
{
    for (const int nodes : { 20, 100, 400 }) {
        measureHealthy(nodes);
    }
    for (const int nodes : { 20, 100, 400 }) {
        measureServiceReachableFromOneNode(nodes);
    }
    for (const int nodes : { 20, 100, 400 }) {
        measureStaleReplicaForHalf(nodes);
    }
    return 0;
}
