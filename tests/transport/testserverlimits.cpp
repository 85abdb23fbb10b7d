#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include "rawconnection.h"

#include <absl/synchronization/notification.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

HttpHandler countingHandler(std::atomic<int> &count)
{
    return [&count](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        ++count;
        exchange->respond(200, {}, "ok");
    };
}

std::string makeCertificate(const std::filesystem::path &folder, const std::string &name)
{
    const std::string line = "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2 -subj /CN=" + name
        + " -addext subjectAltName=IP:127.0.0.1 -keyout " + (folder / "key.pem").string() + " -out " + (folder / "cert.pem").string()
        + " 2>/dev/null";
    cr_assert_eq(std::system(line.c_str()), 0);
    std::filesystem::copy_file(folder / "cert.pem", folder / (name + ".pem"));
    return (folder / (name + ".pem")).string();
}

CallResult get(std::uint16_t port, const std::string &authority)
{
    HttpClient client;
    CallResult seen;
    absl::Notification done;
    HttpCall call;
    call.url = "https://127.0.0.1:" + std::to_string(port) + "/";
    call.authorityFile = authority;
    call.isRepeatable = false;
    call.onDone = [&](const CallResult &result) {
        seen = result;
        done.Notify();
    };
    client.start(std::move(call));
    done.WaitForNotification();
    return seen;
}

} // namespace

// Guards against a request that is hidden in the body of another and run, where receivers read different lengths from the same bytes.
Test(serverlimits, requestWhoseLengthReceiversReadDifferentlyIsRefused)
{
    const std::string hidden = "POST /hidden HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    const std::string length = std::to_string(hidden.size());
    for (const std::string &headers :
        { "Content-Length : " + length, "Content-Length\t: " + length, std::string("Transfer-Encoding : chunked"),
            "Content-Length: 0\r\nContent-Length: " + length, "Content-Length: " + length + "\r\nTransfer-Encoding: chunked",
            "Content-Length: +" + length, std::string("Transfer-Encoding: xchunked"), "X(Y): 1\r\nContent-Length: " + length }) {
        std::atomic<int> count { 0 };
        const auto server = HttpServer::start(HttpServerSettings {}, countingHandler(count));
        const RawConnection connection(server.value()->port());
        connection.sendText("POST / HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n\r\n" + hidden);
        const std::string answer = connection.readAll();
        cr_assert(answer.starts_with("HTTP/1.1 400 "), "%s: %s", headers.c_str(), answer.c_str());
        cr_assert_eq(count, 0, "%s", headers.c_str());
    }
}

namespace
{

// A request whose head has exactly @p size bytes, in fields of @p fieldBytes each but for the last one.
std::string requestWithHead(std::size_t size, std::size_t fieldBytes, const std::string &body)
{
    std::string head = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    while (head.size() + 2 * fieldBytes + 2 <= size) {
        head += "n:" + std::string(fieldBytes - 4, 'v') + "\r\n";
    }
    head += "n:" + std::string(size - head.size() - 6, 'v') + "\r\n";
    return head + "\r\n" + body;
}

} // namespace

