#pragma once

#include "coordination/requestcontent.h"
#include "coordination/upstreamdirectory.h"
#include "core/clock.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

namespace ApricotStep
{

// Some content ends each upstream that begins to answer it: a whole request that its caller repeats, or a part of the prompts of many
// requests, on every adapter or on one. Callers come with new request ids and at any node, and no node sees more than a few of the crashes.
// An upstream that ends takes all its requests with it, so a crash alone accuses sound content as well.
//
// So nodes tell each other what upstreams were asked when they ended. Content is held back once several upstreams in a row have ended under
// it, at different moments, and none has answered it in between, which a sound request, or one that many callers share, does not survive by
// chance. Where upstreams end often for reasons of their own, that takes more crashes: how long they had the content, and how often others
// end, tell how many of them would have ended by chance. Any node that knows of an answer objects, as most do for a part that many share.
// The beginning of an answer counts like a whole one until an upstream ends in the middle of an answer to the same content; from then on an
// answer must have gone on for some time, since upstreams may end while they write, too. A part must have ended upstreams in several
// different requests: what two deadly requests share is not to blame. A crash under a part that is held back accuses nothing else; one
// under a held request accuses its own parts only. Held content gets a few trials, each by a single node of the fleet, and is released once
// an upstream answers it.

struct ContentQuarantineLimits
{
    /** Crashes under the same content, without an answer to it in between, after which it is held back. */
    int crashesToHold = 3;
    /**
     * The same for what is less likely to be to blame: a part on one adapter, content that upstreams have answered before, and content that
     * upstreams had begun to answer when they ended.
     */
    int crashesToHoldOnAdapter = 4;
    int crashesToHoldBegunRequest = 4;
    int crashesToHoldAnswered = 5;
    int crashesToHoldBegunPart = 5;
    int crashesToHoldBegunOnAdapter = 6;
    /** A part is held back only if fewer requests than this do not account for all of its crashes. */
    int requestsToHoldPart = 3;
    /** Crashes closer together than this count as one: a rack that fails or a release ends many upstreams at the same moment. */
    Duration minCrashInterval { 50 };
    /** The same for a part on one adapter: upstreams that end in turn take many requests with it, and few others have it. */
    Duration minCrashIntervalOnAdapter { 300 };
    /** Content is held back this long after the last crash needed became known, unless a node knows of an answer. */
    Duration objectionTime { 300 };
    Duration objectionTimeUnlikely { 1000 };
    /** Reports that arrive within this time are weighed together; short against the objection time. */
    Duration reviewInterval { 100 };
    /**
     * Content is held back only if as many of its upstreams would end by chance with at most this probability, at the rate at which other
     * upstreams of the service end.
     */
    double maxChance = 1e-6;
    /** Ends are not timed more closely: what an upstream had for a shorter time counts like this. */
    Duration minExposure { 100 };
    /** The longest time over which the rate of ends is observed. */
    Duration rateWindow = Duration::seconds(30);
    /**
     * Where upstreams end in the middle of answers, an answer counts once it has gone on for this times the mean time that those had
     * gone on for.
     */
    double survivalFactor = 1.5;
    /** Crashes longer ago do not count. */
    Duration crashMemory = Duration::seconds(300);
    /** How long this node remembers that upstreams answered its requests. */
    Duration answerMemory = Duration::seconds(60);
    /** How long this node repeats to its peers what it has learned. */
    Duration repeatTime = Duration::seconds(1);
    /** This long after a report of a crash, nodes object to it. */
    Duration objectionWindow = Duration::seconds(3);
    /** Requests with held content that may still be sent by all nodes together. */
    int maxTrials = 2;
    /** Time from the last crash to the first trial. Each further trial takes this times the trial backoff, again and again. */
    Duration firstTrialAfter = Duration::seconds(10);
    int trialBackoff = 4;
    /** Nodes may begin a trial one after the other, so that the first can tell the others. */
    Duration trialStagger { 500 };
    /** Content that nobody has asked for this long is released. */
    Duration lapseAfter = Duration::seconds(600);
    std::size_t maxCrashes = 256;
    /** Requests of one crash that one node reports. */
    std::size_t maxSuspects = 24;
    std::size_t maxAnswers = 16384;
};

/** A request that an upstream had when it ended. */
struct CrashSuspect
{
    RequestContent content;
    /** The upstream had sent a part of the answer. */
    bool hasBegun = false;
    /** How long the upstream had the request. */
    Duration exposure {};
    /** How long it had been sending the answer; zero if it had not begun. */
    Duration answerAge {};

