#pragma once

#include "main/metrics.h"
#include "main/settings.h"
#include "main/upstreamhealth.h"
#include "state/catalog.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <string>

// Fixtures that tests of the runners share: a caller that records its answer, an upstream on its own port, and the other parts of a node.

namespace Fixtures
{

using namespace ApricotStep;

/** The caller's side of a request; records the answer. */
class Caller final : public HttpExchange
{
public:
    void respond(int status, const HttpHeaders &headers, std::string body) override
    {
        m_status = status;
        m_headers = headers;
        m_body = std::move(body);
        m_done.Notify();
    }
    void beginStream(int status, const HttpHeaders &headers) override
    {
        m_status = status;
        m_headers = headers;
        ++m_startedStreams;
    }
    bool write(std::string_view data) override
    {
        m_body.append(data);
        return true;
    }
    void finish() override
    {
        m_isFinished = true;
        m_done.Notify();
    }
    void abort() override
    {
        m_done.Notify();
    }
    void abortNow() override
    {
        abort();
    }
    std::size_t unreadBytes() const override
    {
        return 0;
    }
    std::size_t maxAnswerHeadBytes() const override
    {
        return std::size_t(1) << 20U;
    }
    void onDrained(std::function<void()>) override
    {
    }
    void onCallerGone(std::function<void()> callback) override
    {
        m_onCallerGone = std::move(callback);
    }

    /** Calls @p tick until the answer is complete or aborted. Returns false after 20 s. */
    bool wait(const std::function<void()> &tick)
    {
        for (int i = 0; i < 4000 && !m_done.HasBeenNotified(); ++i) {
            tick();
            m_done.WaitForNotificationWithTimeout(absl::Milliseconds(5));
        }
        return m_done.HasBeenNotified();
    }
    int status() const
    {
        return m_status;
    }
    int startedStreams() const
    {
        return m_startedStreams;
    }
    bool isFinished() const
    {
        return m_isFinished;
    }
    bool isDone() const
    {
        return m_done.HasBeenNotified();
    }
    const std::string &body() const
    {
        return m_body;
    }
    bool hasHeader(std::string_view name) const
    {
        return std::any_of(m_headers.begin(), m_headers.end(), [name](const auto &header) { return header.first == name; });
    }
    /** Closes the connection before the answer is complete. */
    void disconnect() const
    {
        m_onCallerGone();
    }
    bool bodyContains(std::string_view part) const
    {
        return m_body.find(part) != std::string::npos;
    }

private:
    absl::Notification m_done;
    int m_status = 0;
    std::atomic<int> m_startedStreams { 0 };
    bool m_isFinished = false;
    HttpHeaders m_headers;
    std::string m_body;
    std::function<void()> m_onCallerGone;
};

/** An HTTP server whose answers come from the test's handler. */
class Upstream
{
public:
    explicit Upstream(HttpHandler handler)
        : m_server(std::move(HttpServer::start({}, std::move(handler)).value()))
    {
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server->port());
    }

private:
    std::unique_ptr<HttpServer> m_server;
};

/** The parts of a node that runners need. The client is destroyed first, before the objects that its callbacks use. */
struct NodeFixture
{
    SystemClock clock;
    Metrics metrics;
    UpstreamHealth health { clock, metrics, 1 };
    std::shared_ptr<const Settings> settings =
        Settings::parse("[node]\nid = n1\nzone = a\n[platform]\nconfig_url = http://127.0.0.1:1\nvm_list_url = http://127.0.0.1:2\n"
                        "[fleet]\nsecret = 0123456789abcdef\n[upstreams]\nservice_concurrency = 2\n",
            "test.ini")
            .value();
    std::unique_ptr<HttpClient> client = std::make_unique<HttpClient>();
};

} // namespace Fixtures
