#include "coordination/configsync.h"

#include "coordination/configassembler.h"
#include "coordination/rendezvous.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <random>

namespace ApricotStep
{

namespace
{

constexpr std::size_t MaxStartQueries = 5;
// Attempts per value, alternating between peers and the service, before it counts as unavailable.
constexpr int MaxAttempts = 6;
constexpr Duration ReadTimeout { 2000 };
constexpr Duration WatchSlack { 1000 };
// A watch that returns no newer version this much before its time is over was not held by the service.
constexpr Duration EarlyReplyMargin { 500 };
constexpr int MaxDoublings = 16;
constexpr std::string_view WatchKey = "config-watch";
// Gossip names up to three holders of a version. If all nodes fetched from these, each would send a change to a third of the fleet: 120 KB
// at 400 nodes, and 350 KB from a single node that reaches the service. Therefore each node fetches from its parent in a tree over the live
// nodes, whose order is derived from the version number, and sends to four others at most. Each level waits for the one above it. The wait
// is some gossip rounds shorter than the differences between the times at which members learn of the version; retries cover the rest.
constexpr std::size_t TreeArity = 4;
constexpr Duration TreeLevelWait { 200 };
constexpr int TreeAttempts = 3;
constexpr Duration TreeRetryWait { 250 };

using Source = std::optional<NodeId>; // Unset: the service.

struct Adoption
{
    ConfigAssembler assembler;
    Source source;
    MissingValue wanted;
    int attempts = 0;
    std::optional<FetchId> fetch;
    Time notBefore;
};

// A head whose adoption is deferred: at startup until the peers have responded, after a poll until gossip has had time to announce it.
struct DeferredHead
{
    ConfigHead head;
    Source source;
    Time until;
};

} // namespace

std::string_view configProblemName(ConfigProblem problem)
{
    switch (problem) {
    case ConfigProblem::Refused:
        return "invalid";
    case ConfigProblem::Conflict:
        return "conflict";
    case ConfigProblem::Forked:
        return "forked";
    case ConfigProblem::Stale:
        return "stale";
    case ConfigProblem::Corrupted:
        return "corrupted";
    case ConfigProblem::Gap:
        return "gap";
    }
    return "";
}

struct ConfigSync::Private
{
    explicit Private(ConfigSyncSettings given)
        : settings(std::move(given))
        , random(settings.seed)
    {
    }

    const ConfigSyncSettings settings;
    std::mt19937_64 random;
    std::vector<ConfigAction> actions;
    Time now;
    FetchId lastFetch = 0;

    std::shared_ptr<const Catalog> catalog;
    ConfigHead activeHead;
    std::string refusedHash;
    std::string conflictHash;
    std::string unreadableDetail;

    std::vector<NodeView> others;
    std::size_t nodeCount = 1;
    bool isElectedWatcher = false;
    Time substituteWatchUntil;
    absl::flat_hash_map<NodeId, ConfigVersion> announcedVersions;

    std::optional<Time> started;
    bool hasFinishedStart = false;
    bool hasPeerList = false;
    bool hasPeerAnswered = false;
    absl::flat_hash_map<FetchId, NodeId> openStartQueries;
    std::vector<NodeId> queriedAtStart;

    std::optional<FetchId> serviceRead;
    bool isServiceReadWatch = false;
    Time serviceReadStarted;
    Time nextServiceRead;
    int serviceFailures = 0;

    std::optional<FetchId> peerRead;
    NodeId peerReadFrom;
    ConfigVersion treeVersion;
    std::optional<NodeId> treeParent;
    int treeAttempts = 0;
    Time nextPeerRead;
    int peerFailures = 0;

    std::optional<DeferredHead> deferredHead;
    std::optional<Adoption> adoption;

    ConfigVersion version() const
    {
        return catalog == nullptr ? ConfigVersion() : catalog->version();
    }
    bool watches() const
    {
        return isElectedWatcher || now < substituteWatchUntil;
    }
    Duration jittered(Duration span);
    Duration backoff(int failures);
    void report(ConfigProblem problem, ConfigVersion ofVersion, std::string detail);
    FetchId fetch(const Source &source, ConfigValueKind kind, const std::string &hash, Duration wait);

    void onPeersChanged(const std::vector<NodeView> &nodes);
    void onVersionAnnounced(const ConfigFact &fact);
    void onValueFetched(const ValueFetched &fetched);
    void onServiceHead(const Result<ConfigValue> &value);
    Duration delayAfterServiceRead(bool isNew);
    void onStartReply(const Result<ConfigValue> &value, const NodeId &from);
    void onPeerHead(const Result<ConfigValue> &value);
    void onAdoptionValue(const Result<ConfigValue> &value);