    bool operator==(const CrashSuspect &) const = default;
};

/** The upstreams among which one has ended. */
struct UpstreamGroup
{
    ServiceName service {};
    /** How many there are; 0 if not known. */
    int size = 0;

    bool operator==(const UpstreamGroup &) const = default;
};

/** Requests of a node that an upstream had when it ended. */
struct CrashReport
{
    UpstreamStart upstream;
    /** Since it ended. */
    Duration age;
    std::vector<CrashSuspect> suspects;
    UpstreamGroup group {};

    bool operator==(const CrashReport &) const = default;
};

enum class AnswerProgress {
    Begun,
    /** It has gone on for ContentQuarantine::BeginningTime or longer, and still does. */
    Continued,
    Whole,
};

/** An upstream has answered a request with this content, or begun to. */
struct AnsweredContent
{
    ContentDigest content;
    /** Since then. */
    Duration age;
    AnswerProgress progress = AnswerProgress::Whole;
    /** How long the answer had gone on by then; for answers in progress. */
    Duration answerAge {};

    bool operator==(const AnsweredContent &) const = default;
};

/** Content that is held back, as nodes tell each other. */
struct HeldContent
{
    ContentDigest content;
    int crashes = 0;
    Duration sinceFirstCrash;
    Duration sinceLastCrash;
    int trials = 0;
    /** Unset without trials. */
    std::optional<Duration> sinceLastTrial;
    /** Since a caller last asked for it. */
    Duration sinceLastRequest;

    bool operator==(const HeldContent &) const = default;
};

/** What one node tells the others. */
struct QuarantineStatements
{
    std::vector<CrashReport> crashes;
    std::vector<AnsweredContent> answers;
    std::vector<HeldContent> held;

    bool isEmpty() const
    {
        return crashes.empty() && answers.empty() && held.empty();
    }
    bool operator==(const QuarantineStatements &) const = default;
};

/** Requests with the content are refused from now on. */
struct ContentHeldBack
{
    ContentDigest content;
    /** Unset if a peer told of it. */
    std::optional<ContentElement::Kind> kind;
    int crashes = 0;
    /** Those that ended, as far as this node knows. */
    std::vector<UpstreamId> upstreams;
    /** How long these had it, in sum. */
    Duration exposure {};
    /** How many of them would have ended by chance in that time; 0 if not known. */
    double expectedCrashes = 0;
};
/** Requests with the content are sent again. */
struct ContentReleased
{
    enum class Reason {
        /** An upstream has answered it. */
        Answered,
        /** Nobody has asked for it for long. */
        Lapsed,
    };
    ContentDigest content;
    Reason reason = Reason::Answered;
};
using QuarantineChange = std::variant<ContentHeldBack, ContentReleased>;

/** Decides which content is held back because upstreams end under it. Not thread-safe. */
class ContentQuarantine
{
public:
    /**
     * The order in which nodes may begin a trial of some content, 0 for the first; unset if this node must not, since it may not know of
     * the trials of others.
     */
    using TrialRank = std::function<std::optional<int>(ContentDigest)>;

    /**
     * Where upstreams end in the middle of answers, an answer counts once it has gone on for so long at least. Otherwise the content would
     * be cleared by its own next beginnings, as long as nobody knows that those have ended upstreams as well: hosts that fall silent are
     * recognised late.
     */
    static constexpr Duration BeginningTime { 500 };

