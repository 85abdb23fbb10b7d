#include "coordination/upstreamlimits.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

UpstreamRecord upstream(std::int64_t startedAt = 1)
{
    UpstreamRecord record;
    record.id = UpstreamId("u");
    record.startedAt = startedAt;
    return record;
}

/**
 * A fleet whose nodes learn of the limit of one upstream from its answers and from each other, and send requests as callers want them. One
 * node issues the credit. Time advances in steps.
 */
class LimitedFleet
{
public:
    LimitedFleet(int count, std::uint64_t seed)
        : m_random(seed)
        , m_issuer(upstreamCreditLimits())
    {
        for (int i = 0; i < count; ++i) {
            m_nodes.push_back(Node { UpstreamLimits(), CreditClient(upstreamCreditLimits(), m_random(), m_now) });
        }
    }
    void setLimit(std::optional<double> limit)
    {
        m_limit = limit;
    }
    /** Requests per second that callers would have the nodes send to the upstream, all together. */
    void setDemand(double perSecond)
    {
        m_demand = perSecond;
    }
    void setIssuerReachable(bool isReachable)
    {
        m_isIssuerReachable = isReachable;
    }
    /** Another node issues the credit from now on. */
    void changeIssuer()
    {
        m_issuer = CreditIssuer(upstreamCreditLimits());
        ++m_term;
    }
    void restart(int index)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        node = Node { UpstreamLimits(), CreditClient(upstreamCreditLimits(), m_random(), m_now), m_now };
    }
    void run(Duration span)
    {
        for (const Time end = m_now + span; m_now < end;) {
            step();
        }
    }
    /** The most requests in some four seconds since @p from, of the nodes to which the upstream had stated its limit half a second before.
     */
    int mostInWindow(Time from) const
    {
        int most = 0;
        for (auto first = m_sent.begin(); first != m_sent.end(); ++first) {
            if (*first >= from) {
                const auto last = std::find_if(first, m_sent.end(), [&](Time at) { return at >= *first + Duration::seconds(4); });
                most = std::max(most, static_cast<int>(last - first));
            }
        }
        return most;
    }
    int received() const
    {
        return m_received;
    }
    Time now() const
    {
        return m_now;
    }
    int nodesWithLimit() const
    {
        return static_cast<int>(
            std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node &node) { return node.limits.limit(upstream()).has_value(); }));
    }

