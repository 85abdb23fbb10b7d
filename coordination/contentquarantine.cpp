#include "coordination/contentquarantine.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace ApricotStep
{

namespace
{

/** Adds those that are not known yet, up to @p limit. Returns whether any of them is news. */
template<typename Suspect>
bool addUnique(std::vector<Suspect> &suspects, const std::vector<CrashSuspect> &added, std::size_t limit)
{
    bool isNews = false;
    for (const CrashSuspect &suspect : added) {
        const auto known = std::find_if(
            suspects.begin(), suspects.end(), [&suspect](const CrashSuspect &other) { return other.content == suspect.content; });
        if (known != suspects.end()) {
            isNews = isNews || (suspect.hasBegun && !known->hasBegun) || suspect.exposure > known->exposure;
            known->hasBegun = known->hasBegun || suspect.hasBegun;
            known->exposure = std::max(known->exposure, suspect.exposure);
            known->answerAge = std::max(known->answerAge, suspect.answerAge);
        } else if (suspects.size() < limit) {
            suspects.emplace_back(suspect);
            isNews = true;
        }
    }
    return isNews;
}

/** The probability of @p count events or more where @p expected are expected, if they come independently of each other. */
double poissonTail(int count, double expected)
{
    constexpr int MaxTerms = 1000;
    constexpr double Negligible = 1e-9;
    if (expected <= 0) {
        return 0;
    }
    double term = std::exp(count * std::log(expected) - expected - std::lgamma(count + 1.0));
    double sum = term;
    for (int i = 1; i < MaxTerms && term > sum * Negligible; ++i) {
        term *= expected / (count + i);
        sum += term;
    }
    return std::min(sum, 1.0);
}

/** The probability that @p count or more of @p total independent events fall into @p share of the time. */
double binomialTail(int count, std::ptrdiff_t total, double share)
{
    if (share >= 1 || count > total) {
        return share >= 1 ? 1 : 0;
    }
    double sum = 0;
    for (std::ptrdiff_t i = count; i <= total; ++i) {
        const auto hits = static_cast<double>(i);
        const auto misses = static_cast<double>(total - i);
        const double ways = std::lgamma(static_cast<double>(total) + 1) - std::lgamma(hits + 1) - std::lgamma(misses + 1);
        sum += std::exp(ways + hits * std::log(share) + misses * std::log1p(-share));
    }
    return sum;
}

/** How many of @p times, the earliest first, are later than @p begin and not later than @p end. */
std::ptrdiff_t countBetween(const std::vector<Time> &times, Time begin, Time end)
{
    const auto first = std::upper_bound(times.begin(), times.end(), begin);
    return std::upper_bound(first, times.end(), end) - first;
}

} // namespace

ContentQuarantine::ContentQuarantine(ContentQuarantineLimits limits)
    : m_limits(limits)
{
}

void ContentQuarantine::setPlannedEnds(PlannedEnds planned)
{
    m_plannedEnds = std::move(planned);
}

std::optional<Time> ContentQuarantine::answeredAt(ContentDigest content, AnswerBasis basis) const
{
    const auto at = m_answers.find(content);
    if (at == m_answers.end()) {
        return std::nullopt;
    }
    if (basis == AnswerBasis::Told) {
        return at->second.told.wholeAt;
    }
    return latest(content, at->second.known);
}

std::optional<Time> ContentQuarantine::latest(ContentDigest content, const AnswerTimes &times) const
{
    // Where upstreams have ended in the middle of answers, the beginning of another one shows nothing until it has gone on.
    const auto entry = m_brokenAnswers.find(content);
    if (entry == m_brokenAnswers.end()) {
        return std::max({ times.begunAt, times.continuedAt, times.wholeAt });
    }
    const BrokenAnswers &broken = entry->second;
    const auto meanAge = static_cast<double>(broken.totalAge.milliseconds()) / broken.count;
    const Duration sufficientAge(static_cast<std::int64_t>(m_limits.survivalFactor * meanAge));
    const bool hasSurvived = times.continuedAt > broken.lastAt && times.continuedAge >= std::max(BeginningTime, sufficientAge);
    return hasSurvived ? std::max(times.continuedAt, times.wholeAt) : times.wholeAt;
}

void ContentQuarantine::AnswerTimes::add(AnswerProgress progress, Time at, Duration answerAge)
{
    if (progress == AnswerProgress::Continued) {
        // Answers that go on are reported again after this time.
        const bool isOutdated = !continuedAt || at - *continuedAt > BeginningTime * 2;
        if (isOutdated || answerAge >= continuedAge) {
            continuedAt = std::max(continuedAt.value_or(at), at);
            continuedAge = answerAge;
        }
        return;
    }
    std::optional<Time> &latestAt = progress == AnswerProgress::Whole ? wholeAt : begunAt;
    latestAt = std::max(latestAt.value_or(at), at);
}

bool ContentQuarantine::isExplained(const Crash &crash) const
{
    const auto isHeld = [this](const Suspect &suspect) {
        return std::any_of(suspect.elements.begin(), suspect.elements.end(),
            [this](const ContentElement &element) { return m_held.contains(element.digest); });
    };
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), isHeld);
}

