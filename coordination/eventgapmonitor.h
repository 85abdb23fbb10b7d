#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <absl/container/flat_hash_map.h>

namespace ApricotStep
{

// Handles long prompts and streams that share engines. An engine prefills a long prompt in chunks between the decode steps of its running
// requests, so each chunk delays all streams there. Where chunks are small against the longest event gap that a route allows, this harms
// nobody, and keeping prompts and streams apart would only cost time to first token. Where the gaps exceed the bound, half of the streams
// can be late although each began in time.

/** Why a stream was late, if it was. */
enum class StreamTiming {
    OnTime,
    LateFirstEvent,
    LateEventGap,
};

/** The gaps between the events of one stream so far. */
class EventGaps
{
public:
    /** An event, or several at once, arrived. */
    void onEvents(Time now);
    /** The gap until the next event does not count, as the node itself did not read in the meantime. */
    void skipGap();
    Duration longest() const
    {
        return m_longest;
    }

private:
    Time m_lastAt = Time::never();
    Duration m_longest;
};

/** Tracks for each service the share of streams that were late because of a gap between two events. Not thread-safe. */
class EventGapMonitor
{
public:
    /** A stream of @p service ended that had at least one event. */
    void onStreamEnded(const ServiceName &service, bool hadLateGap);
    /** A recent average of the share of streams with a late gap, 0 to 1; 0 if none is known. */
    double lateShare(const ServiceName &service) const;
    /**
     * How strongly placement should keep long prompts and streams apart, 0 to 1. Proportional to the share of late streams, so that it
     * settles where the gaps become rare, and is full from one stream in twenty on.
     */
    double separation(const ServiceName &service) const;

private:
    absl::flat_hash_map<ServiceName, double> m_lateShares;
};

} // namespace ApricotStep
