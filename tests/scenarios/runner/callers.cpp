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
constexpr int LookUpTimeoutMs = 3000;
constexpr int MaxTries = 40;
constexpr int PauseMs = 100;
constexpr int MaxPauseMs = 1000;
constexpr std::size_t LoadThreads = 48;
const std::string StreamEnd = "data: [DONE]";

using Clock = std::chrono::steady_clock;

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// The text of a streamed or whole completion.
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

Answer answerOf(const HttpReply &reply, bool isStream)
{
    Answer answer;
    answer.status = reply.status;
    const auto adapter = reply.headers.find("x-adapter");
    answer.adapter = adapter == reply.headers.end() ? "" : adapter->second;
    if (reply.status == 0) {
        // A connection that could not be made ran nothing; one that died may have.
        answer.outcome = reply.isUnsent ? Outcome::NotRun : Outcome::NoAnswer;
        answer.code = reply.isUnsent ? "not_connected" : "";
        return answer;
    }
    if (reply.status >= 400) {
        const Json json = Json::parse(reply.body, nullptr, false);
        const Json error = json.is_object() ? json.value("error", Json::object()) : Json::object();
        answer.code = error.value("code", "");
        answer.retryAfterMs = error.value("retry_after_ms", 0);
        answer.outcome = error.value("not_run", false) ? Outcome::NotRun : Outcome::MayHaveRun;
        return answer;
    }
    if (reply.isBroken || reply.body.find("event: error") != std::string::npos) {
        answer.outcome = Outcome::Broken;
        return answer;
    }
    answer.outcome = Outcome::Ok;
    answer.isSilentlyCut = isStream && reply.body.find(StreamEnd) == std::string::npos;
    answer.body = reply.body;
    return answer;
}

