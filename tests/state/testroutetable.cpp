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