// A crash under a held part accuses nothing else. One under a held request may still be due to a part that the request shares with others.
std::vector<const ContentQuarantine::Suspect *> ContentQuarantine::accusedBy(const Crash &crash) const
{
    std::vector<const Suspect *> heldRequests;
    std::vector<const Suspect *> all;
    for (const Suspect &suspect : crash.suspects) {
        all.push_back(&suspect);
        for (const ContentElement &element : suspect.elements) {
            if (!m_held.contains(element.digest)) {
                continue;
            }
            if (element.kind != ContentElement::Kind::Request) {
                return {};
            }
            heldRequests.push_back(&suspect);
        }
    }
    return heldRequests.empty() ? all : heldRequests;
}

int ContentQuarantine::crashesToHold(const Evidence &evidence) const
{
    int result = 0;
    switch (evidence.kind) {
    case ContentElement::Kind::Request:
        result = evidence.hasBegun ? m_limits.crashesToHoldBegunRequest : m_limits.crashesToHold;
        break;
    case ContentElement::Kind::Part:
        result = evidence.hasBegun ? m_limits.crashesToHoldBegunPart : m_limits.crashesToHold;
        break;
    case ContentElement::Kind::PartOnAdapter:
        result = evidence.hasBegun ? m_limits.crashesToHoldBegunOnAdapter : m_limits.crashesToHoldOnAdapter;
        break;
    }
    return evidence.wasAnswered ? std::max(result, m_limits.crashesToHoldAnswered) : result;
}

bool ContentQuarantine::areCoveredBy(const Evidence &evidence, int maxRequests, std::vector<ContentDigest> &chosen)
{
    const auto uncovered = std::find_if(evidence.requestsByCrash.begin(), evidence.requestsByCrash.end(), [&chosen](const auto &requests) {
        return std::find_first_of(requests.begin(), requests.end(), chosen.begin(), chosen.end()) == requests.end();
    });
    if (uncovered == evidence.requestsByCrash.end()) {
        return true;
    }
    if (maxRequests == 0) {
        return false;
    }
    return std::any_of(uncovered->begin(), uncovered->end(), [&](ContentDigest request) {
        chosen.push_back(request);
        const bool areCovered = areCoveredBy(evidence, maxRequests - 1, chosen);
        chosen.pop_back();
        return areCovered;
    });
}

bool ContentQuarantine::isSufficient(const Evidence &evidence) const
{
    if (evidence.crashes < crashesToHold(evidence)) {
        return false;
    }
    std::vector<ContentDigest> chosen;
    return evidence.kind == ContentElement::Kind::Request || !areCoveredBy(evidence, m_limits.requestsToHoldPart - 1, chosen);
}

