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

constexpr std::size_t PeersAskedAtStart = 5;
// The source that named a version, another peer, the service, and once more around before a value counts as nowhere to be had.
constexpr int MaxAttempts = 6;
constexpr Duration ReadTimeout { 2000 };
constexpr Duration WatchSlack { 1000 };
// A watch that ends without news this much before its time was not waited for.
constexpr Duration EarlyAnswer { 500 };
constexpr int MaxDoublings = 16;
constexpr std::string_view WatchKey = "config-watch";
// The three nodes that the rumours name would each send a change to a third of the fleet: 120 KB at 400 nodes, for the one node that
// reaches the service 350 KB. So each node fetches from its parent in a tree over the live nodes that the version's number orders, and
// sends to four at most. A level waits for the one above it: some gossip rounds less than its members differ in hearing of the version.
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

// A head that waits: for the peers at a start, or for the rumours after a poll.
struct HeldHead
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
    ConfigHead inForce;
    std::string refusedHash;
    std::string conflictHash;
    std::string unreadable;

    std::vector<NodeView> others;
    std::size_t nodeCount = 1;
    bool isChosen = false;
    Time volunteerUntil;
    absl::flat_hash_map<NodeId, ConfigVersion> heard;

    std::optional<Time> started;
    bool isSettled = false;
    bool hasView = false;
    bool hasPeerAnswered = false;
    absl::flat_hash_map<FetchId, NodeId> askedAtStart;
    std::vector<NodeId> asked;

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

    std::optional<HeldHead> held;
    std::optional<Adoption> adoption;

    ConfigVersion version() const
    {
        return catalog == nullptr ? ConfigVersion() : catalog->version();
    }
    bool watches() const
    {
        return isChosen || now < volunteerUntil;
    }
    Duration scattered(Duration span);
    Duration backoff(int failures);
    void report(ConfigProblem problem, ConfigVersion ofVersion, std::string detail);
    FetchId fetch(const Source &source, ConfigValueKind kind, const std::string &hash, Duration wait);

    void takePeers(const std::vector<NodeView> &nodes);
    void takeRumour(const ConfigFact &fact);
    void takeValue(const ValueFetched &fetched);
    void takeServiceHead(const Result<ConfigValue> &value);
    Duration pauseAfterRead(bool isNew);
    void takeStartAnswer(const Result<ConfigValue> &value, const NodeId &from);
    void takePeerHead(const Result<ConfigValue> &value);
    void takeAdopted(const Result<ConfigValue> &value);

    void tick();
    void askAtStart();
    void settle();
    void readService();
    void readPeer();
    void enterTree(ConfigVersion ofVersion);
    bool isTreeRetried(const Result<ConfigValue> &value);
    void releaseHeld();

    bool isNews(const ConfigHead &head);
    void hold(const ConfigHead &head, const Source &source, Time until);
    void adopt(const ConfigHead &head, const Source &source);
    void stepAdoption();
    void fetchWanted();
    Source nextSource();
    void giveUpValue();
    void finish(const AssemblyResult &result);
};

Duration ConfigSync::Private::scattered(Duration span)
{
    const std::int64_t half = std::max<std::int64_t>(span.milliseconds() / 2, 1);
    return Duration(half + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(2 * half)));
}

