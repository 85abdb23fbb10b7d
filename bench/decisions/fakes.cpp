#include "bench/decisions/fakes.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace DecisionBench
{

namespace
{

constexpr Micros FetchInterval = 500 * Millisecond;
constexpr Micros TransferTime = 250 * Millisecond;
constexpr double FullSpeedTransfers = 8;

} // namespace

void EventLoop::runUntil(Micros end)
{
    while (!m_events.empty() && m_events.top().when <= end) {
        m_now = m_events.top().when;
        const auto callback = m_events.top().callback;
        m_events.pop();
        callback();
    }
    m_now = end;
}

void WeightStore::fetch(std::function<void()> done)
{
    ++m_fetches;
    if (m_storeModel == StoreModel::Rate) {
        fetchAtRate(std::move(done));
        return;
    }
    advanceTransfers();
    m_transfers.push_back({ static_cast<double>(TransferTime), std::move(done) });
    advanceTransfers();
}

void WeightStore::fetchAtRate(std::function<void()> done)
{
    const Micros startTime = std::max(m_loop.now(), m_nextStartTime);
    m_nextStartTime = startTime + FetchInterval;
    m_loop.at(startTime + TransferTime, std::move(done));
}

// Advances the transfers to the current time and schedules the end of the next one.
void WeightStore::advanceTransfers()
{
    const double speed = std::min(1.0, FullSpeedTransfers / std::max<double>(1.0, static_cast<double>(m_transfers.size())));
    const double progress = static_cast<double>(m_loop.now() - m_advancedAt) * speed;
    m_advancedAt = m_loop.now();
    std::vector<std::function<void()>> finished;
    for (Transfer &transfer : m_transfers) {
        transfer.remaining -= progress;
        if (transfer.remaining < 1) {
            finished.push_back(std::move(transfer.done));
        }
    }
    std::erase_if(m_transfers, [](const Transfer &transfer) { return transfer.remaining < 1; });
    const std::uint64_t generation = ++m_generation;
    if (!m_transfers.empty()) {
        double minRemaining = std::numeric_limits<double>::max();
        for (const Transfer &transfer : m_transfers) {
            minRemaining = std::min(minRemaining, transfer.remaining);
        }
        const double factor = std::max(1.0, static_cast<double>(m_transfers.size()) / FullSpeedTransfers);
        m_loop.after(static_cast<Micros>(minRemaining * factor) + 1, [this, generation] {
            if (generation == m_generation) {
                advanceTransfers();
            }
        });
    }
    for (const auto &done : finished) {
        done();
    }
}

FakeEngine::FakeEngine(EventLoop &loop, WeightStore &store, const Deployment &deployment, Callbacks callbacks)
    : m_loop(loop)
    , m_store(store)
    , m_deployment(deployment)
    , m_callbacks(std::move(callbacks))
{
}

bool FakeEngine::submit(std::uint64_t request, int adapter, int tokens)
{
    if (!hasAdapter(adapter)) {
        return false;
    }
    m_running.push_back({ request, adapter, tokens, false, false });
    if (!m_isStepping) {
        scheduleStep();
    }
    return true;
}

void FakeEngine::load(int adapter, bool willFail)
{
    const bool hasRoom = std::cmp_less(m_loadedAt.size() + m_loading.size(), m_deployment.slots) || hasAdapter(adapter);
    if (!hasRoom) {
        m_loop.after(Millisecond, [this, adapter] { m_callbacks.onLoaded(adapter, false); });
        return;
    }
    m_loading.insert(adapter);
    m_store.fetch([this, adapter, willFail, restartCount = m_restartCount] {
        const bool isLoaded = !willFail && restartCount == m_restartCount;
        if (restartCount == m_restartCount) {
            m_loading.erase(adapter);
        }
        if (isLoaded) {
            m_loadedAt[adapter] = m_loop.now();
        }
        m_callbacks.onLoaded(adapter, isLoaded);
    });
}

bool FakeEngine::unload(int adapter)
{
    const bool isInUse = std::any_of(m_running.begin(), m_running.end(), [&](const auto &running) { return running.adapter == adapter; });
    m_evictedInUse += isInUse ? 1 : 0;
    return m_loadedAt.erase(adapter) > 0;
}

void FakeEngine::restart()
{
    ++m_restartCount;
    m_loadedAt.clear();
    m_loading.clear();
    m_isStepping = false;
    const std::vector<Running> interrupted = std::exchange(m_running, {});
    for (const Running &running : interrupted) {
        m_callbacks.onDone(running.request, false);
    }
}

void FakeEngine::scheduleStep()
{
    m_isStepping = true;
    Micros joiningCount = 0;
    for (Running &running : m_running) {
        joiningCount += running.isInBatch ? 0 : 1;
        running.isInBatch = true;
    }
    const Micros stepTime =
        m_deployment.stepBase + m_deployment.stepPerRequest * static_cast<Micros>(m_running.size()) + m_deployment.prefill * joiningCount;
    m_loop.after(static_cast<Micros>(static_cast<double>(stepTime) * m_slowdown), [this, restartCount = m_restartCount] {
        if (restartCount == m_restartCount) {
            step();
        }
    });
}

void FakeEngine::step()
{
    ++m_steps;
    std::vector<std::uint64_t> first;
    std::vector<std::uint64_t> done;
    for (Running &running : m_running) {
        // Requests that arrived during this step join the batch with the next one.
        if (!running.isInBatch) {
            continue;
        }
        ++m_stepTokens;
        if (!running.hasFirstToken) {
            running.hasFirstToken = true;
            first.push_back(running.request);
        }
        if (--running.remaining == 0) {
            done.push_back(running.request);
        }
    }
    std::erase_if(m_running, [](const auto &running) { return running.remaining <= 0; });
    m_isStepping = false;
    for (const std::uint64_t request : first) {
        m_callbacks.onFirstToken(request);
    }
    for (const std::uint64_t request : done) {
        m_callbacks.onDone(request, true);
    }
    if (!m_running.empty() && !m_isStepping) {
        scheduleStep();
    }
}

} // namespace DecisionBench
