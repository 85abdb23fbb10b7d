// Compares ways to let a node know where a stream began whose own node is lost, on the same streams: which part of the streams of the lost
// nodes can go on at the nodes that are left, and what it costs.

#include "coordination/fleetmessage.h"
#include "core/hash.h"
#include "protocol/fleetcodec.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace ApricotStep;

namespace
{

constexpr Duration Step { 5 };
constexpr Duration HeartbeatInterval { 200 };
constexpr Duration BatchTime { 20 };
constexpr Duration RunTime = Duration::seconds(10);
constexpr Duration StreamLifetime = Duration::seconds(17);
constexpr double MeanStreamSeconds = 1.5;
constexpr double DatagramLoss = 0.025;
constexpr int AskedPeers = 6;
constexpr int Holders = 3;
constexpr int Seeds = 20;

enum class Way { OnlyAsk, Heartbeats, AtOnce, HoldersByHash };

struct Load
{
    const char *name = nullptr;
    int nodes = 0;
    double streamsPerNode = 0;
    double lostShare = 0;
};

struct Stream
{
    StreamId id;
    int node = 0;
    Time beganAt;
    Time endsAt;
};

struct Outcome
{
    int resumed = 0;
    int known = 0;
    double bytes = 0;
};

const StreamOrigin Origin { ServiceName("huhu8a"), SoftwareVersion("v1.1") };

FleetMessage baseMessage()
{
    FleetMessage message;
    message.sender = NodeId("front-waw-a-1");
    message.incarnation = Incarnation(0x19ae4c1f03a2b7c1);
    message.zone = ZoneId("waw-a");
    message.capacity = 0.17;
    message.requestRate = 2.5;
    message.interval = HeartbeatInterval;
    message.callerAddress = "10.1.0.15:8123";
    message.peerAddress = "10.1.0.15:8120";
    message.isReady = true;
    message.configVersion = ConfigVersion(7);
    message.uptime = Duration(20'000);
    message.rememberedNodes = 20;
    return message;
}

double bytesOf(const std::vector<BegunStream> &begun)
{
    FleetMessage message = baseMessage();
    message.begunStreams = begun;
    return static_cast<double>(encodeFleetMessage(message).size());
}

class Fleet
{
public:
    Fleet(const Load &load, Way way, std::uint64_t seed)
        : m_load(load)
        , m_way(way)
        , m_random(seed)
        , m_nodes(static_cast<std::size_t>(load.nodes), StreamOrigins(StreamOriginLimits {}))
        , m_batchAt(m_nodes.size(), Time::never())
    {
    }

    Outcome play()
    {
        makeStreams();
        std::size_t next = 0;
        for (Time now = Start; now < Start + RunTime; now = now + Step) {
            for (; next < m_streams.size() && m_streams[next].beganAt <= now; ++next) {
                begin(m_streams[next], now);
            }
            for (std::size_t node = 0; node < m_nodes.size(); ++node) {
                const bool isHeartbeat = (now - Start).milliseconds() % HeartbeatInterval.milliseconds()
                    == static_cast<std::int64_t>(node * 35) % HeartbeatInterval.milliseconds();
                if (m_way == Way::Heartbeats || m_way == Way::AtOnce) {
                    announce(node, isHeartbeat, now);
                }
            }
        }
        loseNodes();
        return m_result;
    }

private:
    static constexpr Time Start { 1'000'000 };

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    bool arrives()
    {
        return uniform() >= DatagramLoss;
    }
    void makeStreams()
    {
        std::exponential_distribution<double> gap(m_load.streamsPerNode * m_load.nodes / 1000);
        std::exponential_distribution<double> length(1 / (MeanStreamSeconds * 1000));
        double at = 0;
        for (int i = 0; at < static_cast<double>(RunTime.milliseconds()); ++i) {
            at += gap(m_random);
            const Time began = Start + Duration(static_cast<std::int64_t>(at));
            const int node = static_cast<int>(uniform() * m_load.nodes);
            m_streams.push_back(Stream {
                streamIdOf("request-" + std::to_string(i)), node, began, began + Duration(static_cast<std::int64_t>(length(m_random))) });
        }
    }
    std::vector<std::size_t> holdersOf(StreamId stream) const
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> scores;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            scores.emplace_back(mixHashes(stream.value(), stableHash("node-" + std::to_string(node))), node);
        }
        std::partial_sort(scores.begin(), scores.begin() + Holders, scores.end(), std::greater<>());
        std::vector<std::size_t> holders;
        holders.reserve(Holders);
        for (int i = 0; i < Holders; ++i) {
            holders.push_back(scores[static_cast<std::size_t>(i)].second);
        }
        return holders;
    }
    void begin(const Stream &stream, Time now)
    {
        const auto node = static_cast<std::size_t>(stream.node);
        const BegunStream begun { stream.id, Origin, StreamLifetime };
        m_nodes[node].onBegun(begun, now);
        m_batchAt[node] = std::min(m_batchAt[node], now + BatchTime);
        if (m_way == Way::HoldersByHash) {
            for (const std::size_t holder : holdersOf(stream.id)) {
                m_result.bytes += bytesOf({ begun });
                if (arrives()) {
                    m_nodes[holder].onAnnounced(begun, now);
                }
            }
        }
    }
    void announce(std::size_t node, bool isHeartbeat, Time now)
    {
        const bool isBatchDue = m_way == Way::AtOnce && now >= m_batchAt[node];
        if (!isHeartbeat && !isBatchDue) {
            return;
        }
        m_batchAt[node] = Time::never();
        const auto begun = m_nodes[node].takeAnnouncements([](const ServiceName &) { return true; }, now);
        if (begun.empty()) {
            return;
        }
        // A heartbeat is sent anyway.
        const double bytes = bytesOf(begun) - (isHeartbeat ? bytesOf({}) : 0);
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other == node) {
                continue;
            }
            m_result.bytes += bytes;
            if (arrives()) {
                for (const BegunStream &stream : begun) {
                    m_nodes[other].onAnnounced(stream, now);
                }
            }
        }
    }
    void loseNodes()
    {
        const Time now = Start + RunTime;
        std::vector<std::size_t> order(m_nodes.size());
        for (std::size_t i = 0; i < order.size(); ++i) {
            order[i] = i;
        }
        std::shuffle(order.begin(), order.end(), m_random);
        const auto lost = static_cast<std::size_t>(m_load.lostShare * m_load.nodes);
        const std::vector<std::size_t> left(order.begin() + static_cast<std::ptrdiff_t>(lost), order.end());
        const auto isLeft = [&left](std::size_t node) { return std::find(left.begin(), left.end(), node) != left.end(); };
        for (const Stream &stream : m_streams) {
            if (stream.endsAt <= now || isLeft(static_cast<std::size_t>(stream.node))) {
                continue;
            }
            ++m_result.resumed;
            const std::size_t node = left[static_cast<std::size_t>(uniform() * static_cast<double>(left.size()))];
            bool isKnown = m_nodes[node].find(stream.id, now).has_value();
            std::vector<std::size_t> asked = left;
            std::shuffle(asked.begin(), asked.end(), m_random);
            asked.resize(std::min<std::size_t>(asked.size(), m_way == Way::OnlyAsk ? asked.size() : AskedPeers));
            if (m_way == Way::HoldersByHash) {
                asked = holdersOf(stream.id);
            }
            for (const std::size_t other : asked) {
                const bool isAnswered = isLeft(other) && arrives() && arrives();
                isKnown = isKnown || (isAnswered && m_nodes[other].find(stream.id, now));
            }
            m_result.known += isKnown ? 1 : 0;
        }
    }

    const Load &m_load;
    Way m_way;
    std::mt19937_64 m_random;
    std::vector<StreamOrigins> m_nodes;
    /** When a node next announces at once. */
    std::vector<Time> m_batchAt;
    std::vector<Stream> m_streams;
    Outcome m_result;
};

} // namespace

