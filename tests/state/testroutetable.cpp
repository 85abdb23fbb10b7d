#include "state/routetable.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

Route route(const std::string &prefix)
{
    Route result;
    result.name = "r" + prefix;
    result.host = "Host.Example";
    result.pathPrefix = prefix;
    result.timeout = Duration(1000);
    result.targets = { RouteTarget { ServiceName("svc"), 1 } };
    return result;
}

RouteTableSource source(std::vector<Route> routes)
{
    RouteTableSource result;
    result.version = ConfigVersion(3);
    result.routes = std::move(routes);
    result.services = { RoutedService { ServiceName("svc"), "", 1, {} } };
    return result;
}

} // namespace

// If two routes match a path, the one with the longer prefix is chosen, in whatever order they are listed. Case and port of the host name
// are ignored.
Test(routetable, longestPrefixOfHostWins)
{
    const auto table = RouteTable::make(source({ route("/a/"), route("/a/b/"), route("/c/") })).value();
    cr_assert(table->find("host.example", "/a/b/x")->pathPrefix == "/a/b/");
    cr_assert(table->find("HOST.example:80", "/a/x")->pathPrefix == "/a/");
    cr_assert_null(table->find("host.example", "/a"));
    cr_assert_null(table->find("other.example", "/a/x"));
}

// An invalid configuration is rejected as a whole, with the name of the invalid route. Accepting a part of it would drop routes that
// callers use.
Test(routetable, invalidRouteRejectsTheWholeTable)
{
    Route nowhere = route("/n/");
    nowhere.targets = { RouteTarget { ServiceName("none"), 1 } };
    cr_assert_not(RouteTable::make(source({ route("/a/"), nowhere })).isOk());
    cr_assert_not(RouteTable::make(source({ route("/a/"), route("/a/") })).isOk());
    cr_assert_not(RouteTable::make(source({ route("no-slash") })).isOk());
    Route instant = route("/i/");
    instant.timeout = Duration(0);
    const auto refused = RouteTable::make(source({ instant }));
    cr_assert(refused.error().detail.find("r/i/") != std::string::npos);
}

// Each service of a route gets its share of the requests.
Test(routetable, selectionFollowsWeights)
{
    Route split = route("/s/");
    split.targets = { RouteTarget { ServiceName("a"), 1 }, RouteTarget { ServiceName("b"), 3 } };
    cr_assert(selectTarget(split, 0.0).service == ServiceName("a"));
    cr_assert(selectTarget(split, 0.24).service == ServiceName("a"));
    cr_assert(selectTarget(split, 0.26).service == ServiceName("b"));
    cr_assert(selectTarget(split, 1.0).service == ServiceName("b"));
}

namespace
{

RouteTableSource sourceWithTeams(std::vector<Team> teams)
{
    RouteTableSource source;
    source.version = ConfigVersion(1);
    source.teams = std::move(teams);
    return source;
}

Team team(const std::string &name, const std::vector<std::string> &keys)
{
    Team result;
    result.name = TeamName(name);
    for (const std::string &key : keys) {
        result.keys.push_back(KeyDigest::of(key));
    }
    return result;
}

} // namespace

Test(routetable, teamsAreFoundByKeyAndName)
{
    const auto table = RouteTable::make(sourceWithTeams({ team("a", { "k1", "k2" }), team("b", { "k3" }) }));
    cr_assert(table.isOk() && table.value()->requiresKeys());
    cr_assert(table.value()->teamOf(KeyDigest::of("k2"))->name == TeamName("a"));
    cr_assert(table.value()->teamOf(KeyDigest::of("k3")) == table.value()->team(TeamName("b")));
    cr_assert_null(table.value()->teamOf(KeyDigest::of("k4")));
    cr_assert_not(RouteTable::make(sourceWithTeams({})).value()->requiresKeys());
}

// Guards against a key that identifies one team at some nodes and another team at others.
Test(routetable, teamsThatCannotBeToldApartAreRefused)
{
    cr_assert_not(RouteTable::make(sourceWithTeams({ team("a", { "k1" }), team("b", { "k1" }) })).isOk());
    cr_assert_not(RouteTable::make(sourceWithTeams({ team("a", { "k1" }), team("a", { "k2" }) })).isOk());
    cr_assert_not(RouteTable::make(sourceWithTeams({ team("", { "k1" }) })).isOk());
    Team limited = team("a", { "k1" });
    limited.limit = TeamLimit { LimitUnit::Tokens, 0, 5, 0 };
    cr_assert_not(RouteTable::make(sourceWithTeams({ limited })).isOk());
}
