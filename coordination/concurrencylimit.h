#pragma once

#include "core/clock.h"

namespace ApricotStep
{

// Adaptive limit for an upstream that becomes slow (a cold cache, a noisy neighbour, long prompts) while the request rate stays the same.
// Without a limit per upstream the published batch keeps being filled: requests that wait inside the upstream can neither be ordered by
// urgency nor refused in time, and urgent requests queue behind patient ones. The symptom is late first tokens with a short queue here.
// The limit follows the ratio of baseline to recent latency (a gradient), so it needs no tuning per upstream. A tolerance of 1.5 ignores
// the spread between short and long prompts. A window of ten samples or 250 ms outlasts one batch step. The limit falls by at most half
// per window and grows by its square root, so that it returns to the published batch in about ten windows. It never falls below one
// because only running requests can show that the upstream has recovered.

struct ConcurrencyBounds
{
    int min = 1;
    /** The batch size that the upstream publishes. */
    int max = 16;
    /** The limit falls once the latency exceeds the baseline by more than this factor; at least 1. */
    double tolerance = 1.5;
    int windowSamples = 10;
    Duration windowTime { 250 };
};

/** Limits the concurrent requests at one upstream by its measured latency. Not thread-safe. */
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyBounds bounds);

    /** Records a latency (engines: sending to first byte; services: sending to end); @p inFlight requests were in flight at its start. */
    void onSample(Duration latency, int inFlight, Time now);
    /** The upstream timed out, cut the connection or refused for overload: halves the limit, at most once per window. */
    void onDropped(Time now);
    /** The number of requests that may run at once now. */
    int limit() const;

private:
    void closeWindow();

    ConcurrencyBounds m_bounds;
    double m_limit;
    /** Baseline latency in ms: a moving average that rises slowly and falls quickly; 0 before the first window. */
    double m_baselineMs = 0;
    double m_sumMs = 0;
    int m_samples = 0;
    int m_maxInFlight = 0;
    Time m_windowStart;
    Time m_droppedAt;
};

} // namespace ApricotStep
