#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "core/strongid.h"
#include "state/team.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** Whether a request may run more than once, and the form of its answer. */
enum class RequestKind {
    /** May run more than once; has a single answer. */
    Idempotent,
    /** May run at most once; has a single answer. */
    NonIdempotent,
    /** The answer is a stream of events. */
    Stream,
};

/** The name of @p kind in metrics and reports. */
std::string_view requestKindName(RequestKind kind);

/** A service that gets a share of a route's requests. */
struct RouteTarget
{
    ServiceName service;
    /** Relative to the weights of the route's other targets; above 0. */
    double weight = 1;
};

/** How requests to one host and path prefix are handled. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /** Maximum time until the end of the answer; above 0. */
    Duration timeout;
    /** Time within which an answer has its full value: until its end, or for a stream until its first event. */
    Duration latencyObjective;
    /** 0 is the highest priority. */
    int priority = 0;
    /** Maximum number of upstreams that may run one request; at least 1. */
    int maxAttempts = 1;
    /** An interrupted stream may be continued by another upstream. */
    bool isResumable = false;
    /** Longest gap between two events of a stream that counts as on time; zero if none is set. */
    Duration eventGapObjective;
    /** Requests need no key. */
    bool isPublic = false;
    /** At least one. */
    std::vector<RouteTarget> targets;

    /** How long a stream may last: a caller that waits for longer than one request may take takes it up in a second one at most. */
    Duration longestStream() const
    {
        return kind == RequestKind::Stream ? timeout * 2 : Duration();
    }
};

/** A base model as the configuration describes it. */
struct BaseModelSpec
{
    BaseModelId id;
    double weightsMb = 0;
    double adapterMb = 0;
    /** Time to load the weights from the weight store at its full speed. */
    Duration loadTime;
};

/** What all engines of one service have in common. */
struct EngineSpec
{
    std::vector<BaseModelSpec> models;
    /** Memory for weights and adapters together; 0 if it is not limited. */
    double weightsMb = 0;
    /** Number of adapter slots; adapters that are being loaded occupy one as well. */
    int adapterSlots = 0;
    /** Size of the KV cache, in tokens of prompts and answers. */
    double kvCacheTokens = 0;
    /** Loads of base models per second that the weight store sustains, over all engines. */
    double loadsPerSecond = 0;
};

struct RoutedService
{
    ServiceName name;
    std::string healthPath;
    /** Maximum number of connections to one upstream, from all callers together. */
    int maxConnections = 0;
    /** Empty for a plain service. */
    std::optional<EngineSpec> engine;
};

/** Limits for the size and the duration of callers' requests. */
struct CallerLimits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    Duration headerTimeout = Duration::seconds(3);
    Duration idleTimeout = Duration::seconds(15);
};

/** The content from which a route table is created. */
struct RouteTableSource
{
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    CallerLimits limits;
    /** If there are any, requests on routes that are not public need a key. */
    std::vector<Team> teams;
};

/** Routes and services of one configuration version. Immutable. */
class RouteTable
{
public:
    /**
     * Errors: ConfigInvalid if a route is invalid or names an unknown service, if two routes have the same host and prefix, if a team is
     * invalid, or if two teams have the same name or key.
     */
    static Result<std::shared_ptr<const RouteTable>> make(RouteTableSource source);

    ConfigVersion version() const
    {
        return m_source.version;
    }
    const CallerLimits &limits() const
    {
        return m_source.limits;
    }
    const std::vector<RoutedService> &services() const
    {
        return m_source.services;
    }
    /** The route of @p host with the longest prefix of @p path (without query); null if there is none. */
    const Route *find(std::string_view host, std::string_view path) const;
    /** Null if there is no service of this name. */
    const RoutedService *service(const ServiceName &name) const;

    /** The longest time that a stream may last; zero if there are no routes of streams. */
    Duration longestStream() const;
    /** Whether requests on routes that are not public need a key. */
    bool requiresKeys() const
    {
        return !m_source.teams.empty();
    }
    const std::vector<Team> &teams() const
    {
        return m_source.teams;
    }
    /** The team that holds the key; null if none does. */
    const Team *teamOf(const KeyDigest &key) const;
    /** Null if there is no team of this name. */
    const Team *team(const TeamName &name) const;

private:
    explicit RouteTable(RouteTableSource source);

    /** Builds the indexes of the teams. Returns what is wrong with them, empty if nothing is. */
    std::string indexTeams();

    RouteTableSource m_source;
    /** Positions in the list of teams. */
    absl::flat_hash_map<KeyDigest, std::size_t> m_teamsByKey;
    absl::flat_hash_map<TeamName, std::size_t> m_teamsByName;
};

/** Selects a target according to the weights. @p sample is a number from 0 to 1; equal samples select the same target. */
const RouteTarget &selectTarget(const Route &route, double sample);

} // namespace ApricotStep