int main()
{
    constexpr Load Loads[] { { "20 nodes, a third lost", 20, 1.6, 0.35 }, { "20 nodes, three fifths lost", 20, 1.6, 0.6 },
        { "20 nodes, nine tenths lost", 20, 1.6, 0.9 }, { "a zone of 25 nodes at the full size, three fifths lost", 25, 27.5, 0.6 } };
    constexpr std::pair<Way, const char *> Ways[] { { Way::OnlyAsk, "nobody is told, all are asked" },
        { Way::Heartbeats, "told with heartbeats" }, { Way::AtOnce, "told at once" }, { Way::HoldersByHash, "three holders by hash" } };
    std::printf("%-56s %-32s %8s %8s %14s\n", "load", "way", "resumed", "known", "bytes/s a node");
    for (const Load &load : Loads) {
        for (const auto &[way, name] : Ways) {
            Outcome sum;
            for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
                const Outcome result = Fleet(load, way, seed).play();
                sum.resumed += result.resumed;
                sum.known += result.known;
                sum.bytes += result.bytes;
            }
            std::printf("%-56s %-32s %8d %7.1f%% %14.0f\n", load.name, name, sum.resumed, 100.0 * sum.known / std::max(sum.resumed, 1),
                sum.bytes / Seeds / RunTime.toSeconds() / load.nodes);
        }
    }
    return 0;
}
