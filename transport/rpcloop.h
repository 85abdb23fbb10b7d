#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <kj/async-io.h>
#include <kj/function.h>

#include <thread>
#include <vector>

namespace ApricotStep
{

/** Throws an exception that fails the RPC in whose handler it is called. */
[[noreturn]] void failRpc(const char *why);

/**
 * A KJ event loop on a thread of its own.
 *
 * KJ promises and Cap'n Proto capabilities belong to the thread of their loop and must be created, used and destroyed there. Other threads
 * post tasks to the loop.
 */
class RpcLoop
{
public:
    using Task = kj::Function<void()>;

    RpcLoop();
    /** Stops the loop unless stop() was called. Objects that belong to the loop's thread must be destroyed by the last task of stop(). */
    ~RpcLoop();

    /** Runs @p task on the loop's thread, in the order of the calls. Tasks posted after stop() are dropped. Thread-safe. */
    void post(Task task);
    /** Runs @p last on the loop's thread, then ends the thread. Must not be called on the loop's thread. */
    void stop(Task last);

    // To be called only on the loop's thread.
    kj::Timer &timer();
    kj::Network &network();
    kj::LowLevelAsyncIoProvider &lowLevel();

private:
    void run();
    void runTasks();

    absl::Mutex m_mutex;
    std::vector<Task> m_tasks ABSL_GUARDED_BY(m_mutex);
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake ABSL_GUARDED_BY(m_mutex);
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isStopped = false;
    kj::AsyncIoContext *m_io = nullptr;
    absl::Notification m_started;
    std::thread m_thread;
};

} // namespace ApricotStep
