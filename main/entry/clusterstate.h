#pragma once

#include "coordination/adapterloadestimator.h"
#include "coordination/answerlength.h"
#include "coordination/brittleupstreams.h"
#include "coordination/contentquarantine.h"
#include "coordination/enginememory.h"
#include "coordination/enginespeed.h"
#include "coordination/eventgapmonitor.h"
#include "coordination/outlierdetector.h"
#include "coordination/outofscopeengines.h"
#include "coordination/residencytable.h"
#include "coordination/servicereachability.h"
#include "coordination/softwarehistory.h"
#include "coordination/streamorigins.h"
#include "coordination/upstreamdirectory.h"
#include "coordination/upstreamlimits.h"
#include "coordination/upstreamloadtracker.h"
#include "coordination/upstreamrests.h"
#include "core/clock.h"
#include "state/routetable.h"

#include <algorithm>
#include <map>
#include <memory>
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
    EngineMemory engineMemory { EngineMemoryLimits {} };
    /** The availability zone whose engines this node uses; empty when it uses all. */
    ZoneId engineScope;
    OutlierDetector outliers { OutlierLimits {} };
    EventGapMonitor eventGaps;
    OutOfScopeEngines outOfScope { OutOfScopeLimits {} };
    UpstreamLimits upstreamLimits;
    UpstreamRests upstreamRests;
    EngineSpeed engineSpeed;
    BrittleUpstreams brittleUpstreams { BrittleUpstreamLimits {} };
    ServiceReachability reachability { ReachabilityLimits {} };
    SoftwareHistory softwareHistory { SoftwareHistoryLimits {} };
    StreamOrigins streamOrigins { StreamOriginLimits {} };
    ContentQuarantine quarantine { ContentQuarantineLimits {} };
    AnswerLengthModel answerLengths { AnswerLengthLimits {} };

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
    /** Where the stream began: the only software that may continue it. Unset if this node does not know it. */
    std::optional<StreamOrigin> originOf(const StreamQuery &query, Time now) const
    {
        if (auto origin = streamOrigins.find(query.stream, now)) {
            return origin;
        }
        const auto sole = softwareHistory.soleVersion(query.service, now);
        return sole ? std::optional(StreamOrigin { query.service, *sole }) : std::nullopt;
    }
    /** The upstream gets no new work from now on. */
    void onUpstreamLeft(const UpstreamId &upstream)
    {
        removeResidency(upstream);
        outliers.remove(upstream);
        outOfScope.remove(upstream);
        engineMemory.remove(upstream);
    }
    const EngineSpec *engineSpec(const ServiceName &service) const
    {
        const RoutedService *spec = routes != nullptr ? routes->service(service) : nullptr;
        return spec != nullptr && spec->engine ? &*spec->engine : nullptr;
    }
    /** When a request may be sent to @p upstream at the earliest, by what the upstream stated in its answers. */
    Time nextSendAt(const UpstreamRecord &upstream, Time now) const
    {
        return std::max(
            { upstreamLimits.nextSendAt(upstream, now), upstreamRests.restsUntil(upstream), brittleUpstreams.pausedUntil(upstream) });
    }
    /** The requests a second that all nodes together may send to @p upstream; unset if they are not limited. */
    std::optional<double> requestLimit(const UpstreamRecord &upstream, Time now) const
    {
        return lowerLimit(upstreamLimits.limit(upstream), brittleUpstreams.limit(upstream, now));
    }
    /** The same for the issuer of the credit for one start of an upstream. */
    std::optional<double> issuedRequestLimit(const UpstreamId &upstream, std::int64_t startedAt) const
    {
        return lowerLimit(upstreamLimits.limit(upstream, startedAt), brittleUpstreams.issuedLimit(upstream, startedAt));
    }
    /** Whether the upstream would have to let a request wait, and fails if it refuses too many. */
    bool isBrittleAndFull(const UpstreamRecord &upstream, Time now)
    {
        return brittleUpstreams.isBrittle(upstream) && loadTracker.load(upstream.id, now).running >= std::max(upstream.slots, 1);
    }
    /** Whether the upstream has stated that it is in need: it limits its requests or has asked a node for rest. */
    bool isInNeed(const UpstreamRecord &upstream, Time now) const
    {
        return upstreamLimits.limit(upstream) || upstreamRests.isStrained(upstream, now);
    }
    /**
     * Whether adapters are loaded on engines that are not in need, and the copies on those in need do not count. If most engines are in
     * need, theirs are the only copies.
     */
    bool areEnginesInNeedAvoided(const ServiceName &service, Time now) const
    {
        const auto records = upstreams.usable(service);
        const auto inNeed =
            std::count_if(records.begin(), records.end(), [this, now](const UpstreamRecord *record) { return isInNeed(*record, now); });
        return inNeed * 2 <= std::ssize(records);
    }
    static std::optional<double> lowerLimit(std::optional<double> a, std::optional<double> b)
    {
        return a && b ? std::min(a, b) : a ? a : b;
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
