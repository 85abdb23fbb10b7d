#pragma once

#include "coordination/teamcredit.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** The limit of an account; unset if nothing limits it. */
struct AccountLimit
{
    std::optional<TeamLimit> limit;
};

/** Keeps limits of one kind at this node: admits its requests, and issues credit for the accounts whose lease it holds. */
class CreditLimiter
{
public:
    struct Callbacks
    {
        /** Sends queries to the nodes that issue the credit of their accounts. Returns the accounts for which no such node is known. */
        std::function<std::vector<CreditAccount>(const std::vector<CreditQuery> &)> sendQueries;
        /** Returns what limits an account; empty if this node does not know the account. */
        std::function<std::optional<AccountLimit>(const CreditAccount &)> limitOf;
        /** Called when credit is "issued" or "returned". */
        std::function<void(const CreditAccount &, std::string_view what, double amount)> onCredit;
        /** Returns the size of the fleet; empty if this node does not know it. */
        std::function<std::optional<int>()> fleetSize;
        /** A request for which admit() returned nothing has been decided. */
        std::function<void(AdmissionId, const Admission &)> onDecided;
    };

    CreditLimiter(IoLoop &loop, TeamCreditLimits limits, Callbacks callbacks);
    ~CreditLimiter();

    /** Admits or refuses a request of @p cost at once if possible; otherwise onDecided() follows soon. */
    std::optional<Admission> admit(AdmissionId id, const CreditAccount &account, const TeamLimit &limit, double cost);
    /** The caller of a request that is not decided yet has left. */
    void cancel(const CreditAccount &account, AdmissionId id);
    /** A request that was admitted at @p admittedAt did not run. */
    void giveBack(const CreditAccount &account, double cost, Time admittedAt);
    void onGrants(const std::vector<CreditGrant> &grants);

    /** This node holds the lease of the shard; to be called when it gets the lease, and repeatedly while it holds it. */
    void hold(std::uint64_t shard, FencingToken term);
    /** Answers a query for an account of @p shard, whose lease this node holds now. Returns nothing if there is no answer. */
    std::optional<CreditGrant> answer(std::uint64_t shard, const NodeId &from, Incarnation incarnation, const CreditQuery &query);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
