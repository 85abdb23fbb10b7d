#include "coordination/adapterloadestimator.h"

#include "core/hash.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ApricotStep
{

namespace
{

// Drops tracked for each engine. Adapters dropped longer ago are not expected to be cached, whatever the size of the cache.
constexpr std::uint32_t MaxDropsTracked = 512;
// While the load time is unknown, a load is polled after this delay and then each time a fifth later, so the observed time is at most a
// fifth too long.
constexpr Duration InitialPollDelay { 30 };
constexpr double PollDelayGrowth = 1.2;
// Cached loads are ten times as fast as fetches; used until a cached load has been observed.
constexpr double CachedTimeRatio = 0.1;
// The delay of the first poll adapts to the loads: each load that was done at the first poll lowers it slightly, each other one raises it
// towards the load's time. About one load in eight is polled twice, and none waits long after it is done.
constexpr double StartupDecrease = 0.95;
constexpr double TypicalDecrease = 0.995;
constexpr double TypicalIncreaseRate = 0.25;
constexpr int StartupLoads = 32;
// Lower bound of the first poll's delay as a fraction of the shortest fetch, since some of the loads that were done at the first poll were
// cached.
constexpr double MinPollRatio = 0.9;
// Later polls follow after this fraction of the typical time, but not before the answer to the previous poll can be acted upon.
constexpr double RepollRatio = 0.125;
constexpr Duration MinRepollDelay { 6 };
// Above the number of concurrent requests to any store; limits the window that a forged message can set.
constexpr double MaxWindow = 10'000;
// A load counts as cached if the probability is greater than this.
constexpr double ExpectedCachedThreshold = 0.5;
// Weight of one load in the hit rate of its age class.
constexpr double HitRateStep = 0.15;
// Loads that are expected to miss the cache are polled too late to tell whether they hit it. Each of them therefore raises the hit rate of
// its age class by this much, until one is polled early again.
constexpr double HitRateRecovery = 0.01;
// A load that is expected to be cached and is not done at the first poll is polled once more after the same delay; then it counts as a
// fetch.
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
        // A copy that was ready and is being polled again has not been dropped.
        if (copy.isReady || wasReady) {
            ready.push_back(key);
        }
    }
    for (const std::uint64_t key : engine.ready) {
        if (!contains(listed, key)) {
            drop(engine, key);
        }
    }
    // Removes loads that failed or that the next lease holder did not find.
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
    load.fetchesAtBegin = allFetches();
    engine.loads.push_back(load);
}

