#include "main/entry/storepoller.h"

#include "main/entry/storereplica.h"

#include <map>
#include <random>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr Duration ConnectTimeout { 700 };
constexpr Duration AcknowledgeTimeout { 1000 };

} // namespace

struct StorePoller::Private : std::enable_shared_from_this<StorePoller::Private>
{
    IoLoop &loop;
    std::string address;
    StoreCallScheduler calls;
    Callbacks callbacks;
    StoreQuery query;
    /** The number of the current query; what calls of earlier queries bring is ignored. */
    std::uint64_t currentQuery = 0;
    /** Calls in flight, by their number. */
    std::map<std::uint64_t, CallId> openCalls;
    std::uint64_t startedCalls = 0;
    TimerId timer = 0;

    Private(IoLoop &loop, std::string address, StoreCallLimits limits, Callbacks callbacks)
        : loop(loop)
        , address(std::move(address))
        , calls(limits, std::random_device {}())
        , callbacks(std::move(callbacks))
    {
    }

    void startCall();
    void step();
    void cancelCalls();
    void onDone(std::uint64_t callNumber, const CallResult &result, const std::string &body, Time startedAt);
    void onFailed(const std::string &reason, Time startedAt);
};

void StorePoller::Private::startCall()
{
    const Time now = loop.clock().now();
    const std::uint64_t callNumber = ++startedCalls;
    auto body = std::make_shared<std::string>();
    HttpCall call;
    call.url = "http://" + address + "/";
    call.target = query.target();
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = query.timeout;
    call.acknowledgeTimeout = AcknowledgeTimeout;
    call.maxBodyBytes = MaxStoreCopyBytes;
    call.onData = [weak = weak_from_this(), body, queryNumber = currentQuery](std::string_view data) {
        body->append(data);
        const auto self = weak.lock();
        if (self != nullptr && self->currentQuery == queryNumber) {
            self->calls.onProgress(self->loop.now());
        }
        return true;
    };
    call.onDone = [weak = weak_from_this(), body, queryNumber = currentQuery, callNumber, now](const CallResult &result) {
        const auto self = weak.lock();
        if (self != nullptr && self->currentQuery == queryNumber) {
            self->onDone(callNumber, result, *body, now);
        }
    };
    openCalls.emplace(callNumber, loop.client().start(std::move(call)));
}

void StorePoller::Private::step()
{
    loop.cancel(timer);
    const Time now = loop.clock().now();
    const StoreCallStep nextStep = calls.step(now);
    if (nextStep.isCallDue) {
        startCall();
    }
    if (calls.isOverdue(now)) {
        callbacks.onOverdue();
    }
    if (nextStep.nextAt != Time::never()) {
        timer = loop.after(nextStep.nextAt - now, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->step();
            }
        });
    }
}

void StorePoller::Private::cancelCalls()
{
    ++currentQuery;
    loop.cancel(timer);
    for (const auto &[callNumber, id] : std::exchange(openCalls, {})) {
        loop.client().cancel(id);
    }
}

void StorePoller::Private::onDone(std::uint64_t callNumber, const CallResult &result, const std::string &body, Time startedAt)
{
    openCalls.erase(callNumber);
    if (result.state != AttemptState::Answered) {
        onFailed(result.detail, startedAt);
        return;
    }
    const std::uint64_t queryNumber = currentQuery;
    // A copy, since onAnswer() may send the next query, which replaces this one.
    const auto onAnswer = query.onAnswer;
    const auto error = onAnswer(result.status, body);
    if (currentQuery != queryNumber) {
        return;
    }
    if (error) {
        onFailed(error->detail, startedAt);
        return;
    }
    calls.onAnswered();
    cancelCalls();
}

void StorePoller::Private::onFailed(const std::string &reason, Time startedAt)
{
    const Time now = loop.clock().now();
    calls.onFailed(now);
    callbacks.onFailed(reason, now - startedAt);
    step();
}

StorePoller::StorePoller(IoLoop &loop, std::string address, StoreCallLimits limits, Callbacks callbacks)
    : d(std::make_shared<Private>(loop, std::move(address), limits, std::move(callbacks)))
{
}

StorePoller::~StorePoller() = default;

void StorePoller::ask(StoreQuery query)
{
    d->cancelCalls();
    d->calls.onAnswered();
    d->query = std::move(query);
    d->calls.ask(d->query.holdTime, d->loop.clock().now());
    d->step();
}

} // namespace ApricotStep