private:
    static constexpr Duration Step { 10 };
    static constexpr Duration AnswerDelay { 100 };

    struct Node
    {
        UpstreamLimits limits;
        CreditClient client;
        Time startedAt;
        Time toldAt = Time::never();
    };
    struct Answer
    {
        std::size_t node = 0;
        Time sentAt;
        std::optional<double> limit;
    };

    static CreditAccount account()
    {
        return accountOf(upstream().id, upstream().startedAt);
    }
    void send(std::size_t index)
    {
        const Node &node = m_nodes[index];
        ++m_received;
        m_answers.push_back(Answer { index, m_now, m_limit });
        if (node.toldAt != Time::never() && m_now - node.toldAt >= Duration(500)) {
            m_sent.push_back(m_now);
        }
    }
    void request(std::size_t index)
    {
        Node &node = m_nodes[index];
        const auto limit = node.limits.limit(upstream());
        if (!limit) {
            send(index);
            return;
        }
        if (node.limits.nextSendAt(upstream(), m_now) <= m_now) {
            const int nodes = static_cast<int>(m_nodes.size());
            const auto admission = node.client.request(AdmissionId(++m_lastId), account(), upstreamCreditLimit(*limit), 1, nodes, m_now);
            if (admission && std::holds_alternative<Admitted>(*admission)) {
                send(index);
            }
        }
    }
    void decide(std::size_t index)
    {
        Node &node = m_nodes[index];
        CreditSteps steps = node.client.step(m_now);
        for (const CreditQuery &query : steps.queries) {
            if (m_isIssuerReachable) {
                m_issuer.hold(0, FencingToken(m_term), m_now);
                const auto grant = m_issuer.answer(0, NodeId(std::to_string(index)),
                    Incarnation(static_cast<std::uint64_t>(node.startedAt.milliseconds())), query,
                    upstreamCreditLimit(m_limit.value_or(100)), m_now);
                if (grant) {
                    node.client.onGrant(*grant, m_now);
                }
            }
        }
        if (!steps.queries.empty()) {
            const CreditSteps more = node.client.step(m_now);
            steps.decisions.insert(steps.decisions.end(), more.decisions.begin(), more.decisions.end());
        }
        for (const AdmissionDecision &decision : steps.decisions) {
            if (std::holds_alternative<Admitted>(decision.admission)) {
                send(index);
            } else {
                node.limits.onRefused(upstream(), m_now + Duration(300));
            }
        }
    }
    void exchange()
    {
        for (const Node &from : m_nodes) {
            for (const UpstreamLimitStatement &statement : from.limits.statements(m_now)) {
                for (Node &to : m_nodes) {
                    if (&to != &from) {
                        to.limits.onPeerStatement(statement, m_now);
                    }
                }
            }
        }
    }
    void step()
    {
        m_now = m_now + Step;
        if (m_now.milliseconds() % 200 == 0) {
            exchange();
        }
        while (!m_answers.empty() && m_answers.front().sentAt + AnswerDelay <= m_now) {
            const Answer answer = m_answers.front();
            m_answers.pop_front();
            Node &node = m_nodes[answer.node];
            if (node.startedAt <= answer.sentAt) {
                node.limits.onAnswer(upstream(), answer.limit, answer.sentAt, m_now);
                node.toldAt = answer.limit ? std::min(node.toldAt, m_now) : node.toldAt;
            }
        }
        const int wanted = std::poisson_distribution<int>(m_demand * Step.toSeconds())(m_random);
        for (int i = 0; i < wanted; ++i) {
            request(std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random));
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            decide(i);
        }
    }

    std::mt19937_64 m_random;
    CreditIssuer m_issuer;
    std::uint64_t m_term = 1;
    bool m_isIssuerReachable = true;
    std::vector<Node> m_nodes;
    std::deque<Answer> m_answers;
    std::vector<Time> m_sent;
    int m_received = 0;
    std::uint64_t m_lastId = 0;
    std::optional<double> m_limit;
    double m_demand = 0;
    Time m_now { 10'000 };
};

int allowedInWindow(double limit)
{
    return static_cast<int>(std::floor(1.5 * limit * 4)) + 5;
}

constexpr int Seeds = 20;

} // namespace

Test(upstreamlimits, answersNameChangeAndLiftALimit)
{
    UpstreamLimits limits;
    cr_assert_not(limits.onAnswer(upstream(), std::nullopt, Time(0), Time(10)));
    cr_assert(limits.onAnswer(upstream(), 1.2, Time(10), Time(20)));
    cr_assert_not(limits.onAnswer(upstream(), 1.2, Time(20), Time(30)));
    cr_assert(limits.onAnswer(upstream(), 0.8, Time(30), Time(40)));
    cr_assert_eq(limits.limit(upstream()), 0.8);
    cr_assert(limits.onAnswer(upstream(), std::nullopt, Time(41), Time(50)));
    cr_assert_not(limits.limit(upstream()));
}

// Guards against a limit that is dropped because of an answer that the upstream had begun before it named the limit.
Test(upstreamlimits, answerToAnEarlierRequestDoesNotLiftALimit)
{
    UpstreamLimits limits;
    limits.onAnswer(upstream(), 1.0, Time(10), Time(20));
    cr_assert_not(limits.onAnswer(upstream(), std::nullopt, Time(15), Time(50)));
    cr_assert_not(limits.onPeerStatement({ upstream().id, 1, std::nullopt, Duration(40) }, Time(50)));
    cr_assert_eq(limits.limit(upstream()), 1.0);
    cr_assert(limits.onPeerStatement({ upstream().id, 1, std::nullopt, Duration(10) }, Time(50)));
    cr_assert_not(limits.limit(upstream()));
}

// Guards against an upstream that restarts under its id and keeps the limit of its former start.
Test(upstreamlimits, limitEndsWithTheStartThatNamedIt)
{
    UpstreamLimits limits;
    limits.onAnswer(upstream(1), 1.0, Time(10), Time(20));
    limits.onRefused(upstream(1), Time(500));
    cr_assert_not(limits.limit(upstream(2)));
    cr_assert(limits.nextSendAt(upstream(1), Time(30)) == Time(500));
    cr_assert(limits.nextSendAt(upstream(2), Time(30)) == Time(30));
}

