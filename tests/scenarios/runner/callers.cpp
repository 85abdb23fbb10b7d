#include "tests/scenarios/runner/callers.h"

#include "tests/scenarios/runner/plainhttp.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace Scenario
{

namespace
{

using Json = nlohmann::json;

constexpr int CallTimeoutMs = 60'000;
constexpr int LookupTimeoutMs = 3000;
constexpr int MaxAttempts = 40;
constexpr int RetryDelayMs = 100;
constexpr int MaxRetryDelayMs = 1000;
constexpr std::size_t LoadThreads = 48;
const std::string StreamEnd = "data: [DONE]";

using Clock = std::chrono::steady_clock;

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// Returns the text of a streamed or non-streamed completion.
std::string contentOf(const std::string &body, bool isStream)
{
    std::string content;
    if (!isStream) {
        const Json json = Json::parse(body, nullptr, false);
        return json.is_object() && json.contains("choices") ? json["choices"][0]["message"].value("content", "") : "";
    }
    for (std::size_t at = 0; (at = body.find("data: {", at)) != std::string::npos; ++at) {
        const Json json = Json::parse(body.substr(at + 6, body.find('\n', at) - at - 6), nullptr, false);
        if (json.is_object() && json.contains("choices")) {
            content += json["choices"][0]["delta"].value("content", "");
        }
    }
    return content;
}

Attempt attemptFrom(const HttpResponse &response, bool isStream)
{
    Attempt attempt;
    attempt.status = response.status;
    const auto adapter = response.headers.find("x-adapter");
    attempt.adapter = adapter == response.headers.end() ? "" : adapter->second;
    if (response.status == 0) {
        // Without a connection nothing ran. If an established connection failed, the request may have run.
        attempt.outcome = response.isUnsent ? Outcome::NotRun : Outcome::NoResponse;
        attempt.code = response.isUnsent ? "not_connected" : "";
        return attempt;
    }
    if (response.status >= 400) {
        const Json json = Json::parse(response.body, nullptr, false);
        const Json error = json.is_object() ? json.value("error", Json::object()) : Json::object();
        attempt.code = error.value("code", "");
        attempt.retryAfterMs = error.value("retry_after_ms", 0);
        attempt.outcome = error.value("not_run", false) ? Outcome::NotRun : Outcome::MayHaveRun;
        return attempt;
    }
    if (response.isIncomplete || response.body.find("event: error") != std::string::npos) {
        attempt.outcome = Outcome::Interrupted;
        return attempt;
    }
    attempt.outcome = Outcome::Ok;
    attempt.isSilentlyTruncated = isStream && response.body.find(StreamEnd) == std::string::npos;
    attempt.body = response.body;
    return attempt;
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::size_t from = 0;
    while (from <= text.size()) {
        const std::size_t to = std::min(text.find(separator, from), text.size());
        if (to > from) {
            parts.push_back(text.substr(from, to - from));
        }
        from = to + 1;
    }
    return parts;
}

} // namespace

struct Callers::Private
{
    explicit Private(const TestCluster &aCluster)
        : cluster(aCluster)
    {
    }

    const TestCluster &cluster;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<RequestRecord> records;
    std::map<std::string, std::string> keys;
    std::map<std::string, std::string> keyNodes;
    std::map<std::string, int> active;
    std::vector<std::thread> threads;
    std::atomic<int> counter { 0 };

    void runInBackground(const std::string &group, std::function<void()> task);
    void addRecord(RequestRecord record, Clock::time_point startedAt);
    RequestRecord newRecord(const std::string &group, const Options &options, bool isPayment);

    Attempt sendChat(const std::string &address, const RequestRecord &record, const Options &options) const;
    Attempt sendPayment(const std::string &address, const RequestRecord &record, const std::string &key, const Options &options) const;
    std::string pickNode(std::size_t offset) const;
    std::vector<std::string> lookUpAddresses(const std::string &model, std::size_t offset, Attempt &refusal) const;
    std::string createKey(std::string &address, std::size_t offset) const;
    void chatWithRetries(RequestRecord &record, const Options &options) const;
    void payWithRetries(RequestRecord &record, const Options &options) const;
    void loadLoop(const std::string &group, const Options &options);
};

void Callers::Private::runInBackground(const std::string &group, std::function<void()> task)
{
    const std::lock_guard lock(mutex);
    ++active[group];
    threads.emplace_back([this, group, task = std::move(task)] {
        task();
        const std::lock_guard innerLock(mutex);
        --active[group];
        changed.notify_all();
    });
}

void Callers::Private::addRecord(RequestRecord record, Clock::time_point startedAt)
{
    record.seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
    const std::lock_guard lock(mutex);
    records.push_back(std::move(record));
}

RequestRecord Callers::Private::newRecord(const std::string &group, const Options &options, bool isPayment)
{
    RequestRecord record;
    record.group = group;
    record.tag = optionOr(options, "body", group + "#" + std::to_string(++counter) + "#");
    record.isPayment = isPayment;
    record.allowed = split(optionOr(options, "allowed", ""), ',');
    return record;
}

Attempt Callers::Private::sendChat(const std::string &address, const RequestRecord &record, const Options &options) const
{
    const bool isStream = options.contains("stream");
    Json body { { "model", options.at("model") }, { "max_tokens", std::stoi(optionOr(options, "tokens", "8")) },
        { "messages", { { { "role", "user" }, { "content", record.tag } } } } };
    if (isStream) {
        body["stream"] = true;
    }
    std::vector<std::string> headers { "X-Caller-Id: " + optionOr(options, "caller", record.group),
        "X-Priority: " + optionOr(options, "class", "standard") };
    if (options.contains("deadline_ms")) {
        headers.push_back("X-Deadline-Ms: " + options.at("deadline_ms"));
    }
    const HttpResponse response = callHttp("http://" + address + "/v1/chat/completions", body.dump(), headers, CallTimeoutMs);
    Attempt attempt = attemptFrom(response, isStream);
    attempt.address = address;
    if (attempt.outcome == Outcome::Ok) {
        attempt.body = contentOf(response.body, isStream);
    }
    return attempt;
}

Attempt Callers::Private::sendPayment(
    const std::string &address, const RequestRecord &record, const std::string &key, const Options &options) const
{
    std::vector<std::string> headers;
    if (!key.empty()) {
        headers.push_back("Idempotency-Key: " + key);
    }
    return attemptFrom(
        callHttp("http://" + address + "/svc/" + options.at("service") + "/post", record.tag, headers, CallTimeoutMs), false);
}

std::string Callers::Private::pickNode(std::size_t offset) const
{
    const auto addresses = cluster.nodeAddresses();
    return addresses.empty() ? "127.0.0.1:1" : addresses[offset % addresses.size()];
}

std::vector<std::string> Callers::Private::lookUpAddresses(const std::string &model, std::size_t offset, Attempt &refusal) const
{
    const HttpResponse response = callHttp("http://" + pickNode(offset) + "/v1/address?model=" + model, "", {}, LookupTimeoutMs);
    const Json json = Json::parse(response.body, nullptr, false);
    std::vector<std::string> addresses;
    if (response.status == 200 && json.is_object()) {
        for (const Json &choice : json["addresses"]) {
            addresses.push_back(choice.value("address", ""));
        }
    }
    refusal = attemptFrom(response, false);
    if (refusal.outcome != Outcome::NotRun) {
        // A lookup never runs a request, whatever its result.
        refusal.outcome = Outcome::NotRun;
        refusal.code = "no_address";
    }
    return addresses;
}

std::string Callers::Private::createKey(std::string &address, std::size_t offset) const
{
    for (int i = 0; i < MaxAttempts; ++i) {
        address = pickNode(offset + static_cast<std::size_t>(i));
        const HttpResponse response = callHttp("http://" + address + "/v1/keys", "{}", {}, LookupTimeoutMs);
        const Json json = Json::parse(response.body, nullptr, false);
        if (response.status == 200 && json.is_object()) {
            return json.value("idempotency_key", "");
        }
        sleepMs(RetryDelayMs);
    }
    return {};
}

// Retries a chat after any failure except 404 and 409, because running it twice does no harm.
void Callers::Private::chatWithRetries(RequestRecord &record, const Options &options) const
{
    const auto offset = static_cast<std::size_t>(counter.load());
    const auto startedAt = Clock::now();
    for (int i = 0; i < MaxAttempts; ++i) {
        Attempt refusal;
        const auto addresses = lookUpAddresses(options.at("model"), offset + static_cast<std::size_t>(i), refusal);
        if (addresses.empty()) {
            record.attempts.push_back(refusal);
        } else {
            record.attempts.push_back(sendChat(addresses[static_cast<std::size_t>(i) % addresses.size()], record, options));
        }
        record.attempts.back().endedAfter = std::chrono::duration<double>(Clock::now() - startedAt).count();
        if (record.lastAttempt().outcome == Outcome::Ok || record.lastAttempt().status == 404 || record.lastAttempt().status == 409) {
            return;
        }
        sleepMs(std::clamp(record.lastAttempt().retryAfterMs, RetryDelayMs, MaxRetryDelayMs));
    }
}

// Retries a payment only under its idempotency key. Any node may receive the retry, since nodes forward it to the one that may run it.
void Callers::Private::payWithRetries(RequestRecord &record, const Options &options) const
{
    const auto offset = static_cast<std::size_t>(counter.load());
    std::string address;
    const std::string key = createKey(address, offset);
    if (key.empty()) {
        record.attempts.push_back({ Outcome::NotRun, 0, "no_key", 0, {}, {}, false });
        return;
    }
    for (int i = 0; i < MaxAttempts; ++i) {
        record.attempts.push_back(sendPayment(address, record, key, options));
        if (record.lastAttempt().outcome == Outcome::Ok || record.lastAttempt().outcome == Outcome::MayHaveRun) {
            return;
        }
        sleepMs(std::clamp(record.lastAttempt().retryAfterMs, RetryDelayMs, MaxRetryDelayMs));
        address = pickNode(offset + static_cast<std::size_t>(i));
    }
}

void Callers::Private::loadLoop(const std::string &group, const Options &options)
{
    const double rate = std::stod(optionOr(options, "rate", "10"));
    const double duration = parseSeconds(optionOr(options, "for", "2"));
    const auto count = static_cast<int>(rate * duration);
    const auto begin = Clock::now();
    const bool isPayment = options.contains("service");
    const auto models = split(optionOr(options, "model", ""), ';');
    std::atomic<int> next { 0 };
    std::vector<std::thread> pool;
    for (std::size_t t = 0; t < std::min<std::size_t>(LoadThreads, static_cast<std::size_t>(count)); ++t) {
        pool.emplace_back([&] {
            for (int i = next++; i < count; i = next++) {
                std::this_thread::sleep_until(begin + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(i / rate)));
                Options requestOptions = options;
                if (!isPayment) {
                    requestOptions["model"] = models[static_cast<std::size_t>(i) % models.size()];
                    // An exact model names the expected adapter; with labels, allowed= names it.
                    if (!options.contains("allowed") && requestOptions["model"].find('@') != std::string::npos) {
                        requestOptions["allowed"] = requestOptions["model"];
                    }
                }
                RequestRecord record = newRecord(group, requestOptions, isPayment);
                const auto startedAt = Clock::now();
                isPayment ? payWithRetries(record, requestOptions) : chatWithRetries(record, requestOptions);
                addRecord(std::move(record), startedAt);
            }
        });
    }
    for (std::thread &thread : pool) {
        thread.join();
    }
}

