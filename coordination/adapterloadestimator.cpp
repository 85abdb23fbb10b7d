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
constexpr std::uint32_t MaxDropsTracked = 512;
// Before a load's time is known, it is asked about at this moment and then each time a fifth later: what is found is a fifth off at most.
constexpr Duration InitialPollDelay { 30 };
constexpr double PollDelayGrowth = 1.2;
// A load at hand is ten times as fast as a fetch; taken while none has been seen.
constexpr double CachedTimeRatio = 0.1;
// The moment of the question follows the loads: down a little with each that was done at the first question, up towards the time of each
// that was not. So about one load in eight is asked about twice, and none waits long after it is done.
constexpr double StartupDecrease = 0.95;
constexpr double TypicalDecrease = 0.995;
constexpr double TypicalIncreaseRate = 0.25;
constexpr int StartupLoads = 32;
// Questions come no sooner than this part of the shortest time, however often loads were done at the first one: some were at hand.
constexpr double MinPollRatio = 0.9;
// A later question comes after this part of the usual time, but not sooner than the answer to the last one can be acted upon.
constexpr double RepollRatio = 0.125;
constexpr Duration MinRepollDelay { 6 };
// More than any store is asked for at once; a forged message must not lift the window beyond it.
constexpr double MaxWindow = 10'000;
// A load that is at hand with a greater chance is treated as one.
constexpr double ExpectedCachedThreshold = 0.5;
// Part by which one load moves the chance of its age.
constexpr double HitRateStep = 0.15;
// What is thought not to be at hand is asked about too late to tell; so the chance of its age rises by this much with each, until one is
// asked about early again.
constexpr double HitRateRecovery = 0.01;
// A load at hand that is not done at the first question is asked about once more after as long again; then it counts as a fetch.
constexpr int EarlyPolls = 2;

bool contains(const std::vector<std::uint64_t> &keys, std::uint64_t key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

std::size_t ageClass(std::uint32_t age, std::size_t classes)
{
    return std::min(static_cast<std::size_t>(std::bit_width(age)), classes - 1);
}

void updateTypical(double &typicalMs, double loadMs, bool wasFirstPoll, bool isStartup)
{
    if (typicalMs == 0) {
        typicalMs = loadMs;
    } else if (wasFirstPoll) {
        typicalMs = std::min(typicalMs, loadMs) * (isStartup ? StartupDecrease : TypicalDecrease);
    } else {
        typicalMs += std::max(loadMs - typicalMs, 0.0) * TypicalIncreaseRate;
    }
}

} // namespace

AdapterLoadEstimator::AdapterLoadEstimator(AdapterLoadEstimatorLimits limits)
    : m_limits(limits)
    , m_window(limits.initialWindow)
{
    m_hitRates.fill(1);
}

void AdapterLoadEstimator::onResidency(const EngineResidency &residency, Time now)
{
    Engine &engine = m_engines[residency.engine];
    if (engine.startedAt != residency.startedAt) {
        abandonLoads(engine);
        engine = Engine {};
        engine.startedAt = residency.startedAt;
        engine.wasSeenEmpty =
            std::none_of(residency.copies.begin(), residency.copies.end(), [](const AdapterCopy &copy) { return copy.isReady; });
    }
    std::vector<std::uint64_t> listed;
    std::vector<std::uint64_t> ready;
    for (const AdapterCopy &copy : residency.copies) {
        const std::uint64_t key = stableHash(copy.model.value(), copy.adapter.value());
        listed.push_back(key);
        const bool wasReady = contains(engine.ready, key);
        updateCopy(engine, key, copy.isReady, wasReady, residency.fence, now);
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
        m_fetchesInFlight -= isOver && !load.isExpectedCached ? 1 : 0;
        return isOver;
    });
    engine.ready = std::move(ready);
}

void AdapterLoadEstimator::updateCopy(Engine &engine, std::uint64_t adapter, bool isReady, bool wasReady, FencingToken fence, Time now)
{
    const auto load = std::find_if(engine.loads.begin(), engine.loads.end(), [adapter](const Load &at) { return at.adapter == adapter; });
    if (isReady && load != engine.loads.end()) {
        end(*load, fence, now);
        engine.loads.erase(load);
    } else if (!isReady && !wasReady && load == engine.loads.end()) {
        begin(engine, adapter, fence, now);
    }
    if (isReady) {
        engine.dropNumbers.erase(adapter);
    }
}

