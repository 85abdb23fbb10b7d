#include "main/entry/entrymetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <set>
#include <sstream>

namespace ApricotStep
{

namespace
{

// The bounds reach from one round trip to the longest deadline of a stream. Each is about twice the previous one, and the latency
// objectives of 0.1, 0.3, 0.6 and 1 s are among them.
const prometheus::Histogram::BucketBoundaries BucketBounds { 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1, 2, 5, 15 };

// Symmetric on a logarithmic scale, and narrower around 1, where most answers should be.
const prometheus::Histogram::BucketBoundaries LengthRatioBounds { 0.1, 0.2, 0.4, 0.67, 0.8, 0.91, 1.1, 1.25, 1.5, 2.5, 5, 10 };

// Further teams share the label "other".
constexpr std::size_t MaxLabelledTeams = 64;

std::string kindLabel(RequestKind kind)
{
    return std::string(requestKindName(kind));
}

const char *timingName(StreamTiming timing)
{
    switch (timing) {
    case StreamTiming::OnTime:
        return "on_time";
    case StreamTiming::LateFirstEvent:
        return "late_first_event";
    case StreamTiming::LateEventGap:
        return "late_event_gap";
    }
    return "unknown";
}

} // namespace

struct EntryMetrics::Private
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests =
        prometheus::BuildCounter().Name("apricotstep_entry_requests_total").Help("Requests by kind and outcome.").Register(registry);
    prometheus::Family<prometheus::Counter> &streams = prometheus::BuildCounter()
                                                           .Name("apricotstep_entry_streams_total")
                                                           .Help("Streams that ended after their first event, by what made them late.")
                                                           .Register(registry);
    prometheus::Family<prometheus::Counter> &sentRequests = prometheus::BuildCounter()
                                                                .Name("apricotstep_entry_sent_total")
                                                                .Help("Requests sent to upstreams; repeats are those after the first.")
                                                                .Register(registry);
    prometheus::Counter &requestsOutOfScope = prometheus::BuildCounter()
                                                  .Name("apricotstep_entry_sent_out_of_scope_total")
                                                  .Help("Requests sent to engines of another availability zone's scope.")
                                                  .Register(registry)
                                                  .Add({});
    prometheus::Family<prometheus::Counter> &upstreamFailures =
        prometheus::BuildCounter()
            .Name("apricotstep_entry_upstream_troubles_total")
            .Help("Refusals before execution, failures and broken answers of upstreams.")
            .Register(registry);
    prometheus::Family<prometheus::Counter> &upstreamLimits =
        prometheus::BuildCounter()
            .Name("apricotstep_entry_upstream_limits_total")
            .Help("Limits on their requests that upstreams named or changed, and lifted.")
            .Register(registry);
    prometheus::Counter &upstreamRests = prometheus::BuildCounter()
                                             .Name("apricotstep_entry_upstream_rests_total")
                                             .Help("Refusals with which upstreams asked this node for a time without requests.")
                                             .Register(registry)
                                             .Add({});
    prometheus::Counter &endedUpstreams = prometheus::BuildCounter()
                                              .Name("apricotstep_entry_upstreams_ended_total")
                                              .Help("Upstreams that ended while requests of this node were without a whole answer.")
                                              .Register(registry)
                                              .Add({});
    prometheus::Counter &brittleRefusals =
        prometheus::BuildCounter()
            .Name("apricotstep_entry_brittle_refusals_total")
            .Help("Refusals of upstreams that fail if they have to refuse too many, as told to the other nodes.")
            .Register(registry)
            .Add({});
    prometheus::Counter &withheldRequests = prometheus::BuildCounter()
                                                .Name("apricotstep_entry_withheld_total")
                                                .Help("Requests that an upstream did not get because of what it stated in its answers.")
                                                .Register(registry)
                                                .Add({});
    prometheus::Counter &noEngineMemory = prometheus::BuildCounter()
                                              .Name("apricotstep_entry_no_engine_memory_total")
                                              .Help("Requests that waited or were refused because no engine had room for their tokens.")
                                              .Register(registry)
                                              .Add({});
    prometheus::Counter &answersNotDelivered = prometheus::BuildCounter()
                                                   .Name("apricotstep_entry_answers_not_delivered_total")
                                                   .Help("Answers that could not be sent whole to callers that were still connected.")
                                                   .Register(registry)
                                                   .Add({});
    prometheus::Family<prometheus::Counter> &upstreamProbes =
        prometheus::BuildCounter()
            .Name("apricotstep_entry_upstream_probes_total")
            .Help("Probes of upstreams that had sent nothing for long, and upstreams of which no node had a sign of life.")
            .Register(registry);
    prometheus::Family<prometheus::Counter> &quarantineEvents =
        prometheus::BuildCounter()
            .Name("apricotstep_entry_quarantine_total")
            .Help("Contents of requests that are held back because upstreams ended under them, or no longer, and requests with them.")
            .Register(registry);
    prometheus::Family<prometheus::Counter> &reachabilityChanges =
        prometheus::BuildCounter()
            .Name("apricotstep_entry_service_reachability_total")
            .Help("Services whose upstreams this node no longer reached, and reached again.")
            .Register(registry);
    prometheus::Family<prometheus::Counter> &relayedRequests =
        prometheus::BuildCounter()
            .Name("apricotstep_entry_relayed_total")
            .Help("Requests sent to upstreams through another node, and received from another node for that purpose.")
            .Register(registry);
    prometheus::Family<prometheus::Counter> &resumedStreams =
        prometheus::BuildCounter()
            .Name("apricotstep_entry_resumed_streams_total")
            .Help("Streams that their callers took up again, by who knew where they began.")
            .Register(registry);
    prometheus::Family<prometheus::Counter> &slowReaders = prometheus::BuildCounter()
                                                               .Name("apricotstep_entry_slow_readers_total")
                                                               .Help("Answers whose callers read slowly, by outcome.")
                                                               .Register(registry);
    prometheus::Family<prometheus::Counter> &clientLimits = prometheus::BuildCounter()
                                                                .Name("apricotstep_entry_client_limits_total")
                                                                .Help("Clients that met a limit, by limit.")
                                                                .Register(registry);
    prometheus::Family<prometheus::Counter> &orders =
        prometheus::BuildCounter().Name("apricotstep_entry_orders_total").Help("Orders to engines by answer.").Register(registry);
    prometheus::Family<prometheus::Counter> &keyRefusals = prometheus::BuildCounter()
                                                               .Name("apricotstep_entry_key_refusals_total")
                                                               .Help("Requests refused because of their key, by reason.")
                                                               .Register(registry);
    prometheus::Family<prometheus::Counter> &teamRequests = prometheus::BuildCounter()
                                                                .Name("apricotstep_entry_team_requests_total")
                                                                .Help("Requests of limited teams by decision.")
                                                                .Register(registry);
    prometheus::Family<prometheus::Counter> &teamCredits = prometheus::BuildCounter()
                                                               .Name("apricotstep_entry_team_credit_total")
                                                               .Help("Units of teams' limits: issued, spent, returned.")
                                                               .Register(registry);
    std::set<TeamName> labelledTeams;
    prometheus::Family<prometheus::Histogram> &durations = prometheus::BuildHistogram()
                                                               .Name("apricotstep_entry_request_seconds")
                                                               .Help("Arrival to the end of the answer, served requests.")
                                                               .Register(registry);
    prometheus::Family<prometheus::Histogram> &firstBytes = prometheus::BuildHistogram()
                                                                .Name("apricotstep_entry_first_answer_seconds")
                                                                .Help("Arrival to the first byte of a stream.")
                                                                .Register(registry);
    prometheus::Family<prometheus::Histogram> &waits = prometheus::BuildHistogram()
                                                           .Name("apricotstep_entry_wait_seconds")
                                                           .Help("Arrival to the first sending: the wait for an adapter or an upstream.")
                                                           .Register(registry);
    prometheus::Gauge &slowEngines = prometheus::BuildGauge()
                                         .Name("apricotstep_entry_slow_engines")
                                         .Help("Engines that are slower than others under the same load, as this node knows.")
                                         .Register(registry)
                                         .Add({});
    prometheus::Histogram &answerLengthRatios = prometheus::BuildHistogram()
                                                    .Name("apricotstep_entry_answer_length_ratio")
                                                    .Help("Observed by expected number of events, whole answers of streams.")
                                                    .Register(registry)
                                                    .Add({}, LengthRatioBounds);
    prometheus::Family<prometheus::Gauge> &gauges =
        prometheus::BuildGauge().Name("apricotstep_entry_state").Help("What the node believes, by name.").Register(registry);

