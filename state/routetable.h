#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "core/strongid.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** What may be repeated of a request, and the shape of its answer. */
enum class RequestKind {
    /** May run more than once; the answer comes whole. */
    Idempotent,
    /** May run at most once; the answer comes whole. */
    NonIdempotent,
    /** The answer is a series of events. */
    Stream,
};

/** A service that gets a share of a route's requests. */
struct RouteTarget
{
    ServiceName service;
    /** Share against the other targets of the route; above 0. */
    double weight = 1;
};

/** Where requests of one host and path prefix go, and how. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /** Longest time that a caller is kept waiting for the end of its answer; above 0. */
    Duration timeout;
    /** An answer within this time earns its full value: to its end, of a stream to the first event. */
    Duration latencyObjective;
    /** 0 is the most urgent. */
    int priority = 0;
    /** Upstreams that may run one request, at least 1. */
    int maxAttempts = 1;
    /** A stream that broke off may go on at another upstream. */
    bool isResumable = false;
    /** Longest pause between two events of a stream that counts as on time; zero where none is set. */
    Duration eventGapObjective;
    /** At least one. */
    std::vector<RouteTarget> targets;
};

/** A base model as the configuration describes it. */
struct BaseModelSpec
{
    BaseModelId id;
    double weightsMb = 0;
    double adapterMb = 0;
    /** From the weight store at full speed. */
    Duration loadTime;
};

/** What the engines of a service can do. */
struct EngineSpec
{
    std::vector<BaseModelSpec> models;
    /** Memory for weights and adapters together. */
    double weightsMb = 0;
    /** Places for adapters, those that are being loaded included. */
    int adapterSlots = 0;
    /** Tokens of prompts and answers that fit in memory. */
    double kvCacheTokens = 0;
    /** Loads of base models that the weight store bears, over all engines. */
    double loadsPerSecond = 0;
};

struct RoutedService
{
    ServiceName name;
    std::string healthPath;
    /** Connections that one upstream bears, from all callers together. */
    int maxConnections = 0;
    /** Unset for a plain service. */
    std::optional<EngineSpec> engine;
};

/** What a caller may send, and how long it may take. */
struct CallerLimits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    Duration headerTimeout = Duration::seconds(3);
    Duration idleTimeout = Duration::seconds(15);
};

/** What a route table is made from. */
struct RouteTableSource
{
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    CallerLimits limits;
};

/** Routes and services of one version of the configuration. Immutable. */
class RouteTable
{
public:
    /** Errors: ConfigInvalid when a route names a service that is not there, has no target, or two routes share host and prefix. */
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
    /** The route of @p host with the longest prefix that begins @p path (no query); null when none does. */
    const Route *find(std::string_view host, std::string_view path) const;
    /** Null when there is none of this name. */
    const RoutedService *service(const ServiceName &name) const;

private:
    explicit RouteTable(RouteTableSource source);

    RouteTableSource m_source;
};

/** The target that @p sample, 0 to 1, falls on; the same draw always gives the same one. */
const RouteTarget &selectTarget(const Route &route, double sample);

} // namespace ApricotStep
