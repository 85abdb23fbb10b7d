#include "main/entry/storecaller.h"

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

struct StoreCaller::Private : std::enable_shared_from_this<StoreCaller::Private>
{
    IoLoop &loop;
    std::string address;
    StoreCallScheduler calls;
    Callbacks callbacks;
    StoreQuestion question;
    /** Counts questions: what belongs to an earlier one is left aside. */
    std::uint64_t current = 0;
    /** By the number of the call. */
    std::map<std::uint64_t, CallId> open;
    std::uint64_t begun = 0;
    TimerId timer = 0;

    Private(IoLoop &loop, std::string address, StoreCallLimits limits, Callbacks callbacks)
        : loop(loop)
        , address(std::move(address))
        , calls(limits, std::random_device {}())
        , callbacks(std::move(callbacks))
    {
    }

    void begin();
    void step();
    void endCalls();
    void onDone(std::uint64_t number, const CallResult &result, const std::string &body, Time begunAt);
    void onFailed(const std::string &reason, Time begunAt);
};

void StoreCaller::Private::begin()
{
    const Time now = loop.clock().now();
    const std::uint64_t number = ++begun;
    auto body = std::make_shared<std::string>();
    HttpCall call;
    call.url = "http://" + address + "/";
    call.target = question.target();
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = question.timeout;
    call.acknowledgeTimeout = AcknowledgeTimeout;
    call.onData = [weak = weak_from_this(), body, asked = current](std::string_view data) {
        body->append(data);
        const auto self = weak.lock();
        if (self != nullptr && self->current == asked) {
            self->calls.onProgress(self->loop.now());
        }
        return true;
    };
    call.onDone = [weak = weak_from_this(), body, asked = current, number, now](const CallResult &result) {
        const auto self = weak.lock();
        if (self != nullptr && self->current == asked) {
            self->onDone(number, result, *body, now);
        }
    };
    open.emplace(number, loop.client().start(std::move(call)));
}

void StoreCaller::Private::step()
{
    loop.cancel(timer);
    const Time now = loop.clock().now();
    const StoreCallStep due = calls.step(now);
    if (due.isCallDue) {
        begin();
    }
    if (calls.isOverdue(now)) {
        callbacks.onOverdue();
    }
    if (due.nextAt != Time::never()) {
        timer = loop.after(due.nextAt - now, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->step();
            }
        });
    }
}

void StoreCaller::Private::endCalls()
{
    ++current;
    loop.cancel(timer);
    for (const auto &[number, id] : std::exchange(open, {})) {
        loop.client().cancel(id);
    }
}

void StoreCaller::Private::onDone(std::uint64_t number, const CallResult &result, const std::string &body, Time begunAt)
{
    open.erase(number);
    if (result.state != AttemptState::Answered) {
        onFailed(result.detail, begunAt);
        return;
    }
    const std::uint64_t asked = current;
    // The next question may be put from within, and replaces this one.
    const auto onAnswer = question.onAnswer;
    const auto fault = onAnswer(result.status, body);
    if (current != asked) {
        return;
    }
    if (fault) {
        onFailed(fault->detail, begunAt);
        return;
    }
    calls.onAnswered();
    endCalls();
}

void StoreCaller::Private::onFailed(const std::string &reason, Time begunAt)
{
    const Time now = loop.clock().now();
    calls.onFailed(now);
    callbacks.onFailed(reason, now - begunAt);
    step();
}

StoreCaller::StoreCaller(IoLoop &loop, std::string address, StoreCallLimits limits, Callbacks callbacks)
    : d(std::make_shared<Private>(loop, std::move(address), limits, std::move(callbacks)))
{
}

StoreCaller::~StoreCaller() = default;

void StoreCaller::ask(StoreQuestion question)
{
    d->endCalls();
    d->calls.onAnswered();
    d->question = std::move(question);
    d->calls.ask(d->question.held, d->loop.clock().now());
    d->step();
}

} // namespace ApricotStep