Callers::Callers(const TestCluster &cluster)
    : d(std::make_shared<Private>(cluster))
{
}

Callers::~Callers()
{
    for (std::thread &thread : d->threads) {
        thread.join();
    }
}

void Callers::chat(const std::string &group, const Options &options)
{
    d->runInBackground(group, [this, group, options] {
        RequestRecord record = d->newRecord(group, options, false);
        const auto startedAt = Clock::now();
        if (options.contains("node")) {
            record.attempts.push_back(d->sendChat(d->cluster.callerAddress(options.at("node")), record, options));
        } else {
            d->chatWithRetries(record, options);
        }
        d->addRecord(std::move(record), startedAt);
    });
}

void Callers::pay(const std::string &group, const Options &options)
{
    d->runInBackground(group, [this, group, options] {
        RequestRecord record = d->newRecord(group, options, true);
        const auto startedAt = Clock::now();
        if (options.contains("node")) {
            const std::string key = options.contains("key") ? d->keys.at(options.at("key")) : "";
            record.attempts.push_back(d->sendPayment(d->cluster.callerAddress(options.at("node")), record, key, options));
        } else {
            d->payWithRetries(record, options);
        }
        d->addRecord(std::move(record), startedAt);
    });
}

void Callers::fetchKey(const std::string &name, const std::string &node)
{
    const HttpResponse response = callHttp("http://" + d->cluster.callerAddress(node) + "/v1/keys", "{}", {}, LookupTimeoutMs);
    const Json json = Json::parse(response.body, nullptr, false);
    if (response.status != 200 || !json.is_object()) {
        throw std::runtime_error("no idempotency key from " + node);
    }
    d->keys[name] = json.value("idempotency_key", "");
}

void Callers::load(const std::string &group, const Options &options)
{
    d->runInBackground(group, [this, group, options] { d->loadLoop(group, options); });
}

void Callers::join(const std::string &group)
{
    std::unique_lock lock(d->mutex);
    if (!d->active.contains(group)) {
        throw std::runtime_error("no group of callers named '" + group + "'");
    }
    d->changed.wait(lock, [&] { return d->active[group] == 0; });
}

void Callers::joinAll()
{
    std::unique_lock lock(d->mutex);
    d->changed.wait(
        lock, [&] { return std::all_of(d->active.begin(), d->active.end(), [](const auto &entry) { return entry.second == 0; }); });
}

std::vector<RequestRecord> Callers::records() const
{
    const std::lock_guard lock(d->mutex);
    return d->records;
}

} // namespace Scenario
