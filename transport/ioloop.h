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

/** Identifies a function to be called later; 0 means none. */
using TimerId = std::uint64_t;

/** Shorter delays of a round are usual on a VM with a fraction of a core. */
inline constexpr Duration MinReportedDelay { 400 };

/**
 * One thread that serves driven HTTP servers, a driven HTTP client, UDP sockets and timers in turn.
 *
 * run() calls all callbacks, one after the other, so the data that they share needs no lock. Only stop() may be called from another thread.
 */
class IoLoop
{
public:
    explicit IoLoop(const Clock &clock);
    ~IoLoop();

    HttpClient &client();
    const Clock &clock() const;
    /**
     * When the current round of work began: a few milliseconds ago at most, unless the process was suspended since. Reading the clock for
     * each decision would cost more than many of the decisions. Code that must not act after a suspension reads clock() right before it
     * acts.
     */
    Time now() const;
    /** Serves @p server, which must be driven and must outlive run() or be removed. To be called before run() or by a timer. */
    void add(HttpServer *server);
    /** Serves @p server no longer. To be called by a timer only. */
    void remove(const HttpServer *server);
    /** Reads @p socket, which must outlive run(). */
    void add(UdpSocket *socket, UdpSocket::Handler handler);
    /** Calls @p function once, no sooner than @p wait from now(). */
    TimerId after(Duration wait, std::function<void()> function);
    /** Does nothing when the function was already called or cancelled. */
    void cancel(TimerId id);
    /**
     * Sets the callback for a round that began MinReportedDelay or more after it was due, because the process was suspended, got no
     * processor time or worked on the round before. It is called before anything else of the round.
     */
    void onDelayed(std::function<void(Duration delay)> callback);
    /** Runs until stop(); may be called again afterwards. */
    void run();
    /** Makes run() return after the current round of work. Thread-safe. */
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
