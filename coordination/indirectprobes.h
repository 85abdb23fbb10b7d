#pragma once

#include "coordination/upstreamdirectory.h"
#include "core/clock.h"
#include "core/strongid.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace ApricotStep
{

// A host that falls silent, or a process that hangs, refuses no connection, and the store lists it for seconds more. Until then each
// request under which upstreams end so hangs at the next one. But an upstream may send nothing for long while it works, and behind a cut
// link it looks the same.
//
// So a node whose requests have had no sign of life from an upstream asks it for one, and if none comes, it has other nodes ask as well.
// Nodes in the upstream's zone are among them, since a cut between zones looks like silence from the outside. The upstream counts as
// silent only if none of them had an answer. Where too few nodes answer, nothing is concluded, and the store shows the end later.

/** What a node found when it asked an upstream for a sign of life. */
struct ProbeResult
{
    UpstreamStart upstream;
    bool isAnswered = false;

    bool operator==(const ProbeResult &) const = default;
};

/** A node that can be asked to probe an upstream. */
struct ProbePeer
{
    NodeId id;
    ZoneId zone;
};

/** An attempt of this node that waits for the upstream. */
struct WaitingAttempt
{
    UpstreamStart upstream;
    ZoneId upstreamZone;
    Time sentAt;
    /** When the last part of the answer arrived; unset if none did. */
    std::optional<Time> lastPartAt;
};

/** Ask the upstream for a sign of life. */
struct ProbeUpstream
{
    UpstreamStart upstream;
};
/** Have other nodes do so. */
struct RequestProbes
{
    UpstreamStart upstream;
    std::vector<NodeId> peers;
};
/** Tell another node what the probe that it asked for has found. */
struct TellProbeResult
{
    NodeId peer;
    ProbeResult result;
};
/** No node had a sign of life from the upstream. */
struct UpstreamIsSilent
{
    UpstreamStart upstream;
};
using ProbeAction = std::variant<ProbeUpstream, RequestProbes, TellProbeResult, UpstreamIsSilent>;

struct IndirectProbeLimits
{
    /** An upstream is asked for a sign of life after such a silence. */
    Duration minSilence { 800 };
    /** Other nodes that are asked in the upstream's zone, and elsewhere. */
    std::size_t nearPeers = 2;
    std::size_t otherPeers = 2;
    /** Other nodes that must have had no answer; at least one of them in the upstream's zone if any was asked there. */
    std::size_t peersToConfirm = 2;
    /** Other nodes answer within this time, or do not count. */
    Duration peerTimeout { 600 };
    /** What a probe found is told to further nodes for so long. */
    Duration resultLifetime { 400 };
    /** What is known of an upstream is forgotten after this time. */
    Duration memory = Duration::seconds(10);
};

/** Finds out together with other nodes whether upstreams have fallen silent. Not thread-safe. */
class IndirectProbes
{
public:
    IndirectProbes(IndirectProbeLimits limits, ZoneId ownZone);

    /** To be called several times a second. @p attempts: those that wait for an upstream, and not for their callers. */
    std::vector<ProbeAction> onAttempts(const std::vector<WaitingAttempt> &attempts, Time now);
    /** A probe of this node has ended. @p peers are the nodes that may be asked. */
    std::vector<ProbeAction> onProbed(const ProbeResult &result, const std::vector<ProbePeer> &peers, Time now);
    /** Another node asks for a probe. */
    std::vector<ProbeAction> onProbeRequest(const NodeId &from, const UpstreamStart &upstream, Time now);
    /** Another node tells what its probe has found. */
    std::vector<ProbeAction> onPeerResult(const NodeId &from, const ProbeResult &result, Time now);

private:
    /** The other nodes that were asked, and what they found. */
    struct Inquiry
    {
        Time since;
        std::set<NodeId> near;
        std::set<NodeId> unanswered;
        std::set<NodeId> silent;
    };
    struct State
    {
        ZoneId zone;
        Time usedAt;
        /** When the last probe of this node, or the last inquiry, ended without showing that the upstream is silent. */
        Time triedAt;
        bool isProbing = false;
        /** This node's own requests wait for the upstream. */
        bool isSuspected = false;
        std::optional<Time> answeredAt;
        std::optional<Time> unansweredAt;
        bool isSilent = false;
        std::optional<Inquiry> inquiry;
        /** Nodes to tell the result of the probe. */
        std::vector<NodeId> waiting;
    };

    void forget(Time now);
    void onSignOfLife(State &state, Time at);
    std::vector<ProbeAction> startProbe(const UpstreamStart &upstream, State &state);
    Inquiry makeInquiry(const UpstreamStart &upstream, const ZoneId &zone, const std::vector<ProbePeer> &peers, Time now) const;
    std::vector<ProbeAction> conclude(const UpstreamStart &upstream, State &state, Time now);

    IndirectProbeLimits m_limits;
    ZoneId m_ownZone;
    std::map<UpstreamStart, State> m_upstreams;
};

} // namespace ApricotStep