    void tick();
    void queryPeersAtStart();
    void finishStart();
    void readService();
    void readPeer();
    void joinFetchTree(ConfigVersion ofVersion);
    bool scheduleTreeRetry(const Result<ConfigValue> &value);
    void adoptDeferredHead();

    bool isAcceptable(const ConfigHead &head);
    void deferHead(const ConfigHead &head, const Source &source, Time until);
    void adopt(const ConfigHead &head, const Source &source);
    void stepAdoption();
    void fetchWanted();
    Source nextSource();
    void abandonValue();
    void finish(const AssemblyResult &result);
};

Duration ConfigSync::Private::jittered(Duration span)
{
    const std::int64_t half = std::max<std::int64_t>(span.milliseconds() / 2, 1);
    return Duration(half + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(2 * half)));
}

Duration ConfigSync::Private::backoff(int failures)
{
    const std::int64_t doubled = settings.initialBackoff.milliseconds() << std::min(failures, MaxDoublings);
    return jittered(std::min(Duration(doubled), settings.maxBackoff));
}

void ConfigSync::Private::report(ConfigProblem problem, ConfigVersion ofVersion, std::string detail)
{
    actions.emplace_back(ReportConfigProblem { problem, ofVersion, std::move(detail) });
}

FetchId ConfigSync::Private::fetch(const Source &source, ConfigValueKind kind, const std::string &hash, Duration wait)
{
    const Duration timeout = wait > Duration(0) ? wait + WatchSlack : ReadTimeout;
    actions.emplace_back(FetchValue { ++lastFetch, source, kind, hash, wait, version(), timeout });
    return lastFetch;
}

void ConfigSync::Private::onPeersChanged(const std::vector<NodeView> &nodes)
{
    hasPeerList = true;
    nodeCount = std::max<std::size_t>(nodes.size(), 1);
    others.clear();
    int higherRanked = 0;
    const double own = rendezvousScore(WatchKey, settings.self.value(), 1);
    for (const NodeView &node : nodes) {
        if (node.id == settings.self) {
            continue;
        }
        others.push_back(node);
        if (node.zone == settings.zone && rendezvousScore(WatchKey, node.id.value(), 1) > own) {
            ++higherRanked;
        }
    }
    const bool wasElectedWatcher = isElectedWatcher;
    isElectedWatcher = higherRanked < settings.watchersPerZone;
    if (isElectedWatcher && !wasElectedWatcher) {
        nextServiceRead = now; // Replaces a failed watcher at once instead of at the next poll.
    }
    absl::erase_if(announcedVersions, [&](const auto &entry) {
        return std::none_of(others.begin(), others.end(), [&](const NodeView &node) { return node.id == entry.first; });
    });
}

void ConfigSync::Private::onVersionAnnounced(const ConfigFact &fact)
{
    if (fact.node == settings.self || fact.version <= version()) {
        return;
    }
    ConfigVersion &known = announcedVersions[fact.node];
    if (fact.version > known) {
        known = fact.version;
    }
}

void ConfigSync::Private::onValueFetched(const ValueFetched &fetched)
{
    if (serviceRead == fetched.id) {
        serviceRead.reset();
        onServiceHead(fetched.value);
    } else if (peerRead == fetched.id) {
        peerRead.reset();
        onPeerHead(fetched.value);
    } else if (const auto at = openStartQueries.find(fetched.id); at != openStartQueries.end()) {
        const NodeId from = at->second;
        openStartQueries.erase(at);
        onStartReply(fetched.value, from);
    } else if (adoption && adoption->fetch == fetched.id) {
        adoption->fetch.reset();
        onAdoptionValue(fetched.value);
    }
}

void ConfigSync::Private::onServiceHead(const Result<ConfigValue> &value)
{
    const auto *head = value.isOk() ? std::get_if<ConfigHead>(&value.value()) : nullptr;
    if (head == nullptr) {
        if (!value.isOk() && value.error().kind == ErrorKind::ConfigInvalid && unreadableDetail != value.error().detail) {
            unreadableDetail = value.error().detail; // Reported once instead of on every read.
            report(ConfigProblem::Refused, {}, value.error().detail);
        }
        nextServiceRead = now + backoff(serviceFailures++);
        return;
    }
    serviceFailures = 0;
    const bool isNew = isAcceptable(*head);
    nextServiceRead = now + delayAfterServiceRead(isNew);
    if (head->version < version()) {
        report(ConfigProblem::Stale, head->version, "the service returned an old version");
    }
    if (!isNew) {
        return;
    }
    if (!hasFinishedStart) {
        deferHead(*head, {}, Time::never());
    } else if (watches() || catalog == nullptr || others.empty()) {
        adopt(*head, {});
    } else {
        deferHead(*head, {}, now + settings.gossipGracePeriod);
    }
}

