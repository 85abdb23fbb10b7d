#include "main/entry/peerservice.h"

#include <utility>

namespace ApricotStep
{

namespace
{

constexpr const char *CopyPath = "/peer/store";
constexpr Duration ConnectTimeout { 300 };
constexpr Duration FetchTimeout { 1500 };
// The store itself usually brings the same news within this; then nothing need be fetched.
constexpr Duration PatienceWithStore { 250 };
constexpr int OkStatus = 200;
constexpr int NotFoundStatus = 404;

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

    void fetch(const Peer &peer);
};

void PeerService::Private::fetch(const Peer &peer)
{
    HttpCall call;
    call.url = "http://" + peer.peerAddress + CopyPath;
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = FetchTimeout;
    call.acknowledgeTimeout = ConnectTimeout;
    auto body = std::make_shared<std::string>();
    call.onData = [body](std::string_view data) {
        body->append(data);
        return true;
    };
    call.onDone = [weak = weak_from_this(), body, id = peer.id](const CallResult &result) {
        const auto self = weak.lock();
        if (self == nullptr) {
            return;
        }
        self->isFetching = false;
        if (result.state == AttemptState::Answered && result.status == OkStatus) {
            self->store.takeFromPeer(id, *body);
        } else {
            self->log.write(EventLog::Weight::Important, "peers", "no_copy", { { "peer", id.value() }, { "reason", result.detail } });
        }
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
    if (request.path == CopyPath) {
        exchange.respond(OkStatus, { { "Content-Type", "application/json" } }, d->store.copyForPeers());
    } else {
        exchange.respond(NotFoundStatus, {}, "");
    }
}

void PeerService::fetchFrom(const Peer &peer)
{
    if (d->isFetching) {
        return;
    }
    d->isFetching = true;
    const Duration patience = d->store.hasReadAll() && d->store.silence() == Duration(0) ? PatienceWithStore : Duration(0);
    d->loop.after(patience, [weak = std::weak_ptr(d), peer] {
        if (const auto self = weak.lock()) {
            self->fetch(peer);
        }
    });
}

} // namespace ApricotStep
