#include "tests/standins/standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
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

// A load takes loadMs while no more than `parallel` are in flight and proportionally longer beyond.
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

// Answers a watch as soon as the value is newer than what the reader has, or with 304 when its time is up.
struct Config
{
    Options options;
    std::mutex mutex;
    std::string staleText;

    std::string current()
    {
        const std::lock_guard lock(mutex);
        if (!options.isStale) {
            return readFile(options.file);
        }
        if (staleText.empty()) {
            staleText = readFile(options.file);
        }
        return staleText;
    }
};

void watch(const std::shared_ptr<Config> &config, std::uint64_t have, int leftMs, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string text = config->current();
    if (versionOf(text) != have) {
        respondJson(*exchange, 200, text);
    } else if (leftMs <= 0) {
        respondJson(*exchange, 304, "");
    } else {
        after(WatchStepMs, [=] { watch(config, have, leftMs - WatchStepMs, exchange); });
    }
}

// Counts how often each keyed call ran, which is what a doubled payment shows in.
struct Service
{
    std::mutex mutex;
    std::map<std::string, int> runs;
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
    return [config](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        const auto have = std::strtoull(request.parameter("after").c_str(), nullptr, 10);
        watch(config, have, std::atoi(request.parameter("wait_ms").c_str()), exchange);
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
            respondJson(*exchange, 200, Json { { "total", service->total }, { "runs", service->runs } }.dump());
            return;
        }
        ++service->total;
        const std::string key = request.header("idempotency-key");
        const int runs = ++service->runs[key];
        respondJson(*exchange, 200,
            Json { { "path", request.path }, { "receipt", service->total }, { "runs_of_key", runs }, { "body", request.body } }.dump());
    };
}

} // namespace StandIn
