#include "tests/standins/standin.h"

#include <CLI/CLI.hpp>

#include <condition_variable>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

namespace StandIn
{

namespace
{

// Calls due callbacks on one thread, which is enough since the callbacks of the stand-ins are short.
class Timer
{
public:
    Timer()
        : m_thread([this] { run(); })
    {
        m_thread.detach();
    }

    void add(int milliseconds, std::function<void()> callback)
    {
        const std::lock_guard lock(m_mutex);
        m_due.emplace(std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds), std::move(callback));
        m_wake.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            if (m_due.empty()) {
                m_wake.wait(lock);
                continue;
            }
            const auto next = m_due.begin()->first;
            if (std::chrono::steady_clock::now() < next) {
                m_wake.wait_until(lock, next);
                continue;
            }
            const auto callback = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            lock.unlock();
            callback();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> m_due;
    std::thread m_thread;
};

} // namespace

void after(int milliseconds, std::function<void()> callback)
{
    static auto *timer = new Timer; // Never destroyed: its thread runs until the process ends.
    timer->add(milliseconds, std::move(callback));
}

void respondJson(ApricotStep::HttpExchange &exchange, int status, std::string body)
{
    exchange.respond(status, { { "Content-Type", "application/json" } }, std::move(body));
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace StandIn

int main(int argc, char **argv)
{
    CLI::App app { "Stand-ins for tests: engine, store, config, vmlist, service." };
    StandIn::Options options;
    std::string mode;
    app.add_option("mode", mode)->required();
    app.add_option("--port", options.port);
    app.add_option("--slots", options.slots);
    app.add_option("--batch", options.batch);
    app.add_option("--token-ms", options.tokenMs);
    app.add_option("--store", options.store);
    app.add_flag("--checks-fencing", options.checksFencing);
    app.add_option("--load-ms", options.loadMs);
    app.add_option("--parallel", options.parallel);
    app.add_option("--file", options.file);
    app.add_option("--dir", options.directory);
    app.add_option("--limit-per-second", options.limitPerSecond);
    app.add_flag("--stale", options.isStale);
    CLI11_PARSE(app, argc, argv);

    const std::map<std::string, StandIn::Handler (*)(const StandIn::Options &)> modes { { "engine", StandIn::makeEngine },
        { "store", StandIn::makeStore }, { "config", StandIn::makeConfig }, { "vmlist", StandIn::makeVmList },
        { "service", StandIn::makeService } };
    const auto at = modes.find(mode);
    if (at == modes.end()) {
        std::cerr << "standin: unknown mode '" << mode << "'.\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    ApricotStep::HttpServerSettings settings;
    settings.port = options.port;
    auto server = ApricotStep::HttpServer::start(settings, at->second(options));
    if (!server.isOk()) {
        std::cerr << "standin: " << server.error().detail << ".\n";
        return 2;
    }
    std::cout << "ready port=" << server.value()->port() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    std::_Exit(0);
}
