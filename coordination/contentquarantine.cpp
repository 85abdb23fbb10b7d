#include "coordination/contentquarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ApricotStep
{

namespace
{

// An objection is repeated for some messages, as datagrams may be lost.
constexpr Duration ObjectionRepeatTime = Duration::seconds(3);

void addUnique(std::vector<RequestContent> &contents, const std::vector<RequestContent> &added, std::size_t limit)
{
    for (const RequestContent &content : added) {
        if (contents.size() < limit && std::find(contents.begin(), contents.end(), content) == contents.end()) {
            contents.push_back(content);
        }
    }
}

std::set<ContentElement> elementsOfAll(const std::vector<RequestContent> &contents)
{
    std::set<ContentElement> result;
    for (const RequestContent &content : contents) {
        const auto elements = elementsOf(content);
        result.insert(elements.begin(), elements.end());
    }
    return result;
}

} // namespace

ContentQuarantine::ContentQuarantine(ContentQuarantineLimits limits)
    : m_limits(limits)
{
}

std::optional<Time> ContentQuarantine::answeredAt(ContentDigest content, AnswerBasis basis) const
{
    const auto at = m_answers.find(content);
    if (at == m_answers.end()) {
        return std::nullopt;
    }
    return basis == AnswerBasis::Known ? std::optional(at->second.at) : at->second.toldAt;
}

bool ContentQuarantine::isExplained(const Crash &crash) const
{
    const auto isHeld = [this](const RequestContent &content) {
        const auto elements = elementsOf(content);
        return std::any_of(
            elements.begin(), elements.end(), [this](const ContentElement &element) { return m_held.contains(element.digest); });
    };
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), isHeld);
}

// A crash under a held part accuses nothing else. One under a held request may still be due to a part that the request shares with others.
std::vector<RequestContent> ContentQuarantine::accusedBy(const Crash &crash) const
{
    std::vector<RequestContent> heldRequests;
    for (const RequestContent &content : crash.suspects) {
        for (const ContentElement &element : elementsOf(content)) {
            if (!m_held.contains(element.digest)) {
                continue;
            }
            if (element.kind != ContentElement::Kind::Request) {
                return {};
            }
            heldRequests.push_back(content);
        }
    }
    return heldRequests.empty() ? crash.suspects : heldRequests;
}

int ContentQuarantine::crashesToHold(const Evidence &evidence) const
{
    if (evidence.wasAnswered) {
        return m_limits.crashesToHoldAnswered;
    }
    return evidence.kind == ContentElement::Kind::PartOnAdapter ? m_limits.crashesToHoldOnAdapter : m_limits.crashesToHold;
}

bool ContentQuarantine::isSufficient(const Evidence &evidence) const
{
    const bool isPart = evidence.kind != ContentElement::Kind::Request;
    return evidence.crashes >= crashesToHold(evidence) && (!isPart || std::ssize(evidence.requests) >= m_limits.requestsToHoldPart);
}

void ContentQuarantine::addEvidence(
    const UpstreamStart &upstream, const Crash &crash, AnswerBasis basis, absl::flat_hash_map<ContentDigest, Evidence> &result) const
{
    std::set<ContentDigest> counted;
    for (const RequestContent &content : accusedBy(crash)) {
        for (const ContentElement &element : elementsOf(content)) {
            const auto answered = answeredAt(element.digest, basis);
            if (m_held.contains(element.digest) || (answered && *answered >= crash.at)) {
                continue;
            }
            Evidence &entry = result[element.digest];
            entry.kind = element.kind;
            entry.wasAnswered = answered.has_value();
            entry.requests.insert(content.request);
            entry.lastAt = crash.at;
            if (counted.insert(element.digest).second) {
                entry.upstreams.push_back(upstream.upstream);
                if (entry.crashes == 0 || crash.at - entry.lastCountedAt >= m_limits.minCrashInterval) {
                    entry.firstAt = entry.crashes == 0 ? crash.at : entry.firstAt;
                    entry.lastCountedAt = crash.at;
                    ++entry.crashes;
                }
            }
            if (!entry.sufficientSince && isSufficient(entry)) {
                entry.sufficientSince = crash.knownSince;
            }
        }
    }
}

// The greatest is the most probable: what most upstreams ended under, then what none has ever answered, then what explains most by itself.
std::tuple<int, bool, bool, bool> ContentQuarantine::order(const Evidence &evidence)
{
    const bool isPart = evidence.kind != ContentElement::Kind::Request;
    return std::tuple(evidence.crashes, !evidence.wasAnswered, isPart, evidence.kind == ContentElement::Kind::Part);
}

// Counts for each content the crashes since it was last answered.
absl::flat_hash_map<ContentDigest, ContentQuarantine::Evidence> ContentQuarantine::evidence(AnswerBasis basis) const
{
    std::vector<std::pair<const UpstreamStart *, const Crash *>> inOrder;
    for (const auto &[upstream, crash] : m_crashes) {
        inOrder.emplace_back(&upstream, &crash);
    }
    std::sort(inOrder.begin(), inOrder.end(), [](const auto &a, const auto &b) { return a.second->at < b.second->at; });
    absl::flat_hash_map<ContentDigest, Evidence> result;
    for (const auto &[upstream, crash] : inOrder) {
        addEvidence(*upstream, *crash, basis, result);
    }
    return result;
}