    std::string teamLabel(const TeamName &team)
    {
        if (labelledTeams.size() < MaxLabelledTeams) {
            labelledTeams.insert(team);
        }
        return labelledTeams.contains(team) ? team.value() : "other";
    }
    void setGauge(const char *name, double value)
    {
        gauges.Add({ { "name", name } }).Set(value);
    }
};

const char *outcomeName(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Served:
        return "served";
    case RequestOutcome::Refused:
        return "refused";
    case RequestOutcome::Failed:
        return "failed";
    case RequestOutcome::Truncated:
        return "broken_off";
    case RequestOutcome::CallerGone:
        return "caller_gone";
    }
    return "unknown";
}

EntryMetrics::EntryMetrics()
    : d(std::make_unique<Private>())
{
}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::requestEnded(RequestKind kind, RequestOutcome outcome, Duration took)
{
    d->requests.Add({ { "kind", kindLabel(kind) }, { "outcome", outcomeName(outcome) } }).Increment();
    if (outcome == RequestOutcome::Served) {
        d->durations.Add({ { "kind", kindLabel(kind) } }, BucketBounds).Observe(took.toSeconds());
    }
}

void EntryMetrics::answerBegan(RequestKind kind, Duration after)
{
    d->firstBytes.Add({ { "kind", kindLabel(kind) } }, BucketBounds).Observe(after.toSeconds());
}

