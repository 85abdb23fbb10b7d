// Measures the latency that forwarding adds to a request: the same handler called directly over HTTP and through another node, with 1, 8
// and 64 callers.

#include "transport/httpclient.h"
#include "transport/noderpc.h"

#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

using namespace ApricotStep;

namespace
{

constexpr int RequestsPerCaller = 300;
constexpr int StreamParts = 8;

void serve(const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange)
{
    exchange->beginStream(200, { { "Content-Type", "text/event-stream" } });
    for (int i = 0; i < StreamParts; ++i) {
        exchange->write("data: a token of an answer\n\n");
    }
    exchange->finish();
}

class LoadRun
{
public:
    LoadRun(HttpClient &client, std::uint16_t port)
        : m_client(client)
        , m_url("http://127.0.0.1:" + std::to_string(port) + "/v1/chat/completions")
    {
    }

    std::vector<double> measure(int callers)
    {
        m_remaining = callers * RequestsPerCaller;
        m_unstarted = m_remaining;
        for (int i = 0; i < callers; ++i) {
            startNext();
        }
        const absl::MutexLock lock(&m_mutex);
        m_mutex.Await(absl::Condition(
            +[](LoadRun *loadRun) { return loadRun->m_remaining == 0; }, this));
        std::sort(m_micros.begin(), m_micros.end());
        return m_micros;
    }
    int failed() const
    {
        return m_failed;
    }

private:
    void startNext()
    {
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_unstarted-- <= 0) {
                return;
            }
        }
        const auto startTime = std::chrono::steady_clock::now();
        HttpCall call;
        call.method = "POST";
        call.url = m_url;
        call.body = R"({"model":"a","stream":true})";
        call.onDone = [this, startTime](const CallResult &result) {
            const std::chrono::duration<double, std::micro> latency = std::chrono::steady_clock::now() - startTime;
            {
                const absl::MutexLock lock(&m_mutex);
                m_micros.push_back(latency.count());
                m_failed += result.state == AttemptState::Answered ? 0 : 1;
                --m_remaining;
            }
            startNext();
        };
        m_client.start(std::move(call));
    }

    HttpClient &m_client;
    std::string m_url;
    absl::Mutex m_mutex;
    std::vector<double> m_micros;
    int m_remaining = 0;
    int m_unstarted = 0;
    int m_failed = 0;
};

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

} // namespace

int main()
{
    NodeRpcSettings settings;
    settings.secret = "only for this bench";
    const auto ownerNode = std::move(NodeRpc::start(settings).value());
    const auto entryNode = std::move(NodeRpc::start(settings).value());
    ownerNode->serveForwards(
        [](const HttpRequest &request, int, const std::shared_ptr<HttpExchange> &exchange) { serve(request, exchange); });
    const std::string address = "127.0.0.1:" + std::to_string(ownerNode->port());
    const auto directServer = std::move(HttpServer::start({}, serve).value());
    const auto forwardingServer =
        std::move(HttpServer::start({}, [&](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
            entryNode->forward(address, request, 1, exchange, [exchange](const Error &) { exchange->respond(503, {}, ""); });
        }).value());
    HttpClient client;
    for (const int callers : { 1, 8, 64 }) {
        LoadRun directRun(client, directServer->port());
        LoadRun forwardedRun(client, forwardingServer->port());
        const auto directLatencies = directRun.measure(callers);
        const auto forwardedLatencies = forwardedRun.measure(callers);
        std::printf("callers=%d direct p50=%.0f p99=%.0f us, forwarded p50=%.0f p99=%.0f us, ratio p50=%.2f p99=%.2f, added p50=%.0f us, "
                    "failed=%d\n",
            callers, quantile(directLatencies, 0.5), quantile(directLatencies, 0.99), quantile(forwardedLatencies, 0.5),
            quantile(forwardedLatencies, 0.99), quantile(forwardedLatencies, 0.5) / quantile(directLatencies, 0.5),
            quantile(forwardedLatencies, 0.99) / quantile(directLatencies, 0.99),
            quantile(forwardedLatencies, 0.5) - quantile(directLatencies, 0.5), directRun.failed() + forwardedRun.failed());
    }
}