    /** Whether an upstream was leaving when this start of it ended. */
    using PlannedEnds = std::function<bool(const UpstreamStart &)>;

    explicit ContentQuarantine(ContentQuarantineLimits limits);

    /**
     * Ends that @p planned knows accuse nothing. It is asked each time, since a node may learn of a leaving upstream only after its end, or
     * after others have reported the end to it.
     */
    void setPlannedEnds(PlannedEnds planned);

    /** An upstream of @p group ended at @p at, while it had @p suspects of this node. Returns whether peers must know at once. */
    bool onCrash(
        const UpstreamStart &upstream, const std::vector<CrashSuspect> &suspects, Time at, Time now, const UpstreamGroup &group = {});
    /**
     * An upstream has answered a request of this node, or begun to, or goes on; then for @p answerAge by now. Returns whether peers must
     * know at once.
     */
    bool onAnswered(const RequestContent &content, AnswerProgress progress, Time now, Duration answerAge = {});
    void onPeerStatements(const QuarantineStatements &statements, Time now);
    /** Whether an upstream has already ended under the request, and none has answered it to the end since. */
    bool isAccused(ContentDigest request) const;
    /** Returns the held content of a request that must not be sent, if any. */
    std::optional<ContentDigest> heldBy(const RequestContent &content, Time now);
    /** A caller asks for held content. Returns whether its request may be sent as a trial; peers must then know at once. */
    bool beginTrial(const RequestContent &content, const TrialRank &rank, Time now);
    /** What to tell the peers. @p isFull: also what they were told before, for those that missed it. */
    QuarantineStatements statements(bool isFull, Time now);
    /** Returns what has changed since the last call. */
    std::vector<QuarantineChange> takeChanges();
    std::size_t heldCount() const
    {
        return m_held.size();
    }

private:
    struct Suspect : CrashSuspect
    {
        std::vector<ContentElement> elements;

        explicit Suspect(const CrashSuspect &suspect)
            : CrashSuspect(suspect)
            , elements(elementsOf(suspect.content))
        {
        }
    };
    struct Crash
    {
        Time at;
        Time knownSince;
        UpstreamGroup group;
        std::vector<Suspect> suspects;
        /** Those of this node, which it tells its peers until then. */
        std::vector<CrashSuspect> ownSuspects;
        Time tellUntil;
    };
    /** The latest answers to some content. */
    struct AnswerTimes
    {
        std::optional<Time> wholeAt;
        std::optional<Time> continuedAt;
        /** How long the answer had gone on by then: the longest of those that went on lately. */
        Duration continuedAge;
        std::optional<Time> begunAt;

        void add(AnswerProgress progress, Time at, Duration answerAge);
    };
    struct Answer
    {
        AnswerTimes known;
        /** Those that all nodes were told of. */
        AnswerTimes told;
        /** This node tells its peers until then. */
        Time tellUntil;
    };
    struct Held
    {
        int crashes = 0;
        Time firstCrashAt;
        Time lastCrashAt;
        int trials = 0;
        std::optional<Time> lastTrialAt;
        Time lastRequestAt;
        /** This node tells its peers in each message until then. */
        Time tellUntil;
    };
    /** How many crashes accuse some content since it was last answered. */
    struct Evidence
    {
        ContentElement::Kind kind = ContentElement::Kind::Request;
        bool wasAnswered = false;
        /** An upstream ended in the middle of an answer. */
        bool hasBegun = false;
        int crashes = 0;
        /** The different requests with the content that the upstreams had. */
        absl::flat_hash_set<ContentDigest> requests;
        /** The same for each upstream. */
        std::vector<std::vector<ContentDigest>> requestsByCrash;
        Time firstAt;
        Time lastCountedAt;
        Time lastAt;
        /** When the crashes happened, also those that count together. */
        std::vector<Time> crashTimes;
        Duration exposure;
        double expectedCrashes = 0;
        /** When the crash became known with which there were enough to hold the content back. */
        std::optional<Time> sufficientSince;
        std::vector<const UpstreamStart *> upstreams;
    };
    /** Crashes of one service that no held content explains, the earliest first. */
    using CrashTimes = absl::flat_hash_map<ServiceName, std::vector<Time>>;
    /** Upstreams that ended in the middle of answers. */
    struct BrokenAnswers
    {
        Time lastAt;
        Duration totalAge;
        int count = 0;
    };
    /** Which answers clear content of earlier crashes. */
    enum class AnswerBasis {
        /** All that this node knows of. */
        Known,
        /** Those that the other nodes know of, too. */
        Told,
    };

