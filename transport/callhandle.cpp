#include "transport/callhandle.h"

#include <utility>

namespace ApricotStep
{

struct CallHandle::Call
{
    HttpClient &client;
    CallId id = 0;
    bool isDone = false;

    explicit Call(HttpClient &client)
        : client(client)
    {
    }
};

namespace
{

// Returns @p callback such that it does nothing, and returns @p result, once @p owner has expired. An unset callback stays unset.
template<typename Result, typename... Arguments>
std::function<Result(Arguments...)> whileOwned(std::weak_ptr<void> owner, std::function<Result(Arguments...)> callback, Result result)
{
    if (!callback) {
        return callback;
    }
    return [owner = std::move(owner), callback = std::move(callback), result](Arguments... arguments) {
        const auto call = owner.lock();
        return call != nullptr ? callback(arguments...) : result;
    };
}

} // namespace

CallHandle::CallHandle() = default;

CallHandle::~CallHandle()
{
    cancel();
}

void CallHandle::start(HttpClient &client, HttpCall call)
{
    cancel();
    m_call = std::make_shared<Call>(client);
    const std::weak_ptr<Call> owner = m_call;
    if (!call.maySend) {
        call.maySend = [] { return true; };
    }
    call.maySend = whileOwned<bool>(owner, std::move(call.maySend), false);
    call.acceptsHead = whileOwned<bool>(owner, std::move(call.acceptsHead), false);
    call.acceptsData = whileOwned<bool>(owner, std::move(call.acceptsData), false);
    call.onData = whileOwned<bool>(owner, std::move(call.onData), true);
    if (call.onHead) {
        call.onHead = [owner, onHead = std::move(call.onHead)](int status, const HttpHeaders &headers) {
            if (const auto owned = owner.lock()) {
                onHead(status, headers);
            }
        };
    }
    call.onDone = [owner, onDone = std::move(call.onDone)](const CallResult &result) {
        const auto owned = owner.lock();
        if (owned == nullptr) {
            return;
        }
        owned->isDone = true;
        if (onDone) {
            onDone(result);
        }
    };
    m_call->id = client.start(std::move(call));
}

void CallHandle::cancel()
{
    const auto call = std::exchange(m_call, nullptr);
    if (call != nullptr && !call->isDone) {
        call->client.cancel(call->id);
    }
}

void CallHandle::resume()
{
    if (isActive()) {
        m_call->client.resume(m_call->id);
    }
}

bool CallHandle::isActive() const
{
    return m_call != nullptr && !m_call->isDone;
}

} // namespace ApricotStep
