#include "coordination/eventgapmonitor.h"
#include "coordination/upstreamchoice.h"
#include "coordination/upstreamloadtracker.h"

#include <deque>
#include <list>
#include <random>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr int Engines = 8;
constexpr double PrefillRate = 38;
constexpr double ChunkTokens = 2048;
constexpr double StepMs = 5;
constexpr int TokensPerEvent = 6;
constexpr Duration GapObjective { 500 };
const ServiceName Service("engines");

struct Generation
{
    std::uint32_t promptTokens = 0;
    double unreadTokens = 0;
    int tokensLeft = 0;
    int tokensSinceEvent = 0;
    EventGaps gaps;
};

/** Prefills prompts in chunks between the decode steps of what runs, and is slower than the others by turns. */
struct SimulatedEngine
{
    UpstreamRecord record;
    std::deque<Generation> waiting;
    std::list<Generation> running;
    double nextStepAt = 0;
};

struct Outcome
{
    int streams = 0;
    int lateStreams = 0;
};

class Replay
{
public:
    explicit Replay(bool isSeparating)
        : m_isSeparating(isSeparating)
    {
        m_tracker.trackPrefill();
        for (int i = 0; i < Engines; ++i) {
            m_engines[i].record.id = UpstreamId("engine-" + std::to_string(i));
            m_engines[i].record.slots = 96;
        }
    }

    // A third of the engines' time goes to prompts of 9,200 tokens; beside them 25 streams a second are decoded for 1.5 s each.
    Outcome run(Duration length)
    {
        for (m_now = 0; m_now < static_cast<double>(length.milliseconds()); m_now += 1) {
            arrive(0.012, Generation { 9200, 9200, 54, 0, {} }, Duration(400));
            arrive(0.025, Generation { 800, 800, 294, 0, {} }, Duration(1500));
            for (SimulatedEngine &engine : m_engines) {
                if (m_now >= engine.nextStepAt) {
                    step(engine);
                }
            }
        }
        return m_outcome;
    }

private:
    Time now() const
    {
        return Time(1000 + static_cast<std::int64_t>(m_now));
    }

    void arrive(double probability, Generation generation, Duration answerTime)
    {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) >= probability) {
            return;
        }
        std::vector<UpstreamOption> options;
        for (const SimulatedEngine &engine : m_engines) {
            options.push_back(UpstreamOption { &engine.record, m_tracker.load(engine.record.id, now()), 1, true });
        }
        ChoiceParameters parameters;
        parameters.separation = m_isSeparating ? m_monitor.separation(Service) : 0;
        const UpstreamOption *chosen = chooseEngine(options, { generation.promptTokens, answerTime }, parameters, m_random);
        m_tracker.onSent(chosen->record->id, generation.promptTokens, now());
        m_engines[chosen - options.data()].waiting.push_back(generation);
    }

    double slowness(const SimulatedEngine &engine) const
    {
        const auto turn = static_cast<std::uint64_t>(m_now / 600);
        return (std::hash<std::string>()(engine.record.id.value()) / 7 + turn * 2654435761U) % 100 < 15 ? 2.5 : 1;
    }

    void step(SimulatedEngine &engine)
    {
        double chunk = 0;
        while (!engine.waiting.empty() && chunk < ChunkTokens) {
            Generation &first = engine.waiting.front();
            const double part = std::min(first.unreadTokens, ChunkTokens - chunk);
            first.unreadTokens -= part;
            chunk += part;
            if (first.unreadTokens > 0) {
                break;
            }
            m_tracker.onFirstToken(engine.record.id, first.promptTokens, now());
            engine.running.push_back(first);
            engine.waiting.pop_front();
        }
        const double stepTime = (StepMs + chunk / PrefillRate) * slowness(engine);
        engine.nextStepAt = m_now + stepTime;
        const Time end = now() + Duration(static_cast<std::int64_t>(stepTime));
        for (auto at = engine.running.begin(); at != engine.running.end();) {
            if (++at->tokensSinceEvent == TokensPerEvent) {
                at->tokensSinceEvent = 0;
                at->gaps.onEvents(end);
            }
            if (--at->tokensLeft > 0) {
                ++at;
                continue;
            }
            const bool isLate = at->gaps.longest() > GapObjective;
            ++m_outcome.streams;
            m_outcome.lateStreams += isLate ? 1 : 0;
            m_monitor.onStreamEnded(Service, isLate);
            m_tracker.onEnded(engine.record.id, 0, end);
            at = engine.running.erase(at);
        }
    }

    bool m_isSeparating;
    double m_now = 0;
    std::mt19937_64 m_random { 3 };
    SimulatedEngine m_engines[Engines];
    UpstreamLoadTracker m_tracker;
    EventGapMonitor m_monitor;
    Outcome m_outcome;
};

} // namespace

// Long prompts and streams share engines that prefill in large chunks. Guards against streams that begin in time and are late all the same,
// because each engine prefills long prompts for others while it decodes them.
Test(marginalcost, streamsAreKeptFromEnginesThatPrefillLongPrompts)
{
    const Outcome before = Replay(false).run(Duration::seconds(60));
    const Outcome after = Replay(true).run(Duration::seconds(60));
    cr_log_info("late without separation: %d of %d, with: %d of %d", before.lateStreams, before.streams, after.lateStreams, after.streams);
    cr_assert_lt(after.lateStreams * 20, after.streams, "late: %d of %d", after.lateStreams, after.streams);
    cr_assert_lt(after.lateStreams * 2, before.lateStreams, "late without separation: %d of %d", before.lateStreams, before.streams);
}

// Guards against a change of placement where no stream has been late because of a gap.
Test(marginalcost, withoutLateGapsOnlyTheTimeToFirstTokenCounts)
{
    EventGapMonitor monitor;
    for (int i = 0; i < 100; ++i) {
        monitor.onStreamEnded(Service, false);
    }
    cr_assert_eq(monitor.separation(Service), 0);
    std::mt19937_64 random(1);
    UpstreamRecord many;
    many.id = UpstreamId("many streams");
    UpstreamRecord few;
    few.id = UpstreamId("few streams");
    const std::vector<UpstreamOption> options { { &many, { 10, 0, 0, 0.9 }, 1, true }, { &few, { 1, 3800 }, 1, true } };
    ChoiceParameters parameters;
    cr_assert_eq(chooseEngine(options, { 9200, Duration(400) }, parameters, random)->record, &many);
    parameters.separation = 1;
    cr_assert_eq(chooseEngine(options, { 9200, Duration(400) }, parameters, random)->record, &few);
}

// Guards against a gap that counts although this node did not read in between.
Test(eventgaps, aSkippedGapDoesNotCount)
{
    EventGaps gaps;
    gaps.onEvents(Time(100));
    gaps.onEvents(Time(400));
    gaps.skipGap();
    gaps.onEvents(Time(5000));
    gaps.onEvents(Time(5100));
    cr_assert_eq(gaps.longest(), Duration(300));
}
