#include "main/entry/peerservice.h"

#include "main/entry/storereplica.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <utility>

namespace ApricotStep
{

namespace
{

constexpr const char *StorePath = "/peer/store";
constexpr Duration ConnectTimeout { 300 };
constexpr Duration FetchTimeout { 1500 };
// Delay while the store is available: within this time it usually delivers the same changes, and then there is nothing left to fetch.
constexpr Duration FetchDelay { 250 };
constexpr int OkStatus = 200;
constexpr int NotFoundStatus = 404;
constexpr int GoneStatus = 410;
constexpr const char *AfterParameter = "after";
// Set by nodes that can read compressed values; nodes of earlier versions cannot.
constexpr const char *CompressedParameter = "compressed";
// Time since the answering node saw the store recover from an outage, in ms.
constexpr const char *RegainedHeader = "Store-Regained-Ms-Ago";
// How long that outage took, in ms.
constexpr const char *SilenceHeader = "Store-Silence-Ms";
// Age of the latest state of the store that the answering node knows completely, in ms.
constexpr const char *KnownHeader = "Store-Known-Ms-Ago";

std::optional<Duration> durationHeader(const HttpHeaders &headers, const char *headerName)
{
    for (const auto &[name, value] : headers) {
        std::int64_t count = 0;
        if (absl::EqualsIgnoreCase(name, headerName) && absl::SimpleAtoi(value, &count) && count >= 0) {
            return Duration(count);
        }
    }
    return std::nullopt;
}

} // namespace

struct PeerService::Private : std::enable_shared_from_this<PeerService::Private>
{
    IoLoop &loop;
    EventLog &log;
    StoreReader &store;
    bool isFetching = false;

    Private(IoLoop &loop, EventLog &log, StoreReader &store)
        : loop(loop)
        , log(log)
        , store(store)
    {
    }

    void fetch(const Peer &peer, std::function<void(bool)> onDone);
};

void PeerService::Private::fetch(const Peer &peer, std::function<void(bool)> onDone)
{
    HttpCall call;
    call.url = "http://" + peer.peerAddress + StorePath + "?" + AfterParameter + "=" + std::to_string(store.revision()) + "&"
        + CompressedParameter + "=1";
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = FetchTimeout;
    call.acknowledgeTimeout = ConnectTimeout;
    call.maxBodyBytes = MaxStoreCopyBytes;
    auto changes = std::make_shared<PeerChanges>();
    changes->requestedAt = loop.clock().now();
    call.onHead = [changes](int, const HttpHeaders &headers) {
        changes->timeSinceRecovery = durationHeader(headers, RegainedHeader);
        changes->outageDuration = durationHeader(headers, SilenceHeader).value_or(Duration(0));
        changes->snapshotAge = durationHeader(headers, KnownHeader);
    };
    call.onData = [changes](std::string_view data) {
        changes->body.append(data);
        return true;
    };
    call.onDone = [weak = weak_from_this(), changes, id = peer.id, onDone = std::move(onDone)](const CallResult &result) {
        const auto self = weak.lock();
        if (self == nullptr) {
            return;
        }
        self->isFetching = false;
        const bool hasSucceeded =
            result.state == AttemptState::Answered && result.status == OkStatus && self->store.mergeFromPeer(id, *changes);
        if (!hasSucceeded) {
            self->log.write(EventLog::Severity::Important, "peers", "no_copy",
                { { "peer", id.value() }, { "status", std::int64_t(result.status) }, { "reason", result.detail } });
        }
        onDone(hasSucceeded);
    };
    loop.client().start(std::move(call));
}

PeerService::PeerService(IoLoop &loop, EventLog &log, StoreReader &store)
    : d(std::make_shared<Private>(loop, log, store))
{
}

PeerService::~PeerService() = default;

void PeerService::answer(const HttpRequest &request, HttpExchange &exchange) const
{
    if (request.path != StorePath) {
        exchange.respond(NotFoundStatus, {}, "");
        return;
    }
    Platform::StoreRevision after = 0;
    if (!absl::SimpleAtoi(request.parameter(AfterParameter), &after)) {
        exchange.respond(NotFoundStatus, {}, "");
        return;
    }
    auto changes = d->store.changesSince(after, request.parameter(CompressedParameter) == "1");
    if (!changes) {
        exchange.respond(GoneStatus, {}, "");
        return;
    }
    HttpHeaders headers { { "Content-Type", "application/json" } };
    if (const auto outage = d->store.lastOutage()) {
        headers.push_back({ RegainedHeader, std::to_string((d->loop.clock().now() - outage->end).milliseconds()) });
        headers.push_back({ SilenceHeader, std::to_string((outage->end - outage->begin).milliseconds()) });
    }
    if (const auto age = d->store.snapshotAge()) {
        headers.push_back({ KnownHeader, std::to_string(age->milliseconds()) });
    }
    exchange.respond(OkStatus, headers, std::move(*changes));
}

void PeerService::fetchFrom(const Peer &peer)
{
    if (d->isFetching) {
        return;
    }
    d->isFetching = true;
    const Duration delay = d->store.hasReadAll() && d->store.timeSinceLastAnswer() == Duration(0) ? FetchDelay : Duration(0);
    d->loop.after(delay, [weak = std::weak_ptr(d), peer] {
        if (const auto self = weak.lock()) {
            self->fetch(peer, [](bool) {});
        }
    });
}

void PeerService::fetchNow(const Peer &peer, std::function<void(bool)> onDone)
{
    if (d->isFetching) {
        return;
    }
    d->isFetching = true;
    d->fetch(peer, std::move(onDone));
}

} // namespace ApricotStep
