#pragma once

#include "coordination/streamorigins.h"
#include "core/clock.h"
#include "core/strongid.h"
#include "transport/httpserver.h"

#include <optional>

namespace ApricotStep
{

/**
 * What a node that does not reach the upstreams tells another one about a request that it has admitted.
 *
 * The caller's key stays behind: the first node has checked it, and charges the limit of its team.
 */
struct RelayedRequest
{
    /** A node with an older configuration must not run the request. */
    ConfigVersion configVersion;
    /** The team that holds the caller's key; empty if there is none. */
    TeamName team;
    /** Time since the request arrived at the first node. */
    Duration waited;
    /** Where the stream began that the request continues; unset if it begins one. */
    std::optional<StreamOrigin> origin;
};

/** Adds @p relayed to @p headers, and removes headers of the caller that have the same names. */
void addRelayHeaders(HttpHeaders &headers, const RelayedRequest &relayed);

/** Removes the headers that addRelayHeaders() added and returns their values; nothing if the request was not sent by another node. */
std::optional<RelayedRequest> takeRelayHeaders(HttpRequest &request);

/** Tells the first node, in the answer to its request, where the stream began. Replaces a header of the upstream with the same name. */
void addOriginHeader(HttpHeaders &headers, const StreamOrigin &origin);

/** Removes the header that addOriginHeader() added and returns its value; nothing if there is none. */
std::optional<StreamOrigin> takeOriginHeader(HttpHeaders &headers);

} // namespace ApricotStep
