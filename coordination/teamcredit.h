#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "state/team.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ApricotStep
{

// A team's limit holds over the whole fleet, and every node admits the team's requests. With a fixed share at each of a hundred nodes, a
// small team could not run a single long request anywhere. If the nodes only told each other what has run, a team that suddenly sends eight
// times its limit would run several times what it may before they know. Therefore one node issues the credit of a team: the holder of a
// lease that a majority of the fleet grants, so that no two nodes issue for one team at the same time, whatever they believe. The others
// ask it for the cost of a request when that arrives, and for some more in advance while the team is far below its limit, so that busy
// nodes do not ask for every request. Credit expires soon after it was asked for, so what runs within a window was issued within little
// more than the window. A new issuer starts with an empty bucket, as if the former one had just issued everything. A node that reaches no
// issuer spends an amount of its own, of which all nodes together have half of what else a limit may be exceeded by. That is less than one
// request costs in a large fleet, so a node admits a request with the probability that its amount is of the cost: together the nodes admit
// as much as if they shared one amount. While the whole fleet starts there is no issuer at all, so nodes that have just started also spend
// their part of the rate.
//
// The limit that an upstream states for its requests is kept in the same way: shares of the nodes would be far less than one request each.

struct TeamCreditLimits
{
    /** The window in which the fleet must keep a limit, and by which share and how many units it may exceed it. */
    Duration window = Duration::seconds(8);
    double overrun = 0;
    double reserve = 0;
    /** Between two sendings of a query; datagrams between zones take a few milliseconds. */
    Duration retryInterval { 60 };
    int maxTries = 3;
    /** For this long after its start a node that has met no issuer spends its part of the rate. */
    Duration startupTime { 2500 };
    /** A node asks for this much of its recent demand in advance. */
    Duration lead { 500 };
    /** The assumed size of the fleet at a node that does not know it yet. */
    int maxFleetSize = 400;

    /** How long issued credit may be spent. */
    Duration creditLifetime() const;
    /** The capacity of an issuer's bucket. */
    double bucketCapacity(const TeamLimit &limit) const;
    /** The rate at which an issuer's bucket fills, in units per second. */
    double bucketRate(const TeamLimit &limit) const;
    /** What one of @p nodes may spend on average in a window without an issuer. */
    double ownAllowance(const TeamLimit &limit, int nodes) const;
};

/** Whose limit is shared out as credit: a team, or one start of an upstream. */
struct CreditAccount
{
    enum class Kind {
        Team,
        Upstream,
    };
    Kind kind = Kind::Team;
    /** The team's name or the upstream's id. */
    std::string name;
    /** The start of the upstream; 0 for a team. */
    std::int64_t startedAt = 0;

    auto operator<=>(const CreditAccount &) const = default;

    template<typename H>
    friend H AbslHashValue(H state, const CreditAccount &account)
    {
        return H::combine(std::move(state), account.kind, account.name, account.startedAt);
    }
};

CreditAccount accountOf(const TeamName &team);
CreditAccount accountOf(const UpstreamId &upstream, std::int64_t startedAt);

/** A question of a node to the issuer of an account's credit. */
struct CreditQuery
{
    CreditAccount account;
    /** Increases with each query of a node's process; a repeated query has the same number. */
    std::uint64_t sequence = 0;
    /** The cost of all requests that wait for credit, and that of the cheapest of them. */
    double needed = 0;
    double cheapest = 0;
    /** What the node expects to need soon. */
    double ahead = 0;

    bool operator==(const CreditQuery &) const = default;
};

/** The issuer's answer. */
struct CreditGrant
{
    CreditAccount account;
    std::uint64_t sequence = 0;
    double amount = 0;
    /** Until the account's credit suffices for the requests that were not granted, after those refused before; zero if all were granted. */
    Duration retryAfter;

    bool operator==(const CreditGrant &) const = default;
};

/** Issues the credit of the accounts whose lease this node holds. Not thread-safe. */
class CreditIssuer
{
public:
    explicit CreditIssuer(TeamCreditLimits limits);

    /**
     * This node has held the lease of @p shard since it got it under the token @p term; to be called when it gets it, and repeatedly while
     * it holds it.
     */
    void hold(std::uint64_t shard, FencingToken term, Time now);
    /** Answers a query; only while this node holds the lease of @p shard. Returns nothing for a query that is older than the last one. */
    std::optional<CreditGrant> answer(
        std::uint64_t shard, const NodeId &from, Incarnation incarnation, const CreditQuery &query, const TeamLimit &limit, Time now);

private:
    struct Bucket
    {
        double level = 0;
        Time updatedAt;
        FencingToken term;
        /** Callers that were refused have been told to return before this time, one after the other. */
        Time promisedUntil;
    };
    struct Term
    {
        FencingToken token;
        Time since;
    };
    struct LastAnswer
    {
        Incarnation incarnation;
        CreditGrant grant;
        Time at;
    };

    void fill(Bucket &bucket, const Term &term, const TeamLimit &limit, Time now) const;
    Duration retryAfter(Bucket &bucket, double cost, const TeamLimit &limit, Time now) const;
    void removeOldAnswers(Time now);

    TeamCreditLimits m_limits;
    absl::flat_hash_map<std::uint64_t, Term> m_terms;
    absl::flat_hash_map<CreditAccount, Bucket> m_buckets;
    absl::flat_hash_map<std::pair<NodeId, CreditAccount>, LastAnswer> m_lastAnswers;
    Time m_cleanedAt;
};

/** Identifies a request that waits for credit. */
using AdmissionId = StrongNumber<struct AdmissionIdTag>;

/** The request may run. */
struct Admitted
{
};
/** The request exceeds the limit. */
struct BeyondLimit
{
    /** Until the credit suffices for the request. */
    Duration retryAfter;
};
/** No issuer answers, and this node may admit nothing more on its own. */
struct IssuerUnreachable
{
};
using Admission = std::variant<Admitted, BeyondLimit, IssuerUnreachable>;

/** The decision on a request that has waited for credit. */
struct AdmissionDecision
{
    AdmissionId request;
    Admission admission;
};

/** What a node should do next about credit. */
struct CreditSteps
{
    /** To be sent to the issuers of their accounts. */
    std::vector<CreditQuery> queries;
    std::vector<AdmissionDecision> decisions;
    /** When to call step() again, unless something happens before. */
    Time nextAt = Time::never();
};

/** Admits requests that have a limit at one node. Not thread-safe. */
class CreditClient
{
public:
    /** @p seed: nodes with different seeds spread the callers that they refuse. */
    CreditClient(TeamCreditLimits limits, std::uint64_t seed, Time startedAt);

    /**
     * Admits a request of @p cost at once if this node has the credit. Otherwise the request waits, and step() returns the decision.
     * @p nodes: the size of the fleet; empty if this node does not know it.     */
    std::optional<Admission> request(
        AdmissionId id, const CreditAccount &account, const TeamLimit &limit, double cost, std::optional<int> nodes, Time now);
    /** A request that was admitted at @p admittedAt did not run; its credit may be spent again while it is valid. */
    void giveBack(const CreditAccount &account, double cost, Time admittedAt, Time now);
    /** The caller of a waiting request has left. */
    void cancel(const CreditAccount &account, AdmissionId id);
    void onGrant(const CreditGrant &grant, Time now);
    /** No node is known to issue the account's credit. */
    void onIssuerUnknown(const CreditAccount &account, Time now);
    /** Returns the queries that are due and the decisions since the last call. */
    CreditSteps step(Time now);

private:
    struct Waiting
    {
        AdmissionId id;
        double cost = 0;
        /** The query that asked for it; 0 if none has yet. */
        std::uint64_t sequence = 0;
    };
    struct Account
    {
        double credit = 0;
        Time creditExpiresAt;
        std::deque<Waiting> waiting;
        /** The query that waits for an answer, if its sequence is not 0. */
        CreditQuery query;
        Time askedAt;
        Time nextTryAt;
        int tries = 0;
        /** What may be spent without an issuer. */
        double ownCredit = 0;
        Time ownSpentAt;
        /** Until when the part of the rate has been added to ownCredit. */
        Time rateAddedAt;
        /** The requests of the current and the previous second. */
        double recentCost = 0;
        int recentCount = 0;
        double previousCost = 0;
        int previousCount = 0;
        Time secondStartedAt;
        Time usedAt;
    };

    void countDemand(Account &account, double cost, Time now) const;
    void refillOwnCredit(Account &account, const TeamLimit &limit, std::optional<int> nodes, Time now) const;
    bool takeOwnCredit(Account &account, double cost, Time now);
    void ask(const CreditAccount &id, Account &account, Time now);
    void giveUp(Account &account, Time now);

    TeamCreditLimits m_limits;
    absl::flat_hash_map<CreditAccount, Account> m_accounts;
    std::vector<AdmissionDecision> m_decisions;
    std::uint64_t m_lastSequence = 0;
    Time m_startedAt;
    bool m_hasMetIssuer = false;
    std::mt19937_64 m_random;
};

} // namespace ApricotStep
