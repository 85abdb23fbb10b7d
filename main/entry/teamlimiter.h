#pragma once

#include "coordination/teamcredit.h"
#include "main/entry/clusterstate.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ApricotStep
{

/** Keeps the limits of teams at this node: admits its requests, and issues credit for the teams whose lease it holds. */
class TeamLimiter
{
public:
    struct Callbacks
    {
        /** Sends queries to the nodes that issue the credit of their teams. Returns the teams for which no such node is known. */
        std::function<std::vector<TeamName>(const std::vector<CreditQuery> &)> sendQueries;
        /** Returns the size of the fleet; empty if this node does not know it. */
        std::function<std::optional<int>()> fleetSize;
        /** A request for which admit() returned nothing has been decided. */
        std::function<void(AdmissionId, const Admission &)> onDecided;
    };

    TeamLimiter(IoLoop &loop, EntryMetrics &metrics, ClusterState &clusterState, TeamCreditLimits limits, Callbacks callbacks);
    ~TeamLimiter();

    /** Admits or refuses a request of @p cost at once if possible; otherwise onDecided() follows soon. */
    std::optional<Admission> admit(AdmissionId id, const Team &team, double cost);
    /** The caller of a request that is not decided yet has left. */
    void cancel(const TeamName &team, AdmissionId id);
    /** A request that was admitted at @p admittedAt did not run. */
    void giveBack(const TeamName &team, double cost, Time admittedAt);
    void onGrants(const std::vector<CreditGrant> &grants);

    /** This node holds the lease of the shard; to be called when it gets the lease, and repeatedly while it holds it. */
    void hold(std::uint64_t shard, FencingToken term);
    /** Answers a query for a team of @p shard, whose lease this node holds now. Returns nothing if there is no answer. */
    std::optional<CreditGrant> answer(std::uint64_t shard, const NodeId &from, Incarnation incarnation, const CreditQuery &query);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