Duration ConfigSync::Private::backoff(int failures)
{
    const std::int64_t doubled = settings.firstBackoff.milliseconds() << std::min(failures, MaxDoublings);
    return scattered(std::min(Duration(doubled), settings.lastBackoff));
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

void ConfigSync::Private::takePeers(const std::vector<NodeView> &nodes)
{
    hasView = true;
    nodeCount = std::max<std::size_t>(nodes.size(), 1);
    others.clear();
    int better = 0;
    const double own = rendezvousScore(WatchKey, settings.self.value(), 1);
    for (const NodeView &node : nodes) {
        if (node.id == settings.self) {
            continue;
        }
        others.push_back(node);
        if (node.zone == settings.zone && rendezvousScore(WatchKey, node.id.value(), 1) > own) {
            ++better;
        }
    }
    const bool wasChosen = isChosen;
    isChosen = better < settings.watchersPerZone;
    if (isChosen && !wasChosen) {
        nextServiceRead = now; // Takes over from a watcher that is gone without waiting for the next poll.
    }
    absl::erase_if(heard, [&](const auto &entry) {
        return std::none_of(others.begin(), others.end(), [&](const NodeView &node) { return node.id == entry.first; });
    });
}

void ConfigSync::Private::takeRumour(const ConfigFact &fact)
{
    if (fact.node == settings.self || fact.version <= version()) {
        return;
    }
    ConfigVersion &known = heard[fact.node];
    if (fact.version > known) {
        known = fact.version;
    }
}

void ConfigSync::Private::takeValue(const ValueFetched &fetched)
{
    if (serviceRead == fetched.id) {
        serviceRead.reset();
        takeServiceHead(fetched.value);
    } else if (peerRead == fetched.id) {
        peerRead.reset();
        takePeerHead(fetched.value);
    } else if (const auto at = askedAtStart.find(fetched.id); at != askedAtStart.end()) {
        const NodeId from = at->second;
        askedAtStart.erase(at);
        takeStartAnswer(fetched.value, from);
    } else if (adoption && adoption->fetch == fetched.id) {
        adoption->fetch.reset();
        takeAdopted(fetched.value);
    }
}

void ConfigSync::Private::takeServiceHead(const Result<ConfigValue> &value)
{
    const auto *head = value.isOk() ? std::get_if<ConfigHead>(&value.value()) : nullptr;
    if (head == nullptr) {
        if (!value.isOk() && value.error().kind == ErrorKind::ConfigInvalid && unreadable != value.error().detail) {
            unreadable = value.error().detail; // Reported once, not at each read.
            report(ConfigProblem::Refused, {}, value.error().detail);
        }
        nextServiceRead = now + backoff(serviceFailures++);
        return;
    }
    serviceFailures = 0;
    const bool isNew = isNews(*head);
    nextServiceRead = now + pauseAfterRead(isNew);
    if (head->version < version()) {
        report(ConfigProblem::Stale, head->version, "the service handed out an old version");
    }
    if (!isNew) {
        return;
    }
    if (!isSettled) {
        hold(*head, {}, Time::never());
    } else if (watches() || catalog == nullptr || others.empty()) {
        adopt(*head, {});
    } else {
        hold(*head, {}, now + settings.rumourGrace);
    }
}

// A stale replica, or one that hands out a refused version, answers each watch at once: without a pause its readers would spend the
// service's whole rate on it.
Duration ConfigSync::Private::pauseAfterRead(bool isNew)
{
    if (isServiceReadWatch && (isNew || now - serviceReadStarted >= settings.watch - EarlyAnswer)) {
        return Duration(0);
    }
    if (watches() || catalog == nullptr) {
        return scattered(settings.minPoll);
    }
    return scattered(std::clamp(settings.pollPerNode * static_cast<std::int64_t>(nodeCount), settings.minPoll, settings.maxPoll));
}

void ConfigSync::Private::takeStartAnswer(const Result<ConfigValue> &value, const NodeId &from)
{
    const auto *head = value.isOk() ? std::get_if<ConfigHead>(&value.value()) : nullptr;
    hasPeerAnswered = hasPeerAnswered || value.isOk() || value.error().kind == ErrorKind::NotFound;
    if (head != nullptr) {
        hold(*head, from, Time::never());
    }
}

void ConfigSync::Private::takePeerHead(const Result<ConfigValue> &value)
{
    const auto *head = value.isOk() ? std::get_if<ConfigHead>(&value.value()) : nullptr;
    if (head == nullptr || head->version <= version()) {
        if (isTreeRetried(value)) {
            return;
        }
        heard.erase(peerReadFrom); // What it told no longer holds; the next rumour or poll brings the version again.
        nextPeerRead = now + backoff(peerFailures++);
        return;
    }
    peerFailures = 0;
    if (isNews(*head)) {
        adopt(*head, peerReadFrom);
    } else {
        heard.erase(peerReadFrom);
    }
}

// A parent that has not got the version yet is asked again; a node that it cannot have from its parent goes to a holder.
bool ConfigSync::Private::isTreeRetried(const Result<ConfigValue> &value)
{
    if (treeParent != peerReadFrom) {
        return false;
    }
    const bool isReached = value.isOk() || value.error().kind == ErrorKind::NotFound;
    if (!isReached || ++treeAttempts >= TreeAttempts) {
        treeParent.reset();
    }
    nextPeerRead = treeParent ? now + scattered(TreeRetryWait) : now;
    return true;
}

// Two operators who publish at the same time both go up from the same version. Whichever reached this node first is in force, and a
// second one of that version would change what requests resolve to without a new version.
bool ConfigSync::Private::isNews(const ConfigHead &head)
{
    if (catalog != nullptr && head.version == version() && !inForce.hash.empty() && head.hash != inForce.hash
        && head.hash != conflictHash) {
        conflictHash = head.hash;
        report(ConfigProblem::Conflict, head.version, "a second, different head of the version in force; publish a new version");
    }
    return head.version > version() && head.hash != refusedHash;
}

void ConfigSync::Private::hold(const ConfigHead &head, const Source &source, Time until)
{
    if (held && held->head.version == head.version && held->head.hash != head.hash && conflictHash != head.hash) {
        conflictHash = head.hash;
        report(ConfigProblem::Conflict, head.version, "the service and a node have different heads of one version; publish a new version");
    }
    // Of equal ones a node's is kept: it is in force somewhere.
    const bool isBetter = !held || held->head.version < head.version || (held->head.version == head.version && source && !held->source);
    if (isBetter) {
        held = HeldHead { head, source, held ? std::min(held->until, until) : until };
    }
}

void ConfigSync::Private::adopt(const ConfigHead &head, const Source &source)
{
    if (adoption && adoption->assembler.head().version >= head.version) {
        return;
    }
    adoption.emplace(Adoption { ConfigAssembler(head, catalog, inForce.deltaHash), source, {}, 0, {}, now });
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

// Peers and the service in turn: either side may be the one that is out of reach.
Source ConfigSync::Private::nextSource()
{
    if (others.empty() || adoption->source) {
        return {};
    }
    std::vector<const NodeView *> good;
    for (const NodeView &node : others) {
        const auto at = heard.find(node.id);
        if (at != heard.end() && at->second >= adoption->assembler.head().version) {
            good.push_back(&node);
        }
    }
    return good.empty() ? others[random() % others.size()].id : good[random() % good.size()]->id;
}

void ConfigSync::Private::takeAdopted(const Result<ConfigValue> &value)
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
        giveUpValue();
        return;
    }
    adoption->source = nextSource();
    // The first other source is asked at once, since most often one node is gone and the next one answers.
    adoption->notBefore = adoption->attempts == 1 ? now : now + backoff(adoption->attempts - 2);
}