// Two questions. Would other upstreams have ended as often in the time that these had the content? Ends come in bursts, so the highest rate
// of several spans counts. And how probably would as many of all crashes have happened in that time, if they happened at any? Many requests
// that share some content are on most upstreams that end.
bool ContentQuarantine::isBeyondChance(const Crash &crash, const CrashTimes &crashTimes, Evidence &evidence) const
{
    constexpr int Spans = 4;
    constexpr int SpanFactor = 3;
    const auto times = crashTimes.find(crash.group.service);
    if (crash.group.size == 0 || times == crashTimes.end()) {
        return true;
    }
    const double exposure = evidence.exposure.toSeconds();
    Duration span = m_limits.rateWindow;
    const auto all = countBetween(times->second, crash.at - span, crash.at);
    const double share = std::min(1.0, exposure / (span.toSeconds() * crash.group.size));
    evidence.expectedCrashes = static_cast<double>(all) * share;
    bool result = binomialTail(evidence.crashes, all, share) <= m_limits.maxChance;
    for (int i = 0; i < Spans; ++i) {
        const auto own = countBetween(evidence.crashTimes, crash.at - span, crash.at);
        // An upstream may end without any cause that shows, so the rate is never zero.
        const auto others = std::max<std::ptrdiff_t>(countBetween(times->second, crash.at - span, crash.at) - own, i == 0 ? 1 : 0);
        const double expected = static_cast<double>(others) * exposure / (span.toSeconds() * crash.group.size);
        evidence.expectedCrashes = std::max(evidence.expectedCrashes, expected);
        result = result && poissonTail(evidence.crashes, expected) <= m_limits.maxChance;
        span = Duration(span.milliseconds() / SpanFactor);
    }
    return result;
}

void ContentQuarantine::addEvidence(const UpstreamStart &upstream, const Crash &crash, AnswerBasis basis, const CrashTimes &crashTimes,
    absl::flat_hash_map<ContentDigest, Evidence> &result) const
{
    absl::flat_hash_map<ContentDigest, Duration> exposures;
    for (const Suspect *accused : accusedBy(crash)) {
        for (const ContentElement &element : accused->elements) {
            const auto answered = answeredAt(element.digest, basis);
            if (m_held.contains(element.digest) || (answered && *answered >= crash.at)) {
                continue;
            }
            Evidence &entry = result[element.digest];
            entry.kind = element.kind;
            entry.wasAnswered = answered.has_value();
            entry.hasBegun = entry.hasBegun || accused->hasBegun;
            entry.lastAt = crash.at;
            const auto [exposure, isFirst] = exposures.try_emplace(element.digest, m_limits.minExposure);
            exposure->second = std::max(exposure->second, accused->exposure);
            if (isFirst) {
                entry.upstreams.push_back(&upstream);
                entry.requestsByCrash.emplace_back();
                entry.crashTimes.push_back(crash.at);
                const Duration interval =
                    entry.kind == ContentElement::Kind::PartOnAdapter ? m_limits.minCrashIntervalOnAdapter : m_limits.minCrashInterval;
                if (entry.crashes == 0 || crash.at - entry.lastCountedAt >= interval) {
                    entry.firstAt = entry.crashes == 0 ? crash.at : entry.firstAt;
                    entry.lastCountedAt = crash.at;
                    ++entry.crashes;
                }
            }
            entry.requests.insert(accused->content.request);
            entry.requestsByCrash.back().push_back(accused->content.request);
        }
    }
    for (const auto &[content, exposure] : exposures) {
        Evidence &entry = result[content];
        entry.exposure = entry.exposure + exposure;
        if (basis == AnswerBasis::Told) {
            continue;
        }
        if (entry.crashes < crashesToHold(entry) || !isBeyondChance(crash, crashTimes, entry)) {
            entry.sufficientSince.reset();
        } else if (!entry.sufficientSince && isSufficient(entry)) {
            entry.sufficientSince = crash.knownSince;
        }
    }
}

