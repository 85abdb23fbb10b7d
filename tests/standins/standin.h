#pragma once

#include "transport/httpserver.h"

#include <functional>
#include <memory>
#include <string>

// Small stand-ins for the services of the platform. Each is a mode of one program, so that a test can start it with one command.

namespace StandIn
{

/** Options of all modes. */
struct Options
{
    std::uint16_t port = 0;
    /** Engine: adapters that fit at once. */
    int slots = 4;
    /** Engine: requests that run at once. */
    int batch = 8;
    /** Engine: time between two tokens. */
    int tokenMs = 5;
    /** Engine: URL of the weight store; when empty, adapters load at once. */
    std::string store;
    /** Engine: refuses an order whose fencing token is lower than the highest that it has seen. */
    bool checksFencing = false;
    /** Weight store: time of one load while no more than `parallel` are in flight. */
    int loadMs = 250;
    int parallel = 8;
    /** VM list: the file whose content is returned; read again on each call. */
    std::string file;
    /** Config: the directory whose files are the values; the head is read again on each call. */
    std::string directory;
    /** Config: calls that are answered per second, a waiting watch counted once; zero means no limit. */
    int limitPerSecond = 0;
    /** Config: returns the head that was current at the start until /control?stale=0, as a stale replica would. */
    bool isStale = false;
};

using Handler = std::function<void(ApricotStep::HttpRequest, std::shared_ptr<ApricotStep::HttpExchange>)>;

Handler makeEngine(const Options &options);
Handler makeStore(const Options &options);
Handler makeConfig(const Options &options);
Handler makeVmList(const Options &options);
Handler makeService(const Options &options);

/** Calls @p callback after @p milliseconds on a thread that all calls of this function share. */
void after(int milliseconds, std::function<void()> callback);

void respondJson(ApricotStep::HttpExchange &exchange, int status, std::string body);
std::string readFile(const std::string &path);

} // namespace StandIn