// A stale replica, or one that returns a refused version, answers each watch at once. Without a delay its readers would use up the call
// rate of the service.
Duration ConfigSync::Private::delayAfterServiceRead(bool isNew)
{
    if (isServiceReadWatch && (isNew || now - serviceReadStarted >= settings.watch - EarlyReplyMargin)) {
        return Duration(0);
    }
    if (watches() || catalog == nullptr) {
        return jittered(settings.minPoll);
    }
    return jittered(std::clamp(settings.pollPerNode * static_cast<std::int64_t>(nodeCount), settings.minPoll, settings.maxPoll));
}

void ConfigSync::Private::onStartReply(const Result<ConfigValue> &value, const NodeId &from)
{
    const auto *head = value.isOk() ? std::get_if<ConfigHead>(&value.value()) : nullptr;
    hasPeerAnswered = hasPeerAnswered || value.isOk() || value.error().kind == ErrorKind::NotFound;
    if (head != nullptr) {
        deferHead(*head, from, Time::never());
    }
}

void ConfigSync::Private::onPeerHead(const Result<ConfigValue> &value)
{
    const auto *head = value.isOk() ? std::get_if<ConfigHead>(&value.value()) : nullptr;
    if (head == nullptr || head->version <= version()) {
        if (scheduleTreeRetry(value)) {
            return;
        }
        announcedVersions.erase(peerReadFrom); // Its announcement no longer holds; the next rumour or poll reports the version again.
        nextPeerRead = now + backoff(peerFailures++);
        return;
    }
    peerFailures = 0;
    if (isAcceptable(*head)) {
        adopt(*head, peerReadFrom);
    } else {
        announcedVersions.erase(peerReadFrom);
    }
}

// Handles a failed fetch from the tree parent. A parent that does not have the version yet is queried up to TreeAttempts times; after that,
// or if the parent is unreachable, the node fetches from a holder. Returns false if the fetch was not from the parent.
bool ConfigSync::Private::scheduleTreeRetry(const Result<ConfigValue> &value)
{
    if (treeParent != peerReadFrom) {
        return false;
    }
    const bool isReached = value.isOk() || value.error().kind == ErrorKind::NotFound;
    if (!isReached || ++treeAttempts >= TreeAttempts) {
        treeParent.reset();
    }
    nextPeerRead = treeParent ? now + jittered(TreeRetryWait) : now;
    return true;
}

// Whether @p head may be adopted. Reports a conflicting head: two operators who publish at the same time both build on the same version.
// The head that reached this node first stays active, since replacing it would change how requests resolve without a new version.
bool ConfigSync::Private::isAcceptable(const ConfigHead &head)
{
    if (catalog != nullptr && head.version == version() && !activeHead.hash.empty() && head.hash != activeHead.hash
        && head.hash != conflictHash) {
        conflictHash = head.hash;
        report(ConfigProblem::Conflict, head.version, "a second, different head of the active version; publish a new version");
    }
    return head.version > version() && head.hash != refusedHash;
}

void ConfigSync::Private::deferHead(const ConfigHead &head, const Source &source, Time until)
{
    if (deferredHead && deferredHead->head.version == head.version && deferredHead->head.hash != head.hash && conflictHash != head.hash) {
        conflictHash = head.hash;
        report(ConfigProblem::Conflict, head.version, "the service and a node have different heads of one version; publish a new version");
    }
    // Of equal versions a peer's head is preferred, since it is active there.
    const bool isBetter = !deferredHead || deferredHead->head.version < head.version
        || (deferredHead->head.version == head.version && source && !deferredHead->source);
    if (isBetter) {
        deferredHead = DeferredHead { head, source, deferredHead ? std::min(deferredHead->until, until) : until };
    }
}

void ConfigSync::Private::adopt(const ConfigHead &head, const Source &source)
{
    if (adoption && adoption->assembler.head().version >= head.version) {
        return;
    }
    adoption.emplace(Adoption { ConfigAssembler(head, catalog, activeHead.deltaHash), source, {}, 0, {}, now });
    stepAdoption();
}

void ConfigSync::Private::stepAdoption()
{
    const auto step = adoption->assembler.next();
    if (const auto *result = std::get_if<AssemblyResult>(&step)) {
        finish(*result);
        return;
    }
    adoption->wanted = std::get<MissingValue>(step);
    adoption->attempts = 0;
    fetchWanted();
}

