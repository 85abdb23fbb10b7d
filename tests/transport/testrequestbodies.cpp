#include "transport/httpserver.h"

#include "rawconnection.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr std::size_t KiB = std::size_t(1) << 10U;
constexpr std::size_t MiB = std::size_t(1) << 20U;
constexpr std::size_t Large = 4 * MiB;

std::string headOf(std::uint64_t length, const std::string &fields = "")
{
    return absl::StrCat("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: ", length, "\r\n", fields, "\r\n");
}

std::string chunk(std::size_t bytes)
{
    return absl::StrCat(absl::Hex(bytes), "\r\n", std::string(bytes, 'b'), "\r\n");
}

const std::string ChunkedHead = "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

/** A server that answers with the length of the body, and counts the limits that clients meet. */
struct BodyServer
{
    std::atomic<int> handled { 0 };
    std::array<std::atomic<int>, 6> limits {};
    std::unique_ptr<HttpServer> server;

    explicit BodyServer(HttpServerSettings settings)
    {
        settings.onClientLimit = [this](ClientLimit limit) { ++limits[static_cast<std::size_t>(limit)]; };
        server = std::move(HttpServer::start(settings, [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
            ++handled;
            exchange->respond(200, {}, absl::StrCat("length ", request.body.size(), "."));
        }).value());
    }
    int met(ClientLimit limit) const
    {
        return limits[static_cast<std::size_t>(limit)];
    }
    bool serves(std::size_t bytes) const
    {
        const RawConnection connection(server->port());
        connection.sendText(headOf(bytes, "Connection: close\r\n") + std::string(bytes, 'b'));
        return absl::EndsWith(connection.readAll(), absl::StrCat("length ", bytes, "."));
    }
};

HttpServerSettings settingsWithMemory(std::size_t total)
{
    HttpServerSettings settings;
    settings.maxBodyBytes = Large;
    settings.memory = std::make_shared<RequestMemory>(RequestMemoryLimits::of(total));
    return settings;
}

} // namespace

