#include <CLI/CLI.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

// Measures the latency that a node adds to a request: closed-loop callers alternate between calling an engine directly and through a node
// within one run, so that other load on the machine affects both alike. bench/path.sh starts the processes.

namespace
{

using Clock = std::chrono::steady_clock;

struct Target
{
    std::string url;
    std::string body;
};

struct Result
{
    double requestsPerSecond = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    int failed = 0;
};

std::size_t discardBody(char *, std::size_t, std::size_t count, void *)
{
    return count;
}

double percentile(std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

void callLoop(const Target &target, Clock::time_point until, std::vector<double> &times, std::atomic<int> &failed)
{
    CURL *easy = curl_easy_init();
    curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/json");
    curl_easy_setopt(easy, CURLOPT_URL, target.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, target.body.c_str());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &discardBody);
    while (Clock::now() < until) {
        const auto begin = Clock::now();
        long status = 0;
        const bool isAnswered = curl_easy_perform(easy) == CURLE_OK && curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status) == CURLE_OK;
        if (!isAnswered || status != 200) {
            ++failed;
            continue;
        }
        times.push_back(std::chrono::duration<double, std::milli>(Clock::now() - begin).count());
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
}

Result measure(const Target &target, int callers, double seconds)
{
    std::vector<std::vector<double>> times(static_cast<std::size_t>(callers));
    std::vector<std::thread> threads;
    threads.reserve(times.size());
    std::atomic<int> failed { 0 };
    const auto until = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    for (auto &threadTimes : times) {
        threads.emplace_back([&] { callLoop(target, until, threadTimes, failed); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::vector<double> all;
    for (const auto &threadTimes : times) {
        all.insert(all.end(), threadTimes.begin(), threadTimes.end());
    }
    std::sort(all.begin(), all.end());
    return { static_cast<double>(all.size()) / seconds, percentile(all, 0.5), percentile(all, 0.99), failed };
}

std::string bodyFor(const std::string &model, bool isStream)
{
    return R"({"model":")" + model + R"(","max_tokens":1,"stream":)" + (isStream ? "true" : "false")
        + R"(,"messages":[{"role":"user","content":"hi"}]})";
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app { "Measures the latency that a node adds to a request." };
    std::string direct;
    std::string node;
    std::string model;
    double seconds = 2;
    int rounds = 3;
    app.add_option("--direct", direct, "host:port of the engine")->required();
    app.add_option("--node", node, "host:port of the node")->required();
    app.add_option("--model", model, "id@version of an adapter that is loaded on the engine")->required();
    app.add_option("--seconds", seconds, "duration of each measurement");
    app.add_option("--rounds", rounds, "number of measurement pairs of engine and node; the median pair is printed");
    CLI11_PARSE(app, argc, argv);
    curl_global_init(CURL_GLOBAL_ALL);
    std::printf("callers stream engine_rps node_rps rps_ratio added_p50_ms added_p99_ms failed\n");
    for (const bool isStream : { false, true }) {
        const Target engineTarget { "http://" + direct + "/v1/chat/completions", bodyFor(model, isStream) };
        const Target nodeTarget { "http://" + node + "/v1/chat/completions", bodyFor(model, isStream) };
        for (const int callers : { 1, 8, 64 }) {
            std::vector<std::pair<Result, Result>> roundResults;
            roundResults.reserve(static_cast<std::size_t>(rounds));
            for (int i = 0; i < rounds; ++i) {
                roundResults.emplace_back(measure(engineTarget, callers, seconds), measure(nodeTarget, callers, seconds));
            }
            std::sort(roundResults.begin(), roundResults.end(),
                [](const auto &a, const auto &b) { return a.second.p50Ms - a.first.p50Ms < b.second.p50Ms - b.first.p50Ms; });
            const auto &[engine, viaNode] = roundResults[roundResults.size() / 2];
            std::printf("%d %s %.0f %.0f %.2f %.3f %.3f %d\n", callers, isStream ? "yes" : "no", engine.requestsPerSecond,
                viaNode.requestsPerSecond, viaNode.requestsPerSecond / engine.requestsPerSecond, viaNode.p50Ms - engine.p50Ms,
                viaNode.p99Ms - engine.p99Ms, engine.failed + viaNode.failed);
        }
    }
    return 0;
}