std::vector<std::string> split(const std::string &text, char by)
{
    std::vector<std::string> parts;
    std::size_t from = 0;
    while (from <= text.size()) {
        const std::size_t to = std::min(text.find(by, from), text.size());
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
    std::vector<Record> records;
    std::map<std::string, std::string> keys;
    std::map<std::string, std::string> keyNodes;
    std::map<std::string, int> active;
    std::vector<std::thread> threads;
    std::atomic<int> counter { 0 };

    void run(const std::string &group, std::function<void()> what);
    void keep(Record record, Clock::time_point startedAt);
    Record newRecord(const std::string &group, const Options &options, bool isPayment);

    Answer sendChat(const std::string &address, const Record &record, const Options &options) const;
    Answer sendPayment(const std::string &address, const Record &record, const std::string &key, const Options &options) const;
    std::string anyNode(std::size_t turn) const;
    std::vector<std::string> lookUp(const std::string &model, std::size_t turn, Answer &refusal) const;
    std::string mintKey(std::string &address, std::size_t turn) const;
    void chatWithRetries(Record &record, const Options &options) const;
    void payWithRetries(Record &record, const Options &options) const;
    void loadLoop(const std::string &group, const Options &options);
};

void Callers::Private::run(const std::string &group, std::function<void()> what)
{
    const std::lock_guard lock(mutex);
    ++active[group];
    threads.emplace_back([this, group, what = std::move(what)] {
        what();
        const std::lock_guard innerLock(mutex);
        --active[group];
        changed.notify_all();
    });
}

void Callers::Private::keep(Record record, Clock::time_point startedAt)
{
    record.seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
    const std::lock_guard lock(mutex);
    records.push_back(std::move(record));
}

Record Callers::Private::newRecord(const std::string &group, const Options &options, bool isPayment)
{
    Record record;
    record.group = group;
    record.mark = optionOr(options, "body", group + "#" + std::to_string(++counter) + "#");
    record.isPayment = isPayment;
    record.allowed = split(optionOr(options, "allowed", ""), ',');
    return record;
}

Answer Callers::Private::sendChat(const std::string &address, const Record &record, const Options &options) const
{
    const bool isStream = options.contains("stream");
    Json body { { "model", options.at("model") }, { "max_tokens", std::stoi(optionOr(options, "tokens", "8")) },
        { "messages", { { { "role", "user" }, { "content", record.mark } } } } };
    if (isStream) {
        body["stream"] = true;
    }
    std::vector<std::string> headers { "X-Caller-Id: " + optionOr(options, "caller", record.group),
        "X-Priority: " + optionOr(options, "class", "standard") };
    if (options.contains("deadline_ms")) {
        headers.push_back("X-Deadline-Ms: " + options.at("deadline_ms"));
    }
    const HttpReply reply = callHttp("http://" + address + "/v1/chat/completions", body.dump(), headers, CallTimeoutMs);
    Answer answer = answerOf(reply, isStream);
    answer.address = address;
    if (answer.outcome == Outcome::Ok) {
        answer.body = contentOf(reply.body, isStream);
    }
    return answer;
}

Answer Callers::Private::sendPayment(const std::string &address, const Record &record, const std::string &key, const Options &options) const
{
    std::vector<std::string> headers;
    if (!key.empty()) {
        headers.push_back("Idempotency-Key: " + key);
    }
    return answerOf(callHttp("http://" + address + "/svc/" + options.at("service") + "/post", record.mark, headers, CallTimeoutMs), false);
}

std::string Callers::Private::anyNode(std::size_t turn) const
{
    const auto addresses = cluster.nodeAddresses();
    return addresses.empty() ? "127.0.0.1:1" : addresses[turn % addresses.size()];
}

std::vector<std::string> Callers::Private::lookUp(const std::string &model, std::size_t turn, Answer &refusal) const
{
    const HttpReply reply = callHttp("http://" + anyNode(turn) + "/v1/address?model=" + model, "", {}, LookUpTimeoutMs);
    const Json json = Json::parse(reply.body, nullptr, false);
    std::vector<std::string> addresses;
    if (reply.status == 200 && json.is_object()) {
        for (const Json &choice : json["addresses"]) {
            addresses.push_back(choice.value("address", ""));
        }
    }
    refusal = answerOf(reply, false);
    if (refusal.outcome != Outcome::NotRun) {
        // A look-up runs nothing, whatever became of it.
        refusal.outcome = Outcome::NotRun;
        refusal.code = "no_address";
    }
    return addresses;
}

std::string Callers::Private::mintKey(std::string &address, std::size_t turn) const
{
    for (int i = 0; i < MaxTries; ++i) {
        address = anyNode(turn + static_cast<std::size_t>(i));
        const HttpReply reply = callHttp("http://" + address + "/v1/keys", "{}", {}, LookUpTimeoutMs);
        const Json json = Json::parse(reply.body, nullptr, false);
        if (reply.status == 200 && json.is_object()) {
            return json.value("idempotency_key", "");
        }
        sleepMs(PauseMs);
    }
    return {};
}

// A chat may be sent again whatever happened to it, since running it twice does no harm.
void Callers::Private::chatWithRetries(Record &record, const Options &options) const
{
    const auto turn = static_cast<std::size_t>(counter.load());
    const auto startedAt = Clock::now();
    for (int i = 0; i < MaxTries; ++i) {
        Answer refusal;
        const auto addresses = lookUp(options.at("model"), turn + static_cast<std::size_t>(i), refusal);
        if (addresses.empty()) {
            record.answers.push_back(refusal);
        } else {
            record.answers.push_back(sendChat(addresses[static_cast<std::size_t>(i) % addresses.size()], record, options));
        }
        record.answers.back().endedAfter = std::chrono::duration<double>(Clock::now() - startedAt).count();
        if (record.last().outcome == Outcome::Ok || record.last().status == 404 || record.last().status == 409) {
            return;
        }
        sleepMs(std::clamp(record.last().retryAfterMs, PauseMs, MaxPauseMs));
    }
}

// A payment is sent again only under its key, and to whichever node: the system finds the one that may run it.
void Callers::Private::payWithRetries(Record &record, const Options &options) const
{
    const auto turn = static_cast<std::size_t>(counter.load());
    std::string address;
    const std::string key = mintKey(address, turn);
    if (key.empty()) {
        record.answers.push_back({ Outcome::NotRun, 0, "no_key", 0, {}, {}, false });
        return;
    }
    for (int i = 0; i < MaxTries; ++i) {
        record.answers.push_back(sendPayment(address, record, key, options));
        if (record.last().outcome == Outcome::Ok || record.last().outcome == Outcome::MayHaveRun) {
            return;
        }
        sleepMs(std::clamp(record.last().retryAfterMs, PauseMs, MaxPauseMs));
        address = anyNode(turn + static_cast<std::size_t>(i));
    }
}

void Callers::Private::loadLoop(const std::string &group, const Options &options)
{
    const double rate = std::stod(optionOr(options, "rate", "10"));
    const double duration = secondsOf(optionOr(options, "for", "2"));
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
                Options mine = options;
                if (!isPayment) {
                    mine["model"] = models[static_cast<std::size_t>(i) % models.size()];
                    // With exact models the right adapter is known; with labels allowed= names it.
                    if (!options.contains("allowed") && mine["model"].find('@') != std::string::npos) {
                        mine["allowed"] = mine["model"];
                    }
                }
                Record record = newRecord(group, mine, isPayment);
                const auto startedAt = Clock::now();
                isPayment ? payWithRetries(record, mine) : chatWithRetries(record, mine);
                keep(std::move(record), startedAt);
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
    d->run(group, [this, group, options] {
        Record record = d->newRecord(group, options, false);
        const auto startedAt = Clock::now();
        if (options.contains("node")) {
            record.answers.push_back(d->sendChat(d->cluster.callerAddress(options.at("node")), record, options));
        } else {
            d->chatWithRetries(record, options);
        }
        d->keep(std::move(record), startedAt);
    });
}

void Callers::pay(const std::string &group, const Options &options)
{
    d->run(group, [this, group, options] {
        Record record = d->newRecord(group, options, true);
        const auto startedAt = Clock::now();
        if (options.contains("node")) {
            const std::string key = options.contains("key") ? d->keys.at(options.at("key")) : "";
            record.answers.push_back(d->sendPayment(d->cluster.callerAddress(options.at("node")), record, key, options));
        } else {
            d->payWithRetries(record, options);
        }
        d->keep(std::move(record), startedAt);
    });
}

void Callers::fetchKey(const std::string &name, const std::string &node)
{
    const HttpReply reply = callHttp("http://" + d->cluster.callerAddress(node) + "/v1/keys", "{}", {}, LookUpTimeoutMs);
    const Json json = Json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !json.is_object()) {
        throw std::runtime_error("no key from " + node);
    }
    d->keys[name] = json.value("idempotency_key", "");
}

void Callers::load(const std::string &group, const Options &options)
{
    d->run(group, [this, group, options] { d->loadLoop(group, options); });
}

void Callers::join(const std::string &group)
{
    std::unique_lock lock(d->mutex);
    if (!d->active.contains(group)) {
        throw std::runtime_error("no callers named '" + group + "'");
    }
    d->changed.wait(lock, [&] { return d->active[group] == 0; });
}

void Callers::joinAll()
{
    std::unique_lock lock(d->mutex);
    d->changed.wait(
        lock, [&] { return std::all_of(d->active.begin(), d->active.end(), [](const auto &entry) { return entry.second == 0; }); });
}

std::vector<Record> Callers::records() const
{
    const std::lock_guard lock(d->mutex);
    return d->records;
}

} // namespace Scenario
