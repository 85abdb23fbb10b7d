// What a forward adds to a request: the same handler asked straight over HTTP and through another node, with 1, 8 and 64 callers.

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

class Run
{
public:
    Run(HttpClient &client, std::uint16_t port)
        : m_client(client)
        , m_url("http://127.0.0.1:" + std::to_string(port) + "/v1/chat/completions")
    {
    }

    std::vector<double> measure(int callers)
    {
        m_left = callers * RequestsPerCaller;
        m_toStart = m_left;
        for (int i = 0; i < callers; ++i) {
            startNext();
        }
        const absl::MutexLock lock(&m_mutex);
        m_mutex.Await(absl::Condition(
            +[](Run *run) { return run->m_left == 0; }, this));
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
            if (m_toStart-- <= 0) {
                return;
            }
        }
        const auto begun = std::chrono::steady_clock::now();
        HttpCall call;
        call.method = "POST";
        call.url = m_url;
        call.body = R"({"model":"a","stream":true})";
        call.onDone = [this, begun](const CallResult &result) {
            const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begun;
            {
                const absl::MutexLock lock(&m_mutex);
                m_micros.push_back(took.count());
                m_failed += result.state == AttemptState::Answered ? 0 : 1;
                --m_left;
            }
            startNext();
        };
        m_client.start(std::move(call));
    }

    HttpClient &m_client;
    std::string m_url;
    absl::Mutex m_mutex;
    std::vector<double> m_micros;
    int m_left = 0;
    int m_toStart = 0;
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
    const auto owner = std::move(NodeRpc::start(settings).value());
    const auto front = std::move(NodeRpc::start(settings).value());
    owner->serveForwards([](const HttpRequest &request, int, const std::shared_ptr<HttpExchange> &exchange) { serve(request, exchange); });
    const std::string address = "127.0.0.1:" + std::to_string(owner->port());
    const auto direct = std::move(HttpServer::start({}, serve).value());
    const auto through = std::move(HttpServer::start({}, [&](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        front->forward(address, request, 1, exchange, [exchange](const Error &) { exchange->respond(503, {}, ""); });
    }).value());
    HttpClient client;
    for (const int callers : { 1, 8, 64 }) {
        Run plain(client, direct->port());
        Run forwarded(client, through->port());
        const auto a = plain.measure(callers);
        const auto b = forwarded.measure(callers);
        std::printf("callers=%d direct p50=%.0f p99=%.0f us, forwarded p50=%.0f p99=%.0f us, ratio p50=%.2f p99=%.2f, added p50=%.0f us, "
                    "failed=%d\n",
            callers, quantile(a, 0.5), quantile(a, 0.99), quantile(b, 0.5), quantile(b, 0.99), quantile(b, 0.5) / quantile(a, 0.5),
            quantile(b, 0.99) / quantile(a, 0.99), quantile(b, 0.5) - quantile(a, 0.5), plain.failed() + forwarded.failed());
    }
}
