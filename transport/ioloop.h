#pragma once

#include "core/clock.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/udpsocket.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace ApricotStep
{

/** A function to be called later; 0 is none. */
using TimerId = std::uint64_t;

/**
 * One thread that serves driven HTTP servers, a driven HTTP client, UDP sockets and timers by turns.
 *
 * All callbacks come from run(), one after the other, so what they share needs no lock. Nothing here may be called from another thread but
 * stop().
 */
class IoLoop
{
public:
    explicit IoLoop(const Clock &clock);
    ~IoLoop();

    HttpClient &client();
    const Clock &clock() const;
    /**
     * When the present round of work began: at most some milliseconds ago, unless the process slept since. Reading the clock anew for each
     * decision costs more than many of them. What must not be done after a sleep asks clock() right before.
     */
    Time now() const;
    /** Serves @p server, which must be driven and must outlive run(). */
    void add(HttpServer *server);
    /** Reads @p socket, which must outlive run(). */
    void add(UdpSocket *socket, UdpSocket::Handler handler);
    /** Calls @p function once, no sooner than @p wait from now(). */
    TimerId after(Duration wait, std::function<void()> function);
    /** Nothing happens when it was called or cancelled already. */
    void cancel(TimerId id);
    /** Works until stop(); may be called again. */
    void run();
    /** Makes run() return after the work at hand; from any thread. */
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
