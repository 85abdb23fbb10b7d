#include "main/entry/storereader.h"

#include "core/result.h"
#include "main/entry/storecopy.h"
#include "platform/records.h"
#include "platform/store.h"

#include <algorithm>
#include <random>
#include <utility>

namespace ApricotStep
{

namespace
{

// A change is known within a round trip; a connection that went silent is noticed within this and the acknowledgement time below, which
// together stay within the two seconds in which a configuration must be in force.
constexpr Duration WatchWait { 2500 };
// On top of the wait, for an answer on its way from a slow store.
constexpr Duration WatchSlack { 1500 };
constexpr Duration ReadTimeout { 3000 };
constexpr Duration ConnectTimeout { 700 };
constexpr Duration AcknowledgeTimeout { 1000 };
// Engines write several times a second; calls are paid for, and a fact that is a second old still serves all bounds (two seconds).
constexpr Duration PauseBetweenCalls { 1000 };
constexpr Duration FirstRetry { 100 };
constexpr Duration LongestRetry { 800 };
// Shorter interruptions end no leases at the store.
constexpr Duration OutageThatLosesEntries { 700 };

constexpr int OkStatus = 200;
constexpr EventLog::Weight Important = EventLog::Weight::Important;

} // namespace

struct StoreReader::Private : std::enable_shared_from_this<StoreReader::Private>
{
    IoLoop &loop;
    EventLog &log;
    Beliefs &beliefs;
    std::string address;
    OnChanges onChanges;
    std::mt19937_64 random { std::random_device {}() };

    StoreCopy copy;
    // While all is read: what the pages have brought so far, and the revision to watch from.
    std::vector<std::string> listedKeys;
    std::optional<Platform::StoreRevision> watchFrom;
    std::string pageAfter;
    bool hasReadAll = false;
    Time lastAnswer;
    Time lastCallAt;
    bool isLost = false;
    bool isFollowing = false;
    /** Following, with no call to the store on its way. */
    bool isPaused = false;
    Time regainedAt = Time::never();
    Duration retryPause = FirstRetry;

    Private(IoLoop &loop, EventLog &log, Beliefs &beliefs, std::string address, OnChanges onChanges)
        : loop(loop)
        , log(log)
        , beliefs(beliefs)
        , address(std::move(address))
        , onChanges(std::move(onChanges))
        , lastAnswer(loop.clock().now())
    {
    }

    void call(const std::string &target, Duration timeout, void (Private::*onBody)(int, const std::string &));
    void readPage();
    void onPage(int status, const std::string &body);
    void watch();
    void onWatch(int status, const std::string &body);
    void fail(const std::string &why);
    void succeed();
    void continueAfter(Duration pause, void (Private::*next)());
    void take(const std::vector<Platform::StoreItem> &read, const std::string &source, BeliefChanges &changes);

