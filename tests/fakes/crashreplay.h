#pragma once

#include "coordination/contentquarantine.h"
#include "coordination/upstreamends.h"
#include "core/hash.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Fakes
{

using namespace ApricotStep;

inline constexpr Duration MessageDelay { 5 };
inline constexpr Duration HeartbeatInterval { 200 };
inline constexpr Duration FullInterval { 2000 };
inline constexpr double Repeaters = 8;
// An upstream that ended is back so long after.
inline constexpr Duration Downtime { 3000 };
// What the users' pages bound: arrivals later than this after the upstreams ended that are enough to tell.
inline constexpr Duration ContactTime { 3000 };
inline constexpr int ToleratedAfterwards = 3;

inline ContentDigest digestOf(std::uint64_t number)
{
    return ContentDigest(mixHashes(number, 0x5bd1e995));
}

inline RequestContent contentOf(std::uint64_t request)
{
    return RequestContent { digestOf(request) };
}

/** What nodes do. */
struct CrashReplayWays
{
    bool tellPeers = true;
    /** Nodes tell of answers. */
    bool object = true;
    /** The beginning of an answer counts as a whole one, and what an upstream had begun to answer when it ended is not accused. */
    bool trustBeginnings = false;
    /** A request under which another upstream has ended is sent on. */
    bool retryAccused = false;
    /** An upstream ends so long after it got a request under which it ends, whatever it has sent of the answer by then. */
    Duration timeToCrash { 30 };
    /** When it has sent the first part of the answer; none if it ends sooner. */
    Duration timeToFirst { 60 };
    /** An upstream that ends answers nothing and refuses nothing, and nodes know of it so long after. */
    Duration timeToNotice {};
    /** From the first part of a sound answer to its end. */
    Duration soundAnswerTime { 1500 };
    ContentQuarantineLimits limits {};
    /** Bytes of a message; empty if it does not matter. */
    std::function<std::size_t(const QuarantineStatements &)> sizeOf {};
};

/** Requests that arrive at any of many nodes before upstreams, some of which end under what they hold; in steps of a millisecond. */
class CrashReplay
{
public:
    struct Traffic
    {
        /** Requests a second. */
        double rate = 0;
        std::function<RequestContent()> next;
        /** Whether an upstream ends under the content. */
        std::function<bool(const RequestContent &)> isDeadly = [](const RequestContent &) { return false; };
    };
    struct Counts
    {
        int crashes = 0;
        int deadlyArrivals = 0;
        /** Later than ContactTime after the crash after which it can be told. */
        int lateArrivals = 0;
        int soundServed = 0;
        int soundRefused = 0;
        int soundBroken = 0;
        std::size_t bytes = 0;
    };

    CrashReplay(int nodes, int upstreams, unsigned seed, int crashesToTell, CrashReplayWays ways = {})
        : m_ways(std::move(ways))
        , m_upstreams(static_cast<std::size_t>(upstreams))
        , m_random(seed)
        , m_crashesToTell(crashesToTell)
    {
        for (int i = 0; i < nodes; ++i) {
            m_nodes.push_back(std::make_unique<ContentQuarantine>(m_ways.limits));
        }
    }

    void run(Duration span, const std::vector<Traffic> &traffics)
    {
        for (const Time end = m_now + span; m_now < end; m_now = m_now + Duration(1)) {
            deliver();
            heartbeats();
            for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
                work(i);
            }
            for (const Traffic &traffic : traffics) {
                for (int count = std::poisson_distribution<int>(traffic.rate / 1000)(m_random); count > 0; --count) {
                    const RequestContent content = traffic.next();
                    arrive(content, traffic.isDeadly(content), anyNode(), 0);
                }
            }
        }
    }
    /** Ends the upstreams at the same moment, whatever they work on. */
    void endUpstreams(std::size_t first, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            crash((first + i) % m_upstreams.size());
        }
    }
    /** The node gets no messages from now on, or again. */
    void setDeaf(std::size_t node, bool isDeaf)
    {
        if (isDeaf) {
            m_deaf.insert(node);
        } else {
            m_deaf.erase(node);
        }
    }
    /** The process of the node ends, and another one starts. */
    void restart(std::size_t node)
    {
        *m_nodes[node] = ContentQuarantine(m_ways.limits);
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            if (peer != node) {
                m_messages.push_back({ m_now + MessageDelay, peer, node, m_nodes[peer]->statements(true, m_now) });
            }
        }
    }
    bool holds(const RequestContent &content)
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](auto &node) { return node->heldBy(content, m_now).has_value(); });
    }
    bool anyHolds(const RequestContent &content)
    {
        return std::any_of(m_nodes.begin(), m_nodes.end(), [&](auto &node) { return node->heldBy(content, m_now).has_value(); });
    }
    std::size_t heldAnywhere() const
    {
        std::size_t most = 0;
        for (const auto &node : m_nodes) {
            most = std::max(most, node->heldCount());
        }
        return most;
    }
    const Counts &counts() const
    {
        return m_counts;
    }
    std::mt19937_64 &random()
    {
        return m_random;
    }