void ConfigSync::Private::giveUpValue()
{
    const ConfigVersion wanted = adoption->assembler.head().version;
    if (adoption->wanted.kind == ConfigValueKind::Delta && adoption->assembler.skipChanges()) {
        report(ConfigProblem::Gap, wanted, "a change is nowhere to be had; going for the base alone");
        stepAdoption();
        return;
    }
    report(ConfigProblem::Gap, wanted, "a value is nowhere to be had; trying again later");
    adoption.reset();
    heard.clear();
    nextServiceRead = std::max(nextServiceRead, now + scattered(settings.minPoll));
}

void ConfigSync::Private::finish(const AssemblyResult &result)
{
    ConfigHead head = adoption->assembler.head();
    adoption.reset();
    if (!result.catalog.isOk()) {
        refusedHash = head.hash;
        heard.clear();
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
    inForce = head;
    absl::erase_if(heard, [&](const auto &entry) { return entry.second <= version(); });
    if (held && held->head.version <= version()) {
        held.reset();
    }
    if (watches()) {
        nextServiceRead = now;
    }
    actions.emplace_back(ActivateConfig { catalog, head, result.base });
}

void ConfigSync::Private::askAtStart()
{
    std::vector<NodeId> candidates;
    for (const NodeView &node : others) {
        if (std::find(asked.begin(), asked.end(), node.id) == asked.end()) {
            candidates.push_back(node.id);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random);
    // A node that told of a version is asked first.
    std::stable_sort(
        candidates.begin(), candidates.end(), [&](const NodeId &a, const NodeId &b) { return heard.contains(a) && !heard.contains(b); });
    for (const NodeId &id : candidates) {
        if (askedAtStart.size() >= PeersAskedAtStart || (hasPeerAnswered && asked.size() >= PeersAskedAtStart)) {
            return;
        }
        asked.push_back(id);
        askedAtStart[fetch(id, ConfigValueKind::Head, {}, Duration(0))] = id;
    }
}

// A service that went back to an old copy looks like any other to a node that knows nothing, and a fleet that restarts behind it would
// undo accepted changes. The peers know better, so a node is not ready before it has asked them; the wait is bounded, since a node that
// nobody answers must start too.
void ConfigSync::Private::settle()
{
    if (isSettled) {
        return;
    }
    if (!started) {
        started = now;
    }
    const bool isLate = now - *started >= settings.startWait;
    if (hasView && !isLate) {
        askAtStart();
        const bool isAnswered = hasPeerAnswered && askedAtStart.empty();
        if (!others.empty() && !isAnswered) {
            return;
        }
    } else if (!isLate) {
        return;
    }
    isSettled = true;
    releaseHeld();
}

void ConfigSync::Private::releaseHeld()
{
    if (!held || !isSettled || (catalog != nullptr && now < held->until)) {
        return;
    }
    const HeldHead due = *held;
    held.reset();
    if (due.head.version <= version() || adoption || !isNews(due.head)) {
        return;
    }
    if (catalog != nullptr) {
        // The rumours did not bring what the service has: those who watch it cannot reach it, and this node can.
        volunteerUntil = now + settings.volunteerTerm;
    }
    adopt(due.head, due.source);
}

void ConfigSync::Private::readService()
{
    // During an adoption a watch would come back at once with the head that is being adopted.
    if (serviceRead || adoption || now < nextServiceRead) {
        return;
    }
    isServiceReadWatch = catalog != nullptr && isSettled && watches();
    serviceReadStarted = now;
    serviceRead = fetch({}, ConfigValueKind::Head, {}, isServiceReadWatch ? settings.watch : Duration(0));
}

void ConfigSync::Private::enterTree(ConfigVersion ofVersion)
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
        return; // The top of the tree: fetches from a holder.
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
    if (peerRead || adoption || !isSettled || heard.empty()) {
        return;
    }
    ConfigVersion newest;
    for (const auto &[node, known] : heard) {
        newest = std::max(newest, known);
    }
    if (newest <= version()) {
        heard.clear();
        return;
    }
    if (treeVersion != newest) {
        enterTree(newest);
    }
    if (now < nextPeerRead) {
        return;
    }
    std::vector<NodeId> holders;
    for (const auto &[node, known] : heard) {
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
    settle();
    releaseHeld();
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
                   [this](const PeersChanged &peers) { d->takePeers(peers.nodes); },
                   [this](const VersionAnnounced &rumour) { d->takeRumour(rumour.fact); },
                   [this](const ValueFetched &fetched) { d->takeValue(fetched); },
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
