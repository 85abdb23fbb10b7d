#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <absl/synchronization/notification.h>

#include <atomic>
#include <thread>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

struct Answer
{
    CallResult result;
    std::string body;
};

std::unique_ptr<HttpServer> serve(HttpHandler handler)
{
    return std::move(HttpServer::start({}, std::move(handler)).value());
}

Answer call(HttpClient &client, const HttpServer &server, const std::string &body = {}, const std::function<bool()> &maySend = {},
    std::vector<std::pair<std::string, std::string>> headers = {})
{
    auto answer = std::make_shared<Answer>();
    auto done = std::make_shared<absl::Notification>();
    HttpCall httpCall;
    httpCall.method = body.empty() ? "GET" : "POST";
    httpCall.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/x?y=1";
    httpCall.body = body;
    httpCall.headers = std::move(headers);
    httpCall.maySend = maySend;
    httpCall.onData = [answer](std::string_view data) {
        answer->body.append(data);
        return true;
    };
    httpCall.onDone = [answer, done](const CallResult &result) {
        answer->result = result;
        done->Notify();
    };
    client.start(std::move(httpCall));
    done->WaitForNotification();
    return *answer;
}

} // namespace

Test(http, handlerReceivesCompleteRequestOnce)
{
    std::atomic<int> count { 0 };
    const auto server = serve([&](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        ++count;
        exchange->respond(200, {}, request.method + request.path + request.query + std::to_string(request.body.size()));
    });
    HttpClient client;
    cr_assert(call(client, *server, std::string(100'000, 'b')).body == "POST/xy=1100000");
    cr_assert_eq(count, 1);
}

Test(http, bodyOverLimitIsRefused)
{
    HttpServerSettings settings;
    settings.maxBodyBytes = 10;
    std::atomic<int> count { 0 };
    const auto server = HttpServer::start(settings, [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &) { ++count; });
    HttpClient client;
    cr_assert_eq(call(client, *server.value(), std::string(11, 'b')).result.status, 413);
    cr_assert_eq(count, 0);
}

Test(http, abortedStreamIsReportedAsFailed)
{
    // The engine fails in the middle of an answer. If the connection ended cleanly, the caller would treat half an answer as a complete
    // one.
    const auto server = serve([](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, {});
        exchange->write("half");
        exchange->abort();
    });
    HttpClient client;
    const Answer answer = call(client, *server);
    cr_assert(answer.result.state == AttemptState::Sent);
    cr_assert(answer.result.error == ErrorKind::UpstreamFailed);
}

// Guards against a broken stream that looks complete to a caller whose connection ends with it: such an answer must still have chunks.
Test(http, abortedStreamThatEndsItsConnectionIsReportedAsFailed)
{
    for (const bool isClosedByServer : { false, true }) {
        const auto server = serve([isClosedByServer](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
            exchange->beginStream(200, isClosedByServer ? HttpHeaders { { "Connection", "close" } } : HttpHeaders {});
            exchange->write("half");
            exchange->abort();
        });
        HttpClient client;
        const Answer answer = call(client, *server, {}, {}, { { "Connection", "close" } });
        cr_assert(answer.result.state == AttemptState::Sent);
        cr_assert(answer.result.error == ErrorKind::UpstreamFailed);
    }
}

Test(http, streamIsCompleteAfterPauses)
{
    constexpr std::size_t Parts = 2000;
    const auto server = serve([](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, {});
        std::thread([exchange] {
            for (std::size_t i = 0; i < Parts; ++i) {
                exchange->write(std::string(1000, 'x'));
            }
            exchange->finish();
        }).detach();
    });
    HttpClient client;
    std::size_t size = 0;
    std::atomic<CallId> id { 0 };
    absl::Notification done;
    HttpCall httpCall;
    httpCall.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/";
    httpCall.onData = [&](std::string_view data) {
        size += data.size();
        std::thread([&] { client.resume(id); }).join();
        return false;
    };
    httpCall.onDone = [&](const CallResult &) { done.Notify(); };
    id = client.start(std::move(httpCall));
    while (!done.WaitForNotificationWithTimeout(absl::Milliseconds(20))) {
        client.resume(id);
    }
    cr_assert_eq(size, Parts * 1000);
}

// The store, a peer or an engine sends an answer without end: it is broken off at the limit, with the reason.
Test(http, answerBeyondTheLimitIsBrokenOff)
{
    constexpr std::size_t MaxBytes = 100'000;
    const auto server = serve([](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, {});
        std::thread([exchange] {
            while (exchange->write(std::string(1000, 'x'))) { }
        }).detach();
    });
    for (const std::size_t limit : { MaxBytes, std::size_t(0) }) {
        HttpClient client;
        std::atomic<std::size_t> size { 0 };
        absl::Notification done;
        CallResult result;
        HttpCall httpCall;
        httpCall.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/";
        httpCall.maxBodyBytes = limit;
        httpCall.totalTimeout = Duration(500);
        httpCall.onData = [&](std::string_view data) {
            size += data.size();
            return true;
        };
        httpCall.onDone = [&](const CallResult &ended) {
            result = ended;
            done.Notify();
        };
        client.start(std::move(httpCall));
        done.WaitForNotification();
        cr_assert(result.state == AttemptState::Sent);
        if (limit > 0) {
            cr_assert(result.error == ErrorKind::UpstreamFailed);
            cr_assert_eq(result.detail, "the answer is longer than 100000 bytes");
            cr_assert_leq(size, limit);
        } else {
            cr_assert(result.error == ErrorKind::UpstreamTimeout);
        }
    }
}

