#include "coordination/indirectprobes.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <utility>

using namespace ApricotStep;

namespace
{

constexpr Time Begin { 100'000 };
const UpstreamStart Upstream { UpstreamId("u"), 1 };
const ZoneId Here { "here" };
const ZoneId There { "there" };

std::vector<ProbePeer> peersIn(const ZoneId &zone, int count, const std::string &prefix)
{
    std::vector<ProbePeer> result;
    for (int i = 0; i < count; ++i) {
        result.push_back(ProbePeer { NodeId(prefix + std::to_string(i)), zone });
    }
    return result;
}

std::vector<WaitingAttempt> waitingSince(Time sentAt, std::optional<Time> lastPartAt = std::nullopt, const ZoneId &zone = Here)
{
    return { WaitingAttempt { Upstream, zone, sentAt, lastPartAt } };
}

template<typename Action>
const Action *find(const std::vector<ProbeAction> &actions)
{
    const auto at =
        std::find_if(actions.begin(), actions.end(), [](const ProbeAction &action) { return std::holds_alternative<Action>(action); });
    return at != actions.end() ? &std::get<Action>(*at) : nullptr;
}

/** A node whose requests have waited for the upstream for a second, and which has had no answer to its own probe. */
struct Asking
{
    IndirectProbes probes { IndirectProbeLimits {}, Here };
    Time now = Begin + Duration::seconds(1);
    std::vector<NodeId> asked;

    explicit Asking(const std::vector<ProbePeer> &peers, const ZoneId &upstreamZone = Here)
    {
        cr_assert(find<ProbeUpstream>(probes.onAttempts(waitingSince(Begin, std::nullopt, upstreamZone), now)));
        now = now + Duration(500);
        const auto actions = probes.onProbed(ProbeResult { Upstream, false }, peers, now);
        cr_assert(find<RequestProbes>(actions));
        asked = find<RequestProbes>(actions)->peers;
    }
    bool isSilentAfter(const NodeId &peer, bool isAnswered)
    {
        return find<UpstreamIsSilent>(probes.onPeerResult(peer, ProbeResult { Upstream, isAnswered }, now + Duration(500))) != nullptr;
    }
};

} // namespace

// A host falls silent: it refuses no connection, and the store lists it for seconds more.
Test(indirectprobes, upstreamThatAnswersNoNodeIsSilent)
{
    Asking node(peersIn(Here, 5, "p"));
    cr_assert_eq(node.asked.size(), 2);
    cr_assert_not(node.isSilentAfter(node.asked[0], false));
    cr_assert(node.isSilentAfter(node.asked[1], false));
    cr_assert(node.probes.onAttempts(waitingSince(Begin), node.now + Duration(700)).empty(), "it is known");
}

// A node behind a cut link sees the same silence.
Test(indirectprobes, upstreamThatAnswersAnotherNodeIsNotSilent)
{
    Asking node(peersIn(Here, 5, "p"));
    cr_assert_not(node.isSilentAfter(node.asked[0], true));
    cr_assert_not(node.isSilentAfter(node.asked[1], false));
}

// A cut between zones makes all nodes of one zone see silence, while those of the upstream's zone do not answer either.
Test(indirectprobes, cutBetweenZonesIsNotSilence)
{
    auto peers = peersIn(Here, 5, "p");
    const auto near = peersIn(There, 3, "q");
    peers.insert(peers.end(), near.begin(), near.end());
    Asking node(peers, There);
    cr_assert_eq(node.asked.size(), 4);
    for (const NodeId &peer : node.asked) {
        if (peer.value().front() == 'p') {
            cr_assert_not(node.isSilentAfter(peer, false));
        }
    }
    for (int tick = 1; tick < 20; ++tick) {
        const auto actions = node.probes.onAttempts(waitingSince(Begin, std::nullopt, There), node.now + Duration(250) * tick);
        cr_assert_not(find<UpstreamIsSilent>(actions));
    }
}

// One of the nodes that were asked has been killed.
Test(indirectprobes, silenceIsKnownWithoutTheAnswerOfEachNode)
{
    auto peers = peersIn(Here, 5, "p");
    const auto near = peersIn(There, 3, "q");
    peers.insert(peers.end(), near.begin(), near.end());
    Asking node(peers, There);
    bool hasLost = false;
    for (const NodeId &peer : node.asked) {
        if (peer.value().front() == 'p' && !std::exchange(hasLost, true)) {
            continue;
        }
        cr_assert_not(node.isSilentAfter(peer, false));
    }
    cr_assert(find<UpstreamIsSilent>(node.probes.onAttempts(waitingSince(Begin, std::nullopt, There), node.now + Duration(600))));
}

// With two nodes nobody can tell a cut link from a silent host.
Test(indirectprobes, tooFewNodesConcludeNothing)
{
    Asking node(peersIn(Here, 1, "p"));
    cr_assert_not(node.isSilentAfter(node.asked[0], false));
    Asking alone({});
    for (int tick = 1; tick < 20; ++tick) {
        cr_assert_not(find<UpstreamIsSilent>(alone.probes.onAttempts(waitingSince(Begin), alone.now + Duration(250) * tick)));
    }
}

// The answers to an inquiry say nothing about an upstream that has sent something since.
Test(indirectprobes, partOfAnAnswerEndsTheInquiry)
{
    Asking node(peersIn(Here, 5, "p"));
    cr_assert_not(node.isSilentAfter(node.asked[0], false));
    const Time later = node.now + Duration(400);
    cr_assert(node.probes.onAttempts(waitingSince(Begin, later), later).empty());
    cr_assert_not(node.isSilentAfter(node.asked[1], false));
}

// The requests that waited are gone, and new ones wait when late answers come: what was found has aged.
Test(indirectprobes, answersToAnOldInquiryDoNotCount)
{
    Asking node(peersIn(Here, 5, "p"));
    cr_assert_not(node.isSilentAfter(node.asked[0], false));
    const Time later = node.now + Duration::seconds(5);
    cr_assert_not(find<UpstreamIsSilent>(node.probes.onPeerResult(node.asked[1], ProbeResult { Upstream, false }, later)));
}

// Load: an engine reads long prompts, and many requests wait for it. Each would probe it several times a second.
Test(indirectprobes, upstreamThatWorksForLongIsProbedSeldom)
{
    IndirectProbes probes { IndirectProbeLimits {}, Here };
    int probesSent = 0;
    for (int tick = 0; tick < 80; ++tick) {
        const Time now = Begin + Duration(250) * tick;
        if (find<ProbeUpstream>(probes.onAttempts(waitingSince(Begin), now))) {
            ++probesSent;
            probes.onProbed(ProbeResult { Upstream, true }, {}, now + Duration(5));
        }
    }
    cr_assert_leq(probesSent, 6, "%d probes in 20 s", probesSent);
    cr_assert_geq(probesSent, 3);
}

// Many nodes ask the same node at once: one probe serves them all.
Test(indirectprobes, oneProbeServesAllNodesThatAsk)
{
    IndirectProbes probes { IndirectProbeLimits {}, Here };
    cr_assert(find<ProbeUpstream>(probes.onProbeRequest(NodeId("a"), Upstream, Begin)));
    cr_assert(probes.onProbeRequest(NodeId("b"), Upstream, Begin + Duration(10)).empty());
    const auto told = probes.onProbed(ProbeResult { Upstream, false }, {}, Begin + Duration(500));
    cr_assert_eq(told.size(), 2);
    cr_assert_not(std::get<TellProbeResult>(told[0]).result.isAnswered);
    const auto soon = probes.onProbeRequest(NodeId("c"), Upstream, Begin + Duration(600));
    cr_assert(soon.size() == 1 && find<TellProbeResult>(soon));
    cr_assert(find<ProbeUpstream>(probes.onProbeRequest(NodeId("d"), Upstream, Begin + Duration(2000))));
}