void AdapterLoadEstimator::abandonLoads(const Engine &engine)
{
    for (const Load &load : engine.loads) {
        m_fetchesInFlight -= load.isExpectedCached ? 0 : 1;
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
    load.isExpectedCached = load.age > 0 && hitRate(load.age) > ExpectedCachedThreshold;
    m_fetchesInFlight += load.isExpectedCached ? 0 : 1;
    load.fetchesAtBegin = m_fetchesInFlight;
    engine.loads.push_back(load);
}

void AdapterLoadEstimator::end(const Load &load, FencingToken fence, Time now)
{
    const double fetches = (load.fetchesAtBegin + m_fetchesInFlight) / 2;
    m_fetchesInFlight -= load.isExpectedCached ? 0 : 1;
    const double slowdown = m_minFetchMs > 0 ? static_cast<double>((now - load.beganAt).milliseconds()) / m_minFetchMs : 0;
    // The next holder asks anew about what it finds under way; the time is then that of the change.
    if (fence != load.fence || slowdown == 0 || slowdown > m_limits.maxCredibleRatio) {
        return;
    }
    const bool isShort = slowdown < m_limits.cachedMaxRatio;
    if (load.age > 0) {
        double &known = m_hitRates[ageClass(load.age, AgeClassCount)];
        known += load.isExpectedCached ? ((isShort ? 1.0 : 0.0) - known) * HitRateStep : (1 - known) * HitRateRecovery;
    }
    if (!isShort) {
        adjustWindow(fetches, slowdown);
    }
}

void AdapterLoadEstimator::recordLoadTime(double loadMs)
{
    if (m_loadTimesMs.size() < MaxLoadTimes) {
        m_loadTimesMs.push_back(loadMs);
        return;
    }
    m_loadTimesMs[m_nextLoadTime] = loadMs;
    m_nextLoadTime = (m_nextLoadTime + 1) % MaxLoadTimes;
}

// Engines that have run for longer than this node hold adapters at hand that it does not know of. It may see those first and take their
// time for that of a fetch; every real fetch then seems slowed down, and the window shrinks to nothing. So where the times fall into two
// sorts, the longer one is that of the fetches. A time that is too long does less harm: it only lets more fetches share the store.
void AdapterLoadEstimator::correctMinFetchTime()
{
    std::vector<double> sorted = m_loadTimesMs;
    std::sort(sorted.begin(), sorted.end());
    // One long time alone may be of a node that slept.
    for (std::size_t i = 1; i + 1 < sorted.size(); ++i) {
        if (sorted[i] >= sorted[i - 1] * m_limits.minGapRatio && m_minFetchMs < sorted[i] / m_limits.minGapRatio) {
            m_minFetchMs = sorted[i];
            m_typicalFetchMs = sorted[i];
            m_typicalCachedMs = 0;
            m_window = std::max(m_window, m_limits.initialWindow);
            m_hasSeenContention = false;
            return;
        }
    }
    if (sorted.size() == MaxLoadTimes && sorted.back() < m_minFetchMs * m_limits.cachedMaxRatio) {
        m_minFetchMs = sorted.front();
        m_typicalFetchMs = sorted.back();
    }
}

void AdapterLoadEstimator::onLoadCompleted(const CompletedLoad &load, Time now)
{
    const auto loadMs = std::max(static_cast<double>(load.duration.milliseconds()), 1.0);
    const auto at = m_engines.find(load.engine);
    const bool isStartup = m_completedFetches < StartupLoads;
    // Done at the first question, it may have been done for long: at hand, if the engine can have it there.
    const bool hasKnownStart = load.unfinishedPolls > 0 || (at != m_engines.end() && at->second.wasSeenEmpty && !load.wasExpectedCached);
    if (hasKnownStart) {
        recordLoadTime(loadMs);
        correctMinFetchTime();
    }
    const int earlyPolls = load.wasExpectedCached ? EarlyPolls : 0;
    const double cachedMaxRatio = load.wasExpectedCached ? m_limits.cachedMaxRatio : m_limits.unexpectedCachedMaxRatio;
    const bool wasCached = m_minFetchMs > 0 ? loadMs < m_minFetchMs * cachedMaxRatio : load.unfinishedPolls < earlyPolls;
    if (wasCached) {
        updateTypical(m_typicalCachedMs, loadMs, load.unfinishedPolls == 0, isStartup);
        return;
    }
    ++m_completedFetches;
    if (hasKnownStart) {
        m_minFetchMs *= 1 + m_limits.minFetchTimeDecay * std::max((now - m_minFetchAt).toSeconds(), 0.0);
        m_minFetchMs = m_minFetchMs == 0 ? loadMs : std::min(m_minFetchMs, loadMs);
        m_minFetchAt = now;
    }
    updateTypical(m_typicalFetchMs, loadMs, load.unfinishedPolls <= earlyPolls, isStartup);
    m_typicalFetchMs = std::max(m_typicalFetchMs, m_minFetchMs * MinPollRatio);
}

void AdapterLoadEstimator::adopt(const StoreView &view, Time now)
{
    if (m_minFetchMs > 0 || view.minFetchTime <= Duration(0) || !std::isfinite(view.maxConcurrentFetches)) {
        return;
    }
    m_minFetchMs = static_cast<double>(view.minFetchTime.milliseconds());
    m_minFetchAt = now;
    m_typicalFetchMs = std::max(static_cast<double>(view.typicalFetchTime.milliseconds()), m_minFetchMs);
    m_typicalCachedMs = static_cast<double>(std::max(view.typicalCachedLoadTime, Duration(0)).milliseconds());
    m_window = std::clamp(view.maxConcurrentFetches, m_limits.minWindow, MaxWindow);
    m_hasSeenContention = view.hasSeenContention;
    // The other may have been misled; its time stands beside the ones that this node sees.
    recordLoadTime(m_minFetchMs);
}

std::optional<StoreView> AdapterLoadEstimator::view() const
{
    if (m_minFetchMs == 0) {
        return std::nullopt;
    }
    return StoreView { m_window, minFetchTime(), firstPollDelay(false), Duration(static_cast<std::int64_t>(m_typicalCachedMs)),
        m_hasSeenContention };
}

void AdapterLoadEstimator::drop(Engine &engine, std::uint64_t adapter)
{
    engine.dropNumbers[adapter] = ++engine.dropCount;
    if (engine.dropNumbers.size() > MaxDropsTracked) {
        const std::uint32_t oldest = engine.dropCount - MaxDropsTracked / 2;
        absl::erase_if(engine.dropNumbers, [oldest](const auto &entry) { return entry.second < oldest; });
    }
}

void AdapterLoadEstimator::adjustWindow(double fetches, double slowdown)
{
    if (slowdown < m_limits.contentionRatio) {
        // Fewer under way than are allowed show nothing of what the store bears.
        if (fetches * 2 >= m_window) {
            m_window += m_hasSeenContention ? m_limits.windowIncrease : 1;
        }
        return;
    }
    const double sustainable = fetches / slowdown * m_limits.contentionRatio;
    if (sustainable < m_window) {
        m_hasSeenContention = true;
        m_window = std::max(m_limits.minWindow, m_window + (sustainable - m_window) * m_limits.windowDecrease);
    }
}

int AdapterLoadEstimator::maxConcurrentFetches() const
{
    return static_cast<int>(m_window);
}

int AdapterLoadEstimator::fetchesInFlight() const
{
    return m_fetchesInFlight;
}

Duration AdapterLoadEstimator::minFetchTime() const
{
    return m_minFetchMs == 0 ? m_limits.initialFetchTime : Duration(static_cast<std::int64_t>(m_minFetchMs));
}

Duration AdapterLoadEstimator::firstPollDelay(bool isCached) const
{
    if (m_typicalFetchMs == 0) {
        return InitialPollDelay;
    }
    if (!isCached) {
        return Duration(static_cast<std::int64_t>(m_typicalFetchMs));
    }
    const double typicalMs = m_typicalCachedMs > 0 ? m_typicalCachedMs : m_typicalFetchMs * CachedTimeRatio;
    // The last early question must come before a load counts as a fetch.
    const double latestMs = m_typicalFetchMs * m_limits.cachedMaxRatio / EarlyPolls;
    return Duration(static_cast<std::int64_t>(std::min(typicalMs, latestMs)));
}

Duration AdapterLoadEstimator::nextPollDelay(Duration elapsed, int unfinishedPolls, bool isCached) const
{
    const auto elapsedMs = static_cast<double>(elapsed.milliseconds());
    double delay = m_typicalFetchMs * RepollRatio;
    if (isCached && unfinishedPolls < EarlyPolls) {
        delay = elapsedMs;
    } else if (m_typicalFetchMs == 0) {
        delay = elapsedMs * (PollDelayGrowth - 1);
    } else if (elapsedMs < m_typicalFetchMs) {
        delay = m_typicalFetchMs - elapsedMs;
    }
    return std::max(MinRepollDelay, Duration(static_cast<std::int64_t>(delay)));
}

double AdapterLoadEstimator::cacheHitProbability(const UpstreamId &id, const AdapterRef &adapter) const
{
    const auto at = m_engines.find(id);
    if (at == m_engines.end()) {
        return 0; // Nobody has told of it yet.
    }
    const std::uint32_t age = ageOf(at->second, stableHash(adapter.model.value(), adapter.adapter.value()));
    return age == 0 ? 0 : hitRate(age);
}

bool AdapterLoadEstimator::isExpectedCached(const UpstreamId &engine, const AdapterRef &adapter) const
{
    return cacheHitProbability(engine, adapter) > ExpectedCachedThreshold;
}

double AdapterLoadEstimator::hitRate(std::uint32_t age) const
{
    return m_hitRates[ageClass(age, AgeClassCount)];
}

std::uint32_t AdapterLoadEstimator::ageOf(const Engine &engine, std::uint64_t adapter)
{
    const auto at = engine.dropNumbers.find(adapter);
    if (at != engine.dropNumbers.end()) {
        return std::min(engine.dropCount - at->second + 1, UnknownAge - 1);
    }
    return engine.wasSeenEmpty ? 0 : UnknownAge;
}

} // namespace ApricotStep
