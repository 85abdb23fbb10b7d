#pragma once

#include "coordination/rumour.h"
#include "core/clock.h"
#include "core/result.h"
#include "state/configvalue.h"
#include "state/fleetview.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

// Load pattern: the configuration service allows about 2,000 calls a second over all readers, a waiting watch included, while 11,000
// changes a day must reach 400 nodes in 5 s each. If every node watched, calls would grow with the fleet (400 waiting, and 400 reads of
// head and change at once on each publish), and a node behind a dead service would stay behind. So few nodes of each availability zone
// watch, the others learn of a version by rumour and fetch it from the node that told them. Grounds for the figures stand with them.

struct ConfigSyncSettings
{
    NodeId self;
    ZoneId zone;
    /** Nodes of a zone that watch the service: two, so that the loss of one delays nothing. */
    int watchersPerZone = 2;
    /** How long one watch waits. A watch whose answer is lost keeps its node deaf for this and the slack, so both leave room in the 5 s. */
    Duration watch { 1500 };
    /** Longest wait of a starting node for its peers' versions: more than a lost message and its repeat, less than a start may take. */
    Duration startTimeout = Duration::seconds(5);
    /** A node that does not watch reads the head this often times the number of nodes, so that all together read 50 times a second. */
    Duration pollPerNode = Duration(20);
    Duration minPoll = Duration::seconds(2);
    Duration maxPoll = Duration::seconds(60);
    /** A version found by polling is left to the rumours for this long: they take 1.6 s at most at 400 nodes. */
    Duration gossipGracePeriod = Duration::seconds(2);
    /** How long a node whose poll beat the rumours watches the service in place of watchers that cannot reach it. */
    Duration substituteWatchDuration = Duration::seconds(300);
    /** Waits after failures: doubled from the first to the last, and scattered by half so that nodes do not come back together. */
    Duration initialBackoff = Duration(100);
    Duration maxBackoff { 1000 };
    std::uint64_t seed = 1;
};

using FetchId = std::uint64_t;

/** The live nodes, this one included. */
struct PeersChanged
{
    std::vector<NodeView> nodes;
};

/** Another node has a version in force. */
struct VersionAnnounced
{
    ConfigFact fact;
};

/** The end of a FetchValue. NotFound: the holder has no such value. ConfigInvalid: it came as named but cannot be read. */
struct ValueFetched
{
    FetchId id = 0;
    Result<ConfigValue> value;
};

/** Lets time pass; every 20 to 100 ms. */
struct ConfigTick
{
};

using ConfigEvent = std::variant<PeersChanged, VersionAnnounced, ValueFetched, ConfigTick>;

/** Fetch a value and report the end as ValueFetched. */
struct FetchValue
{
    FetchId id = 0;
    /** The node to ask; unset for the configuration service. */
    std::optional<NodeId> peer;
    ConfigValueKind kind = ConfigValueKind::Head;
    /** Empty for the head. */
    std::string hash;
    /** More than zero for a watch: the service answers with the head once it is newer than @p after, or when the wait is over. */
    Duration wait;
    ConfigVersion after;
    /** When to give up. */
    Duration timeout;
};

/** Let every request from now on resolve in this snapshot, tell the other nodes, and hand its values to who asks. */
struct ActivateConfig
{
    std::shared_ptr<const Catalog> catalog;
    /** Its hash is empty when only the base of the head could be had. */
    ConfigHead head;
    /** The snapshot of the head's base version where the way to the head led through it; its pages can be worked out from it. */
    std::shared_ptr<const Catalog> base;
};

enum class ConfigProblem {
    /** The version is invalid; the one before stays in force. */
    Refused,
    /** A second, different head of the version in force. */
    Conflict,
    /** The new version does not descend from the one in force; it was taken whole from its base. */
    Forked,
    /** The service handed out a version older than the one in force. */
    Stale,
    /** A value came with other content than its hash says. */
    Corrupted,
    /** A change between the base and the head is nowhere to be had. */
    Gap,
};

/** Tell the operator. */
struct ReportConfigProblem
{
    ConfigProblem problem = ConfigProblem::Refused;
    ConfigVersion version;
    std::string detail;
};

using ConfigAction = std::variant<FetchValue, ActivateConfig, ReportConfigProblem>;

/**
 * Keeps one node's configuration at the newest accepted version: from the service, or from peers while the service is down, slow or
 * stale. Versions only go up. A version is taken whole or not at all.
 */
class ConfigSync
{
public:
    explicit ConfigSync(ConfigSyncSettings settings);
    ~ConfigSync();

    std::vector<ConfigAction> handle(const ConfigEvent &event, Time now);

    /** Null until the first version is in force, which is never before the peers were asked for theirs. */
    std::shared_ptr<const Catalog> catalog() const;
    /** True while this node watches the service for its zone. */
    bool isWatcher() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** The word for @p problem in metrics and logs. */
std::string_view configProblemName(ConfigProblem problem);

} // namespace ApricotStep
