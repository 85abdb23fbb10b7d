// How fast a configuration change is in force on all nodes, what it costs a node, and how many calls the service sees, in virtual time.
// The nodes run the real ConfigSync; service, peers and rumours are the fakes of tests/coordination/configworld.h.

#include "tests/coordination/configtestcluster.h"

#include <cstdio>

using namespace ApricotStep;

namespace
{

constexpr int ChangeCount = 30;
// 11,000 changes a day.
constexpr Duration ChangeInterval { 7'900 };
constexpr Duration Start = Duration::seconds(20);

struct Outcome
{
    std::vector<double> spreads;
    double meanBytes = 0;
    double maxBytes = 0;
    double callsASecond = 0;
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
    outcome.callsASecond = static_cast<double>(cluster.serviceCalls() - callsBefore) / seconds;
    cluster.run(Duration::seconds(60));
    for (const ConfigVersion version : versions) {
        const auto propagationDelays = cluster.propagationDelays(version);
        outcome.spreads.insert(outcome.spreads.end(), propagationDelays.begin(), propagationDelays.end());
    }
    std::sort(outcome.spreads.begin(), outcome.spreads.end());
    for (const auto &node : cluster.nodes) {
        const double bytes = static_cast<double>(node->bytes) / changes;
        outcome.meanBytes += bytes / static_cast<double>(cluster.nodes.size());
        outcome.maxBytes = std::max(outcome.maxBytes, bytes);
    }
    return outcome;
}

void print(const char *what, int nodes, const Outcome &outcome)
{
    std::printf("%-34s %4d nodes: in force p50 %5.2f s, p99 %5.2f s, last %5.2f s; a change and node %4.0f B (most %5.0f B); "
                "service calls %6.1f/s\n",
        what, nodes, percentile(outcome.spreads, 0.5), percentile(outcome.spreads, 0.99), outcome.spreads.back(), outcome.meanBytes,
        outcome.maxBytes, outcome.callsASecond);
}

int zonesOf(int nodes)
{
    return nodes <= 20 ? 4 : 16;
}

void healthy(int nodes)
{
    ConfigTestCluster cluster(nodes, zonesOf(nodes));
    cluster.run(Start);
    print("service up", nodes, publishAndMeasure(cluster, ChangeCount));
}

void serviceDownButForOne(int nodes)
{
    ConfigTestCluster cluster(nodes, zonesOf(nodes));
    cluster.run(Start);
    const auto lucky =
        std::find_if(cluster.nodes.begin(), cluster.nodes.end(), [](const auto &node) { return !node->sync->isWatcher(); })->get();
    cluster.headFor = [&cluster, lucky](const auto &node) -> Result<ConfigHead> {
        return &node == lucky ? Result<ConfigHead>(cluster.head) : Error { ErrorKind::UpstreamUnreachable, {} };
    };
    cluster.valueFor = [&cluster, lucky](const auto &node, const std::string &hash) -> Result<ConfigValue> {
        return &node == lucky ? cluster.stored(hash) : Error { ErrorKind::UpstreamUnreachable, {} };
    };
    print("up for one node, first change", nodes, publishAndMeasure(cluster, 1));
    print("up for one node, then", nodes, publishAndMeasure(cluster, ChangeCount));
}

void staleForHalf(int nodes)
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
        healthy(nodes);
    }
    for (const int nodes : { 20, 100, 400 }) {
        serviceDownButForOne(nodes);
    }
    for (const int nodes : { 20, 100, 400 }) {
        staleForHalf(nodes);
    }
    return 0;
}
