#include "main/entry/teamlimiter.h"

#include <random>
#include <utility>

namespace ApricotStep
{

struct TeamLimiter::Private : std::enable_shared_from_this<TeamLimiter::Private>
{
    IoLoop &loop;
    EntryMetrics &metrics;
    ClusterState &clusterState;
    Callbacks callbacks;
    CreditClient client;
    CreditIssuer issuer;
    TimerId timer = 0;
    bool isStepping = false;

    Private(IoLoop &loop, EntryMetrics &metrics, ClusterState &clusterState, TeamCreditLimits limits, Callbacks callbacks)
        : loop(loop)
        , metrics(metrics)
        , clusterState(clusterState)
        , callbacks(std::move(callbacks))
        , client(limits, std::random_device {}(), loop.clock().now())
        , issuer(limits)
    {
    }

    // Read anew for each decision: credit that expired while the process was suspended must not be spent.
    Time now() const
    {
        return loop.clock().now();
    }
    void step();
};

// An answer may come while the queries are being sent, if this node is the issuer; the loop handles it.
void TeamLimiter::Private::step()
{
    if (std::exchange(isStepping, true)) {
        return;
    }
    loop.cancel(timer);
    for (;;) {
        CreditSteps steps = client.step(now());
        for (const AdmissionDecision &decision : steps.decisions) {
            callbacks.onDecided(decision.request, decision.admission);
        }
        if (!steps.queries.empty()) {
            for (const TeamName &team : callbacks.sendQueries(steps.queries)) {
                client.onIssuerUnknown(team, now());
            }
            continue;
        }
        if (steps.decisions.empty()) {
            if (steps.nextAt != Time::never()) {
                timer = loop.after(steps.nextAt - now(), [weak = weak_from_this()] {
                    if (const auto self = weak.lock()) {
                        self->step();
                    }
                });
            }
            break;
        }
    }
    isStepping = false;
}

TeamLimiter::TeamLimiter(IoLoop &loop, EntryMetrics &metrics, ClusterState &clusterState, TeamCreditLimits limits, Callbacks callbacks)
    : d(std::make_shared<Private>(loop, metrics, clusterState, limits, std::move(callbacks)))
{
}

TeamLimiter::~TeamLimiter() = default;

std::optional<Admission> TeamLimiter::admit(AdmissionId id, const Team &team, double cost)
{
    auto admission = d->client.request(id, team, cost, d->callbacks.fleetSize(), d->now());
    if (!admission) {
        // The caller registers the request only after this function has returned.
        d->loop.after(Duration(0), [weak = std::weak_ptr(d)] {
            if (const auto self = weak.lock()) {
                self->step();
            }
        });
    }
    return admission;
}

void TeamLimiter::cancel(const TeamName &team, AdmissionId id)
{
    d->client.cancel(team, id);
}

void TeamLimiter::giveBack(const TeamName &team, double cost, Time admittedAt)
{
    d->metrics.teamCredit(team, "returned", cost);
    d->client.giveBack(team, cost, admittedAt, d->now());
}

void TeamLimiter::onGrants(const std::vector<CreditGrant> &grants)
{
    for (const CreditGrant &grant : grants) {
        d->client.onGrant(grant, d->now());
    }
    d->step();
}

void TeamLimiter::hold(std::uint64_t shard, FencingToken term)
{
    d->issuer.hold(shard, term, d->now());
}

std::optional<CreditGrant> TeamLimiter::answer(std::uint64_t shard, const NodeId &from, Incarnation incarnation, const CreditQuery &query)
{
    const Team *team = d->clusterState.routes != nullptr ? d->clusterState.routes->team(query.team) : nullptr;
    if (team == nullptr) {
        return std::nullopt;
    }
    if (!team->limit) {
        return CreditGrant { query.team, query.sequence, query.needed, Duration(0) };
    }
    auto grant = d->issuer.answer(shard, from, incarnation, query, *team->limit, d->now());
    if (grant) {
        d->metrics.teamCredit(query.team, "issued", grant->amount);
    }
    return grant;
}

} // namespace ApricotStep