// Guards against nodes that each keep the limit by themselves, so that the upstream gets the sum, and against shares that nobody uses.
Test(upstreamlimits, nodesKeepALimitTogether)
{
    for (const double limit : { 0.3, 1.0, 1.3, 4.0, 30.0 }) {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            LimitedFleet fleet(12, seed);
            fleet.setDemand(4.2 * std::max(limit, 1.0));
            fleet.run(Duration::seconds(2));
            fleet.setLimit(limit);
            fleet.run(Duration::seconds(3));
            const Time from = fleet.now();
            const int before = fleet.received();
            fleet.run(Duration::seconds(40));
            const int most = fleet.mostInWindow(from);
            cr_assert_leq(most, allowedInWindow(limit), "seed %d, limit %g: %d", static_cast<int>(seed), limit, most);
            const int sent = fleet.received() - before;
            cr_assert_geq(sent, static_cast<int>(0.8 * limit * 40) - 1, "seed %d, limit %g: only %d", static_cast<int>(seed), limit, sent);
        }
    }
}

// Guards against idle nodes that have all saved up requests and send them at once when demand returns.
Test(upstreamlimits, nodesKeepALimitInABurstAfterSilence)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        LimitedFleet fleet(100, seed);
        fleet.setLimit(1.0);
        fleet.setDemand(100);
        fleet.run(Duration::seconds(5));
        fleet.setDemand(0);
        fleet.run(Duration::seconds(20));
        const Time from = fleet.now();
        fleet.setDemand(1000);
        fleet.run(Duration::seconds(8));
        const int most = fleet.mostInWindow(from);
        cr_assert_leq(most, allowedInWindow(1.0), "seed %d: %d", static_cast<int>(seed), most);
    }
}

// Guards against a new issuer that grants again what its predecessor has just granted, and against nodes that forget the limit as they
// restart.
Test(upstreamlimits, nodesKeepALimitWhileNodesRestartAndIssuersChange)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        LimitedFleet fleet(20, seed);
        fleet.setDemand(10);
        fleet.setLimit(1.2);
        fleet.run(Duration::seconds(5));
        const Time from = fleet.now();
        std::mt19937_64 random(seed);
        for (int i = 0; i < 30; ++i) {
            fleet.restart(std::uniform_int_distribution<int>(0, 19)(random));
            fleet.run(Duration(700));
            fleet.changeIssuer();
            fleet.run(Duration(1300));
        }
        const int most = fleet.mostInWindow(from);
        cr_assert_leq(most, allowedInWindow(1.2), "seed %d: %d", static_cast<int>(seed), most);
    }
}

// Guards against nodes that reach no issuer and take whole limits for themselves, or send nothing at all for as long as that lasts.
Test(upstreamlimits, nodesKeepALimitWithoutAnIssuer)
{
    int sent = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        LimitedFleet fleet(20, seed);
        fleet.setDemand(10);
        fleet.setLimit(1.0);
        fleet.run(Duration::seconds(5));
        const Time from = fleet.now();
        fleet.setIssuerReachable(false);
        const int before = fleet.received();
        fleet.run(Duration::seconds(30));
        sent += fleet.received() - before;
        const int most = fleet.mostInWindow(from);
        cr_assert_leq(most, allowedInWindow(1.0), "seed %d: %d", static_cast<int>(seed), most);
    }
    cr_assert_gt(sent, 0);
}

// Guards against nodes that are refused credit, so that the upstream never answers them, and keep a limit that is gone.
Test(upstreamlimits, allNodesLearnThatALimitIsLifted)
{
    LimitedFleet fleet(20, 1);
    fleet.setDemand(10);
    fleet.setLimit(1.0);
    fleet.run(Duration::seconds(5));
    cr_assert_eq(fleet.nodesWithLimit(), 20);
    fleet.setLimit(std::nullopt);
    fleet.run(Duration::seconds(5));
    cr_assert_eq(fleet.nodesWithLimit(), 0);
}
