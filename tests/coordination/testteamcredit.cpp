#include "coordination/teamcredit.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Time Start { 100'000 };
constexpr std::uint64_t Shard = 3;

TeamCreditLimits limits()
{
    TeamCreditLimits result;
    result.overrun = 0.25;
    result.reserve = 20'000;
    return result;
}

Team limitedTeam(double rate, double burst)
{
    Team team;
    team.name = TeamName("t");
    team.limit = TeamLimit { LimitUnit::Tokens, rate, burst, 200 };
    return team;
}

CreditQuery query(std::uint64_t sequence, double needed, double ahead = 0)
{
    return CreditQuery { accountOf(TeamName("t")), sequence, needed, needed, ahead };
}

/** An issuer that has held its lease for long enough to have a full bucket. */
struct IssuerFixture
{
    CreditIssuer issuer { limits() };
    Time now = Start;
    TeamLimit limit = *limitedTeam(1000, 1000).limit;

    IssuerFixture()
    {
        issuer.hold(Shard, FencingToken(1), Start);
        now = Start + Duration::seconds(10);
    }
    CreditGrant ask(const std::string &node, const CreditQuery &asked, std::uint64_t incarnation = 1)
    {
        return issuer.answer(Shard, NodeId(node), Incarnation(incarnation), asked, limit, now).value();
    }
};

/** Which safeguard a history runs without, to show that the check would catch its absence. */
enum class Safeguard {
    None,
    /** Issued credit expires. */
    Expiry,
    /** A new issuer starts with an empty bucket. */
    EmptyStart,
    /** A repeated query is answered with the same grant. */
    RepeatedAnswer,
    /** Nodes without an issuer spend a bounded amount. */
    BoundedOwnCredit,
};

/**
 * Nodes that admit one team's requests, far above its limit, over links that lose and delay messages, while the issuer changes, nodes are
 * cut off from it, restart or are paused.
 */
class History
{
public:
    History(std::uint64_t seed, Safeguard disabled)
        : m_random(seed)
        , m_disabled(disabled)
        , m_limits(limits())
        , m_issuer(m_limits)
        , m_team(limitedTeam(20'000, 20'000))
    {
        if (disabled == Safeguard::Expiry) {
            m_clientLimits = m_limits;
            m_clientLimits.overrun = 10;
            m_clientLimits.reserve = 0;
        } else {
            m_clientLimits = m_limits;
        }
        if (disabled == Safeguard::BoundedOwnCredit) {
            m_clientLimits.reserve *= Nodes * 4;
        }
        for (int i = 0; i < Nodes; ++i) {
            m_nodes.push_back(Node { CreditClient(m_clientLimits, seed + static_cast<std::uint64_t>(i), Start - Duration::seconds(60)),
                Incarnation(1), {}, {}, {}, {} });
            disturb(m_nodes.back());
        }
    }

