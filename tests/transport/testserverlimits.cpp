#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <absl/synchronization/notification.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

// A plain socket, for input that no HTTP client would send.
class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
    }
    ~RawConnection()
    {
        close(m_socket);
    }
    void sendText(const std::string &text) const
    {
        send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
    }
    // Everything that is received until the server closes the connection.
    std::string readAll() const
    {
        std::string all;
        char part[4096];
        for (ssize_t count = 0; (count = recv(m_socket, part, sizeof part, 0)) > 0;) {
            all.append(part, static_cast<std::size_t>(count));
        }
        return all;
    }

private:
    int m_socket;
};

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
