#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/btree_map.h>

#include <string>
#include <variant>
#include <vector>

namespace ApricotStep
{

// Load pattern: upstreams start, leave, crash and come back under the same name, while the store that lists them is away now and then.
// Without the grace after an outage: the store forgets entries of upstreams that could not renew them; a node that takes this for their
// leaving refuses all requests of a service whose upstreams all live. Without it the other way round: an upstream that is truly gone gets
// work for as long as nobody looks. And the grace ends with a reading, not with the clock: a node that last read the store before an entry
// came back would drop a living upstream. Grounds for the figure: the store's operators say that entries are back within two seconds of
// its return; what is missing after that is gone.

struct UpstreamDirectoryLimits
{
    /** An entry that was lost during an outage counts for so long after the store's return. */
    Duration graceAfterOutage { 2000 };
};

/** An upstream is new, or another start of a known one. */
struct UpstreamStarted
{
    UpstreamRecord record;
};
/** Its account of itself changed. */
struct UpstreamUpdated
{
    UpstreamRecord record;
};
/** It gets no new work from now on. */
struct UpstreamLeft
{
    UpstreamId id;
    /** Why, for the log. */
    std::string reason;
};
using UpstreamChange = std::variant<UpstreamStarted, UpstreamUpdated, UpstreamLeft>;

/** Which upstreams there are, and which of them may get work. Not thread-safe. */
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(UpstreamDirectoryLimits limits);

    /** The store lists this. */
    std::vector<UpstreamChange> put(const UpstreamRecord &record, Time now);
    /** The store lists it no longer, or lists something unreadable in its place. @p reason for the log. */
    std::vector<UpstreamChange> remove(const UpstreamId &id, const std::string &reason, Time now);
    /** The store answers again after it did not; entries missing from now until the grace ends may come back. */
    void onStoreRegained(Time now);
    /** All that the store listed at @p knownUntil is known: what was missing then, and had its grace before, is gone. */
    std::vector<UpstreamChange> endGracePeriods(Time knownUntil);
    /** When the grace of the last outage ends. */
    Time gracePeriodEnd() const
    {
        return m_graceUntil;
    }

    /** Those of @p service that may get work, in the order of their ids. */
    std::vector<const UpstreamRecord *> usable(const ServiceName &service) const;
    /** Null when @p id is not listed, or may get no work. */
    const UpstreamRecord *usable(const UpstreamId &id) const;
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        UpstreamRecord record;
        /** Missing from the store; gone if the store does not list it at this moment either. */
        Time removeAt = Time::never();
    };

    bool isUsable(const Entry &entry) const;

    UpstreamDirectoryLimits m_limits;
    Time m_graceUntil;
    absl::btree_map<UpstreamId, Entry> m_entries;
};

} // namespace ApricotStep