void EntryMetrics::answerLength(std::uint64_t events, double expectedEvents)
{
    d->answerLengthRatios.Observe(static_cast<double>(events) / expectedEvents);
}

void EntryMetrics::streamEnded(StreamTiming timing)
{
    d->streams.Add({ { "timing", timingName(timing) } }).Increment();
}

void EntryMetrics::sent(RequestKind kind, Duration waited, bool isRepeat)
{
    d->sentRequests.Add({ { "kind", kindLabel(kind) }, { "repeat", isRepeat ? "yes" : "no" } }).Increment();
    if (!isRepeat) {
        d->waits.Add({ { "kind", kindLabel(kind) } }, BucketBounds).Observe(waited.toSeconds());
    }
}

void EntryMetrics::sentOutOfScope()
{
    d->requestsOutOfScope.Increment();
}

void EntryMetrics::upstreamFailed(std::string_view what)
{
    d->upstreamFailures.Add({ { "what", std::string(what) } }).Increment();
}

void EntryMetrics::upstreamLimitChanged(bool isLimited)
{
    d->upstreamLimits.Add({ { "change", isLimited ? "named" : "lifted" } }).Increment();
}

void EntryMetrics::upstreamRests()
{
    d->upstreamRests.Increment();
}

void EntryMetrics::upstreamEnded()
{
    d->endedUpstreams.Increment();
}

void EntryMetrics::brittleRefusal()
{
    d->brittleRefusals.Increment();
}

void EntryMetrics::serviceReachability(bool isReachable)
{
    d->reachabilityChanges.Add({ { "state", isReachable ? "reachable" : "unreachable" } }).Increment();
}

void EntryMetrics::upstreamProbed(std::string_view result)
{
    d->upstreamProbes.Add({ { "result", std::string(result) } }).Increment();
}

void EntryMetrics::quarantine(std::string_view what)
{
    d->quarantineEvents.Add({ { "event", std::string(what) } }).Increment();
}

void EntryMetrics::relayed(std::string_view direction)
{
    d->relayedRequests.Add({ { "direction", std::string(direction) } }).Increment();
}

void EntryMetrics::resumed(std::string_view knownBy)
{
    d->resumedStreams.Add({ { "known_by", std::string(knownBy) } }).Increment();
}

void EntryMetrics::slowReader(std::string_view outcome)
{
    d->slowReaders.Add({ { "outcome", std::string(outcome) } }).Increment();
}

void EntryMetrics::clientLimit(ClientLimit limit)
{
    d->clientLimits.Add({ { "limit", std::string(clientLimitName(limit)) } }).Increment();
}

void EntryMetrics::withheld()
{
    d->withheldRequests.Increment();
}

void EntryMetrics::noEngineMemory()
{
    d->noEngineMemory.Increment();
}

void EntryMetrics::answerNotDelivered()
{
    d->answersNotDelivered.Increment();
}

void EntryMetrics::keyRefused(std::string_view reason)
{
    d->keyRefusals.Add({ { "reason", std::string(reason) } }).Increment();
}

void EntryMetrics::teamRequest(const TeamName &team, std::string_view decision)
{
    d->teamRequests.Add({ { "team", d->teamLabel(team) }, { "decision", std::string(decision) } }).Increment();
}

void EntryMetrics::teamCredit(const TeamName &team, std::string_view what, double amount)
{
    d->teamCredits.Add({ { "team", d->teamLabel(team) }, { "what", std::string(what) } }).Increment(amount);
}

void EntryMetrics::order(std::string_view answer)
{
    d->orders.Add({ { "answer", std::string(answer) } }).Increment();
}

std::string EntryMetrics::text(const EntryGauges &gauges) const
{
    d->setGauge("config_version", static_cast<double>(gauges.configVersion));
    d->setGauge("store_silence_seconds", gauges.timeSinceStoreResponse.toSeconds());
    d->setGauge("peers_alive", gauges.peersAlive);
    d->setGauge("upstreams", gauges.upstreams);
    d->setGauge("requests_in_progress", gauges.requestsInProgress);
    d->setGauge("log_lines_dropped", static_cast<double>(gauges.logLinesDropped));
    d->setGauge("config_age_seconds", gauges.configurationAge.toSeconds());
    d->setGauge("unreachable_services", gauges.unreachableServices);
    d->setGauge("held_contents", gauges.heldContents);
    d->setGauge("answer_bytes", static_cast<double>(gauges.answerBytes));
    d->setGauge("body_bytes", static_cast<double>(gauges.bodyBytes));
    d->setGauge("connection_bytes", static_cast<double>(gauges.connectionBytes));
    d->slowEngines.Set(gauges.slowEngines);
    d->setGauge("ready", gauges.isReady ? 1 : 0);
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, d->registry.Collect());
    return out.str();
}

} // namespace ApricotStep
