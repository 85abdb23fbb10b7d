#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/btree_map.h>

#include <optional>

namespace ApricotStep
{

// While upstreams of several software versions serve side by side, a stream may only go on at the version that began it. While only one has
// served for as long as a stream can last, that version has begun every stream, and nobody has to remember which stream began where.

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
    /** An upstream of @p service is listed with this version; to be repeated while it is. */
    void onListed(const ServiceName &service, const SoftwareVersion &software, Time now);
    /** This node knows all upstreams that were listed at @p time. */
    void onViewConfirmed(Time time);
    /** Streams may last this long. The longest time counts. */
    void onStreamTime(Duration longest);

    /** How long a stream can be taken up again after it began. */
    Duration streamLifetime() const;
    /** The only version that can have begun a stream which may still be taken up again; unset if there are several, or it is not known. */
    std::optional<SoftwareVersion> soleVersion(const ServiceName &service, Time now) const;

private:
    SoftwareHistoryLimits m_limits;
    Duration m_longestStream;
    /** Since when views have followed each other without a gap. */
    std::optional<Time> m_viewedSince;
    Time m_viewedAt;
    absl::btree_map<ServiceName, absl::btree_map<SoftwareVersion, Time>> m_lastListedAt;
};

} // namespace ApricotStep
