#include "protocol/membershipcodec.h"
#include "tests/fakes/fakefleet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>

// Measures the membership protocol in virtual time: how fast a failed node disappears from every view, how often a live node is suspected,
// how fast facts propagate, and the bandwidth and processor time per node.

using namespace ApricotStep;
using Fakes::FakeFleet;

namespace
{

constexpr double UdpHeaderBytes = 28;
constexpr std::size_t Zones = 4;

void addMembers(FakeFleet &fleet, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        fleet.add("zone" + std::to_string(i % Zones));
    }
    fleet.readVmList();
    fleet.run(Duration::seconds(60));
}

double percentile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return NAN;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(values.size() - 1, index)];
}

// Takes one sample per survivor and failure: the time until the view of the survivor no longer contains the failed node.
void measureDetection(std::size_t members, int failures, std::uint64_t seed)
{
    FakeFleet fleet(seed);
    fleet.loss = 0.01;
    addMembers(fleet, members);
    std::vector<double> first;
    std::vector<double> all;
    std::vector<double> last;
    for (int i = 0; i < failures; ++i) {
        const std::size_t victim = (static_cast<std::size_t>(i) * 7 + 1) % members;
        fleet.run(Duration(static_cast<std::int64_t>(i) * 37 % 500));
        fleet.nodes[victim].isUp = false;
        const Time stoppedAt = fleet.now();
        std::vector<bool> hasObserved(members, false);
        std::vector<double> times;
        fleet.run(Duration::seconds(15), [&] {
            for (std::size_t observer = 0; observer < members; ++observer) {
                if (observer != victim && !hasObserved[observer] && !fleet.sees(observer, victim)) {
                    hasObserved[observer] = true;
                    times.push_back((fleet.now() - stoppedAt).toSeconds());
                }
            }
        });
        times.resize(members - 1, 15.0);
        std::sort(times.begin(), times.end());
        first.push_back(times.front());
        last.push_back(times.back());
        all.insert(all.end(), times.begin(), times.end());
        fleet.start(victim);
        fleet.readVmList();
        fleet.run(Duration::seconds(20));
    }
    std::printf("detection members=%zu failures=%d first_p50=%.2fs view_p50=%.2fs view_p99=%.2fs last_view_p50=%.2fs last_view_max=%.2fs\n",
        members, failures, percentile(first, 0.5), percentile(all, 0.5), percentile(all, 0.99), percentile(last, 0.5),
        percentile(last, 1.0));
}

void measureSteady(std::size_t members, int minutes, std::uint64_t seed)
{
    FakeFleet fleet(seed);
    fleet.loss = 0.01;
    addMembers(fleet, members);
    fleet.sizeOf = [](const MemberDatagram &datagram) { return encodeMemberDatagram(datagram, "a secret of the fleet").size(); };
    std::uint64_t suspicionsBefore = 0;
    std::uint64_t deathsBefore = 0;
    for (const auto &node : fleet.nodes) {
        suspicionsBefore += node.membership->counters().suspicions;
        deathsBefore += node.membership->counters().deaths;
    }
    fleet.bytes = 0;
    fleet.datagrams = 0;
    // The load of the largest planned deployment: a configuration version every 7.9 s (here 8 s), announced by three nodes, and a leaving
    // VM every 77 s.
    std::uint64_t version = 1;
    int second = 0;
    const auto started = std::chrono::steady_clock::now();
    fleet.run(Duration::seconds(60) * minutes, [&] {
        const int now = static_cast<int>(fleet.now().milliseconds() / 1000);
        if (now == second) {
            return;
        }
        second = now;
        if (second % 8 == 0) {
            ++version;
            for (std::size_t announcer = 0; announcer < 3; ++announcer) {
                fleet.handle(announcer, AnnounceRumour { ConfigFact { NodeId(FakeFleet::name(announcer)), ConfigVersion(version) } });
            }
        }
        if (second % 77 == 0) {
            fleet.handle(5, AnnounceRumour { LeavingFact { "engine" + std::to_string(second), Incarnation() } });
        }
    });
    const double cpuSeconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    for (const auto &node : fleet.nodes) {
        suspicions += node.membership->counters().suspicions;
        deaths += node.membership->counters().deaths;
    }
    suspicions -= suspicionsBefore;
    deaths -= deathsBefore;
    const double nodeSeconds = static_cast<double>(members) * minutes * 60;
    const double nodeDays = nodeSeconds / 86'400;
    const double sent = (static_cast<double>(fleet.bytes) + UdpHeaderBytes * static_cast<double>(fleet.datagrams)) / nodeSeconds;
    std::printf(
        "steady members=%zu minutes=%d suspicions=%llu node_days=%.2f suspicions_per_node_day=%.3f (95%% upper %.3f) false_deaths=%llu "
        "datagrams_per_node_s=%.2f sent_bytes_per_node_s=%.0f sent+received=%.0f core_share=%.4f%%\n",
        members, minutes, static_cast<unsigned long long>(suspicions), nodeDays, static_cast<double>(suspicions) / nodeDays,
        (static_cast<double>(suspicions) + 2 * std::sqrt(static_cast<double>(suspicions)) + 3) / nodeDays,
        static_cast<unsigned long long>(deaths), static_cast<double>(fleet.datagrams) / nodeSeconds, sent, 2 * sent,
        100 * cpuSeconds / nodeSeconds);
}

// Measures the time until all nodes know a fact that one node announces.
void measurePropagation(std::size_t members, int facts, std::uint64_t seed)
{
    FakeFleet fleet(seed);
    fleet.loss = 0.01;
    addMembers(fleet, members);
    std::vector<double> all;
    std::vector<double> last;
    for (int i = 0; i < facts; ++i) {
        const std::string vm = "engine" + std::to_string(i);
        fleet.handle(static_cast<std::size_t>(i) % members, AnnounceRumour { LeavingFact { vm, Incarnation() } });
        const Time announcedAt = fleet.now();
        std::vector<double> times;
        std::vector<bool> hasObserved(members, false);
        fleet.run(Duration::seconds(10), [&] {
            for (std::size_t observer = 0; observer < members; ++observer) {
                if (!hasObserved[observer] && fleet.nodes[observer].membership->view()->leaving.contains(UpstreamId(vm))) {
                    hasObserved[observer] = true;
                    times.push_back((fleet.now() - announcedAt).toSeconds());
                }
            }
        });
        times.resize(members, 10.0);
        std::sort(times.begin(), times.end());
        all.insert(all.end(), times.begin(), times.end());
        last.push_back(times.back());
    }
    std::printf("spread members=%zu facts=%d p50=%.2fs p99=%.2fs last_p50=%.2fs last_max=%.2fs\n", members, facts, percentile(all, 0.5),
        percentile(all, 0.99), percentile(last, 0.5), percentile(last, 1.0));
}

} // namespace

// Arguments: members, failures, facts, minutes, seed.
int main(int argc, char **argv)
{
    const auto argument = [&](int index, long fallback) { return argc > index ? std::strtol(argv[index], nullptr, 10) : fallback; };
    const auto members = static_cast<std::size_t>(argument(1, 20));
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const auto seed = static_cast<std::uint64_t>(argument(5, 1));
    measureDetection(members, static_cast<int>(argument(2, 30)), seed);
    measurePropagation(members, static_cast<int>(argument(3, 10)), seed);
    measureSteady(members, static_cast<int>(argument(4, 30)), seed);
    return 0;
}
