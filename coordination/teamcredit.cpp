#include "coordination/teamcredit.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr Duration MinCreditLifetime { 250 };
// Requests of a second that make it worth asking in advance.
constexpr int MinCountForAhead = 2;
// An issuer gives credit in advance only out of what its bucket holds beyond this share.
constexpr double ReservedShare = 0.5;
// A node asks again within a fraction of a second; answers of this age are never asked for again.
constexpr Duration AnswerLifetime = Duration::seconds(10);
constexpr Duration AccountLifetime = Duration::seconds(30);
// Callers wait less than this for a turn.
constexpr Duration MaxPromise = Duration::seconds(10);
constexpr double MinRate = 1e-6;

Duration fromSeconds(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1000));
}

} // namespace

CreditAccount accountOf(const TeamName &team)
{
    return CreditAccount { CreditAccount::Kind::Team, team.value(), 0 };
}

CreditAccount accountOf(const UpstreamId &upstream, std::int64_t startedAt)
{
    return CreditAccount { CreditAccount::Kind::Upstream, upstream.value(), startedAt };
}

// A quarter of what the window allows beyond the rate; the rest covers what nodes spend without an issuer.
Duration TeamCreditLimits::creditLifetime() const
{
    return std::max(MinCreditLifetime, fromSeconds(window.toSeconds() * overrun / 4));
}

double TeamCreditLimits::bucketCapacity(const TeamLimit &limit) const
{
    return limit.burst * (1 + overrun);
}

double TeamCreditLimits::bucketRate(const TeamLimit &limit) const
{
    const double allowed = window.toSeconds() * (1 + overrun);
    const double issuedIn = window.toSeconds() + creditLifetime().toSeconds();
    return limit.ratePerSecond * std::min(1.0, allowed / issuedIn);
}

double TeamCreditLimits::ownAllowance(const TeamLimit &limit, int nodes) const
{
    const double allowed = window.toSeconds() * (1 + overrun) * limit.ratePerSecond;
    const double issued = (window + creditLifetime()).toSeconds() * bucketRate(limit);
    // How much the nodes admit together varies, since each decides by chance; half of what is allowed leaves room for that.
    return (reserve + std::max(allowed - issued, 0.0)) / 2 / std::max(nodes, 1);
}

CreditIssuer::CreditIssuer(TeamCreditLimits limits)
    : m_limits(limits)
{
}

void CreditIssuer::hold(std::uint64_t shard, FencingToken term, Time now)
{
    Term &held = m_terms[shard];
    if (held.token != term) {
        held = Term { term, now };
    }
}

void CreditIssuer::fill(Bucket &bucket, const Term &term, const TeamLimit &limit, Time now) const
{
    if (bucket.term != term.token) {
        bucket = Bucket { 0, term.since, term.token };
    }
    const double added = (now - bucket.updatedAt).toSeconds() * m_limits.bucketRate(limit);
    bucket.level = std::min(bucket.level + added, m_limits.bucketCapacity(limit));
    bucket.updatedAt = now;
}

std::optional<CreditGrant> CreditIssuer::answer(
    std::uint64_t shard, const NodeId &from, Incarnation incarnation, const CreditQuery &query, const TeamLimit &limit, Time now)
{
    const auto term = m_terms.find(shard);
    if (term == m_terms.end() || !(query.needed >= 0) || !(query.ahead >= 0)) {
        return std::nullopt;
    }
    removeOldAnswers(now);
    LastAnswer &last = m_lastAnswers[std::pair(from, query.account)];
    if (last.incarnation == incarnation && last.grant.sequence >= query.sequence) {
        return last.grant.sequence == query.sequence ? std::optional(last.grant) : std::nullopt;
    }
    Bucket &bucket = m_buckets[query.account];
    fill(bucket, term->second, limit, now);
    const double capacity = m_limits.bucketCapacity(limit);
    CreditGrant grant { query.account, query.sequence, 0, Duration(0) };
    // A request that costs more than the bucket holds runs when the bucket is full, and is paid off afterwards.
    const double threshold = std::min(query.cheapest, capacity);
    if (bucket.level >= threshold) {
        grant.amount = std::max(std::min(query.needed, bucket.level), query.cheapest);
        const double spare = bucket.level - grant.amount - capacity * ReservedShare;
        grant.amount += std::clamp(spare, 0.0, query.ahead);
    }
    bucket.level -= grant.amount;
    if (grant.amount < query.needed) {
        grant.retryAfter = retryAfter(bucket, query.needed - grant.amount, limit, now);
    }
    last = LastAnswer { incarnation, grant, now };
    return grant;
}