    bool isPlanned(const UpstreamStart &start) const
    {
        return m_plannedEnds && m_plannedEnds(start);
    }
    void reviewSoon();
    /** All nodes were told of answers to the content. */
    void onTold(ContentDigest content, const AnswerTimes &told);
    void update(Time now);
    void forget(Time now);
    absl::flat_hash_map<ContentDigest, Evidence> evidence(AnswerBasis basis) const;
    std::optional<Time> answeredAt(ContentDigest content, AnswerBasis basis) const;
    bool isExplained(const Crash &crash) const;
    std::vector<const Suspect *> accusedBy(const Crash &crash) const;
    /** The latest answer that shows that upstreams survive the content. */
    std::optional<Time> latest(ContentDigest content, const AnswerTimes &times) const;
    void addEvidence(const UpstreamStart &upstream, const Crash &crash, AnswerBasis basis, const CrashTimes &crashTimes,
        absl::flat_hash_map<ContentDigest, Evidence> &result) const;
    /** Whether @p evidence, up to @p crash, has more crashes than its upstreams would have by chance. */
    bool isBeyondChance(const Crash &crash, const CrashTimes &crashTimes, Evidence &evidence) const;
    int crashesToHold(const Evidence &evidence) const;
    bool isSufficient(const Evidence &evidence) const;
    /** Whether each upstream had one of @p chosen, or of at most @p maxRequests further requests. */
    static bool areCoveredBy(const Evidence &evidence, int maxRequests, std::vector<ContentDigest> &chosen);
    static std::tuple<int, bool, bool, bool, bool, std::ptrdiff_t> order(const Evidence &evidence);
    static bool isUnlikely(const Evidence &evidence)
    {
        const bool isBegunPart = evidence.hasBegun && evidence.kind != ContentElement::Kind::Request;
        return evidence.wasAnswered || isBegunPart || evidence.kind == ContentElement::Kind::PartOnAdapter;
    }
    Crash &addCrash(
        const UpstreamStart &upstream, const std::vector<CrashSuspect> &suspects, const UpstreamGroup &group, Time at, Time now);
    void hold(ContentDigest content, const Evidence &evidence, Time now);
    void release(ContentDigest content, ContentReleased::Reason reason);
    void onPeerHeld(const HeldContent &statement, Time now);
    void objectToCrashes(Time now);
    Time nextTrialAt(const Held &held) const;
    bool isTrialDue(ContentDigest content, const TrialRank &rank, Time now) const;

    ContentQuarantineLimits m_limits;
    PlannedEnds m_plannedEnds;
    std::map<UpstreamStart, Crash> m_crashes;
    absl::flat_hash_map<ContentDigest, Answer> m_answers;
    /** The evidence by what all nodes were told, until something changes it. */
    std::optional<absl::flat_hash_map<ContentDigest, Evidence>> m_toldEvidence;
    absl::flat_hash_map<ContentDigest, BrokenAnswers> m_brokenAnswers;
    std::map<ContentDigest, Held> m_held;
    /** When the last report of a crash came. */
    Time m_crashKnownAt;
    /** When there may be enough evidence to hold back more. */
    Time m_reviewAt = Time::never();
    Time m_reviewedAt;
    std::vector<QuarantineChange> m_changes;
};

} // namespace ApricotStep
