#pragma once

#include "coordination/enginerows.h"
#include "coordination/outliers.h"
#include "coordination/upstreambook.h"
#include "coordination/upstreamdirectory.h"
#include "core/clock.h"
#include "state/routetable.h"

#include <map>
#include <memory>

namespace ApricotStep
{

/** The newest version of an adapter, and since when this node knows. */
struct KnownVersion
{
    AdapterVersion version;
    Time learnedAt;
};

/** Everything that an entry node believes of the world. Used by its loop's thread only. */
struct Beliefs
{
    /** Null until a configuration is known. */
    std::shared_ptr<const RouteTable> routes;
    UpstreamDirectory upstreams { UpstreamDirectoryLimits {} };
    EngineRows rows;
    std::map<AdapterRef, KnownVersion> versions;
    UpstreamBook book;
    /** Which engines this node uses; empty: all. */
    ZoneId engineScope;
    Outliers outliers { OutlierLimits {} };

    const EngineSpec *engineSpec(const ServiceName &service) const
    {
        const RoutedService *spec = routes != nullptr ? routes->service(service) : nullptr;
        return spec != nullptr && spec->engine ? &*spec->engine : nullptr;
    }
    /** Whether this node uses the engines of @p zone; of others it knows only what it asked for. */
    bool isInScope(const ZoneId &zone) const
    {
        return engineScope.isEmpty() || engineScope == zone;
    }
};

} // namespace ApricotStep
