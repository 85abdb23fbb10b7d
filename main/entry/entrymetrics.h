#pragma once

#include "coordination/eventgapmonitor.h"
#include "core/clock.h"
#include "core/strongid.h"
#include "state/routetable.h"
#include "transport/httpserver.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ApricotStep
{

/** How a caller's request ended. */
enum class RequestOutcome {
    Served,
    /** Not run; the caller received an error that says so. */
    Refused,
    /** It may have run, but the caller received no complete answer. */
    Failed,
    /** The answer began but was cut off before its end. */
    Truncated,
    /** The caller closed its connection first. */
    CallerGone,
};

/** Returns the name of @p outcome in logs and metrics. */
const char *outcomeName(RequestOutcome outcome);

/** Values that are sampled when metrics are scraped. */
struct EntryGauges
{
    std::uint64_t configVersion = 0;
    Duration timeSinceStoreResponse;
    int peersAlive = 0;
    int upstreams = 0;
    int requestsInProgress = 0;
    std::uint64_t logLinesDropped = 0;
    bool isReady = false;
    /** Services whose upstreams this node does not reach. */
    int unreachableServices = 0;
    /** Contents of requests that are held back. */
    int heldContents = 0;
    /** Memory of answers in progress. */
    std::size_t answerBytes = 0;
    /** Reserved for the bodies of requests. */
    std::size_t bodyBytes = 0;
    /** Set aside for open connections. */
    std::size_t connectionBytes = 0;
    /** Engines that are slower than others under the same load. */
    int slowEngines = 0;
    /** Time since the active configuration was known to be the newest. */
    Duration configurationAge;
};

/**
 * Counters and histograms of an entry node in the Prometheus text format.
 *
 * No label names a route or an upstream, and only the first teams have labels of their own, so the number of time series stays bounded.
 */
class EntryMetrics
{
public:
    EntryMetrics();
    ~EntryMetrics();

    /** Counts a finished request; @p took is measured from its arrival. */
    void requestEnded(RequestKind kind, RequestOutcome outcome, Duration took);
    /** Records that the answer of a stream began @p after its request arrived. */
    void answerBegan(RequestKind kind, Duration after);
    /** Records that the whole answer of a stream had @p events where @p expectedEvents were expected. */
    void answerLength(std::uint64_t events, double expectedEvents);
    /** A stream ended that had at least one event. */
    void streamEnded(StreamTiming timing);
    /** Records that a request was sent to an upstream @p waited after its arrival. @p isRepeat is set if it had been sent before. */
    void sent(RequestKind kind, Duration waited, bool isRepeat);
    /** Counts a request that is sent to an engine outside of this node's scope. */
    void sentOutOfScope();
    /** Counts an attempt that an upstream refused before execution ("not_run"), failed ("failed") or left incomplete ("broken"). */
    void upstreamFailed(std::string_view what);
    /** Counts an upstream that ended before it had begun to answer requests of this node. */
    void upstreamEnded();
    /**
     * Counts a probe of an upstream that had sent nothing for long, also for other nodes: "answered" or "unanswered"; and an upstream of
     * which no node had a sign of life ("silent").
     */
    void upstreamProbed(std::string_view result);
    /** Counts content that is held back ("held") or no longer ("released"), and requests with it that are "refused" or sent as a "trial".
     */
    void quarantine(std::string_view what);
    /** Counts a limit on its requests that an upstream names, changes or lifts. */
    void upstreamLimitChanged(bool isLimited);
    /** Counts an upstream that wants no requests from this node for some time. */
    void upstreamRests();
    /** Counts a refusal of an upstream that fails if it has to refuse too many. */
    void brittleRefusal();
    /** Counts a request that an upstream does not get, or gets later, because of what the upstream stated. */
    void withheld();
    /** Counts a request for which no engine had room in its memory. */
    void noEngineMemory();
    /** Counts a service whose upstreams this node no longer reaches, or reaches again. */
    void serviceReachability(bool isReachable);
    /** Counts a request that another node sends to the upstream for this one ("sent"), or this one for another node ("received"). */
    void relayed(std::string_view direction);
    /** Counts a stream that its caller takes up again. @p knownBy: who knew where it began, from a fixed list. */
    void resumed(std::string_view knownBy);
    /**
     * Counts an answer whose caller reads slowly: the node keeps it for the caller ("buffered"), stops reading it ("paused") or ends it
     * ("ended"). Each answer counts at most once for each outcome.
     */
    void slowReader(std::string_view outcome);
    /** Counts a client that met a limit. */
    void clientLimit(ClientLimit limit);
    /** Counts an answer that could not be sent whole to a caller that is still connected. */
    void answerNotDelivered();
    /** Counts a request that is refused because of its key. @p reason comes from a fixed list, since each value creates a time series. */
    void keyRefused(std::string_view reason);
    /** Counts a decision on a request of a limited team. @p decision comes from a fixed list. */
    void teamRequest(const TeamName &team, std::string_view decision);
    /** Counts units of a team's limit. @p what comes from a fixed list. */
    void teamCredit(const TeamName &team, std::string_view what, double amount);
    /** Counts an engine's answer to an order. @p answer comes from a fixed list, since each value creates a time series. */
    void order(std::string_view answer);

    /** Returns all metrics, with @p gauges as the current values of the gauges. */
    std::string text(const EntryGauges &gauges) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