// Guards against a request within the limit that runs and whose connection is then closed without an answer, since the head of the answer
// finds no memory beside that of the request.
Test(serverlimits, headsWithinTheLimitAreAnsweredWhateverTheAnswersHead, .timeout = 60)
{
    HttpServerSettings settings;
    settings.maxHeaderBytes = 16U << 10U;
    std::atomic<std::size_t> answerHead { 0 };
    std::atomic<int> failures { 0 };
    settings.onAnswerNotDelivered = [&failures](int) { ++failures; };
    for (const bool isStream : { false, true }) {
        const auto server = HttpServer::start(settings, [&](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
            HttpHeaders headers;
            for (std::size_t bytes = 0; bytes + 1000 <= answerHead; bytes += 1000) {
                headers.emplace_back("X-Answer", std::string(988, 'w'));
            }
            cr_assert_leq(headBytes(headers), exchange->maxAnswerHeadBytes());
            if (isStream) {
                exchange->beginStream(200, headers);
                exchange->write(request.body);
                exchange->finish();
            } else {
                exchange->respond(200, headers, std::string(request.body.view()));
            }
        });
        for (const std::size_t fieldBytes : { 8, 16, 30, 100, 1000, 8000 }) {
            for (const std::size_t bytes : { 0, 1500, 9000, 15000 }) {
                answerHead = bytes;
                const RawConnection connection(server.value()->port());
                const std::string body(100 + bytes, 'b');
                const std::string end = body + (isStream ? "\r\n0\r\n\r\n" : "");
                connection.sendText(requestWithHead(settings.maxHeaderBytes - 1, fieldBytes, body));
                const std::string first = connection.readUntil(end);
                connection.sendText(requestWithHead(settings.maxHeaderBytes, fieldBytes, body));
                const std::string second = connection.readUntil(end);
                cr_assert(first.starts_with("HTTP/1.1 200 "), "fields of %zu, answer %zu: %s", fieldBytes, bytes, first.c_str());
                cr_assert(second.starts_with("HTTP/1.1 200 "), "fields of %zu, answer %zu: %s", fieldBytes, bytes, second.c_str());
            }
        }
    }
    cr_assert_eq(failures, 0);
}

