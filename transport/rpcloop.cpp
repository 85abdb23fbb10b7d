#include "transport/rpcloop.h"

#include <kj/debug.h>
#include <spdlog/spdlog.h>

namespace ApricotStep
{

void failRpc(const char *why)
{
    kj::throwFatalException(KJ_EXCEPTION(FAILED, why));
}

RpcLoop::RpcLoop()
    : m_thread([this] { run(); })
{
    m_started.WaitForNotification();
}

RpcLoop::~RpcLoop()
{
    stop([] {});
}

void RpcLoop::post(Task task)
{
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_isStopping) {
            return;
        }
        m_tasks.push_back(kj::mv(task));
        wake = kj::mv(m_wake);
    }
    if (wake.get() != nullptr) {
        wake->fulfill();
    }
}

void RpcLoop::stop(Task last)
{
    if (m_isStopped) {
        return;
    }
    m_isStopped = true;
    post([this, last = kj::mv(last)]() mutable {
        last();
        const absl::MutexLock lock(&m_mutex);
        m_isStopping = true;
    });
    m_thread.join();
}

kj::Timer &RpcLoop::timer()
{
    return m_io->provider->getTimer();
}

kj::Network &RpcLoop::network()
{
    return m_io->provider->getNetwork();
}

kj::LowLevelAsyncIoProvider &RpcLoop::lowLevel()
{
    return *m_io->lowLevelProvider;
}

void RpcLoop::run()
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    m_io = &io;
    m_started.Notify();
    for (;;) {
        auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
        bool isIdle = false;
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_isStopping) {
                m_tasks.clear();
                return;
            }
            isIdle = m_tasks.empty();
            if (isIdle) {
                m_wake = kj::mv(wake.fulfiller);
            }
        }
        if (isIdle) {
            wake.promise.wait(io.waitScope);
        }
        runTasks();
        io.waitScope.poll(); // Without this, a steady flow of tasks would keep the loop from serving its sockets.
    }
}

void RpcLoop::runTasks()
{
    std::vector<Task> tasks;
    {
        const absl::MutexLock lock(&m_mutex);
        tasks.swap(m_tasks);
    }
    for (Task &task : tasks) {
        KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { task(); })) {
            spdlog::error("rpc: A task failed. {}", exception->getDescription().cStr());
        }
    }
}

} // namespace ApricotStep