// The greatest is the most probable: what most upstreams ended under, then what none has ever answered or begun to answer, then what
// explains most by itself. Of two that are alike, the one in more of the lost requests is what they share with sound ones.
std::tuple<int, bool, bool, bool, bool, std::ptrdiff_t> ContentQuarantine::order(const Evidence &evidence)
{
    const bool isPart = evidence.kind != ContentElement::Kind::Request;
    return std::tuple(evidence.crashes, !evidence.wasAnswered, !evidence.hasBegun, isPart, evidence.kind == ContentElement::Kind::Part,
        -std::ssize(evidence.requests));
}

// Counts for each content the crashes since it was last answered.
absl::flat_hash_map<ContentDigest, ContentQuarantine::Evidence> ContentQuarantine::evidence(AnswerBasis basis) const
{
    std::vector<std::pair<const UpstreamStart *, const Crash *>> inOrder;
    for (const auto &[upstream, crash] : m_crashes) {
        if (!isPlanned(upstream)) {
            inOrder.emplace_back(&upstream, &crash);
        }
    }
    std::sort(inOrder.begin(), inOrder.end(), [](const auto &a, const auto &b) { return a.second->at < b.second->at; });
    CrashTimes crashTimes;
    for (const auto &[upstream, crash] : inOrder) {
        // What is told is not compared with chance.
        if (basis == AnswerBasis::Known && !isExplained(*crash)) {
            crashTimes[crash->group.service].push_back(crash->at);
        }
    }
    absl::flat_hash_map<ContentDigest, Evidence> result;
    for (const auto &[upstream, crash] : inOrder) {
        addEvidence(*upstream, *crash, basis, crashTimes, result);
    }
    return result;
}

void ContentQuarantine::reviewSoon()
{
    m_reviewAt = std::min(m_reviewAt, m_reviewedAt + m_limits.reviewInterval);
}

// An answer between crashes leaves the entry as it is until the next crash: it then counts a crash too many, and this node objects sooner.
void ContentQuarantine::onTold(ContentDigest content, const AnswerTimes &told)
{
    if (!m_toldEvidence) {
        return;
    }
    const auto entry = m_toldEvidence->find(content);
    if (entry != m_toldEvidence->end() && told.wholeAt >= entry->second.lastAt) {
        m_toldEvidence->erase(entry);
    }
}

void ContentQuarantine::update(Time now)
{
    m_reviewAt = Time::never();
    m_reviewedAt = now;
    forget(now);
    // What accounts for most crashes comes first: the others that it leaves unexplained may be too few to hold back anything else.
    for (;;) {
        auto accused = evidence(AnswerBasis::Known);
        absl::erase_if(accused, [](const auto &entry) { return !entry.second.sufficientSince; });
        const auto worst = std::max_element(accused.begin(), accused.end(),
            [](const auto &a, const auto &b) { return std::pair(order(a.second), a.first) < std::pair(order(b.second), b.first); });
        if (worst == accused.end()) {
            return;
        }
        const Evidence &found = worst->second;
        const Time holdAt = *found.sufficientSince + (isUnlikely(found) ? m_limits.objectionTimeUnlikely : m_limits.objectionTime);
        if (now < holdAt) {
            m_reviewAt = holdAt;
            return;
        }
        hold(worst->first, worst->second, now);
    }
}

