#include "tests/standins/standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>

namespace StandIn
{

namespace
{

using Json = nlohmann::json;
using ApricotStep::HttpExchange;
using ApricotStep::HttpRequest;

constexpr int WatchStepMs = 50;

// A load takes loadMs while no more than `parallel` loads are in flight, and proportionally longer above that.
struct Store
{
    Options options;
    std::mutex mutex;
    int inFlight = 0;
    int total = 0;

    int begin()
    {
        const std::lock_guard lock(mutex);
        ++total;
        ++inFlight;
        return options.loadMs * std::max(options.parallel, inFlight) / options.parallel;
    }
    void end()
    {
        const std::lock_guard lock(mutex);
        --inFlight;
    }
};

std::uint64_t versionOf(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    return json.is_object() ? json.value("version", std::uint64_t { 0 }) : 0;
}

// Serves the files of a directory by name, as the configuration service does. /control changes its behaviour at run time: down=1 aborts
// every call, stale=1 keeps returning the current head, slow_ms=N delays every answer.
struct Config
{
    Options options;
    std::mutex mutex;
    bool isDown = false;
    int slowMs = 0;
    std::string staleHead;
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    std::chrono::steady_clock::time_point second = std::chrono::steady_clock::now();
    int callsInSecond = 0;

    std::string head()
    {
        const std::lock_guard lock(mutex);
        return staleHead.empty() ? readFile(options.directory + "/head") : staleHead;
    }
    // Counts a call, a waiting watch as one. Returns false when it exceeds the limit.
    bool admit()
    {
        const std::lock_guard lock(mutex);
        const auto now = std::chrono::steady_clock::now();
        if (now - second >= std::chrono::seconds(1)) {
            second = now;
            callsInSecond = 0;
        }
        ++calls;
        const bool isAdmitted = options.limitPerSecond == 0 || callsInSecond++ < options.limitPerSecond;
        refused += isAdmitted ? 0 : 1;
        return isAdmitted;
    }
    void control(const HttpRequest &request, HttpExchange &exchange)
    {
        const std::string head = readFile(options.directory + "/head");
        const std::lock_guard lock(mutex);
        const auto has = [&](const char *name) { return request.parameters.contains(name); };
        if (has("down")) {
            isDown = request.parameter("down") == "1";
        }
        if (has("stale")) {
            staleHead = request.parameter("stale") == "1" ? head : "";
        }
        if (has("slow_ms")) {
            slowMs = std::atoi(request.parameter("slow_ms").c_str());
        }
        respondJson(exchange, 200,
            Json { { "calls", calls }, { "refused", refused }, { "down", isDown }, { "stale", !staleHead.empty() }, { "slow_ms", slowMs } }
                .dump());
    }
};

// Answers with the head as soon as it is newer than the reader's, or when the wait is over.
void watch(const std::shared_ptr<Config> &config, std::uint64_t have, int leftMs, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string text = config->head();
    if (text.empty()) {
        respondJson(*exchange, 404, "{}");
    } else if (versionOf(text) > have || leftMs <= 0) {
        respondJson(*exchange, 200, text);
    } else {
        after(WatchStepMs, [=] { watch(config, have, leftMs - WatchStepMs, exchange); });
    }
}

void readValue(const std::shared_ptr<Config> &config, const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string name = request.path.substr(request.path.rfind('/') + 1);
    if (name == "head") {
        const auto have = std::strtoull(request.parameter("after").c_str(), nullptr, 10);
        watch(config, have, std::atoi(request.parameter("wait_ms").c_str()), exchange);
        return;
    }
    const std::string text = readFile(config->options.directory + "/" + name);
    respondJson(*exchange, text.empty() ? 404 : 200, text);
}

// Counts how often each call with an idempotency key ran, so that a test can detect a payment that ran twice.
struct Service
{
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::map<std::string, int> bodies;
    int total = 0;
};

} // namespace

Handler makeStore(const Options &options)
{
    const auto store = std::make_shared<Store>();
    store->options = options;
    return [store](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        if (request.path == "/control/loads") {
            const std::lock_guard lock(store->mutex);
            respondJson(*exchange, 200, std::to_string(store->total));
            return;
        }
        after(store->begin(), [store, exchange] {
            store->end();
            respondJson(*exchange, 200, "{}");
        });
    };
}

Handler makeConfig(const Options &options)
{
    const auto config = std::make_shared<Config>();
    config->options = options;
    if (options.isStale) {
        config->staleHead = readFile(options.directory + "/head");
    }
    return [config](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        if (request.path == "/control") {
            config->control(request, *exchange);
            return;
        }
        if (!config->admit()) {
            respondJson(*exchange, 429, "{}");
            return;
        }
        bool isDown = false;
        int slowMs = 0;
        {
            const std::lock_guard lock(config->mutex);
            isDown = config->isDown;
            slowMs = config->slowMs;
        }
        if (isDown) {
            exchange->abort();
        } else if (slowMs > 0) {
            after(slowMs, [=] { readValue(config, request, exchange); });
        } else {
            readValue(config, request, exchange);
        }
    };
}

Handler makeVmList(const Options &options)
{
    return [options](
               const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) { respondJson(*exchange, 200, readFile(options.file)); };
}

Handler makeService(const Options &)
{
    const auto service = std::make_shared<Service>();
    return [service](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        const std::lock_guard lock(service->mutex);
        if (request.path == "/control/runs") {
            respondJson(
                *exchange, 200, Json { { "total", service->total }, { "runs", service->runs }, { "bodies", service->bodies } }.dump());
            return;
        }
        ++service->total;
        const std::string key = request.header("idempotency-key");
        const int runs = ++service->runs[key];
        if (request.method == "POST") {
            ++service->bodies[std::string(request.body.view())];
        }
        respondJson(*exchange, 200,
            Json { { "path", request.path }, { "receipt", service->total }, { "runs_of_key", runs }, { "body", request.body.view() } }
                .dump());
    };
}

} // namespace StandIn
