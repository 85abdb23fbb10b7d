#pragma once

#include "coordination/answermemory.h"
#include "coordination/eventgapmonitor.h"
#include "coordination/relaychoice.h"
#include "coordination/requestcontent.h"
#include "coordination/upstreamchoice.h"
#include "main/entry/answerdelivery.h"
#include "main/entry/crashguard.h"
#include "main/entry/reachabilityprober.h"
#include "main/entry/requestforwarder.h"
#include "platform/requests.h"
#include "protocol/eventsplitter.h"
#include "state/routetable.h"
#include "transport/callhandle.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ApricotStep
{

class RequestJob;

/** Services that the forwarder provides to its jobs. */
class RequestContext
{
public:
    virtual ~RequestContext() = default;
    virtual IoLoop &loop() = 0;
    virtual EventLog &log() = 0;
    virtual ClusterState &clusterState() = 0;
    virtual EntryMetrics &metrics() = 0;
    virtual UpstreamStatements &upstreamStatements() = 0;
    virtual ReachabilityProber &reachabilityProber() = 0;
    virtual CrashGuard &crashGuard() = 0;
    virtual AnswerMemory &answerMemory() = 0;
    /** Ends answers whose callers have not read them until the others have enough memory; may end the job that calls. */
    virtual void freeAnswerMemory() = 0;
    virtual AnswerDelivery &answerDelivery() = 0;
    virtual const ForwarderSettings &settings() const = 0;
    virtual const ForwarderCallbacks &callbacks() const = 0;
    virtual std::mt19937_64 &random() = 0;
    /** Takes one retry out of the retry budget of @p service; returns false if none is left. */
    virtual bool takeRetry(const ServiceName &service) = 0;
    /** Reports that @p upstream turned a request away because it is full. */
    virtual void reportFull(const UpstreamRecord &upstream) = 0;
    /** Reports that requests for @p adapter wait too long at every engine that has it loaded. */
    virtual void reportCrowded(const AdapterRef &adapter) = 0;
    /** Called once per request, when it first reaches its service; adds to the retry budget. */
    virtual void reportFirstArrival(const ServiceName &service) = 0;
    virtual void onEnded(std::uint64_t job) = 0;
    /**
     * Reserves a part of the upstream's limit for a request. If the decision takes time, @p id identifies the reservation, and onReserved()
     * of @p job follows.
     */
    virtual std::optional<Admission> reserve(const UpstreamRecord &upstream, const std::shared_ptr<RequestJob> &job, AdmissionId &id) = 0;
    virtual void cancelReservation(const UpstreamRecord &upstream, AdmissionId id) = 0;
    /** Asks other nodes where a stream began; onOrigin() of @p job follows. */
    virtual void lookUpOrigin(const StreamQuery &query, const std::shared_ptr<RequestJob> &job) = 0;
    /** The request for which a part was reserved at @p reservedAt was not sent. */
    virtual void returnReservation(const UpstreamRecord &upstream, Time reservedAt) = 0;
    /** A request of @p team that was admitted at @p admittedAt did not run. */
    virtual void giveBackCredit(const Team &team, double cost, Time admittedAt) = 0;
};

/** The team of a request's caller. */
struct RequestTeam
{
    /** Null if there are no teams, or if a request on a public route has no known key. */
    const Team *team = nullptr;
    /** In units of the team's limit; 0 if it has none. */
    double cost = 0;
    Time admittedAt;
};

/** Handles one request of a caller, from its arrival to the end of its answer. */
class RequestJob : public std::enable_shared_from_this<RequestJob>
{
public:
    RequestJob(RequestContext &context, std::uint64_t number, HttpRequest request, Platform::CallerRequest decoded,
        std::shared_ptr<const RouteTable> table, const Route &route, const RequestTeam &team, std::shared_ptr<HttpExchange> exchange,
        Time arrivedAt, RequestSource source);

    /** The request continues a stream that began there. To be called before start(). */
    void bindTo(const StreamOrigin &origin);
    void start();
    /** Tries again to choose an upstream; does nothing unless the job is waiting for one. */
    void retryPlacement();
    /** The reservation of a part of the upstream's limit has been decided. */
    void onReserved(const Admission &admission);
    /** It is known where the stream began that the request continues, or that no node in reach knows. @p source is for log and metrics. */
    void onOrigin(const std::optional<StreamOrigin> &origin, std::string_view source);
    /** Updates in answerMemory() what the caller has not read. */
    void accountUnread();
    /** Ends a stream that the caller reads so slowly that the node has no memory left. */
    void endSlowReader();
    /** The node stops: ends the request with an answer, or breaks its stream off. */
    void onNodeStops();
    /** Returns the adapter that this job runs on or waits for; empty if it needs none. The first call counts the job as new. */
    std::optional<AdapterUse> adapterUse();
    /** Returns the adapter that this job waits for, if any. */
    std::optional<AdapterUse> pendingAdapter() const;
    /** The store lists a new start of an upstream, which may have begun the stream of the attempt in progress already. */
    void onUpstreamStarted(const UpstreamRecord &record);
    /** The attempt at an upstream in progress, if any. */
    std::optional<UnansweredRequest> attemptInProgress() const;
    /** How long the attempt in progress has received nothing; zero if there is none, or if it waits for the caller. */
    Duration silence(Time now) const;

private:
    enum class Phase {
        /** Waits for other nodes to tell where the stream began that the request continues. */
        LookingUp,
        /** No upstream can take the request yet. */
        Waiting,
        /** Waits for a part of the limit of the chosen upstream. */
        Reserving,
        /** Sent to an upstream that has not answered yet. */
        Sent,
        /** The answer's head was received; its body is being streamed to the caller or buffered. */
        Answering,
        Ended,
    };
    /** Whether any upstream tried so far may have run the request. */
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
    RequestCost requestCost() const;
    ChoiceParameters choiceParameters() const;
    /** The priority of the caller's team, if it has one, otherwise that of the route; 0 is the highest. */
    int priority() const;

    void findOrigin();
    /** Whether the upstream may run the request: it runs the software that began the stream, if that has begun. */
    bool isOfOrigin(const UpstreamRecord &record) const;
    /** Whether the upstream may begin the answer, if nobody has begun it yet. */
    bool mayBegin(const UpstreamRecord &record) const;
    /** Whether an upstream of the software that began the stream may get work. */
    bool hasUpstreamOfOrigin() const;
    /** The stream begins with this attempt: remembers where, for its caller's next request. */
    void rememberOrigin();
    void tryNext();
    /** Whether an attempt may begin, by what the request holds. */
    bool isContentAllowed();
    void wait();
    std::vector<UpstreamOption> options();
    AdapterUse waitingAdapterUse() const;
    /** Returns the time that @p count fetches of an adapter take, from the shortest fetch observed. */
    Duration fetchTime(double count) const;
    bool isUsable(const UpstreamRecord &record);
    /** Whether this node may send to the upstream now, by what the upstream stated in its answers. */
    bool isPermitted(const UpstreamRecord &record);
    /** The tokens that the request reserves at an engine of its service; 0 if their memory is not limited. */
    double reservation() const;
    double engineCapacity() const;
    /** How slow the engine is, 1 if usual or if the placement policy ignores it. */
    double slowness(const UpstreamRecord &record) const;
    /** Whether an engine with this load has room for the request. */
    bool hasRoom(const UpstreamRecord &record, const FleetLoad &load);
    /** No engine has room for the request: waits, or refuses it if it cannot be answered in time. */
    void waitForMemory();
    /** Retry-After of a refusal for lack of an upstream. */
    Duration retryAfterRefusal() const;
    /** Whether requests may still run on @p version of the adapter. */
    bool isVersionUsable(const AdapterVersion &version) const;
    /** The engines outside of this node's scope that have the adapter loaded and whose load is known. */
    std::vector<UpstreamOption> outOfScopeOptions();
    /** Sends the request out of scope if that is better than @p inScope, which may be null. Returns whether it did. */
    bool sendOutOfScope(const UpstreamOption *inScope);
    bool canWaitForAdapter() const;
    /** Whether no engine has the adapter and none has room for it. */
    bool isAdapterTooLarge() const;
    /** Sends the request through another node that reaches the upstreams. Returns false if there is none. */
    bool sendThroughRelay();
    HttpCall makeRelayCall();
    std::optional<Duration> retryDelayIfTooLate() const;
    /** Sends the request to the upstream, once a part of the upstream's limit is reserved if it has one. */
    void send(const UpstreamRecord &record, const AdapterVersion &version);
    void dispatch();
    void returnReservation();
    HttpCall makeCall(const UpstreamRecord &record);
    /** Sets what calls to upstreams and to relays have in common. */
    void prepareCall(HttpCall &call);
    /** The binding of the attempt in progress, without what only upstreams are told. */
    Platform::UpstreamBinding binding() const;
    /** Starts the attempt in progress; false if the retry budget does not allow it, which ends the request. */
    bool beginAttempt();
    bool maySend() const;
    bool acceptsHead(int status, const HttpHeaders &headers, const AnswerConnection &connection);
    void onHead();
    /** The answer to the attempt in progress goes to the caller from now on. */
    void beginAnswer();
    /** Whether the attempt in progress goes on with an answer that another one began. */
    bool continuesAnswer() const;
    /** Asks the engine at which the answer goes on whether it is the start that this node knows. What comes meanwhile is kept back. */
    void verifyStart();
    void onReport(const CallResult &result, const std::string &body);
    void onOtherStart();
    bool onData(std::string_view data);
    /** Whether the answer in progress is delivered as a whole, rather than event by event. */
    bool isKeptWhole() const;
    std::string exceededLimit(std::string_view data) const;
    /** Whether the attempt in progress may go on with this part of its answer. */
    bool acceptsData(std::string_view data);
    /** Accounts for what this job has kept of answers. */
    void accountMemory();
    /** Lets other answers give way if the memory is used up. May end this job. */
    void makeRoom();
    /** Whether the upstream has to wait, since the caller has more unread bytes than the node keeps for one. */
    bool mustPause();
    void discardAnswer();
    /** Observes the speed of the engine, which has just delivered @p eventCount events. */
    void observeSpeed(int eventCount);
    /** An upstream has answered the attempt in progress, or begun to. */
    void reportAnswered(AnswerProgress progress);
    void onDone(const CallResult &result);
    /** The attempt that has just ended may have reached an upstream. */
    void countSentAttempt();
    void onNotSent(const CallResult &result);
    void onAnswered();
    /** Whether the upstream of the attempt in progress has sent a part of an answer. */
    bool hasBegunToAnswer() const;
    /** How long the upstream has been sending the events of the attempt in progress. */
    Duration answerAge() const;
    /** Whether the stream of the attempt has been broken off although its connection ended in order. */
    bool isStreamBrokenOff() const;
    void onNotRun();
    /** The relay answered itself: the upstream's answer is not known. */
    void onRelayError();
    void onIncompleteAnswer(const CallResult &result);
    bool hasAttemptsLeft() const;
    void onStreamInterrupted();
    void onServerFailure();
    void endAttempt();
    /** The attempt in progress, or the last one. */
    UnansweredRequest unansweredRequest() const;
    /** This node ends the attempt in progress. */
    void reportIfSilent();
    /** Cancels the attempt in progress, which tells its upstream to stop; returns false if there is none. */
    bool cancelAttempt();
    void retryOrGiveUp(ErrorKind kind);

    void deliver(const Platform::UpstreamAnswer &answer, std::string body);
    void giveUp(ErrorKind kind);
    void refuse(ErrorKind kind, Duration retryAfter);
    void abortStream(const std::string &reason);
    void onDeadline();
    void onCallerGone();
    void onDrained();
    StreamTiming streamTiming() const;
    void reportStreamTiming();
    void end(RequestOutcome outcome, const std::string &reason);
    /** The caller's hint at the length of the answer, in tokens. */
    std::optional<std::uint32_t> lengthHint() const;
    /** The maximum length of the answer, in tokens; 0 if unknown. */
    std::uint32_t maxAnswerTokens() const;
    /** The stream has ended: learns its length, unless this node has not observed one attempt deliver all of it. */
    void learnLength();
    void logEnd(RequestOutcome outcome, const std::string &reason);

    RequestContext &m_context;
    std::uint64_t m_number;
    HttpRequest m_request;
    Platform::CallerRequest m_decoded;
    RequestContent m_content;
    /** Keeps m_route alive; a request keeps the configuration that was active when it arrived. */
    std::shared_ptr<const RouteTable> m_table;
    const Route &m_route;
    RequestTeam m_team;
    ServiceName m_service;
    std::shared_ptr<HttpExchange> m_exchange;
    RequestSource m_source;
    int m_maxAttempts = 1;

    Time m_arrivedAt;
    Time m_deadline;
    /** Unset if nothing is known, or the request is no stream. */
    std::optional<AnswerLength> m_expectedLength;
    Phase m_phase = Phase::Waiting;
    ExecutionState m_executionState = ExecutionState::NotRun;
    /** Number of attempts that an upstream may have begun to run. */
    int m_possibleRuns = 0;
    /** Number of attempts that may have reached an upstream. */
    int m_attemptsSent = 0;
    /** Whether adapterUse() has counted this job as new. */
    bool m_isCounted = false;
    bool m_hasWaited = false;
    /** Upstreams that refused or failed the request or could not be reached; not chosen again until the job waits. */
    std::set<UpstreamId> m_excluded;
    /** Nodes through which the request was not served. */
    std::set<NodeId> m_excludedRelays;
    /** When the first of the upstreams that do not accept the request now may do so; unset if there are none. */
    std::optional<Time> m_withheldUntil;
    /** Where the stream began that the request continues; unset if it has not begun, or it is not known where. */
    std::optional<StreamOrigin> m_origin;
    bool m_hasBeenWithheld = false;
    /** An engine was left out of the last choice because it lacks room for the request. */
    bool m_isEngineFull = false;
    bool m_hasLackedMemory = false;
    TimerId m_deadlineTimer = 0;
    TimerId m_waitTimer = 0;

    // The attempt in progress.
    CallHandle m_call;
    /** The call that asks for the engine's report. */
    CallHandle m_verification;
    /** What has arrived of the answer since then. */
    std::string m_unverifiedData;
    std::optional<CallResult> m_unverifiedResult;
    UpstreamRecord m_upstream;
    AdapterVersion m_version;
    /** Set while the attempt goes through another node, which chooses the upstream. */
    std::optional<RelayNode> m_relay;
    std::optional<Platform::UpstreamAnswer> m_answer;
    AnswerConnection m_answerConnection;
    /** Where the stream began, by the node through which the attempt goes. */
    std::optional<StreamOrigin> m_relayedOrigin;
    std::string m_body;
    /** Why this node broke off the attempt in progress; empty if it did not. */
    std::string m_breakReason;
    /** What answerMemory() counts for this job. */
    std::size_t m_accountedBytes = 0;
    /** Whether this job may keep as much as it does. */
    bool m_hasMemory = true;
    /** Tokens reserved at the engine. */
    std::uint32_t m_reservedTokens = 0;
    /** The engine has not read the prompt yet, so the load tracker still counts its tokens as pending. */
    bool m_isPromptPending = false;
    AdmissionId m_reservation;
    /** Another upstream had already ended under the request when one broke it off. */
    bool m_isAccused = false;
    /** The content is held back, and this request may try it once. */
    bool m_isTrial = false;
    /** When a part of the upstream's limit was reserved for the attempt. */
    std::optional<Time> m_reservedAt;
    Time m_sentAt;
    Time m_lastReceivedAt;

    // State of a stream that is being sent to the caller.
    bool m_isStreaming = false;
    bool m_isPaused = false;
    /** The caller has been counted as a slow reader whose answer is kept, or does not go on. */
    bool m_isCountedBuffered = false;
    bool m_isCountedPaused = false;
    /** The attempt in progress has delivered an event. */
    bool m_hasEvents = false;
    /** When it was last reported that its answer goes on. */
    Time m_progressReportedAt;
    /** When the attempt in progress last delivered events, if the next ones show the engine's speed. */
    std::optional<Time> m_lastEventsAt;
    /** The attempt in progress has been paused: what has piled up meanwhile arrives in bursts. */
    bool m_hasPaused = false;
    EventSplitter m_events;
    /** Number of events of the stream that earlier attempts delivered. */
    std::uint64_t m_eventsBefore = 0;
    Time m_firstEventAt;
    Time m_lastEventAt;
    EventGaps m_eventGaps;
    /** Time from the arrival to the first event; unset before it. */
    std::optional<Duration> m_firstEventAfter;
    /** An upstream's error answer, forwarded to the caller if no retry gives a better one. */
    std::optional<Platform::UpstreamAnswer> m_failure;
    std::string m_failureBody;
};

} // namespace ApricotStep
