#pragma once

#include "coordination/contentquarantine.h"
#include "coordination/upstreamdirectory.h"
#include "core/clock.h"
#include "state/upstreamrecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ApricotStep
{

// A request that breaks off, or stays without an answer, may be due to a cut link, a reset connection or the end of its upstream. Only an
// end accuses what the upstream worked on. A refused connection shows one at once, but a supervisor may start the next process within
// milliseconds, its listener may stay open meanwhile, and a host that falls silent refuses nothing. So a suspected end is kept in mind
// until something else shows it: the store lists a new start of the upstream, or another upstream at its address, or no longer lists it, or
// several nodes ask it for a sign of life and get none. An answer on a connection that was made before shows that the upstream lives on.
//
// An upstream may end several times before this node has read its first new start. The store lists all starts then, one after the other,
// and each takes the requests that were sent after it.

/** What shows that an upstream has ended. */
enum class EndSign {
    ConnectionRefused,
    NewStart,
    EntryLapsed,
    /** It answered none of the nodes that asked it for a sign of life. */
    Silence,
};

/** A start of an upstream has ended. */
struct UpstreamEnd
{
    UpstreamRecord upstream;
    /** When it stopped, as far as this node can tell. */
    Time at;
    EndSign sign = EndSign::ConnectionRefused;
    /** Requests of this node that it had. Others that become known later are reported as a further end of the same start. */
    std::vector<CrashSuspect> suspects;
};

/** A request that an upstream did not answer to the end. */
struct UnansweredRequest
{
    UpstreamRecord upstream;
    /** Its exposure is set once the end is known. */
    CrashSuspect suspect;
    Time sentAt;
    /** The same by the wall clock, to compare it with the starts of upstreams. */
    Time sentAtWall;
    /** When the last part of the answer arrived; unset if none did. */
    std::optional<Time> lastPartAt;
    /** When the connection broke off; unset if it did not. */
    std::optional<Time> brokenAt;

    /** How long the upstream had sent nothing. */
    Duration silence(Time now) const
    {
        return now - lastPartAt.value_or(sentAt);
    }
};

struct UpstreamEndsLimits
{
    /** A suspicion that nothing confirms is dropped after this time. Longer than the store lists an upstream that has ended. */
    Duration suspicionTime = Duration::seconds(10);
    /** Parts of answers that arrive later than this after the first request broke off were not on their way when the upstream ended. */
    Duration lastAnswersTime { 200 };
    /** A connection that breaks off after such a silence may have been dead before: a host that starts again resets it. */
    Duration minSilence = Duration::seconds(1);
    /** What was sent this long after the last sign of life has not reached the upstream. */
    Duration sendingTime { 500 };
    /** Requests to remember of one start: an upstream may break off many and go on. */
    std::size_t maxOpen = 64;
};

/** Relates requests that were not answered to the end to upstreams that have ended. Not thread-safe. */
class UpstreamEnds
{
public:
    explicit UpstreamEnds(UpstreamEndsLimits limits);

    /** Returns the end of the upstream, if it is known already that the request is among those that it had. */
    std::optional<UpstreamEnd> onUnanswered(const UnansweredRequest &request, Time now);
    /** Whether there are requests of which it is not known yet whether the upstream has ended under them. */
    bool isSuspected(const UpstreamStart &start) const;
    /** Returns these requests. */
    std::vector<UnansweredRequest> open() const;
    bool hasSuspicions() const
    {
        return !m_suspicions.empty();
    }
    /** The upstream has sent a part of the answer to a request of @p sentAt. Returns whether that drops a suspicion. */
    bool onAnswer(const UpstreamStart &start, Time sentAt, Time now);
    /** The upstream's host has refused a connection. */
    std::optional<UpstreamEnd> onConnectionRefused(const UpstreamStart &start, Time now);
    /** The upstream has given no sign of life to the nodes that asked for one. */
    std::optional<UpstreamEnd> onSilent(const UpstreamStart &start, Time now);
    /** The store lists a new start. Returns the ends that this shows: of earlier starts, and of others at the same address. */
    std::vector<UpstreamEnd> onStarted(const UpstreamRecord &record, Time now);
    /** The store no longer lists the upstream, although it has not announced that it is leaving. */
    std::vector<UpstreamEnd> onLapsed(const UpstreamId &upstream, Time now);

private:
    struct OpenRequest : UnansweredRequest
    {
        Time knownSince;
    };
    /** One start of an upstream. */
    struct Suspicion
    {
        UpstreamRecord upstream;
        /** Those under which it is not known yet whether the upstream has ended, the oldest first. */
        std::vector<OpenRequest> open;
        /** Set once it is known that this start has ended. */
        std::optional<EndSign> sign;
        Time endedAt;
        Time confirmedAt;
        /** A later start, which this node does not know yet, has refused a connection. */
        bool isLaterRefused = false;
    };

    void forget(Time now);
    void add(const UpstreamRecord &upstream, const UnansweredRequest &request, Time now);
    /** When the upstream last showed that it worked, by its open requests; unset if it never did. */
    std::optional<Time> lastSignAt(const Suspicion &suspicion) const;
    /** Whether the upstream may have ended under the request: what was sent after its end has not reached it. */
    bool isBlamed(const Suspicion &suspicion, const UnansweredRequest &request) const;
    UpstreamEnd confirm(Suspicion &suspicion, EndSign sign, Time now) const;
    /** The request with the time for which the upstream can have had it. */
    CrashSuspect exposedSuspect(const Suspicion &suspicion, const UnansweredRequest &request) const;
    /** Takes the open requests that were sent after a new start. */
    static std::vector<OpenRequest> takeThoseAfter(Suspicion &suspicion, std::int64_t startedAt);

    UpstreamEndsLimits m_limits;
    std::map<UpstreamStart, Suspicion> m_suspicions;
};

} // namespace ApricotStep