    void apply(const Platform::StoreItem &item, const std::string &source, BeliefChanges &changes);
    void applyConfiguration(const Platform::StoreItem &item, const std::string &source, BeliefChanges &changes);
    void applyUpstream(const UpstreamId &id, const Platform::StoreItem &item, BeliefChanges &changes);
    void applyVersion(const Platform::StoreItem &item, BeliefChanges &changes);
    void publish(const BeliefChanges &changes);
};

void StoreReader::Private::call(const std::string &target, Duration timeout, void (Private::*onBody)(int, const std::string &))
{
    lastCallAt = loop.clock().now();
    auto body = std::make_shared<std::string>();
    HttpCall httpCall;
    httpCall.url = "http://" + address + "/";
    httpCall.target = target;
    httpCall.connectTimeout = ConnectTimeout;
    httpCall.totalTimeout = timeout;
    httpCall.acknowledgeTimeout = AcknowledgeTimeout;
    httpCall.onData = [body](std::string_view data) {
        body->append(data);
        return true;
    };
    httpCall.onDone = [weak = weak_from_this(), body, onBody](const CallResult &result) {
        const auto self = weak.lock();
        if (self == nullptr) {
            return;
        }
        if (result.state == AttemptState::Answered) {
            (self.get()->*onBody)(result.status, *body);
        } else {
            self->fail(result.detail);
        }
    };
    loop.client().start(std::move(httpCall));
}

void StoreReader::Private::continueAfter(Duration pause, void (Private::*next)())
{
    loop.after(pause, [weak = weak_from_this(), next] {
        const auto self = weak.lock();
        if (self == nullptr) {
            return;
        }
        if (self->isFollowing && self->hasReadAll) {
            self->isPaused = true;
            return;
        }
        (self.get()->*next)();
    });
}

void StoreReader::Private::fail(const std::string &why)
{
    log.write(Important, "store", "no_answer", { { "reason", why }, { "waitedMs", (loop.clock().now() - lastCallAt).milliseconds() } });
    if (!isLost) {
        isLost = true;
        log.write(Important, "store", "lost", { { "reason", why } });
    }
    const Duration jitter(std::uniform_int_distribution<std::int64_t>(0, retryPause.milliseconds() / 2)(random));
    const Duration pause = retryPause + jitter;
    retryPause = std::min(retryPause * 2, LongestRetry);
    // What pages brought before the failure stays; a watch goes on from where it was.
    continueAfter(pause, watchFrom && pageAfter.empty() && hasReadAll ? &Private::watch : &Private::readPage);
}

void StoreReader::Private::succeed()
{
    const Time now = loop.clock().now();
    const Duration silence = now - lastAnswer;
    retryPause = FirstRetry;
    lastAnswer = now;
    if (isLost) {
        isLost = false;
        if (hasReadAll && silence >= OutageThatLosesEntries) {
            beliefs.upstreams.onStoreRegained(now);
            regainedAt = now;
        }
        log.write(Important, "store", "regained", { { "silenceMs", silence.milliseconds() } });
    }
}

void StoreReader::Private::readPage()
{
    if (pageAfter.empty()) {
        listedKeys.clear();
        watchFrom.reset();
    }
    call(Platform::rangeTarget("", pageAfter), ReadTimeout, &Private::onPage);
}

void StoreReader::Private::onPage(int status, const std::string &body)
{
    const auto page =
        status == OkStatus ? Platform::decodeRange(body) : Error { ErrorKind::ConfigInvalid, "status " + std::to_string(status) };
    if (!page.isOk()) {
        fail(page.error().detail);
        return;
    }
    succeed();
    // Pages are no snapshot: changes since the first one are watched for, else those between two pages would be missed.
    watchFrom = watchFrom.value_or(page.value().revision);
    BeliefChanges changes;
    take(page.value().items, "store", changes);
    for (const Platform::StoreItem &item : page.value().items) {
        listedKeys.push_back(item.key);
    }
    if (page.value().hasMore && !page.value().items.empty()) {
        pageAfter = page.value().items.back().key;
        publish(changes);
        readPage();
        return;
    }
    pageAfter.clear();
    // What a neighbour told of while the pages came stays: the watch brings it again, and it would not be news a second time.
    for (const Platform::StoreItem &gone : copy.retainOnly(listedKeys, *watchFrom, loop.clock().now())) {
        apply(gone, "store", changes);
    }
    if (!hasReadAll) {
        hasReadAll = true;
        log.write(Important, "store", "read",
            { { "revision", static_cast<std::int64_t>(*watchFrom) },
                { "upstreams", static_cast<std::int64_t>(beliefs.upstreams.size()) } });
    }
    publish(changes);
    watch();
}

void StoreReader::Private::watch()
{
    call(Platform::watchTarget("", *watchFrom, WatchWait), WatchWait + WatchSlack, &Private::onWatch);
}

void StoreReader::Private::onWatch(int status, const std::string &body)
{
    if (status == Platform::HistoryGoneStatus) {
        log.write(Important, "store", "history_gone", { { "revision", static_cast<std::int64_t>(*watchFrom) } });
        succeed();
        hasReadAll = false;
        readPage();
        return;
    }
    const auto page =
        status == OkStatus ? Platform::decodeWatch(body) : Error { ErrorKind::ConfigInvalid, "status " + std::to_string(status) };
    if (!page.isOk()) {
        fail(page.error().detail);
        return;
    }
    succeed();
    BeliefChanges changes;
    bool isForRequests = false;
    take(page.value().items, "store", changes);
    for (const Platform::StoreItem &item : page.value().items) {
        isForRequests = isForRequests || !std::holds_alternative<Platform::UpstreamKey>(Platform::decodeKey(item.key));
    }
    watchFrom = std::max(*watchFrom, page.value().revision);
    publish(changes);
    const Duration passed = loop.clock().now() - lastCallAt;
    const Duration pause = passed < PauseBetweenCalls ? PauseBetweenCalls - passed : Duration(0);
    continueAfter(isForRequests ? Duration(0) : pause, &Private::watch);
}

void StoreReader::Private::take(const std::vector<Platform::StoreItem> &read, const std::string &source, BeliefChanges &changes)
{
    for (const Platform::StoreItem &item : read) {
        if (copy.put(item, loop.clock().now())) {
            apply(item, source, changes);
        }
    }
}

void StoreReader::Private::apply(const Platform::StoreItem &item, const std::string &source, BeliefChanges &changes)
{
    std::visit(Overloaded {
                   [&](const Platform::ConfigurationKey &) { applyConfiguration(item, source, changes); },
                   [&](const Platform::UpstreamKey &key) { applyUpstream(key.id, item, changes); },
                   [&](const Platform::AdapterVersionKey &) { applyVersion(item, changes); },
                   [](const Platform::OtherKey &) {},
               },
        Platform::decodeKey(item.key));
}

void StoreReader::Private::applyConfiguration(const Platform::StoreItem &item, const std::string &source, BeliefChanges &changes)
{
    if (item.isDeleted) {
        return; // The last one stays in force.
    }
    auto decoded = Platform::decodeConfiguration(item.value);
    if (decoded.isOk() && beliefs.routes != nullptr && decoded.value().version <= beliefs.routes->version()) {
        return;
    }
    const auto table = decoded.isOk() ? RouteTable::make(std::move(decoded.value())) : decoded.error();
    if (!table.isOk()) {
        log.write(Important, "config", "refused", { { "reason", table.error().detail }, { "source", source } });
        return;
    }
    beliefs.routes = table.value();
    changes.isRoutesChanged = true;
    log.write(Important, "config", "in_force",
        { { "version", static_cast<std::int64_t>(beliefs.routes->version().value()) },
            { "revision", static_cast<std::int64_t>(item.revision) }, { "source", source } });
}

void StoreReader::Private::applyUpstream(const UpstreamId &id, const Platform::StoreItem &item, BeliefChanges &changes)
{
    const Time now = loop.clock().now();
    std::vector<UpstreamChange> found;
    if (item.isDeleted) {
        found = beliefs.upstreams.remove(id, "the store removed it", now);
    } else if (auto record = Platform::decodeUpstream(id, item.value); record.isOk()) {
        found = beliefs.upstreams.put(record.value(), now);
    } else {
        log.write(Important, "upstream", "unreadable", { { "upstream", id.value() }, { "reason", record.error().detail } });
        found = beliefs.upstreams.remove(id, "its entry cannot be read", now);
    }
    for (UpstreamChange &change : found) {
        changes.upstreams.push_back(std::move(change));
    }
}

void StoreReader::Private::applyVersion(const Platform::StoreItem &item, BeliefChanges &changes)
{
    if (item.isDeleted) {
        return;
    }
    const auto announcement = Platform::decodeAdapterVersion(item.value);
    if (!announcement.isOk()) {
        log.write(Important, "adapter", "unreadable", { { "key", item.key }, { "reason", announcement.error().detail } });
        return;
    }
    const AdapterRef adapter { announcement.value().model, announcement.value().adapter.id };
    KnownVersion &known = beliefs.versions[adapter];
    if (known.version == announcement.value().adapter.version) {
        return;
    }
    known = KnownVersion { announcement.value().adapter.version, loop.clock().now() };
    changes.versions.push_back(adapter);
    log.write(Important, "adapter", "new_version", { { "adapter", adapter.adapter.value() }, { "version", known.version.value() } });
}

void StoreReader::Private::publish(const BeliefChanges &changes)
{
    if (!changes.isEmpty()) {
        onChanges(changes);
    }
}

StoreReader::StoreReader(IoLoop &loop, EventLog &log, Beliefs &beliefs, std::string storeAddress, OnChanges onChanges)
    : d(std::make_shared<Private>(loop, log, beliefs, std::move(storeAddress), std::move(onChanges)))
{
}

StoreReader::~StoreReader() = default;

void StoreReader::start()
{
    d->readPage();
}

void StoreReader::setFollowing(bool isFollowing)
{
    d->isFollowing = isFollowing;
    if (!isFollowing && std::exchange(d->isPaused, false)) {
        d->watch();
    }
}

std::optional<std::string> StoreReader::changesSince(Platform::StoreRevision revision) const
{
    if (!d->copy.reachesBackTo(revision)) {
        return std::nullopt;
    }
    return Platform::encodeWatch(d->copy.since(revision), this->revision());
}

bool StoreReader::takeFromPeer(const NodeId &peer, const PeerChanges &offered)
{
    const auto page = Platform::decodeWatch(offered.body);
    if (!page.isOk()) {
        d->log.write(Important, "peers", "bad_copy", { { "peer", peer.value() }, { "reason", page.error().detail } });
        return false;
    }
    const Time now = d->loop.clock().now();
    if (offered.regainedAgo) {
        // The peer saw the store away; what it then lists no longer may come back as if this node had seen it itself.
        d->beliefs.upstreams.onStoreRegained(now - *offered.regainedAgo);
        d->regainedAt = now - *offered.regainedAgo;
    }
    BeliefChanges changes;
    d->take(page.value().items, "peer " + peer.value(), changes);
    if (d->isFollowing && d->watchFrom) {
        d->watchFrom = std::max(*d->watchFrom, page.value().revision);
        d->lastAnswer = now;
    }
    d->publish(changes);
    return true;
}

bool StoreReader::hasReadAll() const
{
    return d->hasReadAll;
}

Platform::StoreRevision StoreReader::revision() const
{
    return d->hasReadAll ? d->watchFrom.value_or(0) : 0;
}

bool StoreReader::isReading() const
{
    return d->hasReadAll && !d->isLost && !d->isPaused;
}

std::optional<Duration> StoreReader::regainedAgo() const
{
    if (d->regainedAt == Time::never()) {
        return std::nullopt;
    }
    const Duration ago = d->loop.clock().now() - d->regainedAt;
    return ago < UpstreamDirectoryLimits {}.graceAfterOutage ? std::optional(ago) : std::nullopt;
}

Duration StoreReader::silence() const
{
    return d->isLost ? d->loop.clock().now() - d->lastAnswer : Duration(0);
}

} // namespace ApricotStep
