#pragma once

#include "transport/httpclient.h"

#include <memory>

namespace ApricotStep
{

/**
 * One call of a driven client at a time, and its callbacks. After cancel(), or once another call is started or the handle is destroyed, no
 * callback of the call is called any more: HttpClient::cancel() takes effect later, and its owner may be at another call by then.
 *
 * To be used on the client's thread only. The client must outlive the handle.
 */
class CallHandle
{
public:
    CallHandle();
    ~CallHandle();
    CallHandle(const CallHandle &) = delete;
    CallHandle &operator=(const CallHandle &) = delete;

    /** Cancels the call in progress, if there is one, and starts another. */
    void start(HttpClient &client, HttpCall call);
    /** Ends the call early; its onDone is not called. Does nothing if there is no call in progress. */
    void cancel();
    /** Continues an answer that onData paused. */
    void resume();
    /** Whether a call is in progress. It ends before its onDone is called. */
    bool isActive() const;

private:
    struct Call;
    std::shared_ptr<Call> m_call;
};

} // namespace ApricotStep