void AdapterLoadEstimator::end(const Load &load, FencingToken fence, Time now)
{
    const double fetches = (load.fetchesAtBegin + allFetches()) / 2;
    m_fetchesInFlight -= load.isExpectedCached ? 0 : 1;
    const double slowdown = m_minFetchMs > 0 ? static_cast<double>((now - load.beganAt).milliseconds()) / m_minFetchMs : 0;
    // The next lease holder polls the loads in flight again, so the time until now would include the handover.
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

// Engines that have run for longer than this node have adapters cached that it does not know of. If the first observed loads are cached
// ones, their time is taken for that of a fetch; every real fetch then seems slowed down, and the window shrinks to its minimum. Where the
// observed times fall into two groups, the longer ones are therefore taken for the fetches. A fetch time that is too long does less harm:
// it only lets more fetches share the store.
void AdapterLoadEstimator::correctMinFetchTime(Time now)
{
    // Fetches under contention and without fall into two groups as well. Another scope that can tell cached loads from fetches knows
    // better.
    if (m_confirmedAt != Time() && now - m_confirmedAt <= m_limits.scopeTimeout) {
        return;
    }
    std::vector<double> sorted = m_loadTimesMs;
    std::sort(sorted.begin(), sorted.end());
    // A single long time may come from a node that was suspended.
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
    // A load that was done at the first poll may have been done long before if the engine may have had it cached.
    const bool hasLowerBound = load.unfinishedPolls > 0 || (at != m_engines.end() && at->second.wasSeenEmpty && !load.wasExpectedCached);
    if (hasLowerBound) {
        recordLoadTime(loadMs);
        correctMinFetchTime(now);
    }
    const int earlyPolls = load.wasExpectedCached ? EarlyPolls : 0;
    const double cachedMaxRatio = load.wasExpectedCached ? m_limits.cachedMaxRatio : m_limits.unexpectedCachedMaxRatio;
    const bool wasCached = m_minFetchMs > 0 ? loadMs < m_minFetchMs * cachedMaxRatio : load.unfinishedPolls < earlyPolls;
    if (wasCached) {
        updateTypical(m_typicalCachedMs, loadMs, load.unfinishedPolls == 0, isStartup);
        return;
    }
    ++m_completedFetches;
    if (hasLowerBound) {
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
    // The adopted time may be wrong, so it is kept next to the times that this node observes.
    recordLoadTime(m_minFetchMs);
}

std::optional<StoreView> AdapterLoadEstimator::view() const
{
    if (m_minFetchMs == 0) {
        return std::nullopt;
    }
    StoreView view { m_window, minFetchTime(), firstPollDelay(false), Duration(static_cast<std::int64_t>(m_typicalCachedMs)),
        m_hasSeenContention };
    if (m_pendingFetchesAt != Time()) {
        view.scopeFetches = static_cast<std::uint32_t>(std::max(m_fetchesInFlight, 0));
        view.scopeDemand = static_cast<std::uint32_t>(std::max(m_fetchesInFlight + m_pendingFetches, 1));
    }
    return view;
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
        // With fewer fetches in flight than half of the window, nothing is learnt about what the store sustains.
        if (fetches * 2 >= m_window * scopeCount()) {
            m_window += m_hasSeenContention ? m_limits.windowIncrease : 1;
        }
        return;
    }
    const double sustainable = fetches / slowdown * m_limits.contentionRatio / scopeCount();
    if (sustainable < m_window) {
        m_hasSeenContention = true;
        m_window = std::max(m_limits.minWindow, m_window + (sustainable - m_window) * m_limits.windowDecrease);
    }
}

int AdapterLoadEstimator::maxConcurrentFetches() const
{
    double otherDemand = 0;
    for (const auto &[scope, other] : m_otherScopes) {
        otherDemand += other.demand;
    }
    if (otherDemand == 0) {
        return static_cast<int>(m_window * scopeCount());
    }
    const double demand = m_fetchesInFlight + m_pendingFetches;
    const double share = demand / (demand + otherDemand);
    return static_cast<int>(std::max(m_limits.minWindow, m_window * scopeCount() * share));
}

double AdapterLoadEstimator::scopeCount() const
{
    return static_cast<double>(m_otherScopes.size() + 1);
}

double AdapterLoadEstimator::allFetches() const
{
    double sum = m_fetchesInFlight;
    for (const auto &[scope, other] : m_otherScopes) {
        sum += other.fetches;
    }
    return sum;
}

void AdapterLoadEstimator::removeSilentScopes(Time now)
{
    absl::erase_if(m_otherScopes, [this, now](const auto &entry) { return now - entry.second.at > m_limits.scopeTimeout; });
}

void AdapterLoadEstimator::onOtherScope(const ZoneId &scope, const StoreView &view, Time now)
{
    if (view.scopeDemand > 0) {
        m_otherScopes[scope] = OtherScope { static_cast<double>(view.scopeFetches), static_cast<double>(view.scopeDemand), now };
    }
    adoptMinFetchTime(view, now);
}

// A scope that has only seen a busy store takes over the shorter time of another one, if that one can tell cached loads from fetches.
void AdapterLoadEstimator::adoptMinFetchTime(const StoreView &view, Time now)
{
    const auto fetchMs = static_cast<double>(view.minFetchTime.milliseconds());
    const auto cachedMs = static_cast<double>(view.typicalCachedLoadTime.milliseconds());
    if (m_minFetchMs == 0 || cachedMs <= 0 || fetchMs < cachedMs * m_limits.minGapRatio
        || fetchMs > m_minFetchMs * m_limits.contentionRatio) {
        return;
    }
    m_confirmedAt = now;
    if (fetchMs < m_minFetchMs) {
        m_minFetchMs = fetchMs;
        m_minFetchAt = now;
        m_loadTimesMs.clear();
        m_nextLoadTime = 0;
    }
}

void AdapterLoadEstimator::clearPendingFetches()
{
    m_pendingFetches = 0;
    m_pendingFetchesAt = Time();
}

void AdapterLoadEstimator::setPendingFetches(int count, Time now)
{
    m_pendingFetches = count;
    m_pendingFetchesAt = now;
    removeSilentScopes(now);
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
        // A load that is done when it is first polled may have been done long before. If the first poll came later than the time of a fetch
        // without contention, such loads would look slowed down.
        const double latestMs = m_confirmedAt != Time() ? m_minFetchMs * (1 + m_limits.contentionRatio) / 2 : m_typicalFetchMs;
        return Duration(static_cast<std::int64_t>(std::min(m_typicalFetchMs, latestMs)));
    }
    const double typicalMs = m_typicalCachedMs > 0 ? m_typicalCachedMs : m_typicalFetchMs * CachedTimeRatio;
    // The last early poll must come before a load counts as a fetch.
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
        return 0; // No residency has been received yet.
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
