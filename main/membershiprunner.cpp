#include "main/membershiprunner.h"

#include "main/log.h"
#include "protocol/membershipcodec.h"
#include "transport/udpsocket.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <random>

namespace ApricotStep
{

namespace
{

MembershipLimits limitsOf(const Settings &settings)
{
    MembershipLimits limits;
    limits.probeInterval = settings.duration("membership.probe_interval_ms");
    limits.probeTimeout = settings.duration("membership.probe_timeout_ms");
    limits.suspicionMin = settings.duration("membership.suspicion_min_ms");
    limits.suspicionMax = std::max(limits.suspicionMin, settings.duration("membership.suspicion_max_ms"));
    limits.pauseGap = settings.duration("membership.pause_gap_ms");
    return limits;
}

} // namespace

struct MembershipRunner::Private
{
    Private(const Settings &allSettings, const Clock &aClock, Incarnation start, SharedSnapshot<FleetView> &fleets)
        : settings(allSettings)
        , clock(aClock)
        , incarnation(start)
        , fleet(fleets)
        , log(componentLogger("membership"))
    {
    }

    const Settings &settings;
    const Clock &clock;
    const Incarnation incarnation;
    SharedSnapshot<FleetView> &fleet;
    Logger log;
    std::unique_ptr<UdpSocket> socket;
    std::vector<RumourHandler> handlers;
    std::atomic<std::uint64_t> rejected { 0 };
    std::atomic<std::uint64_t> bytesSent { 0 };
    std::atomic<std::uint64_t> bytesReceived { 0 };
    mutable absl::Mutex mutex;
    std::unique_ptr<Membership> membership ABSL_GUARDED_BY(mutex);

    void handle(const MembershipEvent &event);
    void execute(const SendDatagram &action);
    void execute(const ViewChanged &action);
    void execute(const RumourLearned &action);
    void onDatagram(std::string_view bytes, const std::string &from);
};

void MembershipRunner::Private::handle(const MembershipEvent &event)
{
    std::vector<MembershipAction> actions;
    {
        const absl::MutexLock lock(&mutex);
        if (membership == nullptr) {
            return;
        }
        actions = membership->handle(event, clock.now());
        // Views are published under the lock; otherwise one thread could overwrite the newer view of another with an older one.
        for (const MembershipAction &action : actions) {
            if (const auto *change = std::get_if<ViewChanged>(&action)) {
                execute(*change);
            }
        }
    }
    for (const MembershipAction &action : actions) {
        if (const auto *datagram = std::get_if<SendDatagram>(&action)) {
            execute(*datagram);
        } else if (const auto *rumour = std::get_if<RumourLearned>(&action)) {
            execute(*rumour);
        }
    }
}

void MembershipRunner::Private::execute(const SendDatagram &action)
{
    const std::string bytes = encodeMemberDatagram(action.datagram, settings.text("fleet.secret"));
    if (bytes.size() > MaxMemberDatagramBytes) {
        log->warn("Dropped a membership datagram of {} bytes, which is too long; shorten node ids and addresses.", bytes.size());
        return;
    }
    bytesSent += bytes.size();
    socket->send(action.address, bytes);
}

void MembershipRunner::Private::execute(const ViewChanged &action)
{
    fleet.set(action.view);
    log->info("The membership view has changed: {} nodes, {} leaving nodes and {} leaving upstreams.", action.view->nodes.size(),
        action.view->leavingNodes.size(), action.view->leaving.size());
}

void MembershipRunner::Private::execute(const RumourLearned &action)
{
    for (const RumourHandler &handler : handlers) {
        handler(action.rumour);
    }
}

void MembershipRunner::Private::onDatagram(std::string_view bytes, const std::string &from)
{
    bytesReceived += bytes.size();
    auto datagram = decodeMemberDatagram(bytes, settings.text("fleet.secret"));
    if (!datagram.isOk()) {
        ++rejected;
        return;
    }
    handle(DatagramReceived { std::move(datagram.value()), from });
}

MembershipRunner::MembershipRunner() = default;

Result<std::unique_ptr<MembershipRunner>> MembershipRunner::open(
    const Settings &settings, const Clock &clock, Incarnation incarnation, SharedSnapshot<FleetView> &fleet)
{
    std::unique_ptr<MembershipRunner> runner(new MembershipRunner);
    runner->d = std::make_unique<Private>(settings, clock, incarnation, fleet);
    auto socket = UdpSocket::open(settings.text("membership.address"), static_cast<std::uint16_t>(settings.number("membership.port")));
    if (!socket.isOk()) {
        return socket.error();
    }
    runner->d->socket = std::move(socket.value());
    return runner;
}

MembershipRunner::~MembershipRunner() = default;

std::uint16_t MembershipRunner::port() const
{
    return d->socket->port();
}

void MembershipRunner::onRumour(RumourHandler handler)
{
    d->handlers.push_back(std::move(handler));
}

void MembershipRunner::start(const NodeAddresses &addresses)
{
    const std::string advertise = d->settings.text("membership.advertise");
    MemberUpdate self;
    self.id = NodeId(d->settings.text("node.id"));
    self.zone = ZoneId(d->settings.text("node.zone"));
    self.incarnation = d->incarnation;
    self.membershipAddress =
        (advertise.empty() ? d->settings.text("membership.address") : advertise) + ':' + std::to_string(d->socket->port());
    self.callerAddress = addresses.caller;
    self.rpcAddress = addresses.rpc;
    {
        const absl::MutexLock lock(&d->mutex);
        std::random_device random;
        d->membership = std::make_unique<Membership>(std::move(self), limitsOf(d->settings), random());
    }
    d->socket->start([this](std::string_view bytes, const std::string &from) { d->onDatagram(bytes, from); });
}

void MembershipRunner::tick()
{
    d->handle(MembershipTick {});
}

void MembershipRunner::onVmListRead(VmList list)
{
    d->handle(VmListRead { std::move(list) });
}

void MembershipRunner::announce(Rumour rumour)
{
    d->handle(AnnounceRumour { std::move(rumour) });
}

void MembershipRunner::announceLeaving()
{
    d->handle(AnnounceLeaving {});
}

void MembershipRunner::announceLeft()
{
    d->handle(AnnounceLeft {});
}

bool MembershipRunner::isFresh() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->membership != nullptr && d->membership->isFresh(d->clock.now());
}

std::uint16_t MembershipRunner::number() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->membership == nullptr ? std::uint16_t { 0 } : d->membership->number();
}

std::vector<Rumour> MembershipRunner::rumours() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->membership == nullptr ? std::vector<Rumour> {} : d->membership->rumours();
}

MembershipCounters MembershipRunner::counters() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->membership == nullptr ? MembershipCounters {} : d->membership->counters();
}

std::uint64_t MembershipRunner::rejectedCount() const
{
    return d->rejected;
}

std::uint64_t MembershipRunner::bytesSent() const
{
    return d->bytesSent;
}

std::uint64_t MembershipRunner::bytesReceived() const
{
    return d->bytesReceived;
}

} // namespace ApricotStep
