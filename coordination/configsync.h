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

// Keeps the configuration of all nodes up to date while only some of them watch the configuration service. The service allows about 2,000
// calls a second over all readers, waiting watches included, while 11,000 changes a day must each reach 400 nodes within 5 s. If every node
// watched, the calls would grow with the fleet (400 waiting watches, and 400 simultaneous reads of head and change on each publication),
// and nodes would get no updates while the service does not respond. Therefore a few nodes of each availability zone watch the service; the
// others learn of a version by gossip and fetch it from peers. The reasons for the constants are given with them.

struct ConfigSyncSettings
{
    NodeId self;
    ZoneId zone;
    /** Nodes per zone that watch the service. With two, the loss of one delays no update. */
    int watchersPerZone = 2;
    /**
     * Duration of one watch (long poll). If its response is lost, the node gets no update from the service for this time plus WatchSlack,
     * so the sum must stay well below the 5 s bound.
     */
    Duration watch { 1500 };
    /**
     * Longest wait of a starting node for its peers' versions: longer than a lost message and its retry, shorter than the time allowed for
     * a start.
     */
    Duration startTimeout = Duration::seconds(5);
    /**
     * A node that does not watch reads the head at an interval of this times the number of nodes, so that all nodes together read 50 times
     * a second.
     */
    Duration pollPerNode = Duration(20);
    Duration minPoll = Duration::seconds(2);
    Duration maxPoll = Duration::seconds(60);
    /** How long a node that found a version by polling waits for gossip to announce it, which takes at most 1.6 s with 400 nodes. */
    Duration gossipGracePeriod = Duration::seconds(2);
    /**
     * How long a node watches the service after its poll found a version that gossip did not announce in time, since the regular watchers
     * then cannot reach the service.
     */
    Duration substituteWatchDuration = Duration::seconds(300);
    /**
     * Retry delays after failures: doubled from the initial to the maximum one, with a jitter of half the delay so that nodes that failed
     * together do not retry together.
     */
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

/** Another node has activated a version. */
struct VersionAnnounced
{
    ConfigFact fact;
};

/**
 * Result of a FetchValue. NotFound: the source does not have the value. ConfigInvalid: the value has the requested hash but cannot be
 * parsed.
 */
struct ValueFetched
{
    FetchId id = 0;
    Result<ConfigValue> value;
};

/** Periodic timer event, every 20 to 100 ms. */
struct ConfigTick
{
};

using ConfigEvent = std::variant<PeersChanged, VersionAnnounced, ValueFetched, ConfigTick>;

/** Fetch a value and report the result as ValueFetched. */
struct FetchValue
{
    FetchId id = 0;
    /** The peer to fetch from; unset for the configuration service. */
    std::optional<NodeId> peer;
    ConfigValueKind kind = ConfigValueKind::Head;
    /** Empty for the head. */
    std::string hash;
    /**
     * Greater than zero for a watch: the service responds with the head as soon as it is newer than @p after, or when this time is over.
     */
    Duration wait;
    ConfigVersion after;
    Duration timeout;
};

/** Resolve all further requests with this catalog, announce its version to the other nodes and serve its values to peers. */
struct ActivateConfig
{
    std::shared_ptr<const Catalog> catalog;
    /** Its hash is empty if only the head's base could be fetched. */
    ConfigHead head;
    /** The catalog of the head's base version, if it was built on the way to the head; the base's pages can be derived from it. */
    std::shared_ptr<const Catalog> base;
};

enum class ConfigProblem {
    /** The version is invalid; the previous one stays active. */
    Refused,
    /** Two different heads of one version exist. */
    Conflict,
    /** The new version does not descend from the active one; it was rebuilt from its base. */
    Forked,
    /** The service returned a version older than the active one. */
    Stale,
    /** The content of a value does not match its hash. */
    Corrupted,
    /** A value that is needed for the head could not be fetched from any source. */
    Gap,
};

/** Report a problem with a version to the operator. */
struct ReportConfigProblem
{
    ConfigProblem problem = ConfigProblem::Refused;
    ConfigVersion version;
    std::string detail;
};

using ConfigAction = std::variant<FetchValue, ActivateConfig, ReportConfigProblem>;

/**
 * Keeps one node's configuration at the newest accepted version, fetched from the service, or from peers while the service is down, slow or
 * stale. The active version never decreases. A version is applied as a whole or not at all.
 */
class ConfigSync
{
public:
    explicit ConfigSync(ConfigSyncSettings settings);
    ~ConfigSync();

    std::vector<ConfigAction> handle(const ConfigEvent &event, Time now);

    /** Null until the first version is active, which is not before the peers were queried for their versions or startTimeout has passed. */
    std::shared_ptr<const Catalog> catalog() const;
    /** Whether this node currently watches the service. */
    bool isWatcher() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** The name of @p problem in metrics and logs. */
std::string_view configProblemName(ConfigProblem problem);

} // namespace ApricotStep
