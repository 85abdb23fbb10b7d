#include "coordination/loadpermits.h"

#include "coordination/rendezvous.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr std::string_view IssuerKey = "load-permits";
// Each further request that shares a load counts as if the first one had waited half a second longer, the time of one load at 2 loads a
// second.
constexpr Duration CreditPerRequest { 500 };
// Unspent rate is kept for at most this many loads, since the store serves one load at a time at full speed.
constexpr double MaxTokens = 1.0;
// How long no message is sent to an issuer that could not be reached.
constexpr Duration IssuerRetryDelay { 2000 };

// Urgent, standard, patient, then prefetch.
int rankOf(const std::optional<Priority> &urgency)
{
    return urgency.has_value() ? static_cast<int>(*urgency) : static_cast<int>(PriorityCount);
}

using Ranked = std::tuple<int, Time, PermitName>;

struct Waiting
{
    Ranked place;
    Time lastReceivedAt;
};

} // namespace

NodeId permitIssuerOf(const std::vector<NodeId> &live)
{
    NodeId best;
    double bestScore = 0;
    for (const NodeId &node : live) {
        const double score = rendezvousScore(IssuerKey, node.value(), 1.0);
        if (best.isEmpty() || score > bestScore || (score == bestScore && node < best)) {
            best = node;
            bestScore = score;
        }
    }
    return best;
}

struct PermitIssuer::Private
{
    LoadBudget budget;
    double share = 1.0;
    double tokens = MaxTokens;
    Time refilledAt;
    absl::btree_set<Ranked> order;
    // Number of waiting requests by rank.
    std::array<int, PriorityCount + 1> counts {};
    absl::btree_map<PermitName, Waiting> waiting;
    absl::btree_map<PermitName, Time> inFlight;

    void refill(Time now);
    void removeWaiting(const PermitName &name);
    void removeStale(Time now);
    int parallel() const;
};

void PermitIssuer::Private::refill(Time now)
{
    const double earnedTokens = (now - refilledAt).toSeconds() * budget.ratePerSecond * share;
    tokens = std::min(MaxTokens, tokens + std::max(0.0, earnedTokens));
    refilledAt = now;
}

void PermitIssuer::Private::removeWaiting(const PermitName &name)
{
    const auto at = waiting.find(name);
    if (at != waiting.end()) {
        order.erase(at->second.place);
        --counts[static_cast<std::size_t>(std::get<int>(at->second.place))];
        waiting.erase(at);
    }
}

void PermitIssuer::Private::removeStale(Time now)
{
    while (!order.empty()) {
        const PermitName &first = std::get<PermitName>(*order.begin());
        if (now - waiting.at(first).lastReceivedAt <= budget.requestTimeout) {
            break;
        }
        removeWaiting(PermitName(first));
    }
    for (auto at = inFlight.begin(); at != inFlight.end();) {
        at = at->second <= now ? inFlight.erase(at) : std::next(at);
    }
}

int PermitIssuer::Private::parallel() const
{
    return std::max(1, static_cast<int>(budget.parallel * share));
}

PermitIssuer::PermitIssuer(LoadBudget budget)
    : d(std::make_unique<Private>())
{
    d->budget = budget;
}

PermitIssuer::~PermitIssuer() = default;
PermitIssuer::PermitIssuer(PermitIssuer &&) noexcept = default;
PermitIssuer &PermitIssuer::operator=(PermitIssuer &&) noexcept = default;

void PermitIssuer::setShare(double share, Time now)
{
    d->refill(now);
    d->share = std::clamp(share, 0.0, 1.0);
}

void PermitIssuer::request(const PermitRequest &request, Time now)
{
    if (d->inFlight.contains(request.name)) {
        return;
    }
    d->removeWaiting(request.name);
    const Time since = now - request.waited - CreditPerRequest * std::max(0, request.waiting - 1);
    const Ranked place { rankOf(request.urgency), since, request.name };
    d->order.insert(place);
    ++d->counts[static_cast<std::size_t>(std::get<int>(place))];
    d->waiting[request.name] = { place, now };
}

void PermitIssuer::release(const PermitRelease &released, Time now)
{
    d->refill(now);
    // A withdrawal may cross the grant. The permit is then still issued, and is released separately as unused.
    if (released.end == PermitEnd::Withdrawn) {
        d->removeWaiting(released.name);
        return;
    }
    const bool wasGranted = d->inFlight.erase(released.name) > 0;
    if (wasGranted && released.end == PermitEnd::Unused) {
        d->tokens = std::min(MaxTokens, d->tokens + 1.0);
    }
}

std::vector<PermitGrant> PermitIssuer::grant(Time now)
{
    d->refill(now);
    d->removeStale(now);
    std::vector<PermitGrant> grants;
    while (!d->order.empty() && d->tokens >= 1.0 && std::cmp_less(d->inFlight.size(), d->parallel())) {
        const PermitName name = std::get<PermitName>(*d->order.begin());
        d->removeWaiting(name);
        d->tokens -= 1.0;
        d->inFlight[name] = now + d->budget.permitLifetime;
        grants.push_back({ name, d->budget.permitLifetime });
        d->removeStale(now);
    }
    return grants;
}