// Refused callers get turns one after the other. If each were told when the bucket bears its own request, all that were refused within that
// time would return at its end, and all but one would be refused again.
Duration CreditIssuer::retryAfter(Bucket &bucket, double cost, const TeamLimit &limit, Time now) const
{
    const double rate = std::max(m_limits.bucketRate(limit), MinRate);
    const double missing = std::min(cost, m_limits.bucketCapacity(limit)) - std::max(bucket.level, 0.0);
    const Time soonest = now + std::max(fromSeconds(missing / rate), Duration(1));
    const Time turn = std::min(std::max(soonest, bucket.promisedUntil), now + MaxPromise);
    bucket.promisedUntil = turn + fromSeconds(cost / rate);
    return turn - now;
}

void CreditIssuer::removeOldAnswers(Time now)
{
    if (now - m_cleanedAt < AnswerLifetime) {
        return;
    }
    m_cleanedAt = now;
    absl::erase_if(m_lastAnswers, [now](const auto &entry) { return now - entry.second.at > AnswerLifetime; });
}

CreditClient::CreditClient(TeamCreditLimits limits, std::uint64_t seed, Time startedAt)
    : m_limits(limits)
    , m_startedAt(startedAt)
    , m_random(seed)
{
}

void CreditClient::countDemand(Account &account, double cost, Time now) const
{
    const Duration elapsed = now - account.secondStartedAt;
    if (elapsed >= Duration::seconds(1)) {
        const bool isNextSecond = elapsed < Duration::seconds(2);
        account.previousCost = isNextSecond ? account.recentCost : 0;
        account.previousCount = isNextSecond ? account.recentCount : 0;
        account.recentCost = 0;
        account.recentCount = 0;
        account.secondStartedAt = now;
    }
    account.recentCost += cost;
    ++account.recentCount;
}

void CreditClient::refillOwnCredit(Account &account, const TeamLimit &limit, std::optional<int> nodes, Time now) const
{
    // All at once, a window after the last use: otherwise one window could contain what was left and what was added.
    if (account.ownSpentAt == Time() || now - account.ownSpentAt >= m_limits.window) {
        account.ownCredit = m_limits.ownAllowance(limit, nodes.value_or(m_limits.maxFleetSize));
    }
    const Time from = std::max(account.rateAddedAt, m_startedAt);
    const Time until = std::min(now, m_startedAt + m_limits.startupTime);
    if (!m_hasMetIssuer && from < until) {
        account.ownCredit += m_limits.bucketRate(limit) * (until - from).toSeconds() / std::max(nodes.value_or(m_limits.maxFleetSize), 1);
        account.rateAddedAt = until;
    }
}

bool CreditClient::takeOwnCredit(Account &account, double cost, Time now)
{
    const double taken = std::min(account.ownCredit, cost);
    account.ownCredit -= taken;
    if (taken > 0) {
        account.ownSpentAt = now;
    }
    return taken > 0 && std::uniform_real_distribution<double>(0, cost)(m_random) < taken;
}

std::optional<Admission> CreditClient::request(
    AdmissionId id, const CreditAccount &accountId, const TeamLimit &limit, double cost, std::optional<int> nodes, Time now)
{
    Account &account = m_accounts[accountId];
    account.usedAt = now;
    countDemand(account, cost, now);
    refillOwnCredit(account, limit, nodes, now);
    if (account.waiting.empty() && now < account.creditExpiresAt && account.credit >= cost) {
        account.credit -= cost;
        return Admitted {};
    }
    account.waiting.push_back(Waiting { id, cost, 0 });
    ask(accountId, account, now);
    return std::nullopt;
}

void CreditClient::ask(const CreditAccount &id, Account &account, Time now)
{
    if (account.query.sequence != 0 || account.waiting.empty()) {
        return;
    }
    CreditQuery query { id, ++m_lastSequence, 0, account.waiting.front().cost, 0 };
    for (Waiting &waiting : account.waiting) {
        waiting.sequence = query.sequence;
        query.needed += waiting.cost;
        query.cheapest = std::min(query.cheapest, waiting.cost);
    }
    const int count = std::max(account.recentCount, account.previousCount);
    if (count >= MinCountForAhead) {
        query.ahead = std::max(account.recentCost, account.previousCost) * m_limits.lead.toSeconds();
    }
    account.query = query;
    account.askedAt = now;
    account.nextTryAt = now;
    account.tries = 0;
}

