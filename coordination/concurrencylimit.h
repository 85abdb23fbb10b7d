#pragma once

#include "core/clock.h"

namespace ApricotStep
{

// Load pattern: an upstream becomes slow (a cold cache, a noisy neighbour, long prompts) while requests keep coming at the same rate.
// Without a limit of its own: the published batch keeps being filled, what waits inside the upstream can neither be ordered by urgency nor
// refused in time, and urgent requests queue there behind patient ones. One would notice first tokens late with a short queue here.
// Grounds for the figures: the limit follows the ratio of the usual to the present latency (a gradient), so it needs no tuning for each
// upstream. A tolerance of a half leaves the spread between short and long prompts alone. A window of ten samples or a quarter second
// outlasts one batch step. The limit falls by at most half a window and grows by the square root of itself, so that it finds the published
// batch again in about ten windows. It never falls below one: something must run to notice that the upstream is well again.

struct ConcurrencyBounds
{
    int min = 1;
    /** The published batch of the upstream. */
    int max = 16;
    /** Latency may exceed the usual one by this factor before the limit falls; at least 1. */
    double tolerance = 1.5;
    int windowSamples = 10;
    Duration windowTime { 250 };
};

/** Adapts how many requests may run on one upstream to the latency that it shows. Not thread-safe. */
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyBounds bounds);

    /** A request's latency (engines: sending to first byte; services: sending to end), with @p inFlight at its start. */
    void onSample(Duration latency, int inFlight, Time now);
    /** The upstream timed out, cut or refused for overload: halves the limit, at most once a window. */
    void onDropped(Time now);
    /** Requests that may run at once now. */
    int limit() const;

private:
    void closeWindow();

    ConcurrencyBounds m_bounds;
    double m_limit;
    /** Usual latency in ms: a slow mean that sinks quickly. 0 before the first window. */
    double m_baselineMs = 0;
    double m_sumMs = 0;
    int m_samples = 0;
    int m_maxInFlight = 0;
    Time m_windowStart;
    Time m_droppedAt;
};

} // namespace ApricotStep
