#include "main/entry/reachabilityprober.h"

#include <random>
#include <set>
#include <utility>
#include <vector>

namespace ApricotStep
{

namespace
{

constexpr EventLog::Severity Important = EventLog::Severity::Important;
constexpr Duration ConnectTimeout { 400 };
constexpr Duration DecisionInterval { 50 };

} // namespace

struct ReachabilityProber::Private : std::enable_shared_from_this<ReachabilityProber::Private>
{
    IoLoop &loop;
    EventLog &log;
    EntryMetrics &metrics;
    ClusterState &clusterState;
    std::function<void()> onChanged;
    std::mt19937_64 random { std::random_device {}() };
    /** Services for which a timer calls decide(). */
    std::set<ServiceName> pending;

    Private(IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, std::function<void()> onChanged)
        : loop(loop)
        , log(log)
        , metrics(metrics)
        , clusterState(clusterState)
        , onChanged(std::move(onChanged))
    {
    }

    Time now() const
    {
        return loop.clock().now();
    }
    void decide(const ServiceName &service);
    void decideLater(const ServiceName &service);
    void suspectOthers(const ServiceName &service);
    void probe(const UpstreamRecord &upstream);
    void report(const ServiceName &service, bool isReachable);
};

void ReachabilityProber::Private::decide(const ServiceName &service)
{
    std::vector<UpstreamId> upstreams;
    for (const UpstreamRecord *record : clusterState.upstreams.usable(service)) {
        upstreams.push_back(record->id);
    }
    const auto decision = clusterState.reachability.decide(service, upstreams, now(), random);
    for (const UpstreamId &id : decision.probes) {
        probe(*clusterState.upstreams.usable(id));
    }
    if (decision.isPending) {
        decideLater(service);
    }
    if (decision.isChanged) {
        report(service, clusterState.reachability.isReachable(service));
    }
}

void ReachabilityProber::Private::decideLater(const ServiceName &service)
{
    if (!pending.insert(service).second) {
        return;
    }
    loop.after(DecisionInterval, [weak = weak_from_this(), service] {
        if (const auto self = weak.lock()) {
            self->pending.erase(service);
            self->decide(service);
        }
    });
}

void ReachabilityProber::Private::report(const ServiceName &service, bool isReachable)
{
    metrics.serviceReachability(isReachable);
    if (isReachable) {
        log.write(Important, "upstream", "service_reachable", { { "service", service.value() } });
    } else {
        log.write(Important, "upstream", "service_unreachable", { { "service", service.value() } });
        suspectOthers(service);
    }
    // Deferred, since a request's function may still be running.
    loop.after(Duration(0), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onChanged();
        }
    });
}

// A service with few requests would otherwise be found unreachable by the failure of a request only.
void ReachabilityProber::Private::suspectOthers(const ServiceName &service)
{
    if (clusterState.routes == nullptr) {
        return;
    }
    for (const RoutedService &other : clusterState.routes->services()) {
        if (other.name != service && clusterState.reachability.isReachable(other.name)) {
            clusterState.reachability.suspect(other.name, now());
            decideLater(other.name);
        }
    }
}

// Connects and sends nothing.
void ReachabilityProber::Private::probe(const UpstreamRecord &upstream)
{
    HttpCall call;
    call.url = "http://" + upstream.address + "/";
    call.connectTimeout = ConnectTimeout;
    call.isRepeatable = false; // A kept connection may live on while new ones fail.
    auto isConnected = std::make_shared<bool>(false);
    call.maySend = [isConnected] {
        *isConnected = true;
        return false;
    };
    call.onDone = [weak = weak_from_this(), isConnected, upstream](const CallResult &) {
        const auto self = weak.lock();
        if (self == nullptr) {
            return;
        }
        if (*isConnected) {
            self->clusterState.reachability.onConnected(upstream.service, upstream.id, self->now());
        } else {
            self->clusterState.reachability.onUnreachable(upstream.service, upstream.id, self->now());
        }
        self->decide(upstream.service);
    };
    loop.client().start(std::move(call));
}

ReachabilityProber::ReachabilityProber(
    IoLoop &loop, EventLog &log, EntryMetrics &metrics, ClusterState &clusterState, std::function<void()> onChanged)
    : d(std::make_shared<Private>(loop, log, metrics, clusterState, std::move(onChanged)))
{
}

ReachabilityProber::~ReachabilityProber() = default;

void ReachabilityProber::onUnreachable(const UpstreamRecord &upstream)
{
    d->clusterState.reachability.onUnreachable(upstream.service, upstream.id, d->now());
    d->decide(upstream.service);
}

void ReachabilityProber::onBroken(const ServiceName &service)
{
    d->clusterState.reachability.suspect(service, d->now());
    d->decide(service);
}

} // namespace ApricotStep