void CreditClient::giveBack(const CreditAccount &accountId, double cost, Time admittedAt, Time now)
{
    const auto at = m_accounts.find(accountId);
    const Time expiresAt = admittedAt + m_limits.creditLifetime();
    // Only while credit of that time could still be unspent; otherwise more could run in one window than was issued in it.
    if (at == m_accounts.end() || now >= expiresAt) {
        return;
    }
    Account &account = at->second;
    const bool hasCredit = account.credit > 0 && now < account.creditExpiresAt;
    account.credit = (hasCredit ? account.credit : 0) + cost;
    account.creditExpiresAt = hasCredit ? std::min(account.creditExpiresAt, expiresAt) : expiresAt;
}

void CreditClient::cancel(const CreditAccount &accountId, AdmissionId id)
{
    const auto at = m_accounts.find(accountId);
    if (at == m_accounts.end()) {
        return;
    }
    Account &account = at->second;
    std::erase_if(account.waiting, [id](const Waiting &waiting) { return waiting.id == id; });
    if (account.tries == 0) {
        // The query has not been sent yet, and must not ask for this request.
        account.query = CreditQuery {};
        for (Waiting &waiting : account.waiting) {
            waiting.sequence = 0;
        }
        ask(accountId, account, account.usedAt);
    }
}

void CreditClient::onGrant(const CreditGrant &grant, Time now)
{
    const auto at = m_accounts.find(grant.account);
    if (at == m_accounts.end() || grant.sequence == 0 || at->second.query.sequence != grant.sequence || !(grant.amount >= 0)) {
        return;
    }
    m_hasMetIssuer = true;
    Account &account = at->second;
    const Time expiresAt = account.askedAt + m_limits.creditLifetime();
    account.query = CreditQuery {};
    if (now < expiresAt) {
        const bool hasCredit = account.credit > 0 && now < account.creditExpiresAt;
        account.credit = (hasCredit ? account.credit : 0) + grant.amount;
        account.creditExpiresAt = hasCredit ? std::min(account.creditExpiresAt, expiresAt) : expiresAt;
    }
    std::deque<Waiting> later;
    for (const Waiting &waiting : account.waiting) {
        if (waiting.sequence != grant.sequence) {
            later.push_back(waiting);
        } else if (now < account.creditExpiresAt && account.credit >= waiting.cost) {
            account.credit -= waiting.cost;
            m_decisions.push_back(AdmissionDecision { waiting.id, Admitted {} });
        } else {
            // The requests of one query must not return together.
            const std::int64_t spread = std::uniform_int_distribution<std::int64_t>(0, grant.retryAfter.milliseconds() / 4 + 1)(m_random);
            m_decisions.push_back(AdmissionDecision { waiting.id, BeyondLimit { grant.retryAfter + Duration(spread) } });
        }
    }
    account.waiting = std::move(later);
    ask(grant.account, account, now);
}

void CreditClient::onIssuerUnknown(const CreditAccount &accountId, Time now)
{
    const auto at = m_accounts.find(accountId);
    if (at != m_accounts.end() && at->second.query.sequence != 0) {
        giveUp(at->second, now);
    }
}

void CreditClient::giveUp(Account &account, Time now)
{
    for (const Waiting &waiting : account.waiting) {
        if (takeOwnCredit(account, waiting.cost, now)) {
            m_decisions.push_back(AdmissionDecision { waiting.id, Admitted {} });
        } else {
            m_decisions.push_back(AdmissionDecision { waiting.id, IssuerUnreachable {} });
        }
    }
    account.waiting.clear();
    account.query = CreditQuery {};
    account.usedAt = now;
}

CreditSteps CreditClient::step(Time now)
{
    CreditSteps steps;
    for (auto &[id, account] : m_accounts) {
        if (account.query.sequence == 0) {
            continue;
        }
        if (now >= account.nextTryAt) {
            if (account.tries == m_limits.maxTries) {
                giveUp(account, now);
                continue;
            }
            ++account.tries;
            account.nextTryAt = now + m_limits.retryInterval;
            steps.queries.push_back(account.query);
        }
        steps.nextAt = std::min(steps.nextAt, account.nextTryAt);
    }
    steps.decisions = std::exchange(m_decisions, {});
    absl::erase_if(
        m_accounts, [now](const auto &entry) { return entry.second.waiting.empty() && now - entry.second.usedAt > AccountLifetime; });
    return steps;
}

} // namespace ApricotStep
