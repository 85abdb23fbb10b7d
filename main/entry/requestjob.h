#pragma once

#include "coordination/upstreamchoice.h"
#include "main/entry/requestforwarder.h"
#include "platform/requests.h"
#include "protocol/eventsplitter.h"
#include "state/routetable.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ApricotStep
{

/** What a job needs from its forwarder. */
class RequestContext
{
public:
    virtual ~RequestContext() = default;
    virtual IoLoop &loop() = 0;
    virtual EventLog &log() = 0;
    virtual ClusterState &clusterState() = 0;
    virtual EntryMetrics &metrics() = 0;
    virtual const ForwarderSettings &settings() const = 0;
    virtual const ForwarderCallbacks &callbacks() const = 0;
    virtual std::mt19937_64 &random() = 0;
    /** Takes one arrival beyond the first out of the service's budget; false when none is left. */
    virtual bool takeRetry(const ServiceName &service) = 0;
    /** Requests for this adapter wait long at all its copies. */
    virtual void reportCrowded(const AdapterRef &adapter) = 0;
    /** A request reached its service for the first time. */
    virtual void reportFirstArrival(const ServiceName &service) = 0;
    virtual void onEnded(std::uint64_t job) = 0;
};

/** One attempt of a caller, from its arrival to the end of its answer. */
class RequestJob : public std::enable_shared_from_this<RequestJob>
{
public:
    RequestJob(RequestContext &context, std::uint64_t number, HttpRequest request, Platform::CallerRequest decoded,
        std::shared_ptr<const RouteTable> table, const Route &route, std::shared_ptr<HttpExchange> exchange);

    void start();
    /** Looks for an upstream again; only does something while the job waits for one. */
    void retryPlacement();
    /** What this job runs on or waits for; empty when it needs no adapter. */
    std::optional<AdapterUse> adapterUse();
    /** The adapter that this job waits for, if it does. */
    std::optional<AdapterUse> pendingAdapter() const;

private:
    enum class Phase {
        /** For an upstream that can take it. */
        Waiting,
        /** At an upstream, which has not answered. */
        Sent,
        /** The answer's head has come and the body goes on to the caller or is gathered. */
        Answering,
        Ended,
    };
    /** How the upstreams that were tried left the request. */
    enum class ExecutionState {
        NotRun,
        MayHaveRun,
    };

    Time now() const;
    Duration timeLeft() const;
    Duration firstByteTimeLeft() const;
    bool isRepeatable() const;
    bool needsAdapter() const;
    AdapterRef adapter() const;
    std::uint32_t promptTokens() const;

    void tryNext();
    void wait();
    std::vector<UpstreamOption> options();
    AdapterUse waitingAdapterUse() const;
    /** The time that so many fetches of an adapter take, as observed. */
    Duration fetchTime(double count) const;
    bool isUsable(const UpstreamRecord &record);
    bool canWaitForAdapter() const;
    std::optional<Duration> retryDelayIfTooLate() const;
    void send(const UpstreamRecord &record);
    HttpCall makeCall(const UpstreamRecord &record);
    bool maySend() const;
    bool acceptsHead(int status, const HttpHeaders &headers);
    void onHead();
    bool onData(std::string_view data);
    void onDone(const CallResult &result);
    void onAnswered();
    void onNotRun();
    void onIncompleteAnswer(const CallResult &result);
    void onStreamInterrupted();
    void onServerFailure();
    void endAttempt();
    /** Ends the attempt in progress, which tells its upstream to stop; false when there is none. */
    bool cancelAttempt();
    void retryOrGiveUp(ErrorKind kind);

    void deliver(const Platform::UpstreamAnswer &answer, std::string body);
    void giveUp(ErrorKind kind);
    void refuse(ErrorKind kind, Duration retryAfter);
    void abortStream(const std::string &reason);
    void onDeadline();
    void onCallerGone();
    void onDrained();
    void watchForStall();
    void end(RequestOutcome outcome, const std::string &reason);

    RequestContext &m_context;
    std::uint64_t m_number;
    HttpRequest m_request;
    Platform::CallerRequest m_decoded;
    /** Keeps the route alive: a change of the configuration never moves a request that has begun. */
    std::shared_ptr<const RouteTable> m_table;
    const Route &m_route;
    ServiceName m_service;
    std::shared_ptr<HttpExchange> m_exchange;

    Time m_arrivedAt;
    Time m_deadline;
    Phase m_phase = Phase::Waiting;
    ExecutionState m_executionState = ExecutionState::NotRun;
    /** Upstreams that may have begun to run it. */
    int m_possibleRuns = 0;
    int m_attemptsSent = 0;
    bool m_isCounted = false;
    bool m_hasWaited = false;
    std::set<UpstreamId> m_excluded;
    TimerId m_deadlineTimer = 0;
    TimerId m_waitTimer = 0;
    TimerId m_stallTimer = 0;

    // The attempt in progress.
    CallId m_call = 0;
    UpstreamRecord m_upstream;
    AdapterVersion m_version;
    std::optional<Platform::UpstreamAnswer> m_answer;
    std::string m_body;
    bool m_isPromptPending = false;
    Time m_sentAt;
    Time m_lastReceivedAt;

    // Of a stream that goes to the caller.
    bool m_isStreaming = false;
    bool m_isPaused = false;
    EventSplitter m_events;
    /** A server's own failure, kept to be handed on if nothing better comes. */
    std::optional<Platform::UpstreamAnswer> m_failure;
    std::string m_failureBody;
};

} // namespace ApricotStep
