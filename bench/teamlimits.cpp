// Compares ways to keep a team's limit over a whole fleet, on the same requests: how far the worst window exceeds what is allowed, which
// part of the requests that are within the limit is refused, and how many messages a request costs.

#include "coordination/teamcredit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace ApricotStep;

namespace
{

constexpr double WindowS = 8;
constexpr double Overrun = 0.25;
constexpr double Reserve = 110'000;
constexpr Duration DayLength = Duration::seconds(30);
constexpr Time DayStart { 1'000'000 };
constexpr Duration Delay { 2 };
constexpr Duration GossipInterval { 400 };
constexpr Duration TimeToNewIssuer = Duration::seconds(2);
constexpr double RequestsPerNode = 4;
constexpr double LimitPerUse = 1.8;

enum class Scenario { Calm, HotTeam, HotTeamAndCut, AllRestarted, LimitLowered };

struct Arrival
{
    Time at;
    int team = 0;
    int node = 0;
    double cost = 0;
    bool isOwed = false;
};

struct World
{
    int nodes = 0;
    Scenario scenario = Scenario::Calm;
    std::vector<Team> teams;
    std::vector<Team> loweredTeams;
    std::vector<Arrival> arrivals;

    bool isCut(int node, Time now) const
    {
        return scenario == Scenario::HotTeamAndCut && node % 3 == 0 && now >= DayStart + Duration::seconds(10)
            && now < DayStart + Duration::seconds(20);
    }
    bool isRestartAt(Time now) const
    {
        return scenario == Scenario::AllRestarted && now >= DayStart + Duration::seconds(12);
    }
    const Team &team(int index, Time now) const
    {
        const bool isLowered = scenario == Scenario::LimitLowered && now >= DayStart + Duration::seconds(12);
        return (isLowered ? loweredTeams : teams)[static_cast<std::size_t>(index)];
    }
};

/** A bucket that starts full. */
struct Bucket
{
    double level = -1;
    Time updatedAt;