void ConfigSync::Private::fetchWanted()
{
    adoption->fetch = fetch(adoption->source, adoption->wanted.kind, adoption->wanted.hash, Duration(0));
}

// Alternates between peers and the service, since either may be unreachable.
Source ConfigSync::Private::nextSource()
{
    if (others.empty() || adoption->source) {
        return {};
    }
    std::vector<const NodeView *> upToDate;
    for (const NodeView &node : others) {
        const auto at = announcedVersions.find(node.id);
        if (at != announcedVersions.end() && at->second >= adoption->assembler.head().version) {
            upToDate.push_back(&node);
        }
    }
    return upToDate.empty() ? others[random() % others.size()].id : upToDate[random() % upToDate.size()]->id;
}

void ConfigSync::Private::onAdoptionValue(const Result<ConfigValue> &value)
{
    if (value.isOk()) {
        adoption->assembler.addValue(value.value());
        stepAdoption();
        return;
    }
    if (value.error().kind == ErrorKind::ConfigInvalid) {
        finish({ value.error(), nullptr, false, false });
        return;
    }
    if (value.error().kind == ErrorKind::StaleConfig) {
        report(ConfigProblem::Corrupted, adoption->assembler.head().version, value.error().detail);
    }
    if (++adoption->attempts >= MaxAttempts) {
        abandonValue();
        return;
    }
    adoption->source = nextSource();
    // The first retry is immediate: usually a single node has failed and the next source responds.
    adoption->notBefore = adoption->attempts == 1 ? now : now + backoff(adoption->attempts - 2);
}

void ConfigSync::Private::abandonValue()
{
    const ConfigVersion wanted = adoption->assembler.head().version;
    if (adoption->wanted.kind == ConfigValueKind::Delta && adoption->assembler.fallBackToBase()) {
        report(ConfigProblem::Gap, wanted, "a change could not be fetched from any source; falling back to the base");
        stepAdoption();
        return;
    }
    report(ConfigProblem::Gap, wanted, "a value could not be fetched from any source; retrying later");
    adoption.reset();
    announcedVersions.clear();
    nextServiceRead = std::max(nextServiceRead, now + jittered(settings.minPoll));
}

void ConfigSync::Private::finish(const AssemblyResult &result)
{
    ConfigHead head = adoption->assembler.head();
    adoption.reset();
    if (!result.catalog.isOk()) {
        refusedHash = head.hash;
        announcedVersions.clear();
        report(ConfigProblem::Refused, head.version, result.catalog.error().detail);
        return;
    }
    if (result.isForked) {
        report(ConfigProblem::Forked, head.version, "it does not descend from version " + std::to_string(version().value()));
    }
    if (result.isBaseOnly) {
        head.version = head.baseVersion;
        head.deltaHash.clear();
        head.hash.clear();
    }
    catalog = result.catalog.value();
    activeHead = head;
    absl::erase_if(announcedVersions, [&](const auto &entry) { return entry.second <= version(); });
    if (deferredHead && deferredHead->head.version <= version()) {
        deferredHead.reset();
    }
    if (watches()) {
        nextServiceRead = now;
    }
    actions.emplace_back(ActivateConfig { catalog, head, result.base });
}

