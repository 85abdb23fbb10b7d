#include "tests/standins/standin.h"

#include "transport/httpclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace StandIn
{

namespace
{

using Json = nlohmann::json;
using ApricotStep::HttpExchange;
using ApricotStep::HttpRequest;

constexpr int DefaultTokens = 8;

struct Generation
{
    std::string model;
    std::string attempt;
    std::string prompt;
    int priority = 1;
    int tokens = 0;
    int done = 0;
    bool isStream = false;
    bool isCallerGone = false;
    std::shared_ptr<HttpExchange> exchange;
};

// Continuous batching: each step gives every running request one token, and waiting requests join as soon as there is room.
class Engine : public std::enable_shared_from_this<Engine>
{
public:
    explicit Engine(Options options)
        : m_options(std::move(options))
    {
    }

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        const Json json = Json::parse(request.body.view(), nullptr, false);
        if (request.path == "/v1/load_lora_adapter") {
            load(request, json.value("lora_name", ""), exchange);
        } else if (request.path == "/v1/unload_lora_adapter") {
            unload(request, json.value("lora_name", ""), exchange);
        } else if (request.path == "/v1/load_report") {
            respondJson(*exchange, 200, report());
        } else if (request.path == "/control/restart") {
            restart();
            respondJson(*exchange, 200, "{}");
        } else if (request.path == "/control/prompts") {
            const std::lock_guard lock(m_mutex);
            respondJson(*exchange, 200, Json(m_prompts).dump());
        } else if (request.path == "/control/fail_loads") {
            m_failLoads = std::atoi(request.parameter("count").c_str());
            respondJson(*exchange, 200, "{}");
        } else if (request.path.ends_with("/completions")) {
            generate(request, json, exchange);
        } else {
            respondJson(*exchange, 404, "{}");
        }
    }

private:
    bool isFenced(const HttpRequest &request)
    {
        const auto token = std::strtoull(request.header("x-fencing-token").c_str(), nullptr, 10);
        if (m_options.checksFencing && token < m_fencing) {
            return true;
        }
        m_fencing = std::max<unsigned long long>(m_fencing, token);
        return false;
    }

    void load(const HttpRequest &request, const std::string &name, const std::shared_ptr<HttpExchange> &exchange)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (isFenced(request)) {
                respondJson(*exchange, 409, R"({"error":"fenced"})");
                return;
            }
            if (m_failLoads > 0) {
                --m_failLoads;
                respondJson(*exchange, 500, R"({"error":"load failed"})");
                return;
            }
            if (std::cmp_greater_equal(m_loaded.size() + m_loading, m_options.slots) && !m_loaded.contains(name)) {
                respondJson(*exchange, 409, R"({"error":"no free slot"})");
                return;
            }
            ++m_loading;
        }
        const auto finish = [self = shared_from_this(), name, exchange](bool isLoaded) {
            const std::lock_guard lock(self->m_mutex);
            --self->m_loading;
            if (isLoaded) {
                self->m_loaded.insert(name);
            }
            respondJson(*exchange, isLoaded ? 200 : 500, "{}");
        };
        if (m_options.store.empty()) {
            finish(true);
            return;
        }
        ApricotStep::HttpCall call;
        call.url = m_options.store + "/weights/" + name;
        call.onDone = [finish](const ApricotStep::CallResult &result) { finish(result.status == 200); };
        m_client.start(std::move(call));
    }

    void unload(const HttpRequest &request, const std::string &name, const std::shared_ptr<HttpExchange> &exchange)
    {
        const std::lock_guard lock(m_mutex);
        if (isFenced(request)) {
            respondJson(*exchange, 409, R"({"error":"fenced"})");
            return;
        }
        for (const auto &generation : m_running) {
            m_evictedInUse += generation->model == name ? 1 : 0;
        }
        m_loaded.erase(name);
        respondJson(*exchange, 200, "{}");
    }

    std::string report()
    {
        const std::lock_guard lock(m_mutex);
        Json counts = Json::object();
        for (const auto &generation : m_running) {
            counts[generation->model] = counts.value(generation->model, 0) + 1;
        }
        return Json {
            { "loaded", m_loaded }, { "running", counts }, { "waiting", m_waiting.size() }, { "fencing_token", m_fencing },
            { "steps", m_steps }, { "step_tokens", m_tokens }, { "batch", m_options.batch }, { "evicted_in_use", m_evictedInUse }
        }.dump();
    }

    void restart()
    {
        const std::lock_guard lock(m_mutex);
        m_loaded.clear();
        for (const auto &generation : m_running) {
            generation->exchange->abort();
        }
        for (const auto &generation : m_waiting) {
            generation->exchange->abort();
        }
        m_running.clear();
        m_waiting.clear();
    }

    void generate(const HttpRequest &request, const Json &json, const std::shared_ptr<HttpExchange> &exchange)
    {
        auto generation = std::make_shared<Generation>();
        generation->model = json.value("model", "");
        generation->attempt = request.header("x-attempt-id");
        generation->tokens = json.value("max_tokens", DefaultTokens);
        generation->isStream = json.value("stream", false);
        generation->prompt = json.contains("messages") ? json["messages"].back().value("content", "") : json.value("prompt", "");
        generation->priority = request.header("x-priority") == "urgent" ? 0 : request.header("x-priority") == "patient" ? 2 : 1;
        generation->exchange = exchange;
        const std::lock_guard lock(m_mutex);
        if (!m_loaded.contains(generation->model)) {
            respondJson(*exchange, 404, R"({"error":"adapter not loaded"})");
            return;
        }
        exchange->onCallerGone([self = shared_from_this(), generation] {
            const std::lock_guard innerLock(self->m_mutex);
            generation->isCallerGone = true;
        });
        const auto position =
            std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &other) { return other->priority > generation->priority; });
        m_waiting.insert(position, generation);
        if (!m_isStepping) {
            m_isStepping = true;
            after(m_options.tokenMs, [self = shared_from_this()] { self->step(); });
        }
    }

    void step()
    {
        const std::lock_guard lock(m_mutex);
        while (!m_waiting.empty() && std::cmp_less(m_running.size(), m_options.batch)) {
            ++m_prompts[m_waiting.front()->prompt];
            begin(m_waiting.front());
            m_running.push_back(m_waiting.front());
            m_waiting.pop_front();
        }
        ++m_steps;
        m_tokens += m_running.size();
        for (const auto &generation : m_running) {
            token(*generation);
        }
        std::erase_if(m_running, [](const auto &generation) { return generation->isCallerGone || generation->done >= generation->tokens; });
        m_isStepping = !m_running.empty() || !m_waiting.empty();
        if (m_isStepping) {
            after(m_options.tokenMs, [self = shared_from_this()] { self->step(); });
        }
    }

    void begin(const std::shared_ptr<Generation> &generation)
    {
        if (generation->isStream) {
            generation->exchange->beginStream(200, { { "Content-Type", "text/event-stream" }, { "X-Attempt-Id", generation->attempt } });
        }
    }

    // The text names the adapter and repeats the prompt, so that a test can tell whose answer it received.
    void token(Generation &generation)
    {
        const std::string word = generation.done == 0 ? generation.model + ":" + generation.prompt : " t" + std::to_string(generation.done);
        ++generation.done;
        const bool isLast = generation.done >= generation.tokens;
        if (generation.isStream) {
            const Json chunk { { "model", generation.model }, { "choices", { { { "index", 0 }, { "delta", { { "content", word } } } } } } };
            generation.exchange->write("data: " + chunk.dump() + "\n\n");
            if (isLast) {
                generation.exchange->write("data: [DONE]\n\n");
                generation.exchange->finish();
            }
            return;
        }
        if (isLast) {
            const Json message { { "role", "assistant" }, { "content", generation.model + ":" + generation.prompt } };
            const Json body { { "model", generation.model },
                { "choices", { { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } } } },
                { "usage", { { "completion_tokens", generation.done } } } };
            generation.exchange->respond(
                200, { { "Content-Type", "application/json" }, { "X-Attempt-Id", generation.attempt } }, body.dump());
        }
    }

    const Options m_options;
    ApricotStep::HttpClient m_client;
    std::recursive_mutex m_mutex;
    std::set<std::string> m_loaded;
    std::size_t m_loading = 0;
    std::atomic<int> m_failLoads { 0 };
    unsigned long long m_fencing = 0;
    // How often generation began for each prompt. A request that was answered as not run must not be counted here.
    std::map<std::string, int> m_prompts;
    std::size_t m_steps = 0;
    std::size_t m_tokens = 0;
    int m_evictedInUse = 0;
    bool m_isStepping = false;
    std::deque<std::shared_ptr<Generation>> m_waiting;
    std::vector<std::shared_ptr<Generation>> m_running;
};

} // namespace

Handler makeEngine(const Options &options)
{
    const auto engine = std::make_shared<Engine>(options);
    return [engine](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { engine->handle(request, exchange); };
}

} // namespace StandIn