// Guards against bodies over the limit that are received before they are refused.
Test(requestbodies, announcedBodyOverTheLimitIsRefusedAtItsHead)
{
    BodyServer server(settingsWithMemory(64 * MiB));
    for (const std::uint64_t length : { std::uint64_t(Large) + 1, std::uint64_t(100'000'000'000) }) {
        const RawConnection connection(server.server->port());
        connection.sendText(headOf(length) + std::string(10 * KiB, 'b'));
        const std::string answer = connection.readUntil("}}");
        cr_assert(answer.starts_with("HTTP/1.1 413 "), "%s", answer.c_str());
        cr_assert(absl::StrContains(answer, "Connection: close"));
    }
    cr_assert_eq(server.handled, 0);
    cr_assert_eq(server.met(ClientLimit::BodySize), 2);
}

// Guards against a client that is asked to send a body which is refused anyway.
Test(requestbodies, refusedClientIsNotAskedToContinue)
{
    BodyServer server(settingsWithMemory(64 * MiB));
    const RawConnection connection(server.server->port());
    connection.sendText(headOf(Large + 1, "Expect: 100-continue\r\n"));
    cr_assert(connection.readUntil("}}").starts_with("HTTP/1.1 413 "));
    const RawConnection accepted(server.server->port());
    accepted.sendText(headOf(Large, "Expect: 100-continue\r\n"));
    cr_assert(accepted.readUntil("\r\n\r\n").starts_with("HTTP/1.1 100 "));
    accepted.sendText(std::string(Large, 'b'));
    cr_assert(absl::StrContains(accepted.readUntil("."), "length 4194304"));
}

// Guards against bodies in chunks without end.
Test(requestbodies, bodyInChunksIsRefusedWhenItPassesTheLimit)
{
    BodyServer server(settingsWithMemory(64 * MiB));
    const RawConnection connection(server.server->port());
    connection.sendText(ChunkedHead);
    for (std::size_t sent = 0; sent <= Large; sent += 64 * KiB) {
        connection.sendText(chunk(64 * KiB));
    }
    const std::string answer = connection.readUntil("}}");
    cr_assert(answer.starts_with("HTTP/1.1 413 "), "%s", answer.c_str());
    cr_assert_eq(server.handled, 0);
}

// Guards against a refusal that its client never reads, since the connection is reset while it still sends.
Test(requestbodies, refusalCanBeReadByAClientThatSendsItsWholeBodyFirst)
{
    HttpServerSettings settings = settingsWithMemory(64 * MiB);
    settings.onLargeBody = [](const HttpRequest &, HttpExchange &exchange) -> std::optional<BodyTerms> {
        exchange.respond(401, { { "X-Own", "v" } }, "no key");
        return std::nullopt;
    };
    BodyServer server(settings);
    for (int i = 0; i < 20; ++i) {
        const RawConnection connection(server.server->port());
        connection.sendText(headOf(Large) + std::string(Large, 'b'));
        const std::string answer = connection.readAll();
        cr_assert(answer.starts_with("HTTP/1.1 401 ") && answer.ends_with("no key"), "%s", answer.c_str());
        cr_assert(absl::StrContains(answer, "X-Own: v"));
    }
    cr_assert_eq(server.handled, 0);
}

// Guards against bodies that are kept although there is no memory for them, and against memory that does not come back.
Test(requestbodies, bodyWithoutMemoryIsRefusedAndServedLater)
{
    HttpServerSettings settings = settingsWithMemory(24 * MiB);
    BodyServer server(settings);
    std::vector<std::unique_ptr<RawConnection>> unfinished;
    for (int i = 0; i < 12; ++i) {
        unfinished.push_back(std::make_unique<RawConnection>(server.server->port()));
        unfinished.back()->sendText(headOf(Large) + std::string(100 * KiB, 'b'));
    }
    int refused = 0;
    while (settings.memory->bodyBytes() < Large || server.met(ClientLimit::BodyMemory) < 10) {
        usleep(1000);
    }
    refused = server.met(ClientLimit::BodyMemory);
    cr_assert_leq(settings.memory->bodyBytes(), 12 * MiB);
    cr_assert_lt(refused, 12);
    const RawConnection another(server.server->port());
    another.sendText(headOf(Large));
    const std::string answer = another.readUntil("}}");
    cr_assert(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
    cr_assert(absl::StrContains(answer, "Retry-After: 0.") && absl::StrContains(answer, "\"no_memory\""), "%s", answer.c_str());
    cr_assert(server.serves(10 * KiB), "small bodies are served meanwhile");
    unfinished.clear();
    while (settings.memory->bodyBytes() > 0) {
        usleep(1000);
    }
    cr_assert(server.serves(Large));
    while (settings.memory->bodyBytes() > 0 || settings.memory->connectionBytes() > 0) {
        usleep(1000);
    }
}

// Guards against a body that nobody will complete before its request is over, and that holds memory until then and longer.
Test(requestbodies, largeBodyHasToArriveInItsTime)
{
    HttpServerSettings settings = settingsWithMemory(64 * MiB);
    settings.onLargeBody = [](const HttpRequest &, HttpExchange &) { return BodyTerms { Large, Duration(300) }; };
    BodyServer server(settings);
    const RawConnection connection(server.server->port());
    connection.sendText(headOf(Large) + std::string(100 * KiB, 'b'));
    cr_assert(connection.readAll().starts_with("HTTP/1.1 408 "));
    cr_assert_eq(server.handled, 0);
    cr_assert_eq(server.met(ClientLimit::ArrivalTime), 1);
}

// Guards against callers that cannot connect because others keep connections open, and against kept connections that close for newcomers
// that send nothing.
Test(requestbodies, silentConnectionsGiveWayBeforeKeptOnes)
{
    HttpServerSettings settings;
    settings.maxConnections = MinConnections;
    settings.arrivalTimeout = Duration::seconds(30);
    BodyServer server(settings);
    const RawConnection kept(server.server->port());
    kept.sendText(headOf(4) + "body");
    cr_assert(absl::StrContains(kept.readUntil("."), "length 4."));
    std::vector<std::unique_ptr<RawConnection>> silent;
    for (int i = 0; i < 4 * MinConnections; ++i) {
        silent.push_back(std::make_unique<RawConnection>(server.server->port()));
    }
    cr_assert(server.serves(4));
    kept.sendText(headOf(4) + "body");
    cr_assert(absl::StrContains(kept.readUntil("."), "length 4."), "the kept connection was closed");
    cr_assert_gt(server.met(ClientLimit::IdleConnection), 0);
}

// Guards against bodies that are ended as soon as idle connections are, although their clients have more time for them.
Test(requestbodies, shorterLimitOnHeadsDoesNotEndBodies)
{
    BodyServer server(HttpServerSettings {});
    server.server->setHeadTimeout(Duration(300));
    const RawConnection idle(server.server->port());
    const RawConnection sending(server.server->port());
    sending.sendText(headOf(10, "Connection: close\r\n") + "12345");
    cr_assert(idle.readAll().starts_with("HTTP/1.1 408 "));
    usleep(600'000);
    sending.sendText("12345");
    cr_assert(sending.readAll().ends_with("length 10."));
}

// Guards against small bodies that stop short of their end, and leave no memory to the requests of others until they time out.
Test(requestbodies, stalledSmallBodiesGiveWayWhenMemoryLacks, .timeout = 30)
{
    HttpServerSettings settings = settingsWithMemory(64 * MiB);
    settings.arrivalTimeout = Duration::seconds(60);
    BodyServer server(settings);
    std::vector<std::shared_ptr<BodyReservation>> others;
    while (auto reservation = settings.memory->reserve(SmallBodyBytes, Time::never(), Time())) {
        reservation->onComplete(SmallBodyBytes);
        others.push_back(std::move(reservation));
    }
    others.pop_back();
    const std::size_t bytesOfOthers = settings.memory->bodyBytes();
    const RawConnection stalled(server.server->port());
    stalled.sendText(headOf(SmallBodyBytes) + std::string(SmallBodyBytes - 1, 'b'));
    // The server may read a later connection first.
    while (settings.memory->bodyBytes() == bytesOfOthers) {
        usleep(1000);
    }
    while (server.serves(SmallBodyBytes)) {
        usleep(1000);
    }
    while (!server.serves(SmallBodyBytes)) {
        usleep(100'000);
    }
    cr_assert_eq(server.met(ClientLimit::BodyPace), 1);
    cr_assert(stalled.readAll().starts_with("HTTP/1.1 503 "));
}