Duration PermitIssuer::expectedWait(const std::optional<Priority> &urgency) const
{
    int before = 0;
    for (int rank = 0; rank <= rankOf(urgency); ++rank) {
        before += d->counts[static_cast<std::size_t>(rank)];
    }
    const double rate = std::max(d->budget.ratePerSecond * d->share, 1e-3);
    return Duration(static_cast<std::int64_t>(before / rate * 1000.0));
}

int PermitIssuer::waitingCount() const
{
    return static_cast<int>(d->waiting.size());
}

int PermitIssuer::inFlightCount() const
{
    return static_cast<int>(d->inFlight.size());
}

struct PermitClient::Private
{
    Private(NodeId aSelf, const LoadBudget &aBudget)
        : self(std::move(aSelf))
        , budget(aBudget)
        , localIssuer(aBudget)
    {
    }

    struct Pending
    {
        PermitRequest request;
        Time sentAt;
    };

    NodeId self;
    LoadBudget budget;
    // Replaces the issuer while none answers.
    PermitIssuer localIssuer;
    NodeId issuer;
    Time issuerUnreachableUntil;
    absl::btree_map<PermitName, Pending> pending;

    bool hasIssuer(Time now) const
    {
        return !issuer.isEmpty() && now >= issuerUnreachableUntil;
    }
    void send(const Pending &what, Time now, std::vector<PermitAction> &actions);
    void takeLocalGrants(Time now, std::vector<PermitAction> &actions);
};

void PermitClient::Private::send(const Pending &what, Time now, std::vector<PermitAction> &actions)
{
    PermitRequest request = what.request;
    request.waited = request.waited + (now - what.sentAt);
    if (hasIssuer(now)) {
        actions.emplace_back(SendToIssuer { issuer, request });
    } else {
        localIssuer.request(request, now);
    }
}

void PermitClient::Private::takeLocalGrants(Time now, std::vector<PermitAction> &actions)
{
    if (hasIssuer(now)) {
        return;
    }
    for (const PermitGrant &grant : localIssuer.grant(now)) {
        pending.erase(grant.name);
        actions.emplace_back(PermitReceived { grant.name.upstream, grant.name.adapter, now + grant.lifetime });
    }
}

PermitClient::PermitClient(NodeId self, LoadBudget budget)
    : d(std::make_unique<Private>(std::move(self), budget))
{
}

PermitClient::~PermitClient() = default;
PermitClient::PermitClient(PermitClient &&) noexcept = default;
PermitClient &PermitClient::operator=(PermitClient &&) noexcept = default;

void PermitClient::setFleet(const std::vector<NodeId> &live, int listed, Time now)
{
    const NodeId next = permitIssuerOf(live);
    if (next != d->issuer) {
        d->issuer = next;
        d->issuerUnreachableUntil = Time();
    }
    d->localIssuer.setShare(1.0 / std::max({ 1, listed, static_cast<int>(live.size()) }), now);
}

std::vector<PermitAction> PermitClient::requestPermit(const PermitRequest &request, Time now)
{
    std::vector<PermitAction> actions;
    Private::Pending &pending = d->pending[request.name];
    pending = { request, now };
    d->send(pending, now, actions);
    d->takeLocalGrants(now, actions);
    return actions;
}

std::vector<PermitAction> PermitClient::release(const PermitRelease &released, Time now)
{
    std::vector<PermitAction> actions;
    d->pending.erase(released.name);
    d->localIssuer.release(released, now);
    if (d->hasIssuer(now)) {
        actions.emplace_back(SendToIssuer { d->issuer, released });
    }
    d->takeLocalGrants(now, actions);
    return actions;
}

std::vector<PermitAction> PermitClient::granted(const PermitGrant &grant, Time now)
{
    // A permit that no request waits for any more is released at once; otherwise the store would be idle for its lifetime.
    if (d->pending.erase(grant.name) == 0) {
        return release({ grant.name, PermitEnd::Unused }, now);
    }
    return { PermitReceived { grant.name.upstream, grant.name.adapter, now + grant.lifetime } };
}

void PermitClient::onIssuerReply(bool isReached, Time now)
{
    d->issuerUnreachableUntil = isReached ? Time() : now + IssuerRetryDelay;
}

std::vector<PermitAction> PermitClient::tick(Time now)
{
    std::vector<PermitAction> actions;
    for (auto &[name, pending] : d->pending) {
        if (now - pending.sentAt >= d->budget.requestInterval) {
            d->send(pending, now, actions);
            pending.request.waited = pending.request.waited + (now - pending.sentAt);
            pending.sentAt = now;
        }
    }
    d->takeLocalGrants(now, actions);
    return actions;
}

const NodeId &PermitClient::issuer() const
{
    return d->issuer;
}

} // namespace ApricotStep