void ContentQuarantine::forget(Time now)
{
    const std::size_t known = m_crashes.size();
    std::erase_if(m_crashes, [&](const auto &entry) { return now - entry.second.at > m_limits.crashMemory; });
    while (m_crashes.size() > m_limits.maxCrashes) {
        m_crashes.erase(
            std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &a, const auto &b) { return a.second.at < b.second.at; }));
    }
    if (m_crashes.size() != known) {
        m_toldEvidence.reset();
    }
    absl::erase_if(m_brokenAnswers, [&](const auto &entry) { return now - entry.second.lastAt > m_limits.crashMemory; });
    std::vector<ContentDigest> lapsed;
    for (const auto &[content, held] : m_held) {
        if (now - std::max(held.lastRequestAt, held.lastCrashAt) > m_limits.lapseAfter) {
            lapsed.push_back(content);
        }
    }
    for (const ContentDigest content : lapsed) {
        release(content, ContentReleased::Reason::Lapsed);
    }
}

void ContentQuarantine::hold(ContentDigest content, const Evidence &evidence, Time now)
{
    m_toldEvidence.reset();
    // Peers find it out by themselves, or with the next full statements.
    m_held[content] = Held { evidence.crashes, evidence.firstAt, evidence.lastAt, 0, std::nullopt, now };
    std::vector<UpstreamId> upstreams;
    for (const UpstreamStart *start : evidence.upstreams) {
        upstreams.push_back(start->upstream);
    }
    m_changes.emplace_back(
        ContentHeldBack { content, evidence.kind, evidence.crashes, std::move(upstreams), evidence.exposure, evidence.expectedCrashes });
}

void ContentQuarantine::release(ContentDigest content, ContentReleased::Reason reason)
{
    m_held.erase(content);
    m_toldEvidence.reset();
    m_changes.emplace_back(ContentReleased { content, reason });
    reviewSoon(); // The crashes that it explained may accuse other content.
}

ContentQuarantine::Crash &ContentQuarantine::addCrash(
    const UpstreamStart &upstream, const std::vector<CrashSuspect> &suspects, const UpstreamGroup &group, Time at, Time now)
{
    const auto [position, isNew] = m_crashes.try_emplace(upstream, Crash { at, now, group });
    Crash &crash = position->second;
    const bool isEarlier = at < crash.at;
    crash.at = std::min(crash.at, at);
    crash.group = group.size > crash.group.size ? group : crash.group;
    // Most reports are repeated ones.
    const bool isNews = addUnique(crash.suspects, suspects, m_limits.maxSuspects * 4) || isNew || isEarlier;
    if (isNews) {
        reviewSoon();
        m_toldEvidence.reset();
    }
    for (const CrashSuspect &suspect : suspects) {
        for (const ContentElement &element : elementsOf(suspect.content)) {
            if (suspect.hasBegun && isNews) {
                BrokenAnswers &broken = m_brokenAnswers[element.digest];
                broken.lastAt = std::max(broken.lastAt, crash.at);
                broken.totalAge = broken.totalAge + suspect.answerAge;
                ++broken.count;
            }
            const auto held = m_held.find(element.digest);
            if (held != m_held.end() && crash.at > held->second.lastCrashAt) {
                held->second.lastCrashAt = crash.at;
                ++held->second.crashes;
            }
        }
    }
    m_crashKnownAt = now;
    return crash;
}

bool ContentQuarantine::onCrash(
    const UpstreamStart &upstream, const std::vector<CrashSuspect> &suspects, Time at, Time now, const UpstreamGroup &group)
{
    Crash &crash = addCrash(upstream, suspects, group, at, now);
    addUnique(crash.ownSuspects, suspects, m_limits.maxSuspects);
    crash.tellUntil = now + m_limits.repeatTime;
    return !isExplained(crash);
}

bool ContentQuarantine::onAnswered(const RequestContent &content, AnswerProgress progress, Time now, Duration answerAge)
{
    bool isNews = false;
    for (const ContentElement &element : elementsOf(content)) {
        Answer &answer = m_answers[element.digest];
        answer.known.add(progress, now, answerAge);
        // The beginning of an answer does not show that the upstream survives it.
        if (progress == AnswerProgress::Whole && m_held.contains(element.digest)) {
            answer.tellUntil = now + m_limits.repeatTime;
            release(element.digest, ContentReleased::Reason::Answered);
            isNews = true;
        }
    }
    if (m_answers.size() > m_limits.maxAnswers) {
        // Old answers clear content of old crashes only.
        absl::erase_if(m_answers, [&](const auto &entry) {
            const AnswerTimes &known = entry.second.known;
            return now - std::max({ known.wholeAt, known.continuedAt, known.begunAt }).value_or(Time()) > m_limits.answerMemory;
        });
        if (m_answers.size() > m_limits.maxAnswers) {
            m_answers.clear();
        }
    }
    return isNews;
}

