#pragma once

#include "main/entry/entrynode.h"
#include "scriptedupstream.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// Fixtures of the tests that run whole entry nodes: a store, an upstream, and callers.

namespace Fixtures
{

using namespace ApricotStep;

inline std::string json(const std::string &body)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

inline std::string item(const std::string &key, const std::string &value, int revision = 2)
{
    return absl::StrCat(
        R"({"key":")", key, R"(","value":")", absl::Base64Escape(value), R"(","revision":)", revision, R"(,"createRevision":2,"lease":0})");
}

inline std::string configuration(int version, const std::string &pathPrefix)
{
    return absl::StrCat(R"({"version":)", version, R"(,"routes":[{"name":"r","host":"h.example","pathPrefix":")", pathPrefix,
        R"(","kind":"idempotent","timeoutMs":1000,"service":"svc","maxAttempts":2}],"services":[{"name":"svc","maxConns":10}]})");
}

inline std::string upstreamEntry(const std::string &upstreamAddress)
{
    return absl::StrCat(R"({"service":"svc","address":")", upstreamAddress,
        R"(","zone":"z","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":1,"born":5})");
}

/** An upstream that answers every request completely. */
inline ScriptedAnswer answerCompletely(const std::string &)
{
    return ScriptedAnswer {
        "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\nContent-Length: 5\r\n\r\nwhole"
    };
}

/** A store with one configuration, one upstream and one malformed entry, which never change. */
inline ScriptedAnswer storeAnswer(const std::string &request, const std::string &upstreamAddress)
{
    if (absl::StrContains(request, "kv-watch")) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return ScriptedAnswer { json(R"({"events":[],"storeRevision":2})") };
    }
    const std::string config = configuration(4, "/p/");
    const std::string entry = upstreamEntry(upstreamAddress);
    return ScriptedAnswer { json(absl::StrCat(R"({"hasMore":false,"items":[)", item("op/config", config), ",", item("servers/u1", entry),
        ",", item("servers/forged", R"({"service":"svc","slots":"many"})"), R"(],"storeRevision":2})")) };
}

inline int freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        std::abort();
    }
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    close(socket);
    return ntohs(address.sin_port);
}

inline Platform::ProcessSettings settingsFor(const std::string &storeAddress)
{
    Platform::ProcessSettings settings;
    settings.node = NodeId("n1");
    settings.zone = ZoneId("z");
    settings.ip = "127.0.0.1";
    const auto address = [] { return "127.0.0.1:" + std::to_string(freePort()); };
    settings.callerAddress = address();
    settings.readinessAddress = address();
    settings.directoryAddress = address();
    settings.peerAddress = address();
    settings.storeAddress = storeAddress;
    settings.grace = Duration::seconds(4);
    settings.configurationBound = Duration::seconds(2);
    settings.orderHandoverDelay = Duration::seconds(3);
    settings.adapterVersionBound = Duration::seconds(5);
    settings.retryShare = 0.2;
    settings.retryReserve = 100;
    settings.retryWindow = Duration::seconds(10);
    settings.maxAddressLifetime = Duration::seconds(5);
    settings.maxDescriptors = 1000;
    return settings;
}

struct Response
{
    int status = 0;
    std::string body;
};

inline Response get(HttpClient &client, const std::string &address, const std::string &path, HttpHeaders headers = {})
{
    auto response = std::make_shared<Response>();
    auto done = std::make_shared<absl::Notification>();
    HttpCall call;
    call.url = "http://" + address + path;
    call.headers = std::move(headers);
    call.totalTimeout = Duration(2000);
    call.onData = [response](std::string_view data) {
        response->body.append(data);
        return true;
    };
    call.onDone = [response, done](const CallResult &result) {
        response->status = result.status;
        done->Notify();
    };
    client.start(std::move(call));
    done->WaitForNotification();
    return *response;
}

/** A node that runs on its own thread and is drained on destruction. */
struct RunningNode
{
    explicit RunningNode(const Platform::ProcessSettings &settings)
        : node(std::move(EntryNode::start(settings).value()))
        , thread([this] { node->run(); })
    {
    }
    ~RunningNode()
    {
        node->drain();
        thread.join();
    }

    std::unique_ptr<EntryNode> node;
    std::thread thread;
};

inline bool becomesReady(HttpClient &client, const Platform::ProcessSettings &settings)
{
    for (int i = 0; i < 100; ++i) {
        if (get(client, settings.readinessAddress, "/apricotstep/ready").status == 200) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

} // namespace Fixtures
