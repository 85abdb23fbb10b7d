#include "coordination/membership.h"

#include "coordination/factset.h"
#include "coordination/gossipqueue.h"
#include "coordination/localhealth.h"
#include "coordination/membertable.h"
#include "coordination/probeschedule.h"
#include "core/hash.h"
#include "core/result.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>

namespace ApricotStep
{

namespace
{

// Bytes of queued items in one datagram, besides its header and the updates about sender and receiver. All together stay below 1200 bytes,
// which every path carries without fragmentation.
constexpr std::size_t PiggybackBytes = 800;
constexpr std::size_t MaxSyncReplies = 40;
constexpr int ExpectedConfirmations = 3;
constexpr int RetransmitFactor = 4;
constexpr std::size_t ConfirmingProbes = 4;
constexpr std::size_t ResyncPeers = 3;

// A probe in flight, sent by this node or relayed for another one.
struct Probe
{
    NodeId target;
    Time sentAt;
    Time indirectAt;
    Time endsAt;
    bool isIndirect = false;
    /** Sent to a node that is not a live member; no response has no consequence. */
    bool isIntroduction = false;
    int relays = 0;
    int nacks = 0;
    // For a relayed probe.
    std::string requester;
    std::uint32_t requesterSequence = 0;
};

int transmitLimit(std::size_t members)
{
    return RetransmitFactor * static_cast<int>(std::ceil(std::log10(static_cast<double>(members) + 2)));
}

} // namespace

struct Membership::Private
{
    MemberUpdate self;
    MembershipLimits limits;
    Random random;
    MemberTable table;
    FactSet facts;
    GossipQueue queue;
    ProbeSchedule schedule;
    LocalHealth health;
    MembershipCounters counters;
    // Entry VMs of the newest VM list.
    std::vector<VmRecord> listed;
    std::shared_ptr<const FleetView> view = std::make_shared<FleetView>();
    absl::flat_hash_map<std::uint32_t, Probe> probes;
    std::vector<MembershipAction> actions;
    std::uint32_t counter = 0;
    std::uint32_t sequence = 0;
    std::uint16_t numberSalt = 0;
    bool isLeaving = false;
    bool isViewDue = true;
    bool isViewPublished = false;
    bool hasVmList = false;
    /** A later incarnation of this node is live. */
    bool isSuperseded = false;
    /**
     * After a start or a pause, only responses to a SyncRequest count until enough have arrived: an ack shows that a peer is reachable but
     * does not deliver missed updates.
     */
    bool isResuming = false;
    Time lastTick;
    Time startedAt;
    Time resumedAt;
    Time lastReplyAt;
    Time nextProbe;
    Time nextGossip;
    Time nextSync;
    Time nextReconnect;
    Time nextResync;
    absl::flat_hash_set<NodeId> repliedSinceResume;

    void on(const MembershipTick &event, Time now);
    void on(const DatagramReceived &event, Time now);
    void on(const VmListRead &event, Time now);
    void on(const AnnounceRumour &event, Time now);
    void on(const AnnounceLeaving &event, Time now);
    void on(const AnnounceLeft &event, Time now);

    void onBody(const Ping &ping, const DatagramReceived &event, Time now);
    void onBody(const Ack &ack, const DatagramReceived &event, Time now);
    void onBody(const Nack &nack, const DatagramReceived &event, Time now);
    void onBody(const PingRequest &request, const DatagramReceived &event, Time now);
    void onBody(const Gossip &gossip, const DatagramReceived &event, Time now);
    void onBody(const SyncRequest &request, const DatagramReceived &event, Time now);
    void onBody(const SyncReply &reply, const DatagramReceived &event, Time now);

    void send(const std::string &address, MemberBody body, const Member *receiver, Time now);
    void sendWithoutGossip(const std::string &address, MemberBody body, Time now, std::vector<MemberUpdate> updates = {});
    bool acceptSender(const MemberDatagram &datagram, const std::string &from, Time now);
    bool applyUpdate(const MemberUpdate &update, Time now);
    void applyOtherIncarnation(const MemberUpdate &update, Time now);
    void applyUpdateAboutSelf(const MemberUpdate &update, Time now);
    void applyRumour(const AgedRumour &rumour, Time now);
    void addAccuser(Member &member, const NodeId &accuser);
    void noteReply(const NodeId &id, Time now);