Test(http, callStoppedByMaySendIsReportedAsNotSent)
{
    // A node is suspended between its decision and the sending, and resumes after the deadline. It must not send then.
    std::atomic<int> count { 0 };
    const auto server = serve([&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        ++count;
        exchange->respond(200, {}, "");
    });
    HttpClient client;
    const Answer answer = call(client, *server, "pay", [] { return false; });
    cr_assert(answer.result.state == AttemptState::NotSent);
    cr_assert(answer.result.error == ErrorKind::DeadlinePassed);
    cr_assert_eq(count, 0);
}

Test(http, callerDisconnectWhileWaitingIsDetected)
{
    absl::Notification gone;
    absl::Notification arrived;
    const auto server = serve([&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->onCallerGone([&] { gone.Notify(); });
        arrived.Notify();
    });
    HttpClient client;
    HttpCall httpCall;
    httpCall.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/";
    const CallId id = client.start(std::move(httpCall));
    arrived.WaitForNotification();
    client.cancel(id);
    cr_assert(gone.WaitForNotificationWithTimeout(absl::Seconds(20)));
}

// Guards against a late second answer that is taken for the answer to a call with the same id: such a call gets a new connection, and only
// such a call.
Test(http, connectionCarriesOneCallOfAnId)
{
    const auto server =
        serve([](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) { exchange->respond(200, {}, "answer"); });
    HttpClient client;
    const auto earlierCalls = [&](const std::string &id) {
        auto answer = std::make_shared<std::size_t>(0);
        absl::Notification done;
        HttpCall httpCall;
        httpCall.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/";
        httpCall.answerId = id;
        httpCall.isSentOnce = true;
        httpCall.acceptsHead = [answer](int, const auto &, const AnswerConnection &connection) {
            *answer = connection.earlierCalls;
            return true;
        };
        httpCall.onDone = [&done](const CallResult &result) {
            cr_assert(result.state == AttemptState::Answered);
            done.Notify();
        };
        client.start(std::move(httpCall));
        done.WaitForNotification();
        return *answer;
    };
    cr_assert_eq(earlierCalls("a"), 0);
    cr_assert_eq(earlierCalls("b"), 1);
    cr_assert_eq(earlierCalls("a"), 0, "a new connection");
    cr_assert_eq(earlierCalls("b"), 1);
    cr_assert_eq(earlierCalls(""), 2);
    cr_assert_eq(earlierCalls("c"), 3);
}
