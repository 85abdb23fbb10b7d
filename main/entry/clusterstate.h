#pragma once

#include "coordination/adapterloadestimator.h"
#include "coordination/outlierdetector.h"
#include "coordination/residencytable.h"
#include "coordination/upstreamdirectory.h"
#include "coordination/upstreamloadtracker.h"
#include "core/clock.h"
#include "state/routetable.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace ApricotStep
{

/** The newest version of an adapter, and since when this node knows. */
struct KnownVersion
{
    AdapterVersion version;
    Time learnedAt;
};

/** Everything that an entry node believes of the world. Used by its loop's thread only. */
struct ClusterState
{
    /** Null until a configuration is known. */
    std::shared_ptr<const RouteTable> routes;
    UpstreamDirectory upstreams { UpstreamDirectoryLimits {} };
    ResidencyTable residencies;
    AdapterLoadEstimator loadEstimator;
    std::map<AdapterRef, KnownVersion> versions;
    UpstreamLoadTracker loadTracker;
    /** Which engines this node uses; empty: all. */
    ZoneId engineScope;
    OutlierDetector outliers { OutlierLimits {} };

    /** Whether @p residency was news. */
    bool updateResidency(const EngineResidency &residency, Time now)
    {
        const bool isNewer = residencies.put(residency);
        if (isNewer) {
            loadEstimator.onResidency(residency, now);
        }
        return isNewer;
    }
    void removeResidency(const UpstreamId &engine)
    {
        residencies.remove(engine);
        loadEstimator.remove(engine);
    }
    const EngineSpec *engineSpec(const ServiceName &service) const
    {
        const RoutedService *spec = routes != nullptr ? routes->service(service) : nullptr;
        return spec != nullptr && spec->engine ? &*spec->engine : nullptr;
    }
    /** Engines of @p service that this node uses; those of all zones while its scope has none. */
    std::vector<const UpstreamRecord *> engines(const ServiceName &service) const
    {
        std::vector<const UpstreamRecord *> result = upstreams.usable(service);
        const auto isOutside = [this](const UpstreamRecord *record) { return record->zone != engineScope; };
        if (!engineScope.isEmpty() && !std::all_of(result.begin(), result.end(), isOutside)) {
            std::erase_if(result, isOutside);
        }
        return result;
    }
};

} // namespace ApricotStep
