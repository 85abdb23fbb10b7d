#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/btree_map.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

// Upstreams start, leave, crash and return under the same name, and the store that lists them has outages.
// During an outage the entries of upstreams that cannot renew them expire. Without a grace period after the outage, a node would treat
// these upstreams as gone and refuse all requests of a service although all its upstreams are alive. Without an end of the grace period,
// an upstream that is really gone would keep getting work. The grace period ends with a read of the store and not with the clock: a node
// whose last read was before an entry came back would otherwise remove an upstream that is alive.
// The operators of the store state that entries are back within 2 s after it returns; an upstream that is missing after that is gone.

struct UpstreamDirectoryLimits
{
    /** How long an entry that was lost during an outage remains valid after the store returns. */
    Duration graceAfterOutage { 2000 };
};

/** One start of an upstream. */
struct UpstreamStart
{
    UpstreamId upstream;
    std::int64_t startedAt = 0;

    auto operator<=>(const UpstreamStart &) const = default;
};

/** A software version that upstreams of a service run. */
struct SoftwareOfService
{
    ServiceName service;
    SoftwareVersion software;

    auto operator<=>(const SoftwareOfService &) const = default;
};

/** An upstream is new, or a known one has restarted. */
struct UpstreamStarted
{
    UpstreamRecord record;
};
/** The record of an upstream changed. */
struct UpstreamUpdated
{
    UpstreamRecord record;
};
/** An upstream gets no new work from now on. */
struct UpstreamLeft
{
    UpstreamId id;
    /** The reason, for the log. */
    std::string reason;
    /** What was listed last, if it is no longer listed although it has not announced that it is leaving. */
    std::optional<UpstreamRecord> lapsed {};
};
using UpstreamChange = std::variant<UpstreamStarted, UpstreamUpdated, UpstreamLeft>;

/** The known upstreams, and which of them may get work. Not thread-safe. */
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(UpstreamDirectoryLimits limits);

    /** The store lists @p record. */
    std::vector<UpstreamChange> put(const UpstreamRecord &record, Time now);
    /** The store no longer lists the upstream, or its entry is unreadable. @p reason is for the log. */
    std::vector<UpstreamChange> remove(const UpstreamId &id, const std::string &reason, Time now);
    /**
     * The upstream stated in an answer that this start of it is leaving. @p isHeard: in an answer to this node, which tells its peers.
     * Returns a change if the upstream gets no new work from now on.
     */
    std::vector<UpstreamChange> markLeaving(const UpstreamStart &start, bool isHeard, Time now);
    /** Whether this start of the upstream announced, in the store or in an answer, that it is leaving. */
    bool hasAnnouncedLeaving(const UpstreamStart &start) const
    {
        return m_leaving.contains(start);
    }
    /** The starts that lately stated in answers to this node that they are leaving. */
    std::vector<UpstreamStart> heardLeaving(Time now) const;
    /** The store responds again after an outage; entries that go missing until the grace period ends may come back. */
    void onStoreRegained(Time now);
    /** All entries of the store are known as of @p knownUntil: removes missing upstreams whose grace period was over by then. */
    std::vector<UpstreamChange> endGracePeriods(Time knownUntil);
    /** The time at which the store has to list @p id again, if its entry is missing in a grace period. */
    std::optional<Time> removalTime(const UpstreamId &id) const;
    /** The earliest removalTime() of all upstreams; never() if no entry is missing. */
    Time nextRemovalTime() const
    {
        return m_nextRemovalTime;
    }
    /** The end of the grace period after the last outage. */
    Time gracePeriodEnd() const
    {
        return m_graceUntil;
    }

    /** The upstreams of @p service that may get work, sorted by id. */
    std::vector<const UpstreamRecord *> usable(const ServiceName &service) const;
    /** Null if @p id is not listed or may not get work. */
    const UpstreamRecord *usable(const UpstreamId &id) const;
    std::size_t size() const
    {
        return m_entries.size();
    }
    /** The software of all listed upstreams, with their numbers. */
    const absl::btree_map<SoftwareOfService, int> &listedSoftware() const
    {
        return m_listedSoftware;
    }

private:
    struct Entry
    {
        UpstreamRecord record;
        /** Set while the entry is missing from the store: it is removed if the store does not list it at this time either. */
        Time removeAt = Time::never();
    };

    struct Leaving
    {
        Time since;
        /** Set if this node learned it from the upstream's answer. */
        std::optional<Time> heardAt;
    };

    bool isUsable(const Entry &entry) const;
    void updateNextRemovalTime();
    void setRecord(Entry &entry, const UpstreamRecord &record);
    void countSoftware(const UpstreamRecord &record, int change);
    void rememberLeaving(const UpstreamStart &start, Time now);

    UpstreamDirectoryLimits m_limits;
    Time m_graceUntil;
    Time m_nextRemovalTime = Time::never();
    absl::btree_map<UpstreamId, Entry> m_entries;
    absl::btree_map<SoftwareOfService, int> m_listedSoftware;
    /** Outlives the entries: an entry that expired, or an older record, may list a leaving upstream again. */
    absl::btree_map<UpstreamStart, Leaving> m_leaving;
};

} // namespace ApricotStep
