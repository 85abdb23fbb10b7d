#include "coordination/enginespeed.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace ApricotStep
{

namespace
{

// Follows engines that are slow in turns of 600 ms.
constexpr Duration ShortHalfLife { 300 };
// Follows differences between machines.
constexpr Duration LongHalfLife = Duration::seconds(10);
// Evidence of this many gaps counts half, the rest of the estimate is that the engine is as usual.
constexpr double ShortPrior = 0.5;
constexpr double LongPrior = 3;
// Bounds the influence of a single gap on the lasting estimate, as a logarithm.
constexpr double MaxInnovation = 0.5;
// With fewer gaps, the typical gap is not known well enough to compare others with it.
constexpr int MinTypicalCount = 12;
constexpr Duration TypicalLifetime = Duration::seconds(60);
// Steps of the running median, as logarithms: large at first, then small enough that it stays within a few percent.
constexpr double FirstMedianStep = 0.6;
constexpr double MinMedianStep = 0.02;
// Older gaps do not show what most engines do at the moment.
constexpr Duration LatestLifetime = Duration::seconds(2);
// Events that arrive within the clock's resolution have some gap all the same.
constexpr double MinGapMs = 0.5;
// An engine that is no longer slow or fast is reported as usual for this time, which outlasts three lost messages.
constexpr Duration RecoveryReportTime = Duration::seconds(1);

constexpr double NoiseBound = 1.1;

double weightAfter(Duration age, Duration halfLife)
{
    const double halfLives = static_cast<double>(std::max(age, Duration(0)).milliseconds()) / static_cast<double>(halfLife.milliseconds());
    return std::exp2(-halfLives);
}

double boundedSpeed(double speed)
{
    return std::clamp(speed, std::log(EngineSpeed::MinSlowness), std::log(EngineSpeed::MaxSlowness));
}

bool isUsual(double slowness)
{
    return slowness >= EngineSpeed::FastBound && slowness <= EngineSpeed::SlowBound;
}

// Differences within the noise of gaps are none, so that requests are placed as before where engines are alike.
double withoutNoise(double slowness)
{
    return slowness < 1 / NoiseBound || slowness > NoiseBound ? slowness : 1;
}

// Two for each doubling, so that the numbers in one differ by less than a half.
std::size_t bucketOf(double running, std::size_t buckets)
{
    const double index = std::round(2 * std::log2(std::max(running, 1.0)));
    return static_cast<std::size_t>(std::min(index, static_cast<double>(buckets - 1)));
}

// The sample of the same source, else the oldest one.
template<typename Samples>
auto &slotFor(Samples &samples, std::uint32_t source)
{
    const auto same = std::find_if(
        samples.begin(), samples.end(), [source](const auto &sample) { return sample.at > Time() && sample.source == source; });
    return same != samples.end()
        ? *same
        : *std::min_element(samples.begin(), samples.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
}

std::uint32_t shortHash(std::string_view text)
{
    return static_cast<std::uint32_t>(stableHash(text));
}

} // namespace

double EngineSpeed::speed(const Engine &engine, Evidence evidence, Time now)
{
    struct Weighted
    {
        double speed;
        double weight;
    };
    std::array<Weighted, std::tuple_size_v<decltype(Engine::own)> + std::tuple_size_v<decltype(Engine::peers)>> samples {};
    std::size_t count = 0;
    double total = 0;
    const auto add = [&](const auto &from) {
        for (const Sample &sample : from) {
            if (sample.at > Time() && now - sample.at < Lifetime) {
                samples[count] = Weighted { sample.speed, weightAfter(now - sample.at, ShortHalfLife) };
                total += samples[count++].weight;
            }
        }
    };
    add(engine.own);
    if (evidence == Evidence::All) {
        add(engine.peers);
    }
    double lasting = 0;
    if (now - engine.observedAt < Lifetime) {
        const double weight = engine.lastingWeight * weightAfter(now - engine.observedAt, LongHalfLife);
        lasting = engine.lasting * weight / (weight + LongPrior);
    }
    if (count == 0) {
        return lasting;
    }
    const auto end = samples.begin() + static_cast<std::ptrdiff_t>(count);
    std::sort(samples.begin(), end, [](const Weighted &a, const Weighted &b) { return a.speed < b.speed; });
    auto median = samples.begin();
    for (double below = median->weight; below < total / 2 && std::next(median) != end; below += median->weight) {
        ++median;
    }
    return lasting + (median->speed - lasting) * total / (total + ShortPrior);
}

double EngineSpeed::slowness(const Engine &engine, Evidence evidence, Time now)
{
    return std::exp(speed(engine, evidence, now));
}

// The lower median over the engines that were observed last, with @p engine's gap among them.
double EngineSpeed::commonSpeed(Service &service, std::uint32_t engine, double speed, Time now)
{
    slotFor(service.latest, engine) = Sample { now, static_cast<float>(speed), engine };
    std::array<float, std::tuple_size_v<decltype(Service::latest)>> speeds {};
    std::ptrdiff_t count = 0;
    for (const Sample &sample : service.latest) {
        if (sample.at > Time() && now - sample.at < LatestLifetime) {
            speeds[static_cast<std::size_t>(count++)] = sample.speed;
        }
    }
    const auto median = speeds.begin() + (count - 1) / 2;
    std::nth_element(speeds.begin(), median, speeds.begin() + count);
    return *median;
}

void EngineSpeed::onGap(const UpstreamRecord &engine, double running, double pendingPromptTokens, Duration span, int events, Time now)
{
    if (pendingPromptTokens > 0 || events < 1) {
        return;
    }
    prune(now);
    const double logGap = std::log(std::max(static_cast<double>(span.milliseconds()) / events, MinGapMs));
    Service &service = m_services[engine.service];
    TypicalGap &typical = service.typicalGaps[bucketOf(running, service.typicalGaps.size())];
    if (typical.count == 0 || now - typical.updatedAt > TypicalLifetime) {
        typical = TypicalGap { logGap };
    }
    typical.updatedAt = now;
    const double step = std::max(FirstMedianStep / (typical.count + 1), MinMedianStep);
    const double difference = logGap - typical.logGap;
    typical.logGap += std::clamp(difference, -step, step);
    typical.count = std::min(typical.count + 1, MinTypicalCount * 10);
    if (typical.count < MinTypicalCount) {
        return;
    }
    const double common = commonSpeed(service, shortHash(engine.id.value()), difference, now);
    Engine *state = engineOf(engine.id, engine.startedAt, now);
    if (state == nullptr) {
        return;
    }
    const double observed = boundedSpeed(difference - common);
    *std::min_element(state->own.begin(), state->own.end(), [](const Sample &a, const Sample &b) { return a.at < b.at; }) =
        Sample { now, static_cast<float>(observed) };
    const double weight = state->lastingWeight * weightAfter(now - state->observedAt, LongHalfLife) + 1;
    state->lastingWeight = static_cast<float>(weight);
    state->lasting += static_cast<float>(std::clamp(observed - state->lasting, -MaxInnovation, MaxInnovation) / weight);
    state->observedAt = now;
}

void EngineSpeed::onPeerSpeeds(const NodeId &peer, const std::vector<EngineSpeedReport> &reports, Time now)
{
    if (reports.empty()) {
        return;
    }
    prune(now);
    const std::uint32_t source = shortHash(peer.value());
    for (const EngineSpeedReport &report : reports) {
        Engine *engine = report.age < Lifetime ? engineOf(report.upstream, report.startedAt, now) : nullptr;
        if (engine != nullptr) {
            // The sender's estimate has already lost what its age takes away, so it counts as new.
            const double speed = boundedSpeed(std::log(std::max(report.slownessPercent, 1) / 100.0));
            slotFor(engine->peers, source) = Sample { now, static_cast<float>(speed), source };
            engine->heardAt = now;
        }
    }
}

std::vector<EngineSpeedReport> EngineSpeed::takeReports(Time now)
{
    struct Candidate
    {
        Engines::value_type *entry;
        double slowness;
    };
    std::vector<Candidate> candidates;
    for (auto &entry : m_engines) {
        Engine &engine = entry.second;
        if (engine.observedAt == Time() || now - engine.observedAt >= Lifetime) {
            continue;
        }
        const double current = slowness(engine, Evidence::Own, now);
        const bool isRecovered =
            engine.reportedAt > Time() && engine.observedAt > engine.reportedAt && now - engine.reportedAt < RecoveryReportTime;
        if (!isUsual(current) || isRecovered) {
            candidates.push_back(Candidate { &entry, current });
        }
    }
    const std::size_t count = std::min(candidates.size(), MaxReports);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
        [](const Candidate &a, const Candidate &b) { return a.entry->second.observedAt > b.entry->second.observedAt; });
    candidates.resize(count);
    std::vector<EngineSpeedReport> reports;
    for (const Candidate &candidate : candidates) {
        auto &[key, engine] = *candidate.entry;
        reports.push_back(
            EngineSpeedReport { key.first, key.second, static_cast<int>(std::lround(candidate.slowness * 100)), now - engine.observedAt });
        if (!isUsual(candidate.slowness)) {
            engine.reportedAt = now;
        }
    }
    return reports;
}

double EngineSpeed::slowness(const UpstreamRecord &engine, Time now) const
{
    const auto at = m_engines.empty() ? m_engines.end() : m_engines.find(std::pair(engine.id, engine.startedAt));
    return at != m_engines.end() ? withoutNoise(slowness(at->second, Evidence::All, now)) : 1;
}

int EngineSpeed::slowCount(Time now) const
{
    return static_cast<int>(std::count_if(
        m_engines.begin(), m_engines.end(), [now](const auto &entry) { return slowness(entry.second, Evidence::All, now) > SlowBound; }));
}

EngineSpeed::Engine *EngineSpeed::engineOf(const UpstreamId &id, std::int64_t startedAt, Time now)
{
    const std::pair key(id, startedAt);
    const auto at = m_engines.find(key);
    if (at != m_engines.end()) {
        return &at->second;
    }
    if (m_engines.size() >= MaxEngines) {
        return nullptr;
    }
    Engine &engine = m_engines[key];
    engine.heardAt = now;
    return &engine;
}

void EngineSpeed::prune(Time now)
{
    if (now - m_prunedAt < Lifetime) {
        return;
    }
    m_prunedAt = now;
    absl::erase_if(
        m_engines, [now](const auto &entry) { return now - std::max(entry.second.observedAt, entry.second.heardAt) >= Lifetime; });
    absl::erase_if(m_services, [now](const auto &entry) {
        return std::all_of(entry.second.typicalGaps.begin(), entry.second.typicalGaps.end(),
            [now](const TypicalGap &typical) { return now - typical.updatedAt > TypicalLifetime; });
    });
}

} // namespace ApricotStep