void ContentQuarantine::onPeerStatements(const QuarantineStatements &statements, Time now)
{
    for (const AnsweredContent &answered : statements.answers) {
        const Time at = now - answered.age;
        Answer &answer = m_answers[answered.content];
        answer.known.add(answered.progress, at, answered.answerAge);
        answer.told.add(answered.progress, at, answered.answerAge);
        onTold(answered.content, answer.told);
        const auto held = m_held.find(answered.content);
        const bool isWhole = answered.progress == AnswerProgress::Whole;
        if (isWhole && held != m_held.end() && at > held->second.firstCrashAt) {
            release(answered.content, ContentReleased::Reason::Answered);
        }
    }
    for (const CrashReport &report : statements.crashes) {
        addCrash(report.upstream, report.suspects, report.group, now - report.age, now);
    }
    for (const HeldContent &statement : statements.held) {
        onPeerHeld(statement, now);
    }
}

void ContentQuarantine::onPeerHeld(const HeldContent &statement, Time now)
{
    const Time firstCrashAt = now - statement.sinceFirstCrash;
    const auto answer = m_answers.find(statement.content);
    if (answer != m_answers.end() && answer->second.known.wholeAt > firstCrashAt) {
        answer->second.tellUntil = now + m_limits.repeatTime;
        return;
    }
    const auto [at, isNew] = m_held.try_emplace(statement.content, Held { statement.crashes, firstCrashAt });
    Held &held = at->second;
    held.crashes = std::max(held.crashes, statement.crashes);
    held.firstCrashAt = std::min(held.firstCrashAt, firstCrashAt);
    held.lastCrashAt = std::max(held.lastCrashAt, now - statement.sinceLastCrash);
    held.lastRequestAt = std::max(held.lastRequestAt, now - statement.sinceLastRequest);
    held.trials = std::max(held.trials, statement.trials);
    if (statement.sinceLastTrial) {
        held.lastTrialAt = std::max(held.lastTrialAt.value_or(Time()), now - *statement.sinceLastTrial);
    }
    if (isNew) {
        m_toldEvidence.reset();
        m_changes.emplace_back(ContentHeldBack { statement.content, std::nullopt, statement.crashes, {} });
    }
}

bool ContentQuarantine::isAccused(ContentDigest request) const
{
    const auto answer = m_answers.find(request);
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &entry) {
        const Crash &crash = entry.second;
        const bool isSuspect = std::any_of(
            crash.suspects.begin(), crash.suspects.end(), [&](const Suspect &other) { return other.content.request == request; });
        const bool isAnsweredSince = answer != m_answers.end() && answer->second.known.wholeAt >= crash.at;
        return isSuspect && !isAnsweredSince && !isPlanned(entry.first);
    });
}

std::optional<ContentDigest> ContentQuarantine::heldBy(const RequestContent &content, Time now)
{
    if (now >= m_reviewAt) {
        update(now);
    }
    if (m_held.empty()) {
        return std::nullopt;
    }
    for (const ContentElement &element : elementsOf(content)) {
        if (m_held.contains(element.digest)) {
            return element.digest;
        }
    }
    return std::nullopt;
}

Time ContentQuarantine::nextTrialAt(const Held &held) const
{
    Duration wait = m_limits.firstTrialAfter;
    for (int trial = 0; trial < held.trials; ++trial) {
        wait = wait * m_limits.trialBackoff;
    }
    return std::max(held.lastCrashAt, held.lastTrialAt.value_or(Time())) + wait;
}

