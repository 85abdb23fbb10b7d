#pragma once

#include "coordination/configsync.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace ApricotStep
{

/**
 * Nodes with real ConfigSync machines in virtual time, and fakes of their surroundings: a service that hands out values, peers that respond
 * after a fixed time, and gossip as membership spreads it (the newest version with its first three holders, to three random nodes every 200
 * ms, as often as four times the decimal logarithm of the fleet size). Machines, links and queues are not simulated.
 */
class ConfigTestCluster
{
public:
    struct Node
    {
        NodeId id;
        ZoneId zone;
        bool isAlive = true;
        std::unique_ptr<ConfigSync> sync;
        ConfigHead head;
        std::map<std::string, ConfigValue> values;
        std::map<ConfigVersion, Time> activeAt;
        std::vector<ConfigFact> holders;
        int sendsLeft = 0;
        std::vector<ReportConfigProblem> troubles;
        std::uint64_t bytes = 0;
        std::uint64_t serviceCalls = 0;

        ConfigVersion version() const
        {
            const auto catalog = sync->catalog();
            return catalog == nullptr ? ConfigVersion() : catalog->version();
        }
        bool hasTrouble(ConfigProblem problem) const
        {
            return std::any_of(troubles.begin(), troubles.end(), [&](const auto &one) { return one.problem == problem; });
        }
    };

    /** The head that the service returns to a reader; replaced in tests of stale and broken replicas. */
    std::function<Result<ConfigHead>(const Node &)> headFor = [this](const Node &) { return head; };
    std::function<Result<ConfigValue>(const Node &, const std::string &hash)> valueFor = [this](const Node &, const std::string &hash) {
        return stored(hash);
    };
    /** Whether the second node responds to the first. */
    std::function<bool(const Node &, const Node &)> reaches = [](const Node &, const Node &) { return true; };

    ConfigHead head;
    std::map<std::string, ConfigValue> values;
    std::vector<std::unique_ptr<Node>> nodes;
    Time now { 1000 };
    double loss = 0.01;
    Duration startTimeout = Duration::seconds(5);
    /** Response time of a peer. */
    Duration peerTime { 2 };

    explicit ConfigTestCluster(int count, int zones = 4, std::uint64_t seed = 1)
        : m_random(seed)
    {
        publishBase(ConfigVersion(1));
        for (int i = 0; i < count; ++i) {
            auto node = std::make_unique<Node>();
            node->id = NodeId("n" + std::to_string(i));
            node->zone = ZoneId("z" + std::to_string(i % zones));
            nodes.push_back(std::move(node));
        }
        for (const auto &node : nodes) {
            restart(*node);
        }
    }

    Result<ConfigValue> stored(const std::string &hash) const
    {
        const auto at = values.find(hash);
        return at == values.end() ? Result<ConfigValue>(Error { ErrorKind::NotFound, hash }) : at->second;
    }

    /** Starts a new history with a whole catalog. */
    void publishBase(ConfigVersion version)
    {
        const std::string name = std::to_string(version.value());
        ConfigPage page { "page" + name, {} };
        page.content.adapters = { { { AdapterId("first"), AdapterVersion(name) }, {} } };
        values[page.hash] = page;
        values["base" + name] = ConfigBase { "base" + name, version, { page.hash } };
        head = { version, version, "base" + name, {}, "head" + name };
    }

    /** Publishes a change; @p mark distinguishes two changes of the same version. */
    ConfigVersion publish(const std::string &mark = {}, const std::vector<AdapterSpec> &adapters = {})
    {
        const ConfigVersion version = head.version + ConfigVersion(1);
        const std::string name = std::to_string(version.value()) + mark;
        ConfigDelta delta { "delta" + name, head.deltaHash, {} };
        delta.change.from = head.version;
        delta.change.version = version;
        delta.change.adapters =
            adapters.empty() ? std::vector<AdapterSpec> { { { AdapterId("a" + name), AdapterVersion("1") }, {} } } : adapters;
        values[delta.hash] = delta;
        head = { version, head.baseVersion, head.baseHash, delta.hash, "head" + name };
        published(version);
        return version;
    }

    /** Ends the waiting watches, since the head has changed. */
    void published(ConfigVersion version)
    {
        publishedAt[version] = now;
        for (auto &watch : std::exchange(m_watches, {})) {
            answerWatch(watch);
        }
    }

    /** From now on the service answers neither new calls nor waiting watches; they end when the node gives them up. */
    void stopResponding()
    {
        m_isUnresponsive = true;
        for (const auto &watch : std::exchange(m_watches, {})) {
            const Time givenUp = watch.startedAt + watch.fetch.timeout;
            reply(*watch.node, watch.incarnation, givenUp - now, watch.fetch.id, Error { ErrorKind::UpstreamTimeout, {} });
        }
    }
    void resumeResponding()
    {
        m_isUnresponsive = false;
    }

    void kill(Node &node)
    {
        node.isAlive = false;
        after(Duration::seconds(4), [this] { announcePeers(); }); // The time that membership takes to declare a member dead.
    }

    /** Starts the node as a new process without any state. */
    void restart(Node &node)
    {
        ConfigSyncSettings settings;
        settings.self = node.id;
        settings.zone = node.zone;
        settings.startTimeout = startTimeout;
        settings.seed = m_random();
        node.sync = std::make_unique<ConfigSync>(settings);
        node.isAlive = true;
        node.head = {};
        node.values.clear();
        node.holders.clear();
        const std::uint64_t incarnation = ++m_incarnations[node.id];
        after(Duration(static_cast<std::int64_t>(m_random() % 50)), [this, &node, incarnation] {
            announcePeers();
            tick(node, incarnation);
            gossip(node, incarnation);
        });
    }

    void run(Duration span)
    {
        const Time end = now + span;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            now = event.at;
            event.what();
        }
        now = end;
    }

    bool allAt(ConfigVersion version) const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto &node) { return !node->isAlive || node->version() == version; });
    }

    /** Seconds from publication to activation at each live node, ascending; one day for a node that lacks the version. */
    std::vector<double> propagationDelays(ConfigVersion version) const
    {
        std::vector<double> all;
        for (const auto &node : nodes) {
            const auto at =
                std::find_if(node->activeAt.begin(), node->activeAt.end(), [&](const auto &entry) { return entry.first >= version; });
            if (node->isAlive) {
                all.push_back(at == node->activeAt.end() ? 86'400 : (at->second - publishedAt.at(version)).toSeconds());
            }
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    std::uint64_t serviceCalls() const
    {
        std::uint64_t calls = 0;
        for (const auto &node : nodes) {
            calls += node->serviceCalls;
        }
        return calls;
    }

    void handle(Node &node, const ConfigEvent &event)
    {
        for (const ConfigAction &action : node.sync->handle(event, now)) {
            std::visit([&](const auto &one) { execute(node, one); }, action);
        }
    }

    void after(Duration span, std::function<void()> what)
    {
        m_events.push({ now + span, ++m_order, std::move(what) });
    }

    std::map<ConfigVersion, Time> publishedAt;

private:
    static constexpr Duration ServiceTime { 3 };
    // Sizes on the wire: a head of about 220 bytes, a change of one adapter of about 300, both with the overhead of RPC or HTTP.
    static constexpr std::uint64_t HeadBytes = 400;
    static constexpr std::uint64_t DeltaBytes = 480;
    static constexpr std::uint64_t RumourBytes = 24;

    struct Event
    {
        Time at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Watch
    {
        Node *node;
        std::uint64_t incarnation;
        FetchValue fetch;
        Time startedAt;
    };

    void reply(Node &node, std::uint64_t incarnation, Duration span, FetchId id, const Result<ConfigValue> &value)
    {
        after(span, [this, &node, incarnation, id, value] {
            if (node.isAlive && m_incarnations[node.id] == incarnation) {
                if (value.isOk()) {
                    storeValue(node, value.value());
                }
                handle(node, ValueFetched { id, value });
            }
        });
    }

    void storeValue(Node &node, const ConfigValue &value)
    {
        std::visit([&](const auto &one) { node.values[one.hash] = value; }, value);
    }

    static Result<ConfigValue> headValue(const Result<ConfigHead> &head)
    {
        return head.isOk() ? Result<ConfigValue>(ConfigValue(head.value())) : Result<ConfigValue>(head.error());
    }

    void execute(Node &node, const FetchValue &fetch)
    {
        const std::uint64_t incarnation = m_incarnations[node.id];
        node.bytes += fetch.kind == ConfigValueKind::Head ? HeadBytes : DeltaBytes;
        if (fetch.peer) {
            queryPeer(node, incarnation, fetch);
            return;
        }
        ++node.serviceCalls;
        if (m_isUnresponsive) {
            reply(node, incarnation, fetch.timeout, fetch.id, Error { ErrorKind::UpstreamTimeout, {} });
            return;
        }
        if (fetch.kind != ConfigValueKind::Head) {
            reply(node, incarnation, ServiceTime, fetch.id, valueFor(node, fetch.hash));
            return;
        }
        const auto current = headFor(node);
        if (fetch.wait > Duration(0) && current.isOk() && current.value().version <= fetch.after) {
            m_watches.push_back({ &node, incarnation, fetch, now });
            after(fetch.wait, [this, id = fetch.id, &node, incarnation] { endWatch(node, incarnation, id); });
            return;
        }
        reply(node, incarnation, ServiceTime, fetch.id, headValue(current));
    }

    void queryPeer(Node &node, std::uint64_t incarnation, const FetchValue &fetch)
    {
        const auto peer = std::find_if(nodes.begin(), nodes.end(), [&](const auto &other) { return other->id == *fetch.peer; });
        if (!(*peer)->isAlive || !reaches(node, **peer)) {
            reply(node, incarnation, Duration(1000), fetch.id, Error { ErrorKind::PeerUnreachable, {} });
            return;
        }
        Node &holder = **peer;
        holder.bytes += fetch.kind == ConfigValueKind::Head ? HeadBytes : DeltaBytes;
        if (fetch.kind == ConfigValueKind::Head) {
            const bool hasHead = !holder.head.hash.empty();
            reply(node, incarnation, peerTime, fetch.id, hasHead ? headValue(holder.head) : Error { ErrorKind::NotFound, {} });
            return;
        }
        const auto at = holder.values.find(fetch.hash);
        reply(node, incarnation, peerTime, fetch.id,
            at == holder.values.end() ? Result<ConfigValue>(Error { ErrorKind::NotFound, {} }) : at->second);
    }

    void execute(Node &node, const ActivateConfig &version)
    {
        node.head = version.head;
        node.activeAt.emplace(version.catalog->version(), now);
        merge(node, { node.id, version.catalog->version() });
    }

    void execute(Node &node, const ReportConfigProblem &report)
    {
        node.troubles.push_back(report);
    }

    void answerWatch(const Watch &watch)
    {
        const auto current = headFor(*watch.node);
        if (current.isOk() && current.value().version <= watch.fetch.after) {
            m_watches.push_back(watch);
            return;
        }
        reply(*watch.node, watch.incarnation, ServiceTime, watch.fetch.id, headValue(current));
    }

    void endWatch(Node &node, std::uint64_t incarnation, FetchId id)
    {
        const auto at = std::find_if(m_watches.begin(), m_watches.end(),
            [&](const Watch &watch) { return watch.node == &node && watch.incarnation == incarnation && watch.fetch.id == id; });
        if (at != m_watches.end()) {
            m_watches.erase(at);
            reply(node, incarnation, ServiceTime, id, headValue(headFor(node)));
        }
    }

    void merge(Node &node, const ConfigFact &fact)
    {
        constexpr std::size_t MaxHolders = 3;
        auto &holders = node.holders;
        if (!holders.empty() && fact.version < holders.front().version) {
            return;
        }
        if (!holders.empty() && fact.version > holders.front().version) {
            holders.clear();
        }
        if (holders.size() >= MaxHolders || std::find(holders.begin(), holders.end(), fact) != holders.end()) {
            return;
        }
        holders.push_back(fact);
        node.sendsLeft = 4 * static_cast<int>(std::ceil(std::log10(static_cast<double>(nodes.size()) + 1)));
        handle(node, VersionAnnounced { fact });
    }

    void gossip(Node &node, std::uint64_t incarnation)
    {
        constexpr int FanOut = 3;
        constexpr Duration Interval { 200 };
        if (!node.isAlive || m_incarnations[node.id] != incarnation) {
            return;
        }
        for (int i = 0; i < FanOut && node.sendsLeft > 0; ++i, --node.sendsLeft) {
            Node &to = *nodes[m_random() % nodes.size()];
            node.bytes += RumourBytes * node.holders.size();
            if (std::uniform_real_distribution<>(0, 1)(m_random) < loss || !reaches(node, to)) {
                continue;
            }
            after(peerTime, [this, &to, facts = node.holders] {
                for (const ConfigFact &fact : facts) {
                    if (to.isAlive) {
                        merge(to, fact);
                    }
                }
            });
        }
        after(Interval, [this, &node, incarnation] { gossip(node, incarnation); });
    }

    void tick(Node &node, std::uint64_t incarnation)
    {
        constexpr Duration Interval { 50 };
        if (node.isAlive && m_incarnations[node.id] == incarnation) {
            handle(node, ConfigTick {});
            after(Interval, [this, &node, incarnation] { tick(node, incarnation); });
        }
    }

    void announcePeers()
    {
        PeersChanged peers;
        for (const auto &node : nodes) {
            if (node->isAlive) {
                peers.nodes.push_back({ node->id, node->zone, {}, "rpc" });
            }
        }
        if (peers.nodes.size() == m_announcedCount && m_announcedIncarnations == totalIncarnations()) {
            return;
        }
        m_announcedCount = peers.nodes.size();
        m_announcedIncarnations = totalIncarnations();
        for (const auto &node : nodes) {
            if (node->isAlive) {
                handle(*node, peers);
            }
        }
    }

    std::uint64_t totalIncarnations() const
    {
        std::uint64_t all = 0;
        for (const auto &[id, incarnation] : m_incarnations) {
            all += incarnation;
        }
        return all;
    }

    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::vector<Watch> m_watches;
    bool m_isUnresponsive = false;
    absl::flat_hash_map<NodeId, std::uint64_t> m_incarnations;
    std::size_t m_announcedCount = 0;
    std::uint64_t m_announcedIncarnations = 0;
};

} // namespace ApricotStep