// Guards against requests above the limit that run, or that are closed without an answer.
Test(serverlimits, headsAboveTheLimitAreRefusedWith431BeforeTheyRun, .timeout = 60)
{
    std::atomic<int> count { 0 };
    HttpServerSettings settings;
    settings.maxHeaderBytes = 16U << 10U;
    const auto server = HttpServer::start(settings, countingHandler(count));
    for (const std::size_t fieldBytes : { 16, 100, 8000 }) {
        for (const std::size_t bytes : { settings.maxHeaderBytes + 1, settings.maxHeaderBytes * 2, std::size_t(400000) }) {
            const RawConnection connection(server.value()->port());
            connection.sendText(requestWithHead(bytes, fieldBytes, ""));
            const std::string answer = connection.readAll();
            cr_assert(answer.starts_with("HTTP/1.1 431 "), "fields of %zu, %zu bytes: %s", fieldBytes, bytes, answer.c_str());
        }
    }
    const RawConnection longTarget(server.value()->port());
    longTarget.sendText("GET /" + std::string(settings.maxHeaderBytes, 'a') + " HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(longTarget.readAll().starts_with("HTTP/1.1 431 "));
    cr_assert_eq(count, 0);
}

// Guards against connections that are closed without an answer because the entries of many short fields, parameters or cookies use the
// memory for the head of the answer.
Test(serverlimits, headsOfVeryManyEntriesAreAnsweredOrRefusedWith431, .timeout = 60)
{
    std::atomic<int> count { 0 };
    HttpServerSettings settings;
    settings.maxHeaderBytes = 16U << 10U;
    const auto server = HttpServer::start(settings, [&count](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        ++count;
        exchange->respond(200, { { "X-Answer", std::string(15000, 'w') } }, "ok");
    });
    int answered = 0;
    for (std::size_t entries = 0; entries < 5000; entries += 200) {
        std::string fields;
        std::string parameters;
        std::string cookies;
        for (std::size_t i = 0; i < entries; ++i) {
            fields += "a:\r\n";
            parameters += "a&";
            cookies += "a=1;";
        }
        for (const std::string &head : { "GET / HTTP/1.1\r\nHost: x\r\n" + fields, "GET /?" + parameters + " HTTP/1.1\r\nHost: x\r\n",
                 "GET / HTTP/1.1\r\nHost: x\r\nCookie: " + cookies + "\r\n" }) {
            const RawConnection connection(server.value()->port());
            connection.sendText(head + "Connection: close\r\n\r\n");
            const std::string answer = connection.readAll();
            const bool isAnswered = answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("ok");
            cr_assert(isAnswered || answer.starts_with("HTTP/1.1 431 "), "%zu entries: %s", entries, answer.c_str());
            answered += isAnswered ? 1 : 0;
        }
    }
    cr_assert_eq(count, answered);
    cr_assert_gt(answered, 30);
}

// Guards against callers that cannot connect because idle connections use all the memory for connections.
Test(serverlimits, idleConnectionsGiveWayToNewCallers)
{
    std::atomic<int> count { 0 };
    HttpServerSettings settings;
    settings.maxConnections = MinConnections;
    settings.arrivalTimeout = Duration::seconds(30);
    const auto server = HttpServer::start(settings, countingHandler(count));
    std::vector<std::unique_ptr<RawConnection>> idle;
    for (int i = 0; i < MinConnections; ++i) {
        idle.push_back(std::make_unique<RawConnection>(server.value()->port()));
        idle.back()->sendText(requestWithHead(200, 100, ""));
        cr_assert(idle.back()->readUntil("ok").starts_with("HTTP/1.1 200 "));
    }
    const RawConnection another(server.value()->port());
    another.sendText(requestWithHead(200, 100, ""));
    cr_assert(another.readUntil("ok").starts_with("HTTP/1.1 200 "));
}

// Guards against a higher limit that applies only after a restart, and against connections that are cut off when it is raised.
Test(serverlimits, higherLimitAppliesToARunningServer)
{
    std::atomic<int> count { 0 };
    HttpServerSettings settings;
    settings.maxHeaderBytes = 8U << 10U;
    const auto server = HttpServer::start(settings, countingHandler(count));
    const std::size_t higher = 256U << 10U;
    const RawConnection kept(server.value()->port());
    kept.sendText(requestWithHead(1000, 100, ""));
    cr_assert(kept.readUntil("ok").starts_with("HTTP/1.1 200 "));
    cr_assert_not(server.value()->setMaxHeaderBytes(higher));
    const auto successor = server.value()->handOver(higher);
    cr_assert(successor.isOk());
    cr_assert_eq(successor.value()->port(), server.value()->port());
    kept.sendText(requestWithHead(1000, 100, ""));
    const std::string last = kept.readAll();
    cr_assert(last.starts_with("HTTP/1.1 200 ") && last.find("Connection: close") != std::string::npos, "%s", last.c_str());
    const RawConnection connection(successor.value()->port());
    connection.sendText(requestWithHead(higher, 100, ""));
    cr_assert(connection.readUntil("ok").starts_with("HTTP/1.1 200 "));
    cr_assert(successor.value()->setMaxHeaderBytes(1000));
    connection.sendText(requestWithHead(1001, 100, ""));
    cr_assert(connection.readAll().starts_with("HTTP/1.1 431 "));
    cr_assert_eq(count, 3);
}

// Guards against sound requests that are refused because their bodies come in chunks.
Test(serverlimits, bodyInChunksIsAcceptedHoweverItIsCut)
{
    const std::string body = "4\r\nabcd\r\n00a;name=\"value\"\r\n0123456789\r\nA\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n";
    for (std::size_t cut = 0; cut <= body.size(); cut += 3) {
        std::atomic<int> count { 0 };
        const auto server = HttpServer::start(HttpServerSettings {}, countingHandler(count));
        const RawConnection connection(server.value()->port());
        connection.sendText("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: Chunked\r\n\r\n" + body.substr(0, cut));
        usleep(3000);
        connection.sendText(body.substr(cut));
        const std::string answer = connection.readAll();
        cr_assert(answer.starts_with("HTTP/1.1 200 "), "cut at %zu: %s", cut, answer.c_str());
        cr_assert_eq(count, 1);
    }
}

Test(serverlimits, incompleteRequestTimesOutWith408)
{
    // A sender opens connections and transmits one byte now and then. Without a limit on the arrival of the whole request it would hold all
    // connections, and callers could not connect.
    std::atomic<int> count { 0 };
    HttpServerSettings settings;
    settings.arrivalTimeout = Duration(300);
    const auto server = HttpServer::start(settings, countingHandler(count));
    const RawConnection partialHead(server.value()->port());
    partialHead.sendText("GET / HT");
    const RawConnection partialBody(server.value()->port());
    partialBody.sendText("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345");
    cr_assert(partialHead.readAll().starts_with("HTTP/1.1 408 "));
    cr_assert(partialBody.readAll().find("\"not_run\":true") != std::string::npos);
    cr_assert_eq(count, 0);
}

Test(serverlimits, arrivalTimeoutDoesNotEndSlowHandlers)
{
    std::shared_ptr<HttpExchange> held;
    absl::Notification arrived;
    HttpServerSettings settings;
    settings.arrivalTimeout = Duration(300);
    const auto server = HttpServer::start(settings, [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        held = exchange;
        arrived.Notify();
    });
    const RawConnection connection(server.value()->port());
    connection.sendText("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    arrived.WaitForNotification();
    usleep(900'000);
    held->respond(200, {}, "late but whole");
    cr_assert(connection.readAll().ends_with("late but whole"));
}

Test(serverlimits, malformedInputIsRefused)
{
    std::atomic<int> count { 0 };
    HttpServerSettings settings;
    settings.arrivalTimeout = Duration(1000);
    const auto server = HttpServer::start(settings, countingHandler(count));
    for (const std::string &text : { std::string("\r\n\r\n\r\n"), std::string("GET\r\n\r\n"), std::string(64, '\0') + "\r\n\r\n",
             "GET / HTTP/1.1\r\nHost: x\r\n" + std::string(100'000, 'a') + ": b\r\n\r\n",
             std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n") }) {
        const RawConnection connection(server.value()->port());
        connection.sendText(text);
        const std::string answer = connection.readAll();
        cr_assert(answer.empty() || answer.starts_with("HTTP/1.1 4") || answer.starts_with("HTTP/1.0 4"), "%s", answer.c_str());
    }
    cr_assert_eq(count, 0);
    const RawConnection good(server.value()->port());
    good.sendText("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    cr_assert(good.readAll().ends_with("ok"));
}

Test(serverlimits, tlsCertificateIsReloadedWithoutRestart)
{
    // A certificate expires. If replacing it needed a restart, every renewal would cut off the requests in progress.
    const auto folder = std::filesystem::temp_directory_path() / ("apricotstep-tls-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const std::string first = makeCertificate(folder, "first");
    std::atomic<int> count { 0 };
    HttpServerSettings settings;
    settings.tls = TlsCredentials::load((folder / "cert.pem").string(), (folder / "key.pem").string()).value();
    const auto server = HttpServer::start(settings, countingHandler(count));
    cr_assert(server.isOk());
    cr_assert_eq(get(server.value()->port(), first).status, 200);

    const std::string second = makeCertificate(folder, "second");
    cr_assert(get(server.value()->port(), second).state == AttemptState::NotSent, "the old certificate serves until the reload");
    cr_assert(settings.tls->reload().isOk());
    cr_assert_eq(get(server.value()->port(), second).status, 200);
    cr_assert(get(server.value()->port(), first).state == AttemptState::NotSent);

    std::filesystem::remove(folder / "key.pem");
    cr_assert_not(settings.tls->reload().isOk());
    cr_assert_eq(get(server.value()->port(), second).status, 200, "a failed reload leaves the certificate in place");
    std::filesystem::remove_all(folder);
}

// Guards against work for a caller that has left, which is not noticed because bytes behind its request are unread.
Test(serverlimits, callerThatLeavesWithUnreadBytesIsNoticed)
{
    absl::Notification arrived;
    absl::Notification gone;
    std::shared_ptr<HttpExchange> held;
    const auto server = HttpServer::start(HttpServerSettings {}, [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        held = exchange;
        exchange->onCallerGone([&gone] { gone.Notify(); });
        arrived.Notify();
    });
    auto connection = std::make_unique<RawConnection>(server.value()->port());
    connection->sendText("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    arrived.WaitForNotification();
    connection->sendText(std::string(10'000, 'x'));
    connection.reset();
    cr_assert(gone.WaitForNotificationWithTimeout(absl::Seconds(5)));
}