private:
    struct Running
    {
        RequestContent content;
        bool isDeadly = false;
        std::size_t node = 0;
        int attempt = 0;
        Time beginsAt;
        /** When it is answered to the end, or ends its upstream. */
        Time actsAt;
        Time sentAt;
        bool hasBegun = false;
        /** When its node last told that the answer goes on. */
        Time continuedAt {};
    };
    struct UpstreamState
    {
        std::int64_t start = 1;
        Time downUntil;
        /** Nodes do not know yet that it has ended. */
        std::optional<Time> silentSince;
        std::vector<Running> running;
    };
    struct Message
    {
        Time at;
        std::size_t from = 0;
        std::size_t to = 0;
        QuarantineStatements statements;
    };

    std::size_t anyNode()
    {
        return std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random);
    }
    UpstreamStart startOf(std::size_t index) const
    {
        return UpstreamStart { UpstreamId("u" + std::to_string(index)), m_upstreams[index].start };
    }
    void arrive(const RequestContent &content, bool isDeadly, std::size_t node, int attempt)
    {
        const auto rank = [node](ContentDigest) { return std::optional(static_cast<int>(node)); };
        ContentQuarantine &quarantine = *m_nodes[node];
        if (quarantine.heldBy(content, m_now)) {
            if (!quarantine.beginTrial(content, rank, m_now)) {
                m_counts.soundRefused += isDeadly ? 0 : 1;
                return;
            }
            tell(node);
        }
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            if (m_now >= m_upstreams[i].downUntil || m_upstreams[i].silentSince) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            m_counts.soundBroken += isDeadly ? 0 : 1;
            return;
        }
        const std::size_t chosen = up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(m_random)];
        if (isDeadly && !m_upstreams[chosen].silentSince) {
            ++m_counts.deadlyArrivals;
            m_counts.lateArrivals += m_toldAt && m_now - *m_toldAt > ContactTime ? 1 : 0;
        }
        const Duration toFirst = isDeadly ? m_ways.timeToFirst : Duration(std::uniform_int_distribution<int>(100, 900)(m_random));
        const Duration toEnd = isDeadly ? m_ways.timeToCrash : toFirst + m_ways.soundAnswerTime;
        m_upstreams[chosen].running.push_back(Running { content, isDeadly, node, attempt, m_now + toFirst, m_now + toEnd, m_now });
    }
    void work(std::size_t index)
    {
        UpstreamState &upstream = m_upstreams[index];
        if (upstream.silentSince) {
            if (m_now - *upstream.silentSince >= m_ways.timeToNotice) {
                notice(index);
            }
            return;
        }
        for (Running &request : upstream.running) {
            const Time toldAt = std::max(request.beginsAt, request.continuedAt);
            if (request.hasBegun && m_now - toldAt >= ContentQuarantine::BeginningTime) {
                request.continuedAt = m_now;
                m_nodes[request.node]->onAnswered(request.content, AnswerProgress::Continued, m_now, m_now - request.beginsAt);
            }
            if (!request.hasBegun && m_now >= request.beginsAt) {
                request.hasBegun = true;
                m_nodes[request.node]->onAnswered(
                    request.content, m_ways.trustBeginnings ? AnswerProgress::Whole : AnswerProgress::Begun, m_now);
            }
            if (m_now < request.actsAt) {
                continue;
            }
            if (request.isDeadly) {
                crash(index);
                return;
            }
            ++m_counts.soundServed;
            if (m_nodes[request.node]->onAnswered(request.content, AnswerProgress::Whole, m_now)) {
                tell(request.node);
            }
        }
        std::erase_if(upstream.running, [this](const Running &request) { return m_now >= request.actsAt; });
    }
    void crash(std::size_t index)
    {
        UpstreamState &upstream = m_upstreams[index];
        if (upstream.silentSince) {
            return;
        }
        const bool isByContent = std::any_of(upstream.running.begin(), upstream.running.end(),
            [this](const Running &request) { return request.isDeadly && m_now >= request.actsAt; });
        if (isByContent && ++m_counts.crashes == m_crashesToTell) {
            m_toldAt = m_now;
        }
        upstream.downUntil = m_now + Downtime;
        upstream.silentSince = m_now;
        if (m_ways.timeToNotice == Duration()) {
            notice(index);
        }
    }
    /** A node does not know when within UpstreamEndsLimits::sendingTime an upstream ended that refuses no connections. */
    Duration exposureAt(const Running &request, Time endedAt) const
    {
        const Duration uncertainty = m_ways.timeToNotice > Duration() ? UpstreamEndsLimits {}.sendingTime : Duration();
        return endedAt + uncertainty - request.sentAt;
    }
    /** Nodes learn that the upstream has ended. */
    void notice(std::size_t index)
    {
        UpstreamState &upstream = m_upstreams[index];
        const std::vector<Running> lost = std::exchange(upstream.running, {});
        const UpstreamStart start = startOf(index);
        const Time endedAt = *std::exchange(upstream.silentSince, std::nullopt);
        ++upstream.start;
        std::map<std::size_t, std::vector<CrashSuspect>> suspects;
        for (const Running &request : lost) {
            const bool isBlamed = request.sentAt <= endedAt + UpstreamEndsLimits {}.sendingTime;
            if (isBlamed && (!m_ways.trustBeginnings || !request.hasBegun)) {
                const Duration answerAge = request.hasBegun ? endedAt - request.beginsAt : Duration();
                suspects[request.node].push_back(
                    CrashSuspect { request.content, request.hasBegun, exposureAt(request, endedAt), answerAge });
            }
        }
        std::set<ContentDigest> wasAccused;
        for (const Running &request : lost) {
            if (m_nodes[request.node]->isAccused(request.content.request)) {
                wasAccused.insert(request.content.request);
            }
        }
        for (const auto &[node, contents] : suspects) {
            const UpstreamGroup group { ServiceName("s"), static_cast<int>(m_upstreams.size()) };
            if (m_nodes[node]->onCrash(start, contents, endedAt, m_now, group)) {
                tell(node);
            }
        }
        for (const Running &request : lost) {
            const bool mayRetry = m_ways.retryAccused || !wasAccused.contains(request.content.request);
            if (request.attempt == 0 && mayRetry) {
                arrive(request.content, request.isDeadly, request.node, 1);
            } else if (!request.isDeadly) {
                ++m_counts.soundBroken;
            }
        }
    }
    void tell(std::size_t node, bool isFull = false)
    {
        QuarantineStatements statements = m_nodes[node]->statements(isFull, m_now);
        if (!m_ways.object) {
            statements.answers.clear();
        }
        if (!m_ways.tellPeers) {
            return;
        }
        if (m_ways.sizeOf && !statements.isEmpty()) {
            m_counts.bytes += m_ways.sizeOf(statements) * (m_nodes.size() - 1);
        }
        for (std::size_t peer = 0; peer < m_nodes.size() && !statements.isEmpty(); ++peer) {
            if (peer != node) {
                m_messages.push_back({ m_now + MessageDelay, node, peer, statements });
            }
        }
    }
    void deliver()
    {
        while (!m_messages.empty() && m_messages.front().at <= m_now) {
            const Message message = std::move(m_messages.front());
            m_messages.pop_front();
            if (!m_deaf.contains(message.to) && !m_deaf.contains(message.from)) {
                m_nodes[message.to]->onPeerStatements(message.statements, m_now);
            }
        }
    }
    void heartbeats()
    {
        const auto interval = HeartbeatInterval.milliseconds();
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            const auto phase = static_cast<std::int64_t>(node * 37 % 200);
            if (m_now.milliseconds() % interval == phase) {
                const bool isRepeater =
                    std::bernoulli_distribution(std::min(1.0, Repeaters / static_cast<double>(m_nodes.size())))(m_random);
                tell(node, m_now.milliseconds() % FullInterval.milliseconds() == phase && isRepeater);
            }
        }
    }

    CrashReplayWays m_ways;
    std::vector<std::unique_ptr<ContentQuarantine>> m_nodes;
    std::vector<UpstreamState> m_upstreams;
    std::deque<Message> m_messages;
    std::set<std::size_t> m_deaf;
    std::mt19937_64 m_random;
    int m_crashesToTell;
    Time m_now { 1'000'000 };
    /** When as many upstreams had ended as are enough to tell. */
    std::optional<Time> m_toldAt;
    Counts m_counts;
};

