#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace ApricotStep
{

// In some deployments, 15% of the engines are 2.5 times slower than the others at any time, in turns of 600 ms; in others, machines differ
// by 1.3 for good. A node that counts requests and prompt tokens only sends as much to a slow engine as to a fast one, and the streams
// there exceed the bound of their gaps. A node with ten requests a second sees few gaps of one engine in 600 ms, so the nodes tell each
// other what they have observed.

/** What a node has observed of the speed of one start of an engine. */
struct EngineSpeedReport
{
    UpstreamId upstream;
    std::int64_t startedAt = 0;
    /** 100 is usual; an engine with 250 takes 2.5 times as long as the others under the same load. */
    int slownessPercent = 100;
    /** Time since the sender's last observation. */
    Duration age;

    bool operator==(const EngineSpeedReport &) const = default;
};

/**
 * How slow engines are, compared with other engines of their service under the same load. Not thread-safe.
 *
 * Learns from the time between two events of a stream. It is compared with the median at engines with a similar number of running requests,
 * so that a loaded engine does not count as slow, and with what most engines show at the moment, so that a fault that slows all engines
 * makes none of them slow.
 */
class EngineSpeed
{
public:
    static constexpr double MinSlowness = 0.25;
    static constexpr double MaxSlowness = 4;
    /** Engines whose slowness is outside of these bounds are reported to peers. */
    static constexpr double FastBound = 0.8;
    static constexpr double SlowBound = 1.25;
    /** An engine without observations for this time counts as usual. */
    static constexpr Duration Lifetime = Duration::seconds(5);
    static constexpr std::size_t MaxReports = 16;
    /** More engines than the largest fleet has. Bounds what forged reports can take. */
    static constexpr std::size_t MaxEngines = 16'384;

    /**
     * A stream of @p engine brought @p events events in the time @p span after the event before them.
     * Gaps with @p pendingPromptTokens are ignored: they show load, not speed.
     */
    void onGap(const UpstreamRecord &engine, double running, double pendingPromptTokens, Duration span, int events, Time now);
    /** Replaces what @p peer reported of the same engines before. */
    void onPeerSpeeds(const NodeId &peer, const std::vector<EngineSpeedReport> &reports, Time now);
    /**
     * What this node itself has observed, for its next message: engines that are slow or fast, and those that it lately reported as such
     * and that have since been observed to be as usual; the most recently observed ones first.
     */
    std::vector<EngineSpeedReport> takeReports(Time now);

    /** The time that @p engine takes, relative to other engines under the same load; 1 if nothing is known. */
    double slowness(const UpstreamRecord &engine, Time now) const;
    /** Number of engines whose slowness is over SlowBound. */
    int slowCount(Time now) const;
    /** Number of starts of engines that are remembered. */
    std::size_t size() const
    {
        return m_engines.size();
    }

private:
    /** Speeds are kept as natural logarithms of slowness. */
    struct Sample
    {
        Time at;
        float speed = 0;
        /** The peer that reported it; unused in samples of this node. */
        std::uint32_t source = 0;
    };

    struct Engine
    {
        /** The most recent gaps of this node. */
        std::array<Sample, 4> own;
        /** The last report of each of the peers that were heard last. */
        std::array<Sample, 8> peers;
        /** Mean over LongHalfLife of what this node has observed, and the number of gaps in it. */
        float lasting = 0;
        float lastingWeight = 0;
        Time observedAt;
        Time heardAt;
        /** When it was last reported as slow or fast. */
        Time reportedAt;
    };

    /** The running median of the gaps at engines with a similar number of running requests. */
    struct TypicalGap
    {
        double logGap = 0;
        int count = 0;
        Time updatedAt;
    };

    struct Service
    {
        std::array<TypicalGap, 20> typicalGaps;
        /** The last gap of each of the engines that were observed last, relative to its typical gap. */
        std::array<Sample, 31> latest;
    };

    using Engines = absl::flat_hash_map<std::pair<UpstreamId, std::int64_t>, Engine>;

    enum class Evidence {
        Own,
        All,
    };

    static double speed(const Engine &engine, Evidence evidence, Time now);
    static double slowness(const Engine &engine, Evidence evidence, Time now);
    static double commonSpeed(Service &service, std::uint32_t engine, double speed, Time now);
    /** Null if there are too many. */
    Engine *engineOf(const UpstreamId &id, std::int64_t startedAt, Time now);
    void prune(Time now);

    Engines m_engines;
    absl::flat_hash_map<ServiceName, Service> m_services;
    Time m_prunedAt;
};

} // namespace ApricotStep
