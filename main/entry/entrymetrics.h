#pragma once

#include "core/clock.h"
#include "state/routetable.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ApricotStep
{

/** How a caller's request ended. */
enum class RequestOutcome {
    Served,
    /** Not run, and the caller was told. */
    Refused,
    /** It may have run, and has no whole answer. */
    Failed,
    /** Its answer broke off after its begin. */
    Truncated,
    CallerGone,
};

/** The word for @p outcome in logs and metrics. */
const char *outcomeName(RequestOutcome outcome);

/** Facts that are read when metrics are asked for. */
struct EntryGauges
{
    std::uint64_t configVersion = 0;
    Duration timeSinceStoreResponse;
    int peersAlive = 0;
    int upstreams = 0;
    int requestsInProgress = 0;
    std::uint64_t logLinesDropped = 0;
    bool isReady = false;
};

/** Counters and histograms of an entry node, in Prometheus' text form. The number of series does not grow with routes or upstreams. */
class EntryMetrics
{
public:
    EntryMetrics();
    ~EntryMetrics();

    /** @p took: from the arrival. */
    void requestEnded(RequestKind kind, RequestOutcome outcome, Duration took);
    /** The first byte of an answer came @p after the arrival. */
    void answerBegan(RequestKind kind, Duration after);
    /** A request was sent to an upstream @p waited after its arrival; @p isRepeat: not for the first time. */
    void sent(RequestKind kind, Duration waited, bool isRepeat);
    /** An upstream refused before execution, failed, or broke off. */
    void upstreamFailed(std::string_view what);
    /** An engine answered an order; @p answer: one of a closed list of words. */
    void order(std::string_view answer);

    std::string text(const EntryGauges &gauges) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
