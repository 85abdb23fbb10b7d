#include "main/entry/creditlimiter.h"

#include <random>
#include <utility>

namespace ApricotStep
{

struct CreditLimiter::Private : std::enable_shared_from_this<CreditLimiter::Private>
{
    IoLoop &loop;
    Callbacks callbacks;
    CreditClient client;
    CreditIssuer issuer;
    TimerId timer = 0;
    bool isStepping = false;

    Private(IoLoop &loop, TeamCreditLimits limits, Callbacks callbacks)
        : loop(loop)
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
void CreditLimiter::Private::step()
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
            for (const CreditAccount &account : callbacks.sendQueries(steps.queries)) {
                client.onIssuerUnknown(account, now());
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

CreditLimiter::CreditLimiter(IoLoop &loop, TeamCreditLimits limits, Callbacks callbacks)
    : d(std::make_shared<Private>(loop, limits, std::move(callbacks)))
{
}

CreditLimiter::~CreditLimiter() = default;

std::optional<Admission> CreditLimiter::admit(AdmissionId id, const CreditAccount &account, const TeamLimit &limit, double cost)
{
    auto admission = d->client.request(id, account, limit, cost, d->callbacks.fleetSize(), d->now());
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

void CreditLimiter::cancel(const CreditAccount &account, AdmissionId id)
{
    d->client.cancel(account, id);
}

void CreditLimiter::giveBack(const CreditAccount &account, double cost, Time admittedAt)
{
    d->callbacks.onCredit(account, "returned", cost);
    d->client.giveBack(account, cost, admittedAt, d->now());
}

void CreditLimiter::onGrants(const std::vector<CreditGrant> &grants)
{
    for (const CreditGrant &grant : grants) {
        d->client.onGrant(grant, d->now());
    }
    d->step();
}

void CreditLimiter::hold(std::uint64_t shard, FencingToken term)
{
    d->issuer.hold(shard, term, d->now());
}

std::optional<CreditGrant> CreditLimiter::answer(std::uint64_t shard, const NodeId &from, Incarnation incarnation, const CreditQuery &query)
{
    const auto known = d->callbacks.limitOf(query.account);
    if (!known) {
        return std::nullopt;
    }
    if (!known->limit) {
        return CreditGrant { query.account, query.sequence, query.needed, Duration(0) };
    }
    auto grant = d->issuer.answer(shard, from, incarnation, query, *known->limit, d->now());
    if (grant) {
        d->callbacks.onCredit(query.account, "issued", grant->amount);
    }
    return grant;
}

} // namespace ApricotStep
