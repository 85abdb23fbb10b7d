#pragma once

#include "coordination/adapterloadestimator.h"
#include "coordination/outlierdetector.h"
#include "coordination/outofscopeengines.h"
#include "coordination/residencytable.h"
#include "coordination/upstreamdirectory.h"
#include "coordination/upstreamlimits.h"
#include "coordination/upstreamloadtracker.h"
#include "core/clock.h"
#include "state/routetable.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace ApricotStep
{

/** The newest known version of an adapter, and when this node learned of it. */
struct KnownVersion
{
    AdapterVersion version;
    Time learnedAt;
};

/** What an entry node knows of the cluster. Not thread-safe: only the thread of the node's IoLoop uses it. */
struct ClusterState
{
    /** Null until a configuration is known. */
    std::shared_ptr<const RouteTable> routes;
    /** The active configuration was the newest at this time. Stands still while the newest one cannot be read: it may withdraw keys. */
    Time routesKnownAt;
    UpstreamDirectory upstreams { UpstreamDirectoryLimits {} };
    ResidencyTable residencies;
    AdapterLoadEstimator loadEstimator;
    std::map<AdapterRef, KnownVersion> versions;
    UpstreamLoadTracker loadTracker;
    /** The availability zone whose engines this node uses; empty when it uses all. */
    ZoneId engineScope;
    OutlierDetector outliers { OutlierLimits {} };
    OutOfScopeEngines outOfScope { OutOfScopeLimits {} };
    UpstreamLimits upstreamLimits { std::random_device {}() };

    /** Updates what is known of the adapters at an engine. Returns whether @p residency was newer than the stored one. */
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
    /** When this node may send a request to @p upstream, by what the upstream stated in its answers; Time::never() if it may not. */
    Time nextSendAt(const UpstreamRecord &upstream, Time now)
    {
        return upstreamLimits.nextSendAt(upstream, now);
    }
    /** The usable engines of @p service in this node's scope; those of all zones if there are none in its scope. */
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