    /** Returns the greatest excess in any window over what the limit allows; below 0 if there is none. */
    double run()
    {
        startTerm(Start - Duration::seconds(5));
        for (Time time = Start; time < Start + Duration::seconds(25); time = time + Duration(uniform(1, 60))) {
            const int node = uniform(0, Nodes - 1);
            at(time, [this, node] { request(node); });
        }
        const int changes = uniform(0, 10);
        for (int i = 0; i < changes; ++i) {
            const Time time = Start + Duration(uniform(0, 25'000));
            at(time, [this] { startTerm(m_now); });
        }
        const int restarts = uniform(0, 4);
        for (int i = 0; i < restarts; ++i) {
            const int node = uniform(0, Nodes - 1);
            at(Start + Duration(uniform(0, 25'000)), [this, node] { restart(node); });
        }
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
        }
        return greatestExcess();
    }

private:
    static constexpr int Nodes = 8;

    struct Node
    {
        CreditClient client;
        Incarnation incarnation;
        Time cutFrom;
        Time cutUntil;
        Time pausedFrom;
        Time pausedUntil;
    };
    struct Run
    {
        Time at;
        double cost = 0;
    };

    int uniform(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    void disturb(Node &node)
    {
        node.cutFrom = Start + Duration(uniform(0, 25'000));
        node.cutUntil = node.cutFrom + Duration(uniform(0, 12'000));
        node.pausedFrom = Start + Duration(uniform(0, 25'000));
        node.pausedUntil = node.pausedFrom + Duration(uniform(0, 6000));
    }
    void at(Time time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }
    void atNode(int index, Time time, std::function<void()> action)
    {
        const Node &node = m_nodes[static_cast<std::size_t>(index)];
        at(time >= node.pausedFrom && time < node.pausedUntil ? node.pausedUntil : time, std::move(action));
    }
    bool isCut(int index) const
    {
        const Node &node = m_nodes[static_cast<std::size_t>(index)];
        return m_now >= node.cutFrom && m_now < node.cutUntil;
    }
    Duration delay()
    {
        return Duration(uniform(0, 30) == 0 ? uniform(10, 3000) : uniform(1, 5));
    }
    void startTerm(Time time)
    {
        ++m_term;
        m_issuer = CreditIssuer(m_limits);
        m_issuer.hold(Shard, FencingToken(m_term), m_disabled == Safeguard::EmptyStart ? time - Duration::seconds(60) : time);
    }
    void restart(int index)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        node.client = CreditClient(m_clientLimits, m_random(), m_now);
        node.incarnation = node.incarnation + Incarnation(1);
        m_costs.erase(index);
    }
    void request(int index)
    {
        const double cost = uniform(0, 3) == 0 ? 200 : uniform(500, 9000);
        const AdmissionId id(++m_lastId);
        m_costs[index][id.value()] = cost;
        const auto admission =
            m_nodes[static_cast<std::size_t>(index)].client.request(id, accountOf(m_team.name), *m_team.limit, cost, Nodes, m_now);
        if (admission && std::holds_alternative<Admitted>(*admission)) {
            admit(index, cost);
        }
        step(index);
    }
    void admit(int index, double cost)
    {
        // A tenth of the requests cannot run, and give their credit back after a while.
        if (uniform(0, 9) == 0) {
            const Time admittedAt = m_now;
            at(m_now + Duration(uniform(0, 3000)), [this, index, cost, admittedAt] {
                m_nodes[static_cast<std::size_t>(index)].client.giveBack(accountOf(m_team.name), cost, admittedAt, m_now);
            });
            return;
        }
        m_runs.push_back(Run { m_now, cost });
    }
    void step(int index)
    {
        const CreditSteps steps = m_nodes[static_cast<std::size_t>(index)].client.step(m_now);
        for (const CreditQuery &asked : steps.queries) {
            send(index, asked);
        }
        for (const AdmissionDecision &decision : steps.decisions) {
            if (std::holds_alternative<Admitted>(decision.admission)) {
                admit(index, m_costs[index][decision.request.value()]);
            }
        }
        if (steps.nextAt != Time::never()) {
            atNode(index, steps.nextAt, [this, index] { step(index); });
        }
    }
    void send(int index, const CreditQuery &asked)
    {
        if (isCut(index) || uniform(0, 19) == 0) {
            return;
        }
        const Incarnation incarnation = m_nodes[static_cast<std::size_t>(index)].incarnation;
        at(m_now + delay(), [this, index, incarnation, asked] {
            CreditQuery received = asked;
            if (m_disabled == Safeguard::RepeatedAnswer) {
                received.sequence = ++m_otherSequence + 1'000'000;
            }
            auto grant = m_issuer.answer(Shard, NodeId(std::to_string(index)), incarnation, received, *m_team.limit, m_now);
            if (!grant || isCut(index)) {
                return;
            }
            grant->sequence = asked.sequence;
            if (m_disabled == Safeguard::RepeatedAnswer) {
                // The node would take each of the answers.
                m_runs.push_back(Run { m_now, grant->amount });
            }
            atNode(index, m_now + delay(), [this, index, incarnation, granted = *grant] {
                if (m_nodes[static_cast<std::size_t>(index)].incarnation == incarnation) {
                    m_nodes[static_cast<std::size_t>(index)].client.onGrant(granted, m_now);
                    step(index);
                }
            });
        });
    }
    double greatestExcess()
    {
        std::sort(m_runs.begin(), m_runs.end(), [](const Run &a, const Run &b) { return a.at < b.at; });
        const double allowed =
            (m_team.limit->ratePerSecond * m_limits.window.toSeconds() + m_team.limit->burst) * (1 + m_limits.overrun) + m_limits.reserve;
        double greatest = -allowed;
        double sum = 0;
        std::size_t first = 0;
        for (const Run &run : m_runs) {
            sum += run.cost;
            while (run.at - m_runs[first].at > m_limits.window) {
                sum -= m_runs[first++].cost;
            }
            greatest = std::max(greatest, sum - allowed);
        }
        return greatest;
    }

    std::mt19937_64 m_random;
    Safeguard m_disabled;
    TeamCreditLimits m_limits;
    TeamCreditLimits m_clientLimits;
    CreditIssuer m_issuer;
    Team m_team;
    std::vector<Node> m_nodes;
    std::map<int, std::map<std::uint64_t, double>> m_costs;
    std::vector<Run> m_runs;
    std::multimap<Time, std::function<void()>> m_events;
    Time m_now = Start;
    std::uint64_t m_term = 0;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_otherSequence = 0;
};

int historiesBeyondLimit(Safeguard disabled, std::uint64_t histories, std::uint64_t firstSeed = 1)
{
    int result = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + histories; ++seed) {
        result += History(seed, disabled).run() > 0 ? 1 : 0;
    }
    return result;
}

} // namespace

// Guards against a team that runs more than its limit allows while issuers change, messages are lost, and nodes are cut off or restart. The
// histories are divided so that they run in parallel.
Test(teamcredit, limitHoldsInTheFirstHistories)
{
    cr_assert_eq(historiesBeyondLimit(Safeguard::None, 2500), 0);
}

Test(teamcredit, limitHoldsInTheSecondHistories)
{
    cr_assert_eq(historiesBeyondLimit(Safeguard::None, 2500, 2501), 0);
}

Test(teamcredit, limitHoldsInTheThirdHistories)
{
    cr_assert_eq(historiesBeyondLimit(Safeguard::None, 2500, 5001), 0);
}

Test(teamcredit, limitHoldsInTheFourthHistories)
{
    cr_assert_eq(historiesBeyondLimit(Safeguard::None, 2500, 7501), 0);
}

// Guards against histories that could not show the absence of a safeguard.
Test(teamcredit, historiesShowUnlimitedLifetimes)
{
    cr_assert_gt(historiesBeyondLimit(Safeguard::Expiry, 2000), 0);
    cr_assert_gt(historiesBeyondLimit(Safeguard::RepeatedAnswer, 500), 0);
}

Test(teamcredit, historiesShowIssuersThatStartFull)
{
    cr_assert_gt(historiesBeyondLimit(Safeguard::EmptyStart, 2000), 0);
}

Test(teamcredit, historiesShowUnboundedOwnCredit)
{
    cr_assert_gt(historiesBeyondLimit(Safeguard::BoundedOwnCredit, 2000), 0);
}

// Guards against a small team whose every long request is refused, since no single node has a share that suffices for one.
Test(teamcredit, rareLongRequestsOfASmallTeamRunAtAnyNode)
{
    IssuerFixture fixture;
    for (int node = 0; node < 20; ++node) {
        fixture.now = fixture.now + Duration::seconds(1);
        cr_assert_eq(fixture.ask("n" + std::to_string(node), query(1, 950)).amount, 950);
    }
}

// Guards against a lost answer that costs the team the credit twice, and a late copy of a query that takes credit which nobody waits for.
Test(teamcredit, repeatedQueriesAreAnsweredOnce)
{
    IssuerFixture fixture;
    const CreditGrant first = fixture.ask("a", query(5, 800));
    cr_assert(first.amount == 800 && fixture.ask("a", query(5, 800)) == first);
    cr_assert_not(fixture.issuer.answer(Shard, NodeId("a"), Incarnation(1), query(4, 100), fixture.limit, fixture.now).has_value());
    cr_assert_eq(fixture.ask("b", query(5, 400)).amount, 400);
    // A restarted node counts its queries anew.
    cr_assert_eq(fixture.ask("a", query(1, 50), 2).amount, 50);
}

// Guards against callers that are told to return before the team's credit suffices for their request.
Test(teamcredit, refusedRequestsAreToldWhenTheCreditSuffices)
{
    IssuerFixture fixture;
    fixture.ask("a", query(1, 1200));
    const CreditGrant refused = fixture.ask("a", query(2, 550));
    cr_assert(refused.amount == 0 && refused.retryAfter >= Duration(499) && refused.retryAfter <= Duration(501));
    fixture.now = fixture.now + refused.retryAfter + Duration(1);
    cr_assert_eq(fixture.ask("a", query(3, 550)).amount, 550);
}

// Guards against a request that is larger than its team's burst and could therefore never run.
Test(teamcredit, requestLargerThanTheBucketRunsOnce)
{
    IssuerFixture fixture;
    cr_assert_eq(fixture.ask("a", query(1, 5000)).amount, 5000);
    cr_assert_eq(fixture.ask("a", query(2, 100)).amount, 0);
    fixture.now = fixture.now + Duration(4000);
    cr_assert_eq(fixture.ask("a", query(3, 200)).amount, 200);
}

// Guards against a busy node that takes the credit in advance which others need at once.
Test(teamcredit, creditInAdvanceLeavesHalfOfTheBucket)
{
    IssuerFixture fixture;
    cr_assert_eq(fixture.ask("a", query(1, 100, 5000)).amount, 100 + (1250 - 100 - 625));
    cr_assert_eq(fixture.ask("b", query(1, 600, 5000)).amount, 600);
}

// Guards against a limit that was lowered and still issues what the bucket held before.
Test(teamcredit, loweredLimitEmptiesTheBucket)
{
    IssuerFixture fixture;
    fixture.ask("a", query(1, 10));
    fixture.limit.ratePerSecond = 10;
    fixture.limit.burst = 20;
    cr_assert_eq(fixture.ask("a", query(2, 24)).amount, 24);
    cr_assert_eq(fixture.ask("a", query(3, 24)).amount, 0);
}

// Guards against requests that wait for an issuer which does not answer until their callers give up.
Test(teamcredit, nodeWithoutIssuerDecidesSoon)
{
    CreditClient client(limits(), 1, Start - Duration::seconds(60));
    const Team team = limitedTeam(1000, 1000);
    cr_assert_not(client.request(AdmissionId(1), accountOf(team.name), *team.limit, 900, 10, Start).has_value());
    cr_assert_not(client.request(AdmissionId(2), accountOf(team.name), *team.limit, 100'000, 10, Start).has_value());
    Time now = Start;
    int queries = 0;
    std::vector<AdmissionDecision> decisions;
    while (decisions.empty() && now < Start + Duration(1000)) {
        const CreditSteps steps = client.step(now);
        queries += static_cast<int>(steps.queries.size());
        decisions = steps.decisions;
        now = steps.nextAt;
    }
    decisions = decisions.empty() ? client.step(now).decisions : decisions;
    cr_assert(queries == 3 && decisions.size() == 2);
    // A small request runs on what the node may spend on its own, a large one is refused as not run.
    cr_assert(std::holds_alternative<Admitted>(decisions[0].admission));
    cr_assert(std::holds_alternative<IssuerUnreachable>(decisions[1].admission));
}

// Guards against an answer that arrives after a pause, when its credit has expired.
Test(teamcredit, lateGrantIsNotSpent)
{
    CreditClient client(limits(), 1, Start - Duration::seconds(60));
    cr_assert_not(client.request(AdmissionId(1), accountOf(TeamName("t")), *limitedTeam(1000, 1000).limit, 500, 10, Start).has_value());
    const CreditQuery asked = client.step(Start).queries.at(0);
    const Time late = Start + limits().creditLifetime();
    client.onGrant(CreditGrant { asked.account, asked.sequence, 500, Duration(0) }, late);
    cr_assert(std::holds_alternative<BeyondLimit>(client.step(late).decisions.at(0).admission));
}

Test(teamcredit, creditOfRequestsThatDidNotRunIsSpentAgainWhileValid)
{
    CreditClient client(limits(), 1, Start - Duration::seconds(60));
    const Team team = limitedTeam(1000, 1000);
    cr_assert_not(client.request(AdmissionId(1), accountOf(team.name), *team.limit, 500, 10, Start).has_value());
    const CreditQuery asked = client.step(Start).queries.at(0);
    client.onGrant(CreditGrant { asked.account, asked.sequence, 500, Duration(0) }, Start);
    cr_assert(std::holds_alternative<Admitted>(client.step(Start).decisions.at(0).admission));
    client.giveBack(accountOf(team.name), 500, Start, Start + Duration(100));
    cr_assert(client.request(AdmissionId(2), accountOf(team.name), *team.limit, 500, 10, Start + Duration(200)).has_value());
    client.giveBack(accountOf(team.name), 500, Start, Start + Duration(600));
    cr_assert_not(client.request(AdmissionId(3), accountOf(team.name), *team.limit, 500, 10, Start + Duration(700)).has_value());
}

// Guards against a fleet without an issuer that refuses all long requests of small teams, because one costs more than a node may spend.
Test(teamcredit, nodesWithoutIssuerTogetherSpendWhatTheyMay)
{
    constexpr int Nodes = 100;
    constexpr double Cost = 9000;
    const Team team = limitedTeam(200'000, 200'000);
    std::mt19937_64 random(7);
    double spent = 0;
    for (int node = 0; node < Nodes; ++node) {
        CreditClient client(limits(), random(), Start - Duration::seconds(60));
        for (std::uint64_t id = 1; id <= 5; ++id) {
            cr_assert_not(client.request(AdmissionId(id), accountOf(team.name), *team.limit, Cost, Nodes, Start).has_value());
        }
        for (Time now = Start; now <= Start + Duration(200); now = now + Duration(10)) {
            for (const AdmissionDecision &decision : client.step(now).decisions) {
                spent += std::holds_alternative<Admitted>(decision.admission) ? Cost : 0;
            }
        }
    }
    const double allowed = limits().reserve + 1.5 * team.limit->ratePerSecond;
    cr_assert(spent >= allowed / 4 && spent <= allowed, "%f of %f", spent, allowed);
}

// Guards against a fleet that was restarted as a whole and refuses its teams until a lease has a holder.
Test(teamcredit, nodesOfAStartingFleetSpendTheRateTogether)
{
    constexpr int Nodes = 100;
    constexpr double Cost = 9000;
    const Team team = limitedTeam(200'000, 200'000);
    TeamCreditLimits withoutOverrun;
    std::mt19937_64 random(7);
    double spent = 0;
    for (int node = 0; node < Nodes; ++node) {
        CreditClient client(withoutOverrun, random(), Start);
        for (std::uint64_t id = 1; id <= 40; ++id) {
            const Time now = Start + Duration(static_cast<std::int64_t>(id) * 100);
            cr_assert_not(client.request(AdmissionId(id), accountOf(team.name), *team.limit, Cost, Nodes, now).has_value());
            client.onIssuerUnknown(accountOf(team.name), now);
            for (const AdmissionDecision &decision : client.step(now).decisions) {
                spent += std::holds_alternative<Admitted>(decision.admission) ? Cost : 0;
            }
        }
    }
    const double rate = withoutOverrun.bucketRate(*team.limit);
    cr_assert(spent >= 2 * rate && spent <= 3 * rate, "%f at %f a second", spent, rate);
}

// Guards against refused callers that are told to return at the same time, when the credit suffices for one of them.
Test(teamcredit, refusedRequestsGetTurnsOneAfterTheOther)
{
    IssuerFixture fixture;
    fixture.ask("a", query(1, 1250));
    const Duration first = fixture.ask("a", query(2, 500)).retryAfter;
    const Duration second = fixture.ask("b", query(1, 500)).retryAfter;
    const Duration third = fixture.ask("c", query(1, 500)).retryAfter;
    cr_assert(first == Duration(500) && second == Duration(1000) && third == Duration(1500));
    // Turns that nobody can wait for are not promised.
    for (std::uint64_t i = 1; i <= 100; ++i) {
        cr_assert_leq(fixture.ask("d", query(i, 500)).retryAfter.milliseconds(), 10'000);
    }
}