bool ContentQuarantine::isTrialDue(ContentDigest content, const TrialRank &rank, Time now) const
{
    const Held &held = m_held.at(content);
    const auto ownRank = rank(content);
    return ownRank && held.trials < m_limits.maxTrials && now >= nextTrialAt(held) + m_limits.trialStagger * *ownRank;
}

bool ContentQuarantine::beginTrial(const RequestContent &content, const TrialRank &rank, Time now)
{
    auto elements = elementsOf(content);
    std::erase_if(elements, [this](const ContentElement &element) { return !m_held.contains(element.digest); });
    for (const ContentElement &element : elements) {
        m_held[element.digest].lastRequestAt = now;
    }
    const auto isDue = [&](const ContentElement &element) { return isTrialDue(element.digest, rank, now); };
    if (!std::all_of(elements.begin(), elements.end(), isDue)) {
        return false;
    }
    for (const ContentElement &element : elements) {
        Held &held = m_held[element.digest];
        ++held.trials;
        held.lastTrialAt = now;
        held.tellUntil = now + m_limits.repeatTime;
    }
    return true;
}

// A node that has had an answer from an upstream tells it before others hold back the content without knowing.
void ContentQuarantine::objectToCrashes(Time now)
{
    if (now - m_crashKnownAt > m_limits.objectionWindow) {
        return;
    }
    if (!m_toldEvidence) {
        m_toldEvidence = evidence(AnswerBasis::Told);
    }
    for (const auto &[content, entry] : *m_toldEvidence) {
        const auto at = m_answers.find(content);
        if (at == m_answers.end() || entry.crashes + 1 < m_limits.crashesToHold) {
            continue;
        }
        Answer &answer = at->second;
        const auto known = latest(content, answer.known);
        const bool isUnknownToOthers = known && (*known > entry.firstAt || !answer.told.wholeAt);
        // An answer since the last crash clears the content at all nodes, and no later one says more.
        if (isUnknownToOthers && latest(content, answer.told) < entry.lastAt) {
            answer.tellUntil = now + m_limits.repeatTime;
        }
    }
}

QuarantineStatements ContentQuarantine::statements(bool isFull, Time now)
{
    if (now >= m_reviewAt) {
        update(now);
    }
    objectToCrashes(now);
    QuarantineStatements result;
    for (const auto &[upstream, crash] : m_crashes) {
        if (crash.tellUntil >= now) {
            result.crashes.push_back(CrashReport { upstream, now - crash.at, crash.ownSuspects, crash.group });
        }
    }
    for (auto &[content, answer] : m_answers) {
        if (answer.tellUntil < now) {
            continue;
        }
        const AnswerTimes &known = answer.known;
        if (known.wholeAt) {
            result.answers.push_back(AnsweredContent { content, now - *known.wholeAt, AnswerProgress::Whole });
        }
        if (const auto latestAt = latest(content, known); latestAt > known.wholeAt) {
            const bool isContinued = latestAt == known.continuedAt;
            result.answers.push_back(AnsweredContent { content, now - *latestAt,
                isContinued ? AnswerProgress::Continued : AnswerProgress::Begun, isContinued ? known.continuedAge : Duration() });
        }
        answer.told = known;
        onTold(content, answer.told);
    }
    for (const auto &[content, held] : m_held) {
        if (isFull || held.tellUntil >= now) {
            const auto sinceLastTrial = held.lastTrialAt ? std::optional(now - *held.lastTrialAt) : std::nullopt;
            result.held.push_back(HeldContent { content, held.crashes, now - held.firstCrashAt, now - held.lastCrashAt, held.trials,
                sinceLastTrial, now - held.lastRequestAt });
        }
    }
    return result;
}

std::vector<QuarantineChange> ContentQuarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace ApricotStep