inline CrashReplay::Traffic soundTraffic(CrashReplay &replay, double rate)
{
    return { rate, [&replay] { return contentOf(1000 + replay.random()() % 100'000); } };
}

inline CrashReplay::Traffic repeatedRequest(std::uint64_t request, double rate)
{
    return { rate, [request] { return contentOf(request); }, [](const RequestContent &) { return true; } };
}

inline constexpr std::uint64_t FirstPart = 1;
inline constexpr std::uint64_t DeadlyPart = 666;
inline constexpr int CrashesToTellPart = 5;
// In service before anything ends.
inline constexpr Duration WarmUp = Duration::seconds(3);

/** A request of its own with a prompt of the part that all share, @p middle and one of its own. */
inline RequestContent promptOf(CrashReplay &replay, std::uint64_t middle, std::uint64_t adapter)
{
    const std::uint64_t own = (1ULL << 40U) + replay.random()() % (1ULL << 40U);
    return RequestContent { digestOf(own), digestOf(adapter + 1'000'000), { digestOf(FirstPart), digestOf(middle), digestOf(own + 1) } };
}

inline CrashReplay::Traffic soundPrompts(CrashReplay &replay, double rate, std::uint64_t middles = 200, std::uint64_t adapters = 30)
{
    return { rate,
        [&replay, middles, adapters] { return promptOf(replay, 1000 + replay.random()() % middles, replay.random()() % adapters); } };
}

inline CrashReplay::Traffic deadlyPrompts(CrashReplay &replay, std::uint64_t part, double rate)
{
    return { rate, [&replay, part] { return promptOf(replay, part, replay.random()() % 30); },
        [](const RequestContent &) { return true; } };
}

} // namespace Fakes