void ContentQuarantine::update(Time now)
{
    m_reviewAt = Time::never();
    forget(now);
    // What accounts for most crashes comes first: the others that it leaves unexplained may be too few to hold back anything else.
    for (;;) {
        auto accused = evidence(AnswerBasis::Known);
        absl::erase_if(accused, [this](const auto &entry) { return !isSufficient(entry.second); });
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
    std::erase_if(m_crashes, [&](const auto &entry) { return now - entry.second.at > m_limits.crashMemory; });
    while (m_crashes.size() > m_limits.maxCrashes) {
        m_crashes.erase(
            std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &a, const auto &b) { return a.second.at < b.second.at; }));
    }
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
    // Peers find it out by themselves, or with the next full statements.
    m_held[content] = Held { evidence.crashes, evidence.firstAt, evidence.lastAt, 0, std::nullopt, now };
    m_changes.emplace_back(ContentHeldBack { content, evidence.kind, evidence.crashes, evidence.upstreams });
}

void ContentQuarantine::release(ContentDigest content, ContentReleased::Reason reason)
{
    m_held.erase(content);
    m_changes.emplace_back(ContentReleased { content, reason });
    m_reviewAt = Time(); // The crashes that it explained may accuse other content.
}

ContentQuarantine::Crash &ContentQuarantine::addCrash(
    const UpstreamStart &upstream, const std::vector<RequestContent> &suspects, Time at, Time now)
{
    Crash &crash = m_crashes.try_emplace(upstream, Crash { at, now }).first->second;
    crash.at = std::min(crash.at, at);
    addUnique(crash.suspects, suspects, m_limits.maxSuspects * 4);
    for (const ContentElement &element : elementsOfAll(suspects)) {
        const auto held = m_held.find(element.digest);
        if (held != m_held.end() && crash.at > held->second.lastCrashAt) {
            held->second.lastCrashAt = crash.at;
            ++held->second.crashes;
        }
    }
    m_reviewAt = Time();
    m_crashKnownAt = now;
    return crash;
}

bool ContentQuarantine::onCrash(const UpstreamStart &upstream, const std::vector<RequestContent> &suspects, Time at, Time now)
{
    Crash &crash = addCrash(upstream, suspects, at, now);
    addUnique(crash.ownSuspects, suspects, m_limits.maxSuspects);
    crash.tellUntil = now + m_limits.repeatTime;
    return !isExplained(crash);
}

bool ContentQuarantine::onAnswered(const RequestContent &content, Time now)
{
    bool isNews = false;
    for (const ContentElement &element : elementsOf(content)) {
        Answer &answer = m_answers[element.digest];
        answer.at = now;
        if (m_held.contains(element.digest)) {
            answer.tellUntil = now + m_limits.repeatTime;
            release(element.digest, ContentReleased::Reason::Answered);
            isNews = true;
        }
    }
    if (m_answers.size() > m_limits.maxAnswers) {
        // Old answers clear content of old crashes only.
        absl::erase_if(m_answers, [&](const auto &entry) { return now - entry.second.at > m_limits.answerMemory; });
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
        answer.at = std::max(answer.at, at);
        answer.toldAt = std::max(answer.toldAt.value_or(at), at);
        const auto held = m_held.find(answered.content);
        if (held != m_held.end() && at > held->second.firstCrashAt) {
            release(answered.content, ContentReleased::Reason::Answered);
        }
    }
    for (const CrashReport &report : statements.crashes) {
        addCrash(report.upstream, report.suspects, now - report.age, now);
    }
    for (const HeldContent &statement : statements.held) {
        onPeerHeld(statement, now);
    }
}

void ContentQuarantine::onPeerHeld(const HeldContent &statement, Time now)
{
    const Time firstCrashAt = now - statement.sinceFirstCrash;
    const auto answered = answeredAt(statement.content, AnswerBasis::Known);
    if (answered && *answered > firstCrashAt) {
        m_answers[statement.content].tellUntil = now + ObjectionRepeatTime;
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
        m_changes.emplace_back(ContentHeldBack { statement.content, std::nullopt, statement.crashes, {} });
    }
}

bool ContentQuarantine::isAccused(ContentDigest request) const
{
    const auto answered = answeredAt(request, AnswerBasis::Known);
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &entry) {
        const Crash &crash = entry.second;
        const bool isSuspect = std::any_of(
            crash.suspects.begin(), crash.suspects.end(), [&](const RequestContent &suspect) { return suspect.request == request; });
        return isSuspect && (!answered || *answered < crash.at);
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
    if (now - m_crashKnownAt > ObjectionRepeatTime) {
        return;
    }
    for (const auto &[content, entry] : evidence(AnswerBasis::Told)) {
        const auto known = m_answers.find(content);
        const bool isUnknownToOthers = known != m_answers.end() && (known->second.at > entry.firstAt || !known->second.toldAt);
        if (isUnknownToOthers && entry.crashes + 1 >= m_limits.crashesToHold) {
            known->second.tellUntil = now + ObjectionRepeatTime;
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
            result.crashes.push_back(CrashReport { upstream, now - crash.at, crash.ownSuspects });
        }
    }
    for (auto &[content, answer] : m_answers) {
        if (answer.tellUntil >= now) {
            answer.toldAt = answer.at;
            result.answers.push_back(AnsweredContent { content, now - answer.at });
        }
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
