#include "coordination/adapterloadestimator.h"

#include "core/hash.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ApricotStep
{

namespace
{

// Drops remembered of each engine; adapters dropped longer ago are not expected at hand, whatever it could keep.
constexpr std::uint32_t DropsRemembered = 512;
// Before a load's time is known, it is asked about at this moment and then each time a fifth later: what is found is a fifth off at most.
constexpr Duration FirstGuess { 30 };
constexpr double GuessGrowth = 1.2;
// A load at hand is ten times as fast as a fetch; taken while none has been seen.
constexpr double CachedTimeRatio = 0.1;
// The moment of the question follows the loads: down a little with each that was done at the first question, up towards the time of each
// that was not. So about one load in eight is asked about twice, and none waits long after it is done.
constexpr double EarlierAtStart = 0.95;
constexpr double Earlier = 0.995;
constexpr double LaterStep = 0.25;
constexpr int LoadsAtStart = 32;
// Questions come no sooner than this part of the shortest time, however often loads were done at the first one: some were at hand.
constexpr double EarliestPart = 0.9;
// A later question comes after this part of the usual time, but not sooner than the answer to the last one can be acted upon.
constexpr double AgainPart = 0.125;
constexpr Duration LeastAgain { 6 };
// More than any store is asked for at once; a forged message must not lift the window beyond it.
constexpr double MostFetches = 10'000;
// A load that is at hand with a greater chance is treated as one.
constexpr double ExpectedCachedThreshold = 0.5;
// Part by which one load moves the chance of its age.
constexpr double ChanceStep = 0.15;
// What is thought not to be at hand is asked about too late to tell; so the chance of its age rises by this much with each, until one is
// asked about early again.
constexpr double ChanceRecovery = 0.01;
// A load at hand that is not done at the first question is asked about once more after as long again; then it counts as a fetch.
constexpr int EarlyQuestions = 2;

bool contains(const std::vector<std::uint64_t> &keys, std::uint64_t key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

std::size_t ageClass(std::uint32_t age, std::size_t classes)
{
    return std::min(static_cast<std::size_t>(std::bit_width(age)), classes - 1);
}

void follow(double &usualMs, double tookMs, bool isFirstQuestion, bool isStart)
{
    if (usualMs == 0) {
        usualMs = tookMs;
    } else if (isFirstQuestion) {
        usualMs = std::min(usualMs, tookMs) * (isStart ? EarlierAtStart : Earlier);
    } else {
        usualMs += std::max(tookMs - usualMs, 0.0) * LaterStep;
    }
}

} // namespace

AdapterLoadEstimator::AdapterLoadEstimator(AdapterLoadsLimits limits)
    : m_limits(limits)
    , m_window(limits.firstWindow)
{
    m_chances.fill(1);
}

void AdapterLoadEstimator::onResidency(const EngineResidency &residency, Time now)
{
    Engine &engine = m_engines[residency.engine];
    if (engine.startedAt != residency.startedAt) {
        abandonLoads(engine);
        engine = Engine {};
        engine.startedAt = residency.startedAt;
        engine.isKnownFromStart =
            std::none_of(residency.copies.begin(), residency.copies.end(), [](const AdapterCopy &copy) { return copy.isReady; });
    }
    std::vector<std::uint64_t> listed;
    std::vector<std::uint64_t> ready;
    for (const AdapterCopy &copy : residency.copies) {
        const std::uint64_t key = stableHash(copy.model.value(), copy.adapter.value());
        listed.push_back(key);
        const bool wasReady = contains(engine.ready, key);
        noteCopy(engine, key, copy.isReady, wasReady, residency.fence, now);
        // A copy that was in place and is asked about again has not left.
        if (copy.isReady || wasReady) {
            ready.push_back(key);
        }
    }
    for (const std::uint64_t key : engine.ready) {
        if (!contains(listed, key)) {
            drop(engine, key);
        }
    }
    // Loads that failed, or that the next holder found no trace of.
    std::erase_if(engine.loads, [this, &listed](const Load &load) {
        const bool isOver = !contains(listed, load.adapter);
        m_fetches -= isOver && !load.isExpectedCached ? 1 : 0;
        return isOver;
    });
    engine.ready = std::move(ready);
}

void AdapterLoadEstimator::noteCopy(Engine &engine, std::uint64_t adapter, bool isReady, bool wasReady, FencingToken fence, Time now)
{
    const auto load = std::find_if(engine.loads.begin(), engine.loads.end(), [adapter](const Load &at) { return at.adapter == adapter; });
    if (isReady && load != engine.loads.end()) {
        end(*load, fence, now);
        engine.loads.erase(load);
    } else if (!isReady && !wasReady && load == engine.loads.end()) {
        begin(engine, adapter, fence, now);
    }
    if (isReady) {
        engine.droppedAs.erase(adapter);
    }
}

void AdapterLoadEstimator::abandonLoads(const Engine &engine)
{
    for (const Load &load : engine.loads) {
        m_fetches -= load.isExpectedCached ? 0 : 1;
    }
}

void AdapterLoadEstimator::remove(const UpstreamId &id)
{
    const auto at = m_engines.find(id);
    if (at != m_engines.end()) {
        abandonLoads(at->second);
        m_engines.erase(at);
    }
}

void AdapterLoadEstimator::begin(Engine &engine, std::uint64_t adapter, FencingToken fence, Time now)
{
    Load load { adapter, now, fence, 0, ageOf(engine, adapter), false };
    load.isExpectedCached = load.age > 0 && chance(load.age) > ExpectedCachedThreshold;
    m_fetches += load.isExpectedCached ? 0 : 1;
    load.fetchesAtBegin = m_fetches;
    engine.loads.push_back(load);
}

void AdapterLoadEstimator::end(const Load &load, FencingToken fence, Time now)
{
    const double fetches = (load.fetchesAtBegin + m_fetches) / 2;
    m_fetches -= load.isExpectedCached ? 0 : 1;
    const double stretch = m_shortestMs > 0 ? static_cast<double>((now - load.begunAt).milliseconds()) / m_shortestMs : 0;
    // The next holder asks anew about what it finds under way; the time is then that of the change.
    if (fence != load.fence || stretch == 0 || stretch > m_limits.longestCredible) {
        return;
    }
    const bool isShort = stretch < m_limits.cachedMaxRatio;
    if (load.age > 0) {
        double &known = m_chances[ageClass(load.age, Ages)];
        known += load.isExpectedCached ? ((isShort ? 1.0 : 0.0) - known) * ChanceStep : (1 - known) * ChanceRecovery;
    }
    if (!isShort) {
        moveWindow(fetches, stretch);
    }
}

void AdapterLoadEstimator::noteSeen(double tookMs)
{
    if (m_seen.size() < SeenKept) {
        m_seen.push_back(tookMs);
        return;
    }
    m_seen[m_nextSeen] = tookMs;
    m_nextSeen = (m_nextSeen + 1) % SeenKept;
}

// Engines that have run for longer than this node hold adapters at hand that it does not know of. It may see those first and take their
// time for that of a fetch; every real fetch then seems slowed down, and the window shrinks to nothing. So where the times fall into two
// sorts, the longer one is that of the fetches. A time that is too long does less harm: it only lets more fetches share the store.
void AdapterLoadEstimator::correctShortest()
{
    std::vector<double> sorted = m_seen;
    std::sort(sorted.begin(), sorted.end());
    // One long time alone may be of a node that slept.
    for (std::size_t i = 1; i + 1 < sorted.size(); ++i) {
        if (sorted[i] >= sorted[i - 1] * m_limits.gapBetweenSorts && m_shortestMs < sorted[i] / m_limits.gapBetweenSorts) {
            m_shortestMs = sorted[i];
            m_usualFetchMs = sorted[i];
            m_typicalCachedMs = 0;
            m_window = std::max(m_window, m_limits.firstWindow);
            m_hasSlowedDown = false;
            return;
        }
    }
    if (sorted.size() == SeenKept && sorted.back() < m_shortestMs * m_limits.cachedMaxRatio) {
        m_shortestMs = sorted.front();
        m_usualFetchMs = sorted.back();
    }
}

void AdapterLoadEstimator::onOwnLoad(const OwnLoad &load, Time now)
{
    const auto tookMs = std::max(static_cast<double>(load.took.milliseconds()), 1.0);
    const auto at = m_engines.find(load.engine);
    const bool isStart = m_ownFetches < LoadsAtStart;
    // Done at the first question, it may have been done for long: at hand, if the engine can have it there.
    const bool isBracketed = load.unfinished > 0 || (at != m_engines.end() && at->second.isKnownFromStart && !load.wasExpectedCached);
    if (isBracketed) {
        noteSeen(tookMs);
        correctShortest();
    }
    const int earlyQuestions = load.wasExpectedCached ? EarlyQuestions : 0;
    const double cachedMaxRatio = load.wasExpectedCached ? m_limits.cachedMaxRatio : m_limits.unexpectedCachedMaxRatio;
    const bool wasCached = m_shortestMs > 0 ? tookMs < m_shortestMs * cachedMaxRatio : load.unfinished < earlyQuestions;
    if (wasCached) {
        follow(m_typicalCachedMs, tookMs, load.unfinished == 0, isStart);
        return;
    }
    ++m_ownFetches;
    if (isBracketed) {
        m_shortestMs *= 1 + m_limits.shortestForgotten * std::max((now - m_shortestAt).toSeconds(), 0.0);
        m_shortestMs = m_shortestMs == 0 ? tookMs : std::min(m_shortestMs, tookMs);
        m_shortestAt = now;
    }
    follow(m_usualFetchMs, tookMs, load.unfinished <= earlyQuestions, isStart);
    m_usualFetchMs = std::max(m_usualFetchMs, m_shortestMs * EarliestPart);
}

void AdapterLoadEstimator::adopt(const StoreView &view, Time now)
{
    if (m_shortestMs > 0 || view.minFetchTime <= Duration(0) || !std::isfinite(view.maxConcurrentFetches)) {
        return;
    }
    m_shortestMs = static_cast<double>(view.minFetchTime.milliseconds());
    m_shortestAt = now;
    m_usualFetchMs = std::max(static_cast<double>(view.typicalFetchTime.milliseconds()), m_shortestMs);
    m_typicalCachedMs = static_cast<double>(std::max(view.typicalCachedLoadTime, Duration(0)).milliseconds());
    m_window = std::clamp(view.maxConcurrentFetches, m_limits.leastWindow, MostFetches);
    m_hasSlowedDown = view.hasSeenContention;
    // The other may have been misled; its time stands beside the ones that this node sees.
    noteSeen(m_shortestMs);
}

std::optional<StoreView> AdapterLoadEstimator::view() const
{
    if (m_shortestMs == 0) {
        return std::nullopt;
    }
    return StoreView { m_window, minFetchTime(), firstPollDelay(false), Duration(static_cast<std::int64_t>(m_typicalCachedMs)),
        m_hasSlowedDown };
}

void AdapterLoadEstimator::drop(Engine &engine, std::uint64_t adapter)
{
    engine.droppedAs[adapter] = ++engine.drops;
    if (engine.droppedAs.size() > DropsRemembered) {
        const std::uint32_t oldest = engine.drops - DropsRemembered / 2;
        absl::erase_if(engine.droppedAs, [oldest](const auto &entry) { return entry.second < oldest; });
    }
}

void AdapterLoadEstimator::moveWindow(double fetches, double stretch)
{
    if (stretch < m_limits.slowedDown) {
        // Fewer under way than are allowed show nothing of what the store bears.
        if (fetches * 2 >= m_window) {
            m_window += m_hasSlowedDown ? m_limits.windowGrowth : 1;
        }
        return;
    }
    const double borne = fetches / stretch * m_limits.slowedDown;
    if (borne < m_window) {
        m_hasSlowedDown = true;
        m_window = std::max(m_limits.leastWindow, m_window + (borne - m_window) * m_limits.windowStep);
    }
}

int AdapterLoadEstimator::maxConcurrentFetches() const
{
    return static_cast<int>(m_window);
}

int AdapterLoadEstimator::fetchesInFlight() const
{
    return m_fetches;
}

Duration AdapterLoadEstimator::minFetchTime() const
{
    return m_shortestMs == 0 ? m_limits.timeBeforeFirst : Duration(static_cast<std::int64_t>(m_shortestMs));
}

Duration AdapterLoadEstimator::firstPollDelay(bool isCached) const
{
    if (m_usualFetchMs == 0) {
        return FirstGuess;
    }
    if (!isCached) {
        return Duration(static_cast<std::int64_t>(m_usualFetchMs));
    }
    const double usualMs = m_typicalCachedMs > 0 ? m_typicalCachedMs : m_usualFetchMs * CachedTimeRatio;
    // The last early question must come before a load counts as a fetch.
    const double latestMs = m_usualFetchMs * m_limits.cachedMaxRatio / EarlyQuestions;
    return Duration(static_cast<std::int64_t>(std::min(usualMs, latestMs)));
}

Duration AdapterLoadEstimator::nextQuestion(Duration elapsed, int unfinished, bool isCached) const
{
    const auto elapsedMs = static_cast<double>(elapsed.milliseconds());
    double again = m_usualFetchMs * AgainPart;
    if (isCached && unfinished < EarlyQuestions) {
        again = elapsedMs;
    } else if (m_usualFetchMs == 0) {
        again = elapsedMs * (GuessGrowth - 1);
    } else if (elapsedMs < m_usualFetchMs) {
        again = m_usualFetchMs - elapsedMs;
    }
    return std::max(LeastAgain, Duration(static_cast<std::int64_t>(again)));
}

double AdapterLoadEstimator::cacheHitProbability(const UpstreamId &id, const AdapterRef &adapter) const
{
    const auto at = m_engines.find(id);
    if (at == m_engines.end()) {
        return 0; // Nobody has told of it yet.
    }
    const std::uint32_t age = ageOf(at->second, stableHash(adapter.model.value(), adapter.adapter.value()));
    return age == 0 ? 0 : chance(age);
}

bool AdapterLoadEstimator::isExpectedCached(const UpstreamId &engine, const AdapterRef &adapter) const
{
    return cacheHitProbability(engine, adapter) > ExpectedCachedThreshold;
}

double AdapterLoadEstimator::chance(std::uint32_t age) const
{
    return m_chances[ageClass(age, Ages)];
}

std::uint32_t AdapterLoadEstimator::ageOf(const Engine &engine, std::uint64_t adapter)
{
    const auto at = engine.droppedAs.find(adapter);
    if (at != engine.droppedAs.end()) {
        return std::min(engine.drops - at->second + 1, UnknownAge - 1);
    }
    return engine.isKnownFromStart ? 0 : UnknownAge;
}

} // namespace ApricotStep