void ConfigSync::Private::queryPeersAtStart()
{
    std::vector<NodeId> candidates;
    for (const NodeView &node : others) {
        if (std::find(queriedAtStart.begin(), queriedAtStart.end(), node.id) == queriedAtStart.end()) {
            candidates.push_back(node.id);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random);
    // Peers that announced a version are queried first.
    std::stable_sort(candidates.begin(), candidates.end(),
        [&](const NodeId &a, const NodeId &b) { return announcedVersions.contains(a) && !announcedVersions.contains(b); });
    for (const NodeId &id : candidates) {
        if (openStartQueries.size() >= MaxStartQueries || (hasPeerAnswered && queriedAtStart.size() >= MaxStartQueries)) {
            return;
        }
        queriedAtStart.push_back(id);
        openStartQueries[fetch(id, ConfigValueKind::Head, {}, Duration(0))] = id;
    }
}

// A starting node cannot tell whether the service has reverted to an old copy, and a fleet that restarts with such a service would undo
// accepted changes. Peers may know newer versions, so a node queries them before it becomes ready. The wait is bounded, since a node must
// also start if no peer responds.
void ConfigSync::Private::finishStart()
{
    if (hasFinishedStart) {
        return;
    }
    if (!started) {
        started = now;
    }
    const bool hasTimedOut = now - *started >= settings.startTimeout;
    if (hasPeerList && !hasTimedOut) {
        queryPeersAtStart();
        const bool isAnswered = hasPeerAnswered && openStartQueries.empty();
        if (!others.empty() && !isAnswered) {
            return;
        }
    } else if (!hasTimedOut) {
        return;
    }
    hasFinishedStart = true;
    adoptDeferredHead();
}

void ConfigSync::Private::adoptDeferredHead()
{
    if (!deferredHead || !hasFinishedStart || (catalog != nullptr && now < deferredHead->until)) {
        return;
    }
    const DeferredHead due = *deferredHead;
    deferredHead.reset();
    if (due.head.version <= version() || adoption || !isAcceptable(due.head)) {
        return;
    }
    if (catalog != nullptr) {
        // Gossip did not announce the service's version: its watchers cannot reach the service, and this node can.
        substituteWatchUntil = now + settings.substituteWatchDuration;
    }
    adopt(due.head, due.source);
}

void ConfigSync::Private::readService()
{
    // During an adoption a watch would return at once with the head that is being adopted.
    if (serviceRead || adoption || now < nextServiceRead) {
        return;
    }
    isServiceReadWatch = catalog != nullptr && hasFinishedStart && watches();
    serviceReadStarted = now;
    serviceRead = fetch({}, ConfigValueKind::Head, {}, isServiceReadWatch ? settings.watch : Duration(0));
}

void ConfigSync::Private::joinFetchTree(ConfigVersion ofVersion)
{
    treeVersion = ofVersion;
    treeParent.reset();
    treeAttempts = 0;
    nextPeerRead = now;
    const std::string key = "config-tree/" + std::to_string(ofVersion.value());
    const double own = rendezvousScore(key, settings.self.value(), 1);
    std::vector<std::pair<double, const NodeId *>> above;
    for (const NodeView &node : others) {
        const double score = rendezvousScore(key, node.id.value(), 1);
        if (score > own) {
            above.emplace_back(score, &node.id);
        }
    }
    const std::size_t rank = above.size();
    if (rank < TreeArity) {
        return; // Top of the tree: fetches from a holder.
    }
    const auto parent = above.begin() + static_cast<std::ptrdiff_t>(rank / TreeArity - 1);
    std::nth_element(above.begin(), parent, above.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    treeParent = *parent->second;
    for (std::size_t at = rank; at >= TreeArity; at = at / TreeArity - 1) {
        nextPeerRead = nextPeerRead + TreeLevelWait;
    }
}

void ConfigSync::Private::readPeer()
{
    if (peerRead || adoption || !hasFinishedStart || announcedVersions.empty()) {
        return;
    }
    ConfigVersion newest;
    for (const auto &[node, known] : announcedVersions) {
        newest = std::max(newest, known);
    }
    if (newest <= version()) {
        announcedVersions.clear();
        return;
    }
    if (treeVersion != newest) {
        joinFetchTree(newest);
    }
    if (now < nextPeerRead) {
        return;
    }
    std::vector<NodeId> holders;
    for (const auto &[node, known] : announcedVersions) {
        if (known == newest) {
            holders.push_back(node);
        }
    }
    std::sort(holders.begin(), holders.end());
    peerReadFrom = treeParent ? *treeParent : holders[random() % holders.size()];
    peerRead = fetch(peerReadFrom, ConfigValueKind::Head, {}, Duration(0));
}

void ConfigSync::Private::tick()
{
    finishStart();
    adoptDeferredHead();
    if (adoption && !adoption->fetch && now >= adoption->notBefore) {
        fetchWanted();
    }
    readService();
    readPeer();
}

ConfigSync::ConfigSync(ConfigSyncSettings settings)
    : d(std::make_unique<Private>(std::move(settings)))
{
}

ConfigSync::~ConfigSync() = default;

std::vector<ConfigAction> ConfigSync::handle(const ConfigEvent &event, Time now)
{
    d->now = now;
    std::visit(Overloaded {
                   [this](const PeersChanged &peers) { d->onPeersChanged(peers.nodes); },
                   [this](const VersionAnnounced &rumour) { d->onVersionAnnounced(rumour.fact); },
                   [this](const ValueFetched &fetched) { d->onValueFetched(fetched); },
                   [](const ConfigTick &) {},
               },
        event);
    d->tick();
    return std::exchange(d->actions, {});
}

std::shared_ptr<const Catalog> ConfigSync::catalog() const
{
    return d->catalog;
}

bool ConfigSync::isWatcher() const
{
    return d->watches();
}

} // namespace ApricotStep