    bool take(double rate, double capacity, double cost, Time now)
    {
        level = level < 0 && updatedAt == Time() ? capacity : std::min(capacity, level + rate * (now - updatedAt).toSeconds());
        updatedAt = now;
        if (level < std::min(cost, capacity)) {
            return false;
        }
        level -= cost;
        return true;
    }
};

World makeWorld(int nodes, int teams, Scenario scenario, std::uint64_t seed)
{
    World world;
    world.nodes = nodes;
    world.scenario = scenario;
    std::mt19937_64 random(seed);
    double sum = 0;
    for (int i = 1; i <= teams; ++i) {
        sum += 1.0 / i;
    }
    constexpr double MeanCost = (9300 + 1100 + 200) / 3.0;
    for (int i = 0; i < teams; ++i) {
        const double rate = RequestsPerNode * nodes / (i + 1) / sum;
        Team team;
        team.name = TeamName("t" + std::to_string(i));
        team.limit = TeamLimit { LimitUnit::Tokens, rate * MeanCost * LimitPerUse, rate * MeanCost * LimitPerUse, 200 };
        world.teams.push_back(team);
        team.limit->ratePerSecond *= 0.2;
        team.limit->burst *= 0.2;
        world.loweredTeams.push_back(team);
        const bool isHot = i == 1 && (scenario == Scenario::HotTeam || scenario == Scenario::HotTeamAndCut);
        for (double at = 0; at < DayLength.toSeconds();) {
            const double factor = isHot && at >= 8 && at < 18 ? 7.5 : 1;
            at += std::exponential_distribution<double>(rate * factor)(random);
            constexpr double Costs[] = { 9300, 1100, 200 };
            world.arrivals.push_back(Arrival { DayStart + Duration(static_cast<std::int64_t>(at * 1000)), i,
                std::uniform_int_distribution<int>(0, nodes - 1)(random), Costs[std::uniform_int_distribution<int>(0, 2)(random)] });
        }
    }
    std::sort(world.arrivals.begin(), world.arrivals.end(), [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    std::vector<Bucket> ideal(world.teams.size());
    for (Arrival &arrival : world.arrivals) {
        const TeamLimit &limit = *world.team(arrival.team, arrival.at).limit;
        arrival.isOwed = ideal[static_cast<std::size_t>(arrival.team)].take(limit.ratePerSecond, limit.burst, arrival.cost, arrival.at);
    }
    return world;
}

struct Run
{
    Time at;
    double cost = 0;
};

/** What a way did with the requests of a day. */
struct Outcome
{
    std::vector<bool> isAdmitted;
    std::vector<Time> admittedAt;
    double messages = 0;
};

double worstWindow(const World &world, const Outcome &outcome)
{
    double worst = 0;
    for (std::size_t team = 0; team < world.teams.size(); ++team) {
        std::vector<Run> runs;
        for (std::size_t i = 0; i < world.arrivals.size(); ++i) {
            if (world.arrivals[i].team == static_cast<int>(team) && outcome.isAdmitted[i]) {
                runs.push_back(Run { outcome.admittedAt[i], world.arrivals[i].cost });
            }
        }
        std::sort(runs.begin(), runs.end(), [](const Run &a, const Run &b) { return a.at < b.at; });
        double sum = 0;
        std::size_t first = 0;
        for (const Run &run : runs) {
            sum += run.cost;
            while ((run.at - runs[first].at).toSeconds() > WindowS) {
                sum -= runs[first++].cost;
            }
            // A lowered limit binds only one window after it.
            const Time from = runs[first].at;
            const TeamLimit &limit =
                *world.team(static_cast<int>(team), from - Duration::seconds(static_cast<std::int64_t>(WindowS))).limit;
            worst = std::max(worst, sum / ((limit.ratePerSecond * WindowS + limit.burst) * (1 + Overrun) + Reserve));
        }
    }
    return worst;
}

double refusedOwed(const World &world, const Outcome &outcome)
{
    double owed = 0;
    double refused = 0;
    for (std::size_t i = 0; i < world.arrivals.size(); ++i) {
        owed += world.arrivals[i].isOwed ? 1 : 0;
        refused += world.arrivals[i].isOwed && !outcome.isAdmitted[i] ? 1 : 0;
    }
    return refused / std::max(owed, 1.0);
}

Outcome emptyOutcome(const World &world)
{
    Outcome outcome;
    outcome.isAdmitted.resize(world.arrivals.size());
    outcome.admittedAt.resize(world.arrivals.size());
    return outcome;
}

/** Each node has a fixed share. */
Outcome fixedShare(const World &world)
{
    Outcome outcome = emptyOutcome(world);
    std::map<std::pair<int, int>, Bucket> buckets;
    bool isRestarted = false;
    for (std::size_t i = 0; i < world.arrivals.size(); ++i) {
        const Arrival &arrival = world.arrivals[i];
        if (world.isRestartAt(arrival.at) && !std::exchange(isRestarted, true)) {
            buckets.clear();
        }
        const TeamLimit &limit = *world.team(arrival.team, arrival.at).limit;
        outcome.isAdmitted[i] = buckets[{ arrival.node, arrival.team }].take(
            limit.ratePerSecond / world.nodes, (limit.burst * (1 + Overrun) + Reserve) / world.nodes, arrival.cost, arrival.at);
        outcome.admittedAt[i] = arrival.at;
    }
    return outcome;
}

/** Each node knows what the others have admitted, some time later. */
Outcome sharedCounts(const World &world)
{
    Outcome outcome = emptyOutcome(world);
    struct Entry
    {
        Time at;
        int node;
        double cost;
    };
    std::vector<std::deque<Entry>> admitted(world.teams.size());
    Time restartedAt;
    for (std::size_t i = 0; i < world.arrivals.size(); ++i) {
        const Arrival &arrival = world.arrivals[i];
        if (world.isRestartAt(arrival.at) && restartedAt == Time()) {
            restartedAt = arrival.at;
        }
        const TeamLimit &limit = *world.team(arrival.team, arrival.at).limit;
        auto &entries = admitted[static_cast<std::size_t>(arrival.team)];
        // A sliding window of what this node knows.
        double known = 0;
        for (const Entry &entry : entries) {
            const bool isOld = (arrival.at - entry.at).toSeconds() > WindowS;
            const bool isReported = entry.node == arrival.node
                || (entry.at + GossipInterval <= arrival.at && !world.isCut(entry.node, entry.at + GossipInterval)
                    && !world.isCut(arrival.node, entry.at + GossipInterval));
            known += !isOld && isReported && entry.at >= restartedAt ? entry.cost : 0;
        }
        while (!entries.empty() && (arrival.at - entries.front().at).toSeconds() > WindowS) {
            entries.pop_front();
        }
        // A request that costs more than a window allows runs when nothing else has.
        outcome.isAdmitted[i] = known == 0 || known + arrival.cost <= limit.ratePerSecond * WindowS + limit.burst;
        outcome.admittedAt[i] = arrival.at;
        if (outcome.isAdmitted[i]) {
            entries.push_back(Entry { arrival.at, arrival.node, arrival.cost });
        }
    }
    outcome.messages = DayLength.toSeconds() / GossipInterval.toSeconds() * world.nodes * (world.nodes - 1);
    return outcome;
}

/** One node issues the credit of each team; @p lead: how much of its recent demand a node asks for in advance. */
class IssuedCredit
{
public:
    IssuedCredit(const World &world, Duration lead)
        : m_world(world)
        , m_outcome(emptyOutcome(world))
    {
        m_limits.overrun = Overrun;
        m_limits.reserve = Reserve;
        m_limits.lead = lead;
        m_issuer = std::make_unique<CreditIssuer>(m_limits);
        m_issuer->hold(0, FencingToken(1), DayStart - Duration::seconds(10));
        start(DayStart - Duration::seconds(60));
    }
    Outcome run()
    {
        for (std::size_t i = 0; i < m_world.arrivals.size(); ++i) {
            m_events.emplace(m_world.arrivals[i].at, [this, i] { arrive(i); });
        }
        if (m_world.scenario == Scenario::AllRestarted) {
            m_events.emplace(DayStart + Duration::seconds(12), [this] {
                start(m_now);
                m_issuer.reset();
            });
            m_events.emplace(DayStart + Duration::seconds(12) + TimeToNewIssuer, [this] {
                m_issuer = std::make_unique<CreditIssuer>(m_limits);
                m_issuer->hold(0, FencingToken(2), m_now);
            });
        }
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
        }
        return m_outcome;
    }

private:
    void start(Time at)
    {
        m_clients.clear();
        for (int node = 0; node < m_world.nodes; ++node) {
            m_clients.emplace_back(m_limits, static_cast<std::uint64_t>(node) * 7919 + 13, at);
        }
        m_incarnation = m_incarnation + Incarnation(1);
    }
    void arrive(std::size_t index)
    {
        const Arrival &arrival = m_world.arrivals[index];
        CreditClient &client = m_clients[static_cast<std::size_t>(arrival.node)];
        const Team &team = m_world.team(arrival.team, m_now);
        const auto admission = client.request(AdmissionId(index), accountOf(team.name), *team.limit, arrival.cost, m_world.nodes, m_now);
        if (admission) {
            m_outcome.isAdmitted[index] = std::holds_alternative<Admitted>(*admission);
            m_outcome.admittedAt[index] = m_now;
        }
        step(arrival.node);
    }
    void step(int node)
    {
        CreditClient &client = m_clients[static_cast<std::size_t>(node)];
        const CreditSteps steps = client.step(m_now);
        for (const AdmissionDecision &decision : steps.decisions) {
            m_outcome.isAdmitted[decision.request.value()] = std::holds_alternative<Admitted>(decision.admission);
            m_outcome.admittedAt[decision.request.value()] = m_now;
        }
        for (const CreditQuery &query : steps.queries) {
            send(node, query);
        }
        if (steps.nextAt != Time::never()) {
            m_events.emplace(steps.nextAt, [this, node] { step(node); });
        }
    }
    void send(int node, const CreditQuery &query)
    {
        ++m_outcome.messages;
        if (m_world.isCut(node, m_now)) {
            return;
        }
        m_events.emplace(m_now + Delay, [this, node, query, incarnation = m_incarnation] {
            const int team = std::stoi(query.account.name.substr(1));
            const auto grant = m_issuer != nullptr
                ? m_issuer->answer(0, NodeId(std::to_string(node)), incarnation, query, *m_world.team(team, m_now).limit, m_now)
                : std::nullopt;
            if (!grant) {
                return;
            }
            ++m_outcome.messages;
            m_events.emplace(m_now + Delay, [this, node, granted = *grant, incarnation] {
                if (incarnation == m_incarnation) {
                    m_clients[static_cast<std::size_t>(node)].onGrant(granted, m_now);
                    step(node);
                }
            });
        });
    }

    const World &m_world;
    Outcome m_outcome;
    TeamCreditLimits m_limits;
    std::unique_ptr<CreditIssuer> m_issuer;
    std::vector<CreditClient> m_clients;
    Incarnation m_incarnation;
    std::multimap<Time, std::function<void()>> m_events;
    Time m_now = DayStart;
};

void print(const char *way, const World &world, const Outcome &outcome)
{
    std::printf("    %-34s worst window %5.2f of what is allowed; refused %6.2f%% of what is within the limit; %6.2f messages a request\n",
        way, worstWindow(world, outcome), refusedOwed(world, outcome) * 100, outcome.messages / static_cast<double>(world.arrivals.size()));
}

} // namespace

int main()
{
    constexpr const char *Names[] = { "calm", "one team at 7.5 times its use", "the same, a third of the nodes cut off",
        "all nodes restarted", "limits lowered to a third of the use" };
    for (const int nodes : { 12, 118, 400 }) {
        for (const int teams : { 16, 1000 }) {
            for (int scenario = 0; scenario < 5; ++scenario) {
                const World world = makeWorld(nodes, teams, static_cast<Scenario>(scenario), 42);
                std::printf("%d nodes, %d teams, %s: %zu requests\n", nodes, teams, Names[scenario], world.arrivals.size());
                print("a fixed share a node", world, fixedShare(world));
                print("counts shared every 400 ms", world, sharedCounts(world));
                print("one issuer, each request", world, IssuedCredit(world, Duration(0)).run());
                print("one issuer, 0.5 s in advance", world, IssuedCredit(world, Duration(500)).run());
            }
        }
    }
    return 0;
}
