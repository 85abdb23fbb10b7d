#include "state/routetable.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace ApricotStep
{

namespace
{

bool precedes(const Route &a, const Route &b)
{
    if (a.host != b.host) {
        return a.host < b.host;
    }
    // Longest prefix first, so that the first match is the right one.
    if (a.pathPrefix.size() != b.pathPrefix.size()) {
        return a.pathPrefix.size() > b.pathPrefix.size();
    }
    return a.pathPrefix < b.pathPrefix;
}

std::string routeError(const Route &route)
{
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/') {
        return "its path prefix '" + route.pathPrefix + "' must begin and end with a slash";
    }
    if (route.targets.empty()) {
        return "it has no service";
    }
    if (route.timeout <= Duration(0) || route.maxAttempts < 1) {
        return "its timeout and its number of attempts must be above zero";
    }
    const auto isBad = [](const RouteTarget &target) { return !(target.weight > 0); };
    if (std::any_of(route.targets.begin(), route.targets.end(), isBad)) {
        return "the weights of its services must be above zero";
    }
    return {};
}

std::string teamError(const Team &team)
{
    if (team.name.isEmpty()) {
        return "a team has no name";
    }
    if (team.limit && (!(team.limit->ratePerSecond > 0) || team.limit->burst < 0 || team.limit->plainRequestTokens < 0)) {
        return "team '" + team.name.value() + "': its rate must be above zero, its burst and the cost of a plain request not below";
    }
    return {};
}

} // namespace

std::string_view requestKindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::NonIdempotent:
        return "non_idempotent";
    case RequestKind::Stream:
        return "stream";
    }
    return "unknown";
}

RouteTable::RouteTable(RouteTableSource source)
    : m_source(std::move(source))
{
    std::sort(m_source.routes.begin(), m_source.routes.end(), precedes);
}

Result<std::shared_ptr<const RouteTable>> RouteTable::make(RouteTableSource source)
{
    for (Route &route : source.routes) {
        route.host = absl::AsciiStrToLower(route.host);
    }
    const std::shared_ptr<RouteTable> table(new RouteTable(std::move(source)));
    if (std::string error = table->indexTeams(); !error.empty()) {
        return Error { ErrorKind::ConfigInvalid, std::move(error) };
    }
    const Route *previous = nullptr;
    for (const Route &route : table->m_source.routes) {
        const std::string error = routeError(route);
        if (!error.empty()) {
            return Error { ErrorKind::ConfigInvalid, "route '" + route.name + "': " + error };
        }
        for (const RouteTarget &target : route.targets) {
            if (table->service(target.service) == nullptr) {
                return Error { ErrorKind::ConfigInvalid, "route '" + route.name + "': unknown service '" + target.service.value() + "'" };
            }
        }
        if (previous != nullptr && previous->host == route.host && previous->pathPrefix == route.pathPrefix) {
            return Error { ErrorKind::ConfigInvalid,
                "routes '" + previous->name + "' and '" + route.name + "' have the same host and path prefix" };
        }
        previous = &route;
    }
    return std::shared_ptr<const RouteTable>(table);
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const std::string name = absl::AsciiStrToLower(std::string(host.substr(0, host.find(':'))));
    const auto isBefore = [](const Route &route, const std::string &wanted) { return route.host < wanted; };
    auto at = std::lower_bound(m_source.routes.begin(), m_source.routes.end(), name, isBefore);
    for (; at != m_source.routes.end() && at->host == name; ++at) {
        if (path.starts_with(at->pathPrefix)) {
            return &*at;
        }
    }
    return nullptr;
}

Duration RouteTable::longestStream() const
{
    Duration longest;
    for (const Route &route : m_source.routes) {
        longest = std::max(longest, route.longestStream());
    }
    return longest;
}

const RoutedService *RouteTable::service(const ServiceName &name) const
{
    const auto at = std::find_if(
        m_source.services.begin(), m_source.services.end(), [&name](const RoutedService &service) { return service.name == name; });
    return at == m_source.services.end() ? nullptr : &*at;
}

std::string RouteTable::indexTeams()
{
    for (std::size_t index = 0; index < m_source.teams.size(); ++index) {
        const Team &team = m_source.teams[index];
        if (std::string error = teamError(team); !error.empty()) {
            return error;
        }
        if (!m_teamsByName.emplace(team.name, index).second) {
            return "two teams have the name '" + team.name.value() + "'";
        }
        for (const KeyDigest &key : team.keys) {
            const auto [at, isNew] = m_teamsByKey.emplace(key, index);
            if (!isNew && at->second != index) {
                return "teams '" + m_source.teams[at->second].name.value() + "' and '" + team.name.value() + "' have the same key";
            }
        }
    }
    return {};
}

const Team *RouteTable::teamOf(const KeyDigest &key) const
{
    const auto at = m_teamsByKey.find(key);
    return at == m_teamsByKey.end() ? nullptr : &m_source.teams[at->second];
}

const Team *RouteTable::team(const TeamName &name) const
{
    const auto at = m_teamsByName.find(name);
    return at == m_teamsByName.end() ? nullptr : &m_source.teams[at->second];
}

const RouteTarget &selectTarget(const Route &route, double sample)
{
    const auto add = [](double sum, const RouteTarget &target) { return sum + target.weight; };
    double left = sample * std::accumulate(route.targets.begin(), route.targets.end(), 0.0, add);
    for (const RouteTarget &target : route.targets) {
        left -= target.weight;
        if (left < 0) {
            return target;
        }
    }
    return route.targets.back();
}

} // namespace ApricotStep
