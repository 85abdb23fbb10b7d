#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/btree_map.h>

#include <optional>

namespace ApricotStep
{

// While upstreams of several software versions serve side by side, a stream may only go on at the version that began it. While only one has
// served for as long as a stream can last, that version has begun every stream, and nobody has to remember which stream began where.
//
// A node takes its view of the upstreams for complete until it has reached a certain age. Until then it may not know of a new version, so
// no node begins streams on a version before all views are older than that.

struct SoftwareHistoryLimits
{
    /** A view of the upstreams that is older does not show all that may have begun streams. */
    Duration maxViewAge = Duration::seconds(3);
    /** Added to the time that streams last, for delays on the way to the caller and back. */
    Duration margin = Duration::seconds(2);
};

/** The software versions of each service's upstreams that this node has lately seen. Not thread-safe. */
class SoftwareHistory
{
public:
    explicit SoftwareHistory(SoftwareHistoryLimits limits);

    void setMaxViewAge(Duration age);
    /**
     * An upstream of @p service is listed with this version; to be repeated while it is. @p upstreamAge: since its start, as far as known;
     * it counts until the first view is confirmed.
     */
    void onListed(const ServiceName &service, const SoftwareVersion &software, Time now, Duration upstreamAge = {});
    /** This node knows all upstreams that were listed at @p time. */
    void onViewConfirmed(Time time);
    /** Streams may last this long. The longest time counts. */
    void onStreamTime(Duration longest);

    /** How long a stream can be taken up again after it began. */
    Duration streamLifetime() const;
    /** The only version that can have begun a stream which may still be taken up again; unset if there are several, or it is not known. */
    std::optional<SoftwareVersion> soleVersion(const ServiceName &service, Time now) const;
    /** Whether no node can take another version for the only one any more, so that streams may begin on this one. */
    bool mayBeginStreams(const ServiceName &service, const SoftwareVersion &software, Time now) const;

private:
    struct Listing
    {
        Time firstAt;
        Time lastAt;
    };

    SoftwareHistoryLimits m_limits;
    Duration m_longestStream;
    /** Since when views have followed each other without a gap. */
    std::optional<Time> m_viewedSince;
    Time m_viewedAt;
    absl::btree_map<ServiceName, absl::btree_map<SoftwareVersion, Listing>> m_listings;
};

} // namespace ApricotStep