    void probe(const NodeId &target, Time now);
    void contact(const std::string &address, const Member *member, Time now);
    bool isContactable(const VmRecord &vm) const;
    bool isFresh(Time now) const;
    bool mayPublishView(Time now) const;
    void askRelays(std::uint32_t probeSequence, Probe &probe, Time now);
    void checkProbes(Time now);
    void failProbe(const Probe &probe, Time now);
    void suspect(const NodeId &id, Time now);
    void checkSuspicions(Time now);
    Duration suspicionTime(const Member &member) const;
    void gossip(Time now);
    void sendGossip(Time now);
    void synchronise(const std::string &address, Time now);
    void reconnect(Time now);
    void onResume(Time now);
    void requestResync(Time now);
    void resolveNumberConflict(Time now);
    bool isListedLeaving(const NodeId &id) const;
    void refreshView();
    BucketDigests digests() const;
    std::uint32_t digest() const;
    int retransmits() const;
};

int Membership::Private::retransmits() const
{
    return transmitLimit(table.liveCount());
}

BucketDigests Membership::Private::digests() const
{
    BucketDigests all = table.digests();
    for (std::size_t i = 0; i < DigestBuckets; ++i) {
        all[i] ^= facts.digests()[i];
    }
    all[digestBucket(self.id.value())] ^= digestOf(self);
    return all;
}

std::uint32_t Membership::Private::digest() const
{
    std::string bytes;
    for (const std::uint32_t bucket : digests()) {
        bytes.append(reinterpret_cast<const char *>(&bucket), sizeof bucket);
    }
    return static_cast<std::uint32_t>(stableHash(bytes));
}

void Membership::Private::sendWithoutGossip(const std::string &address, MemberBody body, Time, std::vector<MemberUpdate> updates)
{
    MemberDatagram datagram;
    datagram.sender = self.id;
    datagram.incarnation = self.incarnation;
    datagram.counter = ++counter;
    datagram.digest = digest();
    datagram.body = std::move(body);
    datagram.updates = std::move(updates);
    actions.emplace_back(SendDatagram { address, std::move(datagram) });
}

// If the receiver is not alive in this view, the datagram also reports that: a member wrongly declared dead, for example by the other side
// of a partition, must learn of it to refute it.
void Membership::Private::send(const std::string &address, MemberBody body, const Member *receiver, Time now)
{
    std::vector<MemberUpdate> updates;
    if (receiver == nullptr || !receiver->isLive()) {
        updates.push_back(self);
    }
    if (receiver != nullptr && receiver->update.state != MemberState::Alive) {
        updates.push_back(receiver->update);
    }
    sendWithoutGossip(address, std::move(body), now, std::move(updates));
    queue.fill(std::get<SendDatagram>(actions.back()).datagram, PiggybackBytes, retransmits(), now);
}

void Membership::Private::addAccuser(Member &member, const NodeId &accuser)
{
    if (!accuser.isEmpty()) {
        member.accusers.insert(accuser);
    }
}

void Membership::Private::applyUpdateAboutSelf(const MemberUpdate &update, Time now)
{
    if (update.incarnation != self.incarnation) {
        applyOtherIncarnation(update, now);
        return;
    }
    const bool isAccusation = update.state == MemberState::Suspect || update.state == MemberState::Dead;
    if (!isAccusation || update.refutation < self.refutation) {
        return;
    }
    self.refutation = update.refutation + 1;
    ++counters.refutations;
    health.worsen();
    queue.add(self, now);
    sendGossip(now);
}

// Handles an update about another incarnation of this node. If that one ranks higher, either this process is the newer one and its wall
// clock has stepped back, or it is the older one, such as a paused VM that resumes after its replacement has started. Only the newer one
// may raise its epoch; a process that has published a view counts as the older one.
void Membership::Private::applyOtherIncarnation(const MemberUpdate &update, Time now)
{
    if (!supersedes(update, self)) {
        return;
    }
    if (isViewPublished) {
        isSuperseded = true;
        return;
    }
    self.epoch = static_cast<std::uint16_t>(update.epoch + 1);
    queue.add(self, now);
    sendGossip(now);
}

bool Membership::Private::applyUpdate(const MemberUpdate &update, Time now)
{
    if (update.id == self.id) {
        applyUpdateAboutSelf(update, now);
        return false;
    }
    Member *known = table.find(update.id);
    const bool isSameSuspicion = known != nullptr && known->update.state == MemberState::Suspect && update.state == MemberState::Suspect
        && known->update.incarnation == update.incarnation && known->update.refutation == update.refutation;
    if (isSameSuspicion && !known->accusers.contains(update.accuser) && std::cmp_less(known->accusers.size(), ExpectedConfirmations + 1)) {
        addAccuser(*known, update.accuser);
        queue.add(update, now); // Each further accuser shortens the time to refute on all nodes.
        return false;
    }
    // An unknown member without addresses can neither be probed nor used; a later Alive update brings them.
    const bool hasNoAddress = known == nullptr && update.membershipAddress.empty();
    const bool wasLive = known != nullptr && known->isLive();
    if (hasNoAddress || !table.merge(update, now)) {
        return false;
    }
    Member &member = *table.find(update.id);
    if (update.state == MemberState::Suspect) {
        member.suspectedAt = now;
        member.accusers.clear();
        addAccuser(member, update.accuser);
        // A few of the nodes that receive the suspicion probe the member at once, so that a death is confirmed within one probe.
        if (random() % (table.liveCount() + 1) < ConfirmingProbes) {
            probe(update.id, now);
        }
    } else if (wasLive && update.state == MemberState::Dead) {
        ++counters.deaths;
    }
    queue.add(update, now);
    isViewDue = true;
    return true;
}

void Membership::Private::applyRumour(const AgedRumour &rumour, Time now)
{
    if (!facts.merge(rumour, now)) {
        return;
    }
    queue.add(rumour, now);
    actions.emplace_back(RumourLearned { rumour.rumour });
    isViewDue = true;
    nextGossip = std::min(nextGossip, now);
}

void Membership::Private::noteReply(const NodeId &id, Time now)
{
    lastReplyAt = now;
    if (!isResuming && repliedSinceResume.size() < ResyncPeers) {
        repliedSinceResume.insert(id);
    }
}

// Facts merge in any order and acks are matched by sequence, so a replayed datagram does little harm; it is rejected nevertheless. A
// datagram of another incarnation than the known one is rejected as well, unless it carries the update that supersedes the known one.
bool Membership::Private::acceptSender(const MemberDatagram &datagram, const std::string &from, Time now)
{
    Member *sender = table.find(datagram.sender);
    if (sender == nullptr) {
        return true;
    }
    if (datagram.incarnation == sender->update.incarnation) {
        return sender->replayWindow.accept(datagram.counter);
    }
    const bool isNewer = std::any_of(datagram.updates.begin(), datagram.updates.end(),
        [&](const MemberUpdate &update) { return update.id == datagram.sender && supersedes(update, sender->update); });
    if (!isNewer) {
        sendWithoutGossip(from, Gossip {}, now, { self, sender->update });
    }
    return isNewer;
}

void Membership::Private::on(const DatagramReceived &event, Time now)
{
    const MemberDatagram &datagram = event.datagram;
    if (datagram.sender == self.id) {
        return;
    }
    if (!acceptSender(datagram, event.from, now)) {
        ++counters.replays;
        return;
    }
    for (const MemberUpdate &update : datagram.updates) {
        applyUpdate(update, now);
    }
    for (const AgedRumour &rumour : datagram.rumours) {
        applyRumour(rumour, now);
    }
    std::visit([&](const auto &body) { onBody(body, event, now); }, datagram.body);
    if (datagram.digest != digest() && now >= nextSync && queue.isEmpty()) {
        synchronise(event.from, now);
    }
}

void Membership::Private::onBody(const Ping &ping, const DatagramReceived &event, Time now)
{
    send(event.from, Ack { ping.sequence }, table.find(event.datagram.sender), now);
    // A sender that includes an update about itself does not know this node. This node may know the sender already, for example if its
    // first ack was lost. Without an update about this node the sender would take itself to be the only node.
    const auto isOf = [](const NodeId &id) { return [&id](const MemberUpdate &update) { return update.id == id; }; };
    const auto &receivedUpdates = event.datagram.updates;
    auto &ackUpdates = std::get<SendDatagram>(actions.back()).datagram.updates;
    const bool hasIntroducedItself = std::any_of(receivedUpdates.begin(), receivedUpdates.end(), isOf(event.datagram.sender));
    if (hasIntroducedItself && std::none_of(ackUpdates.begin(), ackUpdates.end(), isOf(self.id))) {
        ackUpdates.push_back(self);
    }
}

void Membership::Private::onBody(const Ack &ack, const DatagramReceived &event, Time now)
{
    const auto at = probes.find(ack.sequence);
    if (at == probes.end()) {
        return;
    }
    const Probe probe = at->second;
    probes.erase(at);
    if (!probe.requester.empty()) {
        sendWithoutGossip(probe.requester, Ack { probe.requesterSequence }, now);
        return;
    }
    noteReply(event.datagram.sender, now);
    health.improve();
}

void Membership::Private::onBody(const Nack &nack, const DatagramReceived &, Time)
{
    const auto at = probes.find(nack.sequence);
    if (at != probes.end()) {
        ++at->second.nacks;
    }
}

void Membership::Private::onBody(const PingRequest &request, const DatagramReceived &event, Time now)
{
    Probe relayed;
    relayed.sentAt = now;
    relayed.indirectAt = Time::never();
    relayed.endsAt = now + limits.probeTimeout;
    relayed.requester = event.from;
    relayed.requesterSequence = request.sequence;
    probes.emplace(++sequence, relayed);
    sendWithoutGossip(request.targetAddress, Ping { sequence }, now);
}

void Membership::Private::onBody(const Gossip &, const DatagramReceived &, Time)
{
}

void Membership::Private::onBody(const SyncRequest &request, const DatagramReceived &event, Time now)
{
    const BucketDigests own = digests();
    std::vector<MemberUpdate> updates;
    std::vector<AgedRumour> rumours;
    const auto differs = [&](const std::string &name) {
        const std::size_t bucket = digestBucket(name);
        return own[bucket] != request.digests[bucket];
    };
    if (differs(self.id.value())) {
        updates.push_back(self);
    }
    for (const auto &[id, member] : table.members()) {
        if (differs(id.value())) {
            updates.push_back(member.update);
        }
    }
    for (const AgedRumour &rumour : facts.all(now)) {
        if (differs(rumourName(rumour.rumour))) {
            rumours.push_back(rumour);
        }
    }
    for (std::size_t replies = 0; replies < MaxSyncReplies; ++replies) {
        sendWithoutGossip(event.from, SyncReply { request.sequence }, now);
        MemberDatagram &datagram = std::get<SendDatagram>(actions.back()).datagram;
        std::size_t bytes = 0;
        // Rumours are sent first, since a resuming node counts as fresh after the first part.
        while (!rumours.empty() && bytes + wireSize(rumours.back()) <= PiggybackBytes) {
            bytes += wireSize(rumours.back());
            datagram.rumours.push_back(rumours.back());
            rumours.pop_back();
        }
        while (!updates.empty() && bytes + wireSize(updates.back()) <= PiggybackBytes) {
            bytes += wireSize(updates.back());
            datagram.updates.push_back(updates.back());
            updates.pop_back();
        }
        if (updates.empty() && rumours.empty()) {
            return;
        }
    }
}

void Membership::Private::onBody(const SyncReply &, const DatagramReceived &event, Time now)
{
    noteReply(event.datagram.sender, now);
    if (isResuming) {
        repliedSinceResume.insert(event.datagram.sender);
        isResuming = repliedSinceResume.size() < std::min(ResyncPeers, table.liveCount());
    }
}

void Membership::Private::synchronise(const std::string &address, Time now)
{
    std::uniform_int_distribution<std::int64_t> jitter(0, limits.syncInterval.milliseconds());
    nextSync = now + Duration(limits.syncInterval.milliseconds() / 2 + jitter(random));
    sendWithoutGossip(address, SyncRequest { ++sequence, digests() }, now, { self });
}

void Membership::Private::probe(const NodeId &target, Time now)
{
    const Member *member = table.find(target);
    if (member == nullptr) {
        return;
    }
    Probe probe;
    probe.target = target;
    probe.sentAt = now;
    probe.indirectAt = now + limits.probeTimeout * health.factor();
    probe.endsAt = now + limits.probeInterval * health.factor();
    probes.emplace(++sequence, probe);
    send(member->update.membershipAddress, Ping { sequence }, member, now);
}

void Membership::Private::askRelays(std::uint32_t probeSequence, Probe &probe, Time now)
{
    const Member *target = table.find(probe.target);
    probe.isIndirect = true;
    if (target == nullptr) {
        return;
    }
    // A second direct ping costs one datagram and avoids a suspicion if the first one was lost.
    sendWithoutGossip(target->update.membershipAddress, Ping { probeSequence }, now);
    for (const NodeId &relay : chooseRelays(table, *target, self.zone, static_cast<std::size_t>(limits.relays), random)) {
        ++probe.relays;
        sendWithoutGossip(
            table.find(relay)->update.membershipAddress, PingRequest { probeSequence, target->update.membershipAddress }, now);
    }
}

void Membership::Private::checkProbes(Time now)
{
    std::vector<std::uint32_t> sequences;
    for (const auto &[probeSequence, probe] : probes) {
        if (now >= probe.endsAt || (!probe.isIndirect && now >= probe.indirectAt)) {
            sequences.push_back(probeSequence);
        }
    }
    std::sort(sequences.begin(), sequences.end());
    for (const std::uint32_t probeSequence : sequences) {
        Probe &probe = probes.at(probeSequence);
        if (now < probe.endsAt) {
            askRelays(probeSequence, probe, now);
            continue;
        }
        const Probe ended = probe;
        probes.erase(probeSequence);
        if (!ended.requester.empty()) {
            sendWithoutGossip(ended.requester, Nack { ended.requesterSequence }, now);
        } else if (!ended.isIntroduction) {
            failProbe(ended, now);
        }
    }
}

void Membership::Private::failProbe(const Probe &probe, Time now)
{
    // Live relays send a Nack. If they do not respond either, the fault may be on this node's side.
    if (probe.relays == 0 || probe.nacks < probe.relays) {
        health.worsen();
    }
    suspect(probe.target, now);
}

void Membership::Private::suspect(const NodeId &id, Time now)
{
    const Member *member = table.find(id);
    if (member == nullptr || !member->isLive()) {
        return;
    }
    MemberUpdate update = member->update;
    const bool isFirst = update.state == MemberState::Alive;
    update.state = MemberState::Suspect;
    update.accuser = self.id;
    counters.suspicions += isFirst ? 1 : 0;
    applyUpdate(update, now);
    if (isFirst) {
        // Notifies the suspected member directly instead of by gossip alone, so that it can refute in time.
        sendWithoutGossip(update.membershipAddress, Gossip {}, now, { update });
    }
}

Duration Membership::Private::suspicionTime(const Member &member) const
{
    const std::size_t others = table.liveCount() > 1 ? table.liveCount() - 1 : 0;
    const double wanted = static_cast<double>(std::min<std::size_t>(ExpectedConfirmations, others));
    const auto min = static_cast<double>(limits.suspicionMin.milliseconds());
    const auto max = static_cast<double>(limits.suspicionMax.milliseconds());
    if (wanted < 1) {
        return limits.suspicionMin * health.factor();
    }
    const double confirmed = static_cast<double>(member.accusers.size() > 1 ? member.accusers.size() - 1 : 0);
    const double time = max - (max - min) * std::log(confirmed + 1) / std::log(wanted + 1);
    return Duration(static_cast<std::int64_t>(std::max(min, time))) * health.factor();
}

void Membership::Private::checkSuspicions(Time now)
{
    std::vector<MemberUpdate> dead;
    for (const auto &[id, member] : table.members()) {
        if (member.update.state == MemberState::Suspect && now - member.suspectedAt >= suspicionTime(member)) {
            dead.push_back(member.update);
        }
    }
    for (MemberUpdate &update : dead) {
        update.state = MemberState::Dead;
        update.accuser = {};
        applyUpdate(update, now);
        sendGossip(now);
    }
}

// Sends queued items to a few random peers. An item that no other node has yet spreads exponentially from there.
void Membership::Private::sendGossip(Time now)
{
    for (const NodeId &id : chooseLive(table, static_cast<std::size_t>(limits.gossipFanOut), {}, random)) {
        const Member *member = table.find(id);
        send(member->update.membershipAddress, Gossip {}, member, now);
    }
    nextGossip = now + limits.gossipInterval;
}

void Membership::Private::gossip(Time now)
{
    if (now >= nextGossip && !queue.isEmpty() && table.liveCount() > 0) {
        sendGossip(now);
    }
}

// Contacts members that are not live in the view at a low rate: for as long as the VM list names them, and for a limited time after they
// were declared dead. Without this the two sides of a partition would not merge after it has healed, since neither probes members that it
// considers dead.
void Membership::Private::reconnect(Time now)
{
    if (now < nextReconnect) {
        return;
    }
    nextReconnect = now + limits.reconnectInterval;
    std::vector<std::string> addresses;
    for (const VmRecord &vm : listed) {
        const Member *member = table.find(NodeId(vm.id));
        if (isContactable(vm) && (member == nullptr || !member->isLive())) {
            addresses.push_back(vm.membershipAddress);
        }
    }
    for (const auto &[id, member] : table.members()) {
        if (member.update.state == MemberState::Dead) {
            addresses.push_back(member.update.membershipAddress);
        }
    }
    if (addresses.empty()) {
        return;
    }
    std::sort(addresses.begin(), addresses.end());
    const std::string &address = addresses[random() % addresses.size()];
    for (const auto &[id, member] : table.members()) {
        if (member.update.membershipAddress == address) {
            contact(address, &member, now);
            return;
        }
    }
    contact(address, nullptr, now);
}

bool Membership::Private::isContactable(const VmRecord &vm) const
{
    return NodeId(vm.id) != self.id && !vm.membershipAddress.empty();
}

void Membership::Private::contact(const std::string &address, const Member *member, Time now)
{
    Probe probe;
    probe.sentAt = now;
    probe.indirectAt = Time::never();
    probe.endsAt = now + limits.probeInterval;
    probe.isIntroduction = true;
    probes.emplace(++sequence, probe);
    send(address, Ping { sequence }, member, now);
}

void Membership::Private::onResume(Time now)
{
    ++counters.pauses;
    resumedAt = now;
    repliedSinceResume.clear();
    // Timeouts that expired during the pause say nothing about the other members, since this process could not receive their messages.
    probes.clear();
    for (const auto &[id, member] : table.members()) {
        if (member.update.state == MemberState::Suspect) {
            table.find(id)->suspectedAt = now;
        }
    }
    isResuming = true;
    nextResync = now;
}

// Repeated while responses are missing: they may be lost, or the queried peers may have died.
void Membership::Private::requestResync(Time now)
{
    if (!isResuming || now < nextResync) {
        return;
    }
    if (table.liveCount() == 0) {
        isResuming = now - resumedAt < limits.freshFor; // There is no peer to query.
        return;
    }
    nextResync = now + limits.probeInterval;
    for (const NodeId &id : chooseLive(table, ResyncPeers, {}, random)) {
        synchronise(table.find(id)->update.membershipAddress, now);
    }
}

void Membership::Private::on(const MembershipTick &, Time now)
{
    if (lastTick == Time()) {
        startedAt = now;
        resumedAt = now;
        isResuming = true;
        lastTick = now;
    }
    const bool hasPaused = now - lastTick >= limits.pauseGap;
    lastTick = now;
    if (hasPaused) {
        onResume(now);
    }
    requestResync(now);
    checkProbes(now);
    checkSuspicions(now);
    if (now >= nextProbe) {
        nextProbe = now + limits.probeInterval * health.factor();
        probe(schedule.next(table, random), now);
    }
    reconnect(now);
    gossip(now);
    isViewDue = facts.expire(now) || isViewDue;
    table.removeDeadBefore(now - limits.removeDeadAfter);
}

void Membership::Private::on(const VmListRead &event, Time now)
{
    hasVmList = true;
    listed.clear();
    for (const VmRecord &vm : event.list.vms) {
        if (vm.role == VmRole::Entry) {
            listed.push_back(vm);
        } else if (vm.leaving) {
            applyRumour({ LeavingFact { vm.id, Incarnation() }, Duration() }, now);
        }
    }
    if (table.liveCount() == 0) {
        // A starting node contacts several nodes at once, since it has no peers until one responds.
        for (const VmRecord &vm : listed) {
            if (isContactable(vm) && random() % listed.size() < ResyncPeers) {
                contact(vm.membershipAddress, table.find(NodeId(vm.id)), now);
            }
        }
    }
    isViewDue = true;
}

void Membership::Private::on(const AnnounceRumour &event, Time now)
{
    applyRumour({ event.rumour, Duration() }, now);
    gossip(now);
}

void Membership::Private::on(const AnnounceLeaving &, Time now)
{
    isLeaving = true;
    applyRumour({ LeavingFact { self.id.value(), self.incarnation }, Duration() }, now);
    sendGossip(now);
}

void Membership::Private::on(const AnnounceLeft &, Time now)
{
    self.state = MemberState::Left;
    queue.add(self, now);
    // There is no later gossip round, so the update is sent to twice as many peers as usual.
    sendGossip(now);
    sendGossip(now);
}

// Two nodes with the same number could create equal fencing tokens, so that a new owner's order would not fence off the former owner. The
// node with the greater id picks another number.
void Membership::Private::resolveNumberConflict(Time now)
{
    const auto isTaken = [&] {
        return std::any_of(table.members().begin(), table.members().end(),
            [&](const auto &entry) { return entry.second.isLive() && entry.second.update.number == self.number && entry.first < self.id; });
    };
    while (isTaken()) {
        self.number = static_cast<std::uint16_t>(stableHash(self.id.value(), std::to_string(++numberSalt)));
        ++self.refutation;
        queue.add(self, now);
    }
}

bool Membership::Private::isFresh(Time now) const
{
    if (isSuperseded || lastTick == Time() || now - lastTick >= limits.pauseGap) {
        return false;
    }
    if (table.liveCount() == 0) {
        // Without live peers the view is fresh at once if the VM list names this node and no other to contact, otherwise once others had
        // time to make contact. A list that does not name this node yet may lack other nodes too.
        const bool isNamed = std::any_of(listed.begin(), listed.end(), [&](const VmRecord &vm) { return NodeId(vm.id) == self.id; });
        const bool isAlone = isNamed && std::none_of(listed.begin(), listed.end(), [&](const VmRecord &vm) { return isContactable(vm); });
        return isAlone || now - resumedAt >= limits.freshFor;
    }
    const std::size_t wanted = std::min(ResyncPeers, table.liveCount());
    return repliedSinceResume.size() >= wanted && now - lastReplyAt < limits.freshFor;
}

// A starting node that published a view of itself alone would consider itself the owner of everything.
bool Membership::Private::mayPublishView(Time now) const
{
    const bool areAllKnown = std::all_of(listed.begin(), listed.end(), [&](const VmRecord &vm) {
        const Member *member = table.find(NodeId(vm.id));
        return !isContactable(vm) || (member != nullptr && member->isLive());
    });
    return isFresh(now) && hasVmList && (areAllKnown || now - startedAt >= limits.suspicionMax);
}

bool Membership::Private::isListedLeaving(const NodeId &id) const
{
    return std::any_of(listed.begin(), listed.end(), [&](const VmRecord &vm) { return vm.leaving && NodeId(vm.id) == id; });
}

void Membership::Private::refreshView()
{
    auto next = std::make_shared<FleetView>();
    const auto add = [&](const MemberUpdate &update) {
        NodeView node { update.id, update.zone, update.callerAddress, update.rpcAddress, update.incarnation };
        const bool isNodeLeaving = facts.isLeaving(update.id.value(), update.incarnation) || isListedLeaving(update.id);
        (isNodeLeaving ? next->leavingNodes : next->nodes).push_back(std::move(node));
    };
    add(self);
    for (const auto &[id, member] : table.members()) {
        if (member.isLive()) {
            add(member.update);
        }
    }
    next->isNodeMissing = std::any_of(listed.begin(), listed.end(), [&](const VmRecord &vm) {
        const Member *member = table.find(NodeId(vm.id));
        return isContactable(vm) && !vm.leaving && (member == nullptr || member->update.state == MemberState::Dead);
    });
    // A listed VM without a membership address cannot be probed; it is assumed to be live.
    for (const VmRecord &vm : listed) {
        if (vm.membershipAddress.empty() && !vm.leaving && NodeId(vm.id) != self.id && table.find(NodeId(vm.id)) == nullptr) {
            next->nodes.push_back({ NodeId(vm.id), vm.zone, vm.callerAddress, vm.rpcAddress, Incarnation() });
        }
    }
    for (const AgedRumour &fact : facts.all(lastTick)) {
        const auto *leaving = std::get_if<LeavingFact>(&fact.rumour);
        if (leaving != nullptr && leaving->incarnation == Incarnation()) {
            next->leaving.insert(UpstreamId(leaving->vm));
        }
    }
    const auto byId = [](const NodeView &a, const NodeView &b) { return a.id < b.id; };
    std::sort(next->nodes.begin(), next->nodes.end(), byId);
    std::sort(next->leavingNodes.begin(), next->leavingNodes.end(), byId);
    if (*next != *view) {
        view = std::move(next);
        actions.emplace_back(ViewChanged { view });
    }
}

Membership::Membership(MemberUpdate self, MembershipLimits limits, std::uint64_t seed)
    : d(std::make_unique<Private>())
{
    d->self = std::move(self);
    d->self.number = static_cast<std::uint16_t>(stableHash(d->self.id.value(), "number"));
    d->limits = limits;
    d->random.seed(seed);
    // Acks are matched by sequence. With a fixed initial value an old datagram could be mistaken for a new response.
    d->sequence = static_cast<std::uint32_t>(d->random());
}

Membership::~Membership() = default;

std::vector<MembershipAction> Membership::handle(const MembershipEvent &event, Time now)
{
    d->actions.clear();
    std::visit([&](const auto &what) { d->on(what, now); }, event);
    d->isViewPublished = d->isViewPublished || d->mayPublishView(now);
    if (d->isViewDue && d->isViewPublished) {
        d->isViewDue = false;
        d->resolveNumberConflict(now);
        d->refreshView();
    }
    return std::move(d->actions);
}

bool Membership::isFresh(Time now) const
{
    return d->isFresh(now);
}

std::uint16_t Membership::number() const
{
    return d->self.number;
}

std::shared_ptr<const FleetView> Membership::view() const
{
    return d->view;
}

std::vector<Rumour> Membership::rumours() const
{
    std::vector<Rumour> known;
    for (const AgedRumour &fact : d->facts.all(d->lastTick)) {
        known.push_back(fact.rumour);
    }
    return known;
}

const MembershipCounters &Membership::counters() const
{
    return d->counters;
}

} // namespace ApricotStep
